package consul

import (
	"encoding/json"
	"errors"
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

// maxAnswerBytes limits the size of a list: 5,000 instances take about 5 MB.
const maxAnswerBytes = 64 << 20

// Errors in answers.
var (
	errIndex        = errors.New("invalid X-Consul-Index")
	errEntry        = errors.New("node name or service ID is missing")
	errTrailingData = errors.New("list: unexpected data after its end")
)

// answerHeader holds the values of an answer's header.
type answerHeader struct {
	index  uint64
	leader bool // the agent knows a leader
	// lastContact is the time since a follower's last contact with the leader, and so the maximum
	// age of its answer.
	lastContact time.Duration
}

// maxLastContact limits lastContact, so that its conversion can't overflow.
const maxLastContact = time.Hour

func parseHeader(h http.Header) (answerHeader, error) {
	text := h.Get("X-Consul-Index")
	index, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return answerHeader{}, fmt.Errorf("%w %.32q", errIndex, text)
	}
	contact, _ := strconv.ParseInt(h.Get("X-Consul-LastContact"), 10, 64) // 0 if it is not a number
	contact = max(0, min(contact, maxLastContact.Milliseconds()))
	return answerHeader{
		index:       index,
		leader:      h.Get("X-Consul-KnownLeader") != "false",
		lastContact: time.Duration(contact) * time.Millisecond,
	}, nil
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

// decodeHealth reads a list of the health view. A truncated list is an error, so that it is not
// taken for a complete one.
func decodeHealth(in io.Reader) ([]membership.Instance, error) {
	var entries []healthEntry
	if err := decodeList(in, &entries); err != nil {
		return nil, err
	}
	list := make([]membership.Instance, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		if e.Node.Node == "" || e.Service.ID == "" {
			return nil, fmt.Errorf("entry %d: %w", i, errEntry)
		}
		list = append(list, e.instance())
	}
	return list, nil
}

// decodeCatalog reads a list of the catalog, which has no health checks; see decodeHealth.
func decodeCatalog(in io.Reader) ([]membership.Instance, error) {
	var entries []catalogEntry
	if err := decodeList(in, &entries); err != nil {
		return nil, err
	}
	list := make([]membership.Instance, 0, len(entries))
	for i, e := range entries {
		if e.Node == "" || e.ServiceID == "" {
			return nil, fmt.Errorf("entry %d: %w", i, errEntry)
		}
		list = append(list, membership.Instance{Node: e.Node, ID: e.ServiceID})
	}
	return list, nil
}

// decodeList reads one JSON list. Data after the list is an error.
func decodeList(in io.Reader, list any) error {
	d := json.NewDecoder(io.LimitReader(in, maxAnswerBytes))
	if err := d.Decode(list); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return errTrailingData
	}
	return nil
}

// instance converts an entry. A service without an address has the address of its node.
func (e *healthEntry) instance() membership.Instance {
	s := &e.Service
	host := s.Address
	if host == "" {
		host = e.Node.Address
	}
	in := membership.Instance{
		Node:     e.Node.Node,
		ID:       s.ID,
		Address:  net.JoinHostPort(host, strconv.Itoa(s.Port)),
		Draining: slices.Contains(s.Tags, "draining") || s.Meta["draining"] == "true",
		Started:  parseStart(s.Meta["started"]),
		Created:  s.CreateIndex,
		Modified: s.ModifyIndex,
		Zone:     s.Meta["locality"],
		Size:     1,
	}
	if s.Weights.Passing > 0 {
		in.Size = s.Weights.Passing
	}
	in.Cell, _ = strconv.Atoi(s.Meta["cell"])
	for _, c := range e.Checks {
		in.Health = max(in.Health, checkHealth(c.CheckID, c.Status))
	}
	return in
}

// checkHealth returns the health that one check reports. An unknown status counts as critical.
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

// year3000 is the start of the year 3000 in Unix seconds. A larger start time is in milliseconds.
const year3000 = 32503680000

// parseStart parses a start time from metadata, given in Unix seconds, in Unix milliseconds or in
// RFC 3339. It returns 0 for other texts.
func parseStart(text string) membership.Time {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && n > 0 {
		switch {
		case n < year3000:
			return n * 1_000_000
		case n/1000 < year3000:
			return n * 1000
		}
		return 0
	}
	if at, err := time.Parse(time.RFC3339, text); err == nil && at.Unix() > 0 {
		return at.UnixMicro()
	}
	return 0
}
