package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// TestInheritedListener checks that the error for a descriptor that is not a listening TCP socket
// names it. A valid descriptor gives a listener at its address, and closing the listener leaves the
// platform's socket open.
func TestInheritedListener(t *testing.T) {
	for text, want := range map[string]string{
		"x": "a file descriptor's number", "1": "a file descriptor's number", "-4": "a file descriptor's number", "9999": "descriptor 9999",
	} {
		if _, err := inheritedListener(
			func(string) string { return text },
		); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if l, err := inheritedListener(func(string) string { return "" }); l != nil || err != nil {
		t.Errorf("no inherited descriptor: got %v, %v, want nil, nil", l, err)
	}
	envWithFD := func(f *os.File) func(string) string {
		fd, err := syscall.Dup(int(f.Fd()))
		if err != nil {
			t.Fatal(err)
		}
		return func(string) string { return strconv.Itoa(fd) }
	}
	u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	file, err := u.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := inheritedListener(envWithFD(file)); err == nil {
		t.Error("a UDP socket was accepted as the clients' listener")
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if file, err = l.File(); err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	got, err := inheritedListener(envWithFD(file))
	if err != nil {
		t.Fatal(err)
	}
	if got.Addr().String() != l.Addr().String() {
		t.Errorf("listens on %v, want %v", got.Addr(), l.Addr())
	}
	got.Close()
	if c, err := net.Dial("tcp", l.Addr().String()); err != nil {
		t.Error("closing the listener closed the platform's socket too: ", err)
	} else {
		c.Close()
	}
}
