package resp

import "bytes"

// ReadCommand reads a command, which is an array of bulk strings. The caller owns the returned
// strings. Empty arrays are skipped. The error wraps ErrTooLarge or ErrProtocol where these apply.
func (r *Reader) ReadCommand() ([][]byte, error) {
	for {
		head, err := r.readLine()
		if err != nil {
			if streamError(err) {
				r.partial = partialCommand{encoded: bytes.Clone(head)}
			}
			return nil, err
		}
		if len(head) == 0 || head[0] != '*' {
			return nil, malformed("expected an array")
		}
		n, err := parseLength(head[1:], 0, maxSkippedArgs)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			continue
		}
		p := commandProgress{
			values:   n,
			content:  make([]byte, 0, commandBytes),
			tooLarge: n > MaxArgs,
		}
		if err := r.readValues(&p); err != nil {
			if streamError(err) {
				r.partial = p.encode()
			}
			return nil, unexpectedEOF(err)
		}
		return p.args(), nil
	}
}

// readValues reads the bulk strings of a command into one buffer. It reads a command that is too
// large to its end, but does not store it.
func (r *Reader) readValues(p *commandProgress) error {
	for range p.values {
		if err := r.readValue(p); err != nil {
			return err
		}
		p.complete++
	}
	if p.tooLarge {
		return ErrTooLarge
	}
	return nil
}

// readValue reads the next bulk string of a command.
func (r *Reader) readValue(p *commandProgress) error {
	p.size = -1
	p.crlfRead = 0
	head, err := r.readLine()
	if err != nil {
		p.lineRead = bytes.Clone(head)
		return err
	}
	if len(head) == 0 || head[0] != '$' {
		return malformed("expected a bulk string")
	}
	if p.size, err = parseLength(head[1:], 0, maxSkippedValue); err != nil {
		return err
	}
	p.tooLarge = p.tooLarge || p.size > MaxValue || len(p.content)+p.size > MaxCommand
	if p.tooLarge {
		p.content = nil
		_, err = r.in.Discard(p.size)
	} else {
		p.ends[p.complete] = len(p.content) + p.size
		p.content, err = r.readBytes(p.content, p.size)
	}
	if err != nil {
		return err
	}
	p.crlfRead, err = r.readCRLF()
	return err
}

// args returns the values of a command that was read completely.
func (p *commandProgress) args() [][]byte {
	args := make([][]byte, p.values)
	start := 0
	for i := range args {
		args[i] = p.content[start:p.ends[i]:p.ends[i]]
		start = p.ends[i]
	}
	return args
}
