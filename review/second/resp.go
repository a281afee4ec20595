package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// command encodes a command.
func command(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, a := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b
}

var errProtocol = errors.New("not as the protocol has it")

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") {
		return "", errProtocol
	}
	return line[:len(line)-2], nil
}

// readBulk reads what follows the line of a bulk string.
func readBulk(in *bufio.Reader, length string) (string, error) {
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 {
		return "", errProtocol
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(in, b); err != nil {
		return "", err
	}
	if string(b[n:]) != "\r\n" {
		return "", errProtocol
	}
	return string(b[:n]), nil
}

// readCommand reads a command.
func readCommand(in *bufio.Reader) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimPrefix(line, "*"))
	if err != nil || line[0] != '*' {
		return nil, errProtocol
	}
	var args []string
	for range n {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if line == "" || line[0] != '$' {
			return nil, errProtocol
		}
		arg, err := readBulk(in, line[1:])
		if err != nil {
			return nil, err
		}
		args = append(args, arg)
	}
	return args, nil
}

// answer is a gateway's answer to a client: a value, or a line.
type answer struct {
	value string
	line  string // "": the answer is a value
}

func (a answer) served() bool { return a.line == "" }

// readAnswer reads an answer of a gateway.
func readAnswer(in *bufio.Reader) (answer, error) {
	line, err := readLine(in)
	if err != nil {
		return answer{}, err
	}
	if line == "" {
		return answer{}, errProtocol
	}
	if line[0] == '$' && line != "$-1" {
		value, err := readBulk(in, line[1:])
		return answer{value: value}, err
	}
	return answer{line: line}, nil
}

// fieldOf returns the value of a name in a request's list, or "".
func fieldOf(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		if n, value, _ := strings.Cut(pair, "="); n == name {
			return value
		}
	}
	return ""
}
