package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

// inheritedFD is the environment variable with the file descriptor of the clients' listening
// socket, if the platform holds it. That socket continues to listen while one process replaces
// another.
const inheritedFD = "RELAY_INHERITED_FD"

// inheritedListener returns the clients' listener that the platform passed to this process, or nil
// if there is none. env returns the value of an environment variable.
func inheritedListener(env func(string) string) (net.Listener, error) {
	text := env(inheritedFD)
	if text == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%s: %q: must be a file descriptor's number of at least 3",
			inheritedFD, text)
	}
	f := os.NewFile(uintptr(fd), "clients")
	if f == nil {
		return nil, fmt.Errorf("%s: %d is not a file descriptor", inheritedFD, fd)
	}
	defer f.Close() // the listener has its own duplicate
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", inheritedFD, fd, err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		_ = l.Close()
		return nil, fmt.Errorf("%s: descriptor %d is not a listening TCP socket", inheritedFD, fd)
	}
	return l, nil
}
