package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"time"

	"mothcleat/internal/controlplane"
)

// adminDialTimeout is how long a connection to a gateway's admin interface may take.
const adminDialTimeout = time.Second

// CallFleet sends a fleet command to the gateway's admin interface and decodes the JSON answer into a
// value; nil ignores the answer. If the gateway reports a failure, CallFleet returns the gateway's text
// as the error; it also returns an error after the timeout. It retries while a proposal is in progress.
func (g *Gateway) CallFleet(line string, timeout time.Duration, into any) error {
	for end := time.Now().Add(timeout); ; {
		err := g.callFleetOnce(line, time.Until(end), into)
		if err == nil || !strings.Contains(err.Error(), controlplane.ErrProposalInProgress.Error()) ||
			time.Now().After(end) {
			return err
		}
	}
}

func (g *Gateway) callFleetOnce(line string, timeout time.Duration, into any) error {
	conn, err := net.DialTimeout("tcp", g.AdminAddress(), adminDialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, "fleet "+line+"\n"); err != nil {
		return err
	}
	raw, err := io.ReadAll(conn)
	if err != nil {
		return err
	}
	if bytes.HasPrefix(raw, []byte("fail")) || len(raw) == 0 {
		return errors.New(strings.TrimSpace(string(raw)))
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw, into)
}
