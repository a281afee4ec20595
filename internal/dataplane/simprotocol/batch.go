package simprotocol

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"mothcleat/internal/dataplane/policy"
)

const (
	batchHeaderSize = 20      // bytes
	readChunkSize   = 1 << 20 // bytes, so that a stated size alone allocates little
)

// ErrMalformed is wrapped by the errors about input that does not follow the protocol.
var ErrMalformed = errors.New("malformed input")

// malformedf returns an error about a part of the input that does not follow the protocol.
func malformedf(format string, args ...any) error {
	return &malformedError{problem: fmt.Sprintf(format, args...)}
}

// malformedError matches ErrMalformed.
type malformedError struct{ problem string }

func (e *malformedError) Error() string        { return e.problem }
func (e *malformedError) Is(target error) bool { return target == ErrMalformed }

// Batch is one frame of events.
type Batch struct {
	Index uint32      // of the frame; the reply repeats it
	Count uint32      // of the records in the body
	Now   policy.Time // of all its events
	Body  []byte
}

// ReadBatch reads the next frame, with its body in the memory of buffer as far as that suffices. It
// returns io.EOF at a clean end of input, and an error that wraps io.EOF or io.ErrUnexpectedEOF if
// the input ends within a frame.
func ReadBatch(r io.Reader, buffer []byte) (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header cut short: %w", err)
	}
	b := Batch{
		Index: binary.LittleEndian.Uint32(header[0:]),
		Count: binary.LittleEndian.Uint32(header[4:]),
		Now:   policy.Time(binary.LittleEndian.Uint64(header[12:])),
		Body:  buffer[:0],
	}
	size := int(binary.LittleEndian.Uint32(header[8:]))
	if err := b.readBody(r, size); err != nil {
		return Batch{}, fmt.Errorf("batch %d cut short: %w", b.Index, err)
	}
	return b, nil
}

func (b *Batch) readBody(r io.Reader, size int) error {
	for len(b.Body) < size {
		start := len(b.Body)
		n := min(size-start, readChunkSize)
		for cap(b.Body) < start+n {
			b.Body = append(b.Body[:cap(b.Body)], 0)
		}
		b.Body = b.Body[:start+n]
		if _, err := io.ReadFull(r, b.Body[start:]); err != nil {
			return err
		}
	}
	return nil
}

// Decode calls handle with each event of a batch, in order. An event, and the memory it refers to,
// is valid until handle returns. The error is one that matches ErrMalformed; the events before it
// were handled.
func (b *Batch) Decode(handle func(*Event)) error {
	r := recordReader{record: b.Body}
	for i := range b.Count {
		e := Event{Kind: EventKind(r.u8()), Instance: r.u16()}
		r.event(&e)
		if r.err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Index, i, r.err)
		}
		handle(&e)
	}
	if r.at != len(b.Body) {
		return malformedf("batch %d: %d bytes behind the last record", b.Index, len(b.Body)-r.at)
	}
	return nil
}
