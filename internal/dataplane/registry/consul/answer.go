package consul

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/dataplane/membership"
)

// maxAnswerBytes bounds a list: 5,000 instances take about 5 MB.
const maxAnswerBytes = 64 << 20

// answerHeader is what an answer's header tells.
type answerHeader struct {
	index       uint64
	leader      bool
	lastContact time.Duration // how old a follower's word may be
}

func parseHeader(h http.Header) (answerHeader, error) {
	index, err := strconv.ParseUint(h.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return answerHeader{}, fmt.Errorf("index %.32q", h.Get("X-Consul-Index"))
	}
	contact, _ := strconv.ParseInt(h.Get("X-Consul-LastContact"), 10, 64)
	return answerHeader{index: index, leader: h.Get("X-Consul-KnownLeader") != "false",
		lastContact: time.Duration(max(0, min(contact, int64(time.Hour/time.Millisecond)))) * time.Millisecond}, nil
}

// healthEntry is an entry of /v1/health/service.
type healthEntry struct {
	Node struct {
		Node, Address string
	}
	Service struct {
		ID, Address              string
		Port                     int
		Tags                     []string
		Meta                     map[string]string
		Weights                  struct{ Passing, Warning float64 }
		CreateIndex, ModifyIndex uint64
	}
	Checks []struct {
		CheckID, Status string
	}
}

// catalogEntry is an entry of /v1/catalog/service.
type catalogEntry struct {
	Node, Address, ServiceID string
}

// decodeHealth reads a list with checks. One that is cut is an error: it must not
// pass for a short one.
func decodeHealth(in io.Reader) ([]membership.Instance, error) {
	var entries []healthEntry
	if err := decodeList(in, &entries); err != nil {
		return nil, err
	}
	list := make([]membership.Instance, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		if e.Node.Node == "" || e.Service.ID == "" {
			return nil, fmt.Errorf("entry %d: no node or no service", i)
		}
		list = append(list, e.instance())
	}
	return list, nil
}

func decodeCatalog(in io.Reader) ([]membership.Instance, error) {
	var entries []catalogEntry
	if err := decodeList(in, &entries); err != nil {
		return nil, err
	}
	list := make([]membership.Instance, 0, len(entries))
	for i, e := range entries {
		if e.Node == "" || e.ServiceID == "" {
			return nil, fmt.Errorf("entry %d: no node or no service", i)
		}
		list = append(list, membership.Instance{Node: e.Node, ID: e.ServiceID})
	}
	return list, nil
}

// decodeList reads one JSON list and nothing behind it.
func decodeList(in io.Reader, into any) error {
	d := json.NewDecoder(io.LimitReader(in, maxAnswerBytes))
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return fmt.Errorf("list: something stands behind it")
	}
	return nil
}

// instance is what an entry says of an instance.
func (e *healthEntry) instance() membership.Instance {
	s := &e.Service
	host := s.Address
	if host == "" {
		host = e.Node.Address
	}
	in := membership.Instance{
		Node: e.Node.Node, ID: s.ID, Address: net.JoinHostPort(host, strconv.Itoa(s.Port)),
		Created: s.CreateIndex, Modified: s.ModifyIndex, Size: 1, Zone: s.Meta["locality"],
		Draining: slices.Contains(s.Tags, "draining") || s.Meta["draining"] == "true",
	}
	if s.Weights.Passing > 0 {
		in.Size = s.Weights.Passing
	}
	in.Cell, _ = strconv.Atoi(s.Meta["cell"])
	in.Started = parseStart(s.Meta["started"])
	for _, c := range e.Checks {
		in.Health = max(in.Health, checkHealth(c.CheckID, c.Status))
	}
	return in
}

// checkHealth is what one check says. A status that is not known is none to trust.
func checkHealth(id, status string) membership.Health {
	switch {
	case status == "passing":
		return membership.Passing
	case status == "warning":
		return membership.Warning
	case id == "_node_maintenance" || strings.HasPrefix(id, "_service_maintenance:"):
		return membership.Maintenance
	}
	return membership.Critical
}

// parseStart reads a start from metadata: Unix seconds or milliseconds, or RFC 3339. 0
// where it says nothing that can be read.
func parseStart(text string) membership.Time {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && n > 0 {
		const year3000 = 32503680000
		if n < year3000 {
			return n * 1_000_000
		}
		if n/1000 < year3000 {
			return n * 1000
		}
		return 0
	}
	if at, err := time.Parse(time.RFC3339, text); err == nil && at.Unix() > 0 {
		return at.UnixMicro()
	}
	return 0
}
