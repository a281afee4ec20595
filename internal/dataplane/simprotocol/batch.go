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
	readChunkSize   = 1 << 20 // bytes; limits the memory that a stated body size alone allocates
)

// ErrMalformed is matched by the errors for input that violates the protocol.
var ErrMalformed = errors.New("malformed input")

// malformedf returns an error that matches ErrMalformed.
func malformedf(format string, args ...any) error {
	return &malformedError{problem: fmt.Sprintf(format, args...)}
}

// malformedError describes input that violates the protocol. It matches ErrMalformed.
type malformedError struct{ problem string }

func (e *malformedError) Error() string        { return e.problem }
func (e *malformedError) Is(target error) bool { return target == ErrMalformed }

// Batch is one frame of events.
type Batch struct {
	Index uint32      // of the frame; the reply has the same index
	Count uint32      // of the records in the body
	Now   policy.Time // the time of all its events
	Body  []byte
}

// ReadBatch reads the next frame. The body is stored in buffer if it fits, and in new memory
// otherwise. ReadBatch returns io.EOF if the input ends between frames, and an error that wraps
// io.EOF or io.ErrUnexpectedEOF if it ends within a frame.
func ReadBatch(r io.Reader, buffer []byte) (Batch, error) {
	var header [batchHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header is truncated: %w", err)
	}
	b := Batch{
		Index: binary.LittleEndian.Uint32(header[0:]),
		Count: binary.LittleEndian.Uint32(header[4:]),
		Now:   policy.Time(binary.LittleEndian.Uint64(header[12:])),
		Body:  buffer[:0],
	}
	size := int(binary.LittleEndian.Uint32(header[8:]))
	if err := b.readBody(r, size); err != nil {
		return Batch{}, fmt.Errorf("batch %d is truncated: %w", b.Index, err)
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

// Decode calls handle for each event of a batch, in order. An event and the memory that it refers
// to are valid until handle returns. Errors of Decode match ErrMalformed; the events before the
// malformed record have been handled.
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
		return malformedf("batch %d: %d bytes after the last record", b.Index, len(b.Body)-r.at)
	}
	return nil
}
