package hotrestart

import (
	"bytes"
	"net"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/testing/fixture"

	"golang.org/x/sys/unix"
)

// A predecessor of an earlier build sends its state and a client connection in exactly these
// messages, and expects exactly the messages T, whose body it ignores, and K in reply.
func TestMessagesOfEarlierBuilds(t *testing.T) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET, 0)
	if err != nil {
		t.Fatal(err)
	}
	older, newer := unixConn(t, fds[0]), unixConn(t, fds[1])
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	descriptor, err := client.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer descriptor.Close()

	send := func(message string, descriptors ...int) {
		t.Helper()
		var rights []byte
		if len(descriptors) > 0 {
			rights = unix.UnixRights(descriptors...)
		}
		if _, _, err := older.WriteMsgUnix([]byte(message), rights, nil); err != nil {
			t.Fatal(err)
		}
	}
	send("Sa state ")
	send("Sin two pieces")
	send("E")
	send(
		`C{"asked":3,"kept":1,"age_us":250,"length":9,"user":"u","secret":"s","named":true,"known":true}`,
		int(descriptor.Fd()),
	)
	send("MPING\r")
	send("M\nabc")
	predecessor := &Predecessor{messageLink: messageLink{conn: newer}}
	state, err := predecessor.TakeState()
	if err != nil || string(state.Snapshot) != "a state in two pieces" || state.PeerSocket != nil {
		t.Fatalf("snapshot %q, peer socket %v, error %v", state.Snapshot, state.PeerSocket, err)
	}
	if err := predecessor.Confirm(); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"Tunsent", "K"} {
		got := make([]byte, 16)
		n, err := older.Read(got)
		if err != nil || string(got[:n]) != want {
			t.Fatalf("message %q, error %v; want message %q", got[:n], err, want)
		}
	}
	older.Close()
	var passed []ClientConn
	if err := predecessor.ReceiveClients(
		func(c ClientConn) { passed = append(passed, c) },
	); err != nil ||
		len(passed) != 1 {
		t.Fatal(len(passed), err)
	}
	defer passed[0].Conn.Close()
	want := ConnState{
		Commands:      3,
		HeldCommands:  1,
		AgeUS:         250,
		UnreadLength:  9,
		User:          "u",
		Secret:        "s",
		Named:         true,
		HasCredential: true,
	}
	if !reflect.DeepEqual(passed[0].State, want) || !bytes.Equal(passed[0].Unread, []byte("PING\r\nabc")) {
		t.Errorf("state %+v, unread data %q", passed[0].State, passed[0].Unread)
	}
	keys := string(fixture.JSONKeys(want))
	for _, key := range addedKeys {
		if !strings.Contains(keys, key) {
			t.Errorf("key %q is missing", key)
		}
		keys = strings.Replace(keys, key, "", 1)
	}
	fixture.Equal(t, "testdata/head-keys.txt", []byte(keys))
}

// addedKeys are the keys of a connection's state that were added since the fixture was written.
// Earlier builds ignore them and do not send them.
var addedKeys = []string{
	" ages_us,omitempty:[int64]",
	" waited_us,omitempty:int64",
	" unsent,omitempty:int",
}

// unixConn returns the connection for a descriptor of a socket pair, and closes the descriptor.
func unixConn(t *testing.T, fd int) *net.UnixConn {
	t.Helper()
	file := os.NewFile(uintptr(fd), "socketpair")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn.(*net.UnixConn)
}
