//go:build !nofleet

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// adminTimeout bounds dialing, and again the exchange of the request and the answer.
const adminTimeout = 3 * time.Second

// callAdmin sends one line to a gateway's admin interface and returns the answer. If address is
// empty, it calls the gateway of this machine's configuration. An answer that begins with "fail "
// is returned as an error.
func callAdmin(address, line string) ([]byte, error) {
	if address == "" {
		cfg, err := configuration()
		if err != nil {
			return nil, fmt.Errorf("--door is not given, and %w", err)
		}
		if address = cfg.Management; address == "" {
			return nil, errors.New("--door is not given, and the configuration has no management")
		}
	}
	conn, err := net.DialTimeout("tcp", address, adminTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(conn)
	if err != nil {
		return nil, err
	}
	text := strings.TrimSpace(string(raw))
	if reason, failed := strings.CutPrefix(text, "fail "); failed {
		return nil, errors.New(reason)
	}
	return []byte(text), nil
}
