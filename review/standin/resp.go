package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

var errForm = errors.New("not RESP2")

// readLine reads a line without its CRLF.
func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(line, "\r\n"), nil
}

// readBulk reads a bulk string after its head line.
func readBulk(in *bufio.Reader, head string) ([]byte, error) {
	if len(head) == 0 || head[0] != '$' {
		return nil, errForm
	}
	n, err := strconv.Atoi(head[1:])
	if err != nil || n < 0 {
		return nil, errForm
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(in, value); err != nil {
		return nil, err
	}
	return value[:n], nil
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	head, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if len(head) == 0 || head[0] != '*' {
		return nil, errForm
	}
	n, err := strconv.Atoi(head[1:])
	if err != nil || n < 1 {
		return nil, errForm
	}
	args := make([]string, n)
	for i := range args {
		if head, err = readLine(in); err != nil {
			return nil, err
		}
		value, err := readBulk(in, head)
		if err != nil {
			return nil, err
		}
		args[i] = string(value)
	}
	return args, nil
}

// reply is a gateway's answer to a client.
type reply struct {
	kind  byte // '$' served, '-' an error, '+' a status
	value string
}

// outcome names a reply as PROTOCOL does.
func (r reply) outcome() string {
	switch {
	case r.kind == '$':
		return "served"
	case strings.HasPrefix(r.value, "BUSY"):
		return "refused"
	}
	return "failed"
}

func readReply(in *bufio.Reader) (reply, error) {
	head, err := readLine(in)
	if err != nil {
		return reply{}, err
	}
	if len(head) == 0 {
		return reply{}, errForm
	}
	if head[0] != '$' {
		return reply{kind: head[0], value: head[1:]}, nil
	}
	value, err := readBulk(in, head)
	return reply{kind: '$', value: string(value)}, err
}

// encode returns a command as an array of bulk strings.
func encode(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, a := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b
}

// served returns a server's answer: the value, no figures on use, no load report.
func served(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}
