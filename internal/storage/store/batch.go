package store

import "fmt"

// Batch is a set of changes that happen together, in their order. The zero value is
// empty and ready for use. It belongs to its caller, who may use it anew once Commit has returned.
type Batch struct {
	body  []byte
	count uint32
	err   error
}

// Put sets a key to a value. Both are copied. What is too long makes Commit fail.
func (b *Batch) Put(key, value []byte) { b.add(opPut, key, value) }

// Delete takes a key out; one that is not there is no error.
func (b *Batch) Delete(key []byte) { b.add(opDelete, key, nil) }

func (b *Batch) add(op byte, key, value []byte) {
	switch {
	case b.err != nil:
	case len(key) > MaxKey:
		b.err = fmt.Errorf("store: a key of %d bytes, %d at most", len(key), MaxKey)
	case len(value) > MaxValue:
		b.err = fmt.Errorf("store: a value of %d bytes, %d at most", len(value), MaxValue)
	case len(b.body)+recordHeaderBytes+len(key)+len(value) > MaxBatch:
		b.err = fmt.Errorf("store: a batch of more than %d bytes", MaxBatch)
	default:
		b.body = appendRecord(b.body, op, key, value)
		b.count++
	}
}

// Len is the number of changes.
func (b *Batch) Len() int { return int(b.count) }

// Bytes is what the changes will take in the log.
func (b *Batch) Bytes() int { return len(b.body) }

// Reset empties the batch; its memory is kept.
func (b *Batch) Reset() { b.body, b.count, b.err = b.body[:0], 0, nil }

// each calls do for each change with its place in the body.
func (b *Batch) each(do func(op byte, key []byte, at, size int64) error) error {
	for at := int64(0); at < int64(len(b.body)); {
		r, _ := parseRecord(b.body[at:])
		key := b.body[at+recordHeaderBytes : at+recordHeaderBytes+int64(r.keyBytes)]
		if err := do(r.op, key, at, r.size()); err != nil {
			return err
		}
		at += r.size()
	}
	return nil
}
