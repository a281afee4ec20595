package resp

// ReadCommand reads a command, which is an array of bulk strings. The caller owns the returned
// strings. Empty arrays are skipped. The error wraps ErrTooLarge or ErrProtocol where these apply.
func (r *Reader) ReadCommand() ([][]byte, error) {
	for {
		head, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if len(head) == 0 || head[0] != '*' {
			return nil, malformed("expected an array")
		}
		n, err := parseLength(head[1:], 0, maxSkippedArgs)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			return r.readValues(n)
		}
	}
}

// readValues reads the n bulk strings of a command into one buffer. It reads a command that is too
// large to its end, but does not store it.
func (r *Reader) readValues(n int) ([][]byte, error) {
	tooLarge := n > MaxArgs
	var ends [MaxArgs]int
	buf := make([]byte, 0, commandBytes)
	for i := range n {
		head, err := r.readLine()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if len(head) == 0 || head[0] != '$' {
			return nil, malformed("expected a bulk string")
		}
		size, err := parseLength(head[1:], 0, maxSkippedValue)
		if err != nil {
			return nil, err
		}
		tooLarge = tooLarge || size > MaxValue || len(buf)+size > MaxCommand
		if tooLarge {
			buf = nil
			_, err = r.in.Discard(size)
		} else {
			ends[i] = len(buf) + size
			buf, err = r.readBytes(buf, size)
		}
		if err == nil {
			err = r.readCRLF()
		}
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	if tooLarge {
		return nil, ErrTooLarge
	}
	args := make([][]byte, n)
	start := 0
	for i := range args {
		args[i] = buf[start:ends[i]:ends[i]]
		start = ends[i]
	}
	return args, nil
}
