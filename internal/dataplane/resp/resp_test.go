package resp

import (
	"errors"
	"io"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReadCommand(t *testing.T) {
	large := strings.Repeat("x", MaxValue+1)
	head := "*1\r\n$65537\r\n" + large + "\r\n"
	for _, c := range []struct {
		name, in string
		want     []string
		err      error
	}{
		{"two values", "*2\r\n$4\r\nPING\r\n$0\r\n\r\n", []string{"PING", ""}, nil},
		{"empty array first", "*0\r\n*1\r\n$1\r\na\r\n", []string{"a"}, nil},
		{"CRLF in a value", "*1\r\n$4\r\na\r\nb\r\n", []string{"a\r\nb"}, nil},
		{"end", "", nil, io.EOF},
		{"end within a command", "*2\r\n$1\r\na\r\n", nil, io.ErrUnexpectedEOF},
		{"end within a value", "*1\r\n$5\r\na", nil, io.ErrUnexpectedEOF},
		{"large value", head, nil, ErrTooLarge},
		{"many values", "*17\r\n" + strings.Repeat("$0\r\n\r\n", 17), nil, ErrTooLarge},
		{"not an array", "PING\r\n", nil, ErrProtocol},
		{"negative length", "*1\r\n$-2\r\nxx", nil, ErrProtocol},
		{"not a number", "*x\r\n", nil, ErrProtocol},
		{"bare LF", "*1\n", nil, ErrProtocol},
		{"no CRLF", "*1\r\n$1\r\nabc", nil, ErrProtocol},
		{"not a bulk string", "*1\r\n+OK\r\n", nil, ErrProtocol},
		{"endless line", "*" + large, nil, ErrProtocol},
	} {
		args, err := NewReader(iotest.OneByteReader(strings.NewReader(c.in))).ReadCommand()
		var got []string
		for _, a := range args {
			got = append(got, string(a))
		}
		if !errors.Is(err, c.err) || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %q, %v", c.name, got, err)
		}
	}
	r := NewReader(strings.NewReader(head + "*1\r\n$4\r\nnext\r\n"))
	if _, err := r.ReadCommand(); !errors.Is(err, ErrTooLarge) {
		t.Error(err)
	}
	if args, err := r.ReadCommand(); err != nil || string(args[0]) != "next" {
		t.Errorf("after a command that is too large: %q, %v", args, err)
	}
}

func TestReadReply(t *testing.T) {
	for _, c := range []struct {
		in   string
		want Reply
		fine bool
	}{
		{"+PONG\r\n", Reply{Kind: '+', Text: []byte("PONG")}, true},
		{"-ERR failed\r\n", Reply{Kind: '-', Text: []byte("ERR failed")}, true},
		{"$-1\r\n", Reply{Kind: '$', Null: true}, true},
		{"*2\r\n$1\r\na\r\n$-1\r\n", Reply{Kind: '*', Items: []Reply{{Kind: '$', Text: []byte("a")}, {Kind: '$', Null: true}}}, true},
		{"*1\r\n*1\r\n$1\r\na\r\n", Reply{}, false},
		{"$65537\r\n", Reply{}, false},
		{"*1000000000\r\n", Reply{}, false},
		{"$-2\r\n", Reply{}, false},
		{"\r\n", Reply{}, false},
		{"?\r\n", Reply{}, false},
		{"$5\r\nab", Reply{}, false},
	} {
		got, err := NewReader(strings.NewReader(c.in)).ReadReply()
		if (err == nil) != c.fine || c.fine && !reflect.DeepEqual(got, c.want) {
			t.Errorf("%q: %+v, %v", c.in, got, err)
		}
	}
}

// A length that is only announced must not be allocated: an incomplete command takes little memory.
func TestAnnouncedLengthsAllocateNothing(t *testing.T) {
	const runs = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		if _, err := NewReader(
			strings.NewReader("*16\r\n$65536\r\nab"),
		).ReadCommand(); !errors.Is(
			err,
			io.ErrUnexpectedEOF,
		) {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / runs; each > 16<<10 {
		t.Errorf("%d bytes were allocated for a command of which two bytes arrived", each)
	}
	large := "$65536\r\n" + strings.Repeat("x", MaxValue) + "\r\n"
	if _, err := NewReader(
		strings.NewReader("*2\r\n" + large + large),
	).ReadCommand(); !errors.Is(
		err,
		ErrTooLarge,
	) {
		t.Errorf("a command whose total size exceeds the limit: %v", err)
	}
}

// For any input, a reader does not panic, and a command that it returns has at least one value and at
// most MaxArgs.
func FuzzReadCommand(f *testing.F) {
	for _, seed := range []string{"*1\r\n$4\r\nPING\r\n", "*1\r\n$-2\r\nxx", "*3\r\n$1\r\na\r\n", "*\r\n", "*1\r\n$\r\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for {
			args, err := r.ReadCommand()
			if errors.Is(err, ErrTooLarge) {
				continue
			}
			if err != nil {
				return
			}
			if len(args) == 0 || len(args) > MaxArgs {
				t.Fatalf("%d values", len(args))
			}
		}
	})
}
