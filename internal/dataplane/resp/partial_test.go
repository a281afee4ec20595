package resp

import (
	"bytes"
	"errors"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"
)

// interruptedStream returns the first bytes of a stream and then the error of an expired deadline.
func interruptedStream(stream string, length int) io.Reader {
	return io.MultiReader(strings.NewReader(stream[:length]), expiredReader{})
}

type expiredReader struct{}

func (expiredReader) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// readAll reads commands until an error.
func readAll(r *Reader) (commands [][][]byte, err error) {
	for {
		args, err := r.ReadCommand()
		if err != nil {
			return commands, err
		}
		commands = append(commands, args)
	}
}

// A reader that is interrupted at any byte returns what it had consumed: with that and the rest of
// the stream, another reader reads the same commands.
func TestUnreadAfterInterruptionAtEveryByte(t *testing.T) {
	stream := "*2\r\n$4\r\nPING\r\n$0\r\n\r\n" + "*0\r\n" +
		"*3\r\n$1\r\na\r\n$3000\r\n" + strings.Repeat("b\r\n", 1000) + "\r\n$2\r\ncd\r\n" +
		"*1\r\n$4\r\nlast\r\n"
	want, err := readAll(NewReader(strings.NewReader(stream)))
	if !errors.Is(err, io.EOF) || len(want) != 3 {
		t.Fatalf("%d commands, %v", len(want), err)
	}
	for length := range len(stream) {
		first := NewReader(interruptedStream(stream, length))
		got, err := readAll(first)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("after %d bytes: %v", length, err)
		}
		unread, whole := first.Unread()
		if !whole {
			t.Fatalf("after %d bytes: part of the command is lost", length)
		}
		rest := io.MultiReader(bytes.NewReader(unread), strings.NewReader(stream[length:]))
		more, err := readAll(NewReader(rest))
		if got = append(got, more...); !errors.Is(err, io.EOF) || !reflect.DeepEqual(got, want) {
			t.Fatalf("after %d bytes, unread %.40q: %d commands, %v", length, unread, len(got), err)
		}
	}
}

// A command that is skipped because of its size can't be returned.
func TestUnreadAfterInterruptionOfLargeCommand(t *testing.T) {
	stream := "*1\r\n$100000\r\n" + strings.Repeat("x", 100000)
	r := NewReader(interruptedStream(stream, 70000))
	if _, err := r.ReadCommand(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	if _, whole := r.Unread(); whole {
		t.Error("a command that was skipped counts as known")
	}
}
