package simprotocol

import (
	"encoding/binary"
	"math"

	"mothcleat/internal/dataplane/policy"
)

// recordReader reads fields from a body, in order. After the first error, all reads return zero.
type recordReader struct {
	record []byte
	at     int
	err    error
}

// fail sets the error, unless an earlier error is already set.
func (r *recordReader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = malformedf(format, args...)
	}
}

func (r *recordReader) bytes(n int) []byte {
	if n < 0 || n > len(r.record)-r.at {
		r.fail("record is truncated at byte %d", r.at)
	}
	if r.err != nil {
		return nil
	}
	b := r.record[r.at : r.at+n]
	r.at += n
	return b
}

func (r *recordReader) skip(n int) { r.bytes(n) }

func (r *recordReader) u8() uint8 {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *recordReader) u16() uint16 {
	if b := r.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (r *recordReader) u32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *recordReader) u64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *recordReader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

// duration reads a duration of up to 71 minutes, in microseconds.
func (r *recordReader) duration() policy.Time { return policy.Time(r.u32()) }

// load reads a load report: the number of values, then the values.
func (r *recordReader) load() []float32 {
	b := r.bytes(4 * int(r.u8()))
	if len(b) == 0 {
		return nil
	}
	load := make([]float32, len(b)/4)
	for i := range load {
		load[i] = math.Float32frombits(binary.LittleEndian.Uint32(b[4*i:]))
	}
	return load
}

func (r *recordReader) result() policy.Result { return lookup(r, results, "outcome code") }

// lookup reads a code and returns its value in a table.
func lookup[V any](r *recordReader, table map[uint8]V, what string) V {
	code := r.u8()
	value, ok := table[code]
	if !ok {
		r.fail("unknown %s %d", what, code)
	}
	return value
}
