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

// adminTimeout bounds one call, from the dial to the last byte.
const adminTimeout = 3 * time.Second

// callAdmin makes one call to a gateway's admin interface and returns the answer. Without an
// address it calls the gateway of this machine's configuration.
func callAdmin(address, line string) ([]byte, error) {
	if address == "" {
		cfg, err := configuration()
		if err != nil {
			return nil, fmt.Errorf("no --door, and %w", err)
		}
		if address = cfg.Management; address == "" {
			return nil, errors.New("no --door, and the configuration has no management")
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
	if why, failed := strings.CutPrefix(text, "fail "); failed {
		return nil, errors.New(why)
	}
	return []byte(text), nil
}
