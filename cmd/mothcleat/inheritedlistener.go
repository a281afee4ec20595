package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// inheritedFD names the descriptor of the clients' listening socket, where the platform
// holds it: it goes on listening between processes.
const inheritedFD = "RELAY_INHERITED_FD"

// inheritedListener is the clients' listener that the platform gave this process; nil: none.
func inheritedListener(env func(string) string) (net.Listener, error) {
	text := env(inheritedFD)
	if text == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%s: %q: a descriptor's number from 3 up wanted", inheritedFD, text)
	}
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("%s: %d is no descriptor", inheritedFD, fd)
	}
	defer f.Close() // the listener has one of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", inheritedFD, fd, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		_ = l.Close()
		return nil, fmt.Errorf("%s: descriptor %d is no TCP socket that listens", inheritedFD, fd)
	}
	return l, nil
}
