package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// A descriptor that is no listening socket is told by name; a good one is listened on, and
// stays the platform's.
func TestInheritedSocket(t *testing.T) {
	for text, want := range map[string]string{
		"x": "a descriptor's number", "1": "a descriptor's number", "-4": "a descriptor's number", "9999": "descriptor 9999",
	} {
		if _, err := inheritedListener(
			func(string) string { return text },
		); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if l, err := inheritedListener(func(string) string { return "" }); l != nil || err != nil {
		t.Errorf("nothing inherited: %v, %v", l, err)
	}
	given := func(f *os.File) func(string) string {
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
	if _, err := inheritedListener(given(file)); err == nil {
		t.Error("a UDP socket was taken for the clients'")
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
	got, err := inheritedListener(given(file))
	if err != nil {
		t.Fatal(err)
	}
	if got.Addr().String() != l.Addr().String() {
		t.Errorf("listens on %v, want %v", got.Addr(), l.Addr())
	}
	got.Close()
	if c, err := net.Dial("tcp", l.Addr().String()); err != nil {
		t.Error("the platform's socket ended with the process's: ", err)
	} else {
		c.Close()
	}
}
