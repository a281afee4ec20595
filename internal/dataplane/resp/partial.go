package resp

import "errors"

// partialCommand is the part of a command that was consumed before an error of the stream, such as
// an expired read deadline. The zero value means that nothing was consumed.
type partialCommand struct {
	encoded []byte // equivalent to the bytes that were consumed
	lost    bool   // the command was being skipped, and its bytes are not known
}

// commandProgress is how far readValues has read a command.
type commandProgress struct {
	values   int          // number of values in the array
	content  []byte       // the values that were read, one behind the other
	ends     [MaxArgs]int // where each of the values that were read ends in content
	complete int          // number of values that were read completely
	size     int          // size of the value being read; -1: its length was not read yet
	crlfRead int          // bytes read of the CRLF behind this value
	lineRead []byte       // bytes read of the line with its length
	tooLarge bool         // values are skipped
}

// encode returns the bytes that were consumed, as far as they are known.
func (p *commandProgress) encode() partialCommand {
	if p.tooLarge {
		return partialCommand{lost: true}
	}
	b := AppendArray(nil, p.values)
	start := 0
	for _, end := range p.ends[:p.complete] {
		b = AppendBulk(b, p.content[start:end])
		start = end
	}
	if p.size < 0 {
		return partialCommand{encoded: append(b, p.lineRead...)}
	}
	b = appendHead(b, '$', p.size)
	b = append(b, p.content[start:]...)
	return partialCommand{encoded: append(b, "\r\n"[:p.crlfRead]...)}
}

// streamError reports whether an error of ReadCommand is one of the stream rather than of the
// command.
func streamError(err error) bool {
	return err != nil && !errors.Is(err, ErrProtocol) && !errors.Is(err, ErrTooLarge)
}
