package store

// Batch is a sequence of changes that are committed atomically and applied in order. The zero value
// is empty and ready for use. The caller may reuse a batch once Commit has returned.
type Batch struct {
	body  []byte
	count uint32
	err   error
}

// Put sets a key to a value. Both are copied. If the key, the value or the batch becomes too large,
// Commit returns a TooLargeError.
func (b *Batch) Put(key, value []byte) { b.add(opPut, key, value) }

// Delete removes a key. Removing a key that does not exist is not an error.
func (b *Batch) Delete(key []byte) { b.add(opDelete, key, nil) }

func (b *Batch) add(op byte, key, value []byte) {
	size := len(b.body) + recordHeaderBytes + len(key) + len(value)
	switch {
	case b.err != nil:
	case len(key) > MaxKey:
		b.err = &TooLargeError{"key", len(key), MaxKey}
	case len(value) > MaxValue:
		b.err = &TooLargeError{"value", len(value), MaxValue}
	case size > MaxBatch:
		b.err = &TooLargeError{"batch", size, MaxBatch}
	default:
		b.body = appendRecord(b.body, op, key, value)
		b.count++
	}
}

// Len returns the number of changes.
func (b *Batch) Len() int { return int(b.count) }

// Bytes returns the number of bytes that the changes take in the log.
func (b *Batch) Bytes() int { return len(b.body) }

// Reset empties the batch and keeps its memory for reuse.
func (b *Batch) Reset() { b.body, b.count, b.err = b.body[:0], 0, nil }

// each calls visit for each change with its offset and size in the body.
func (b *Batch) each(visit func(op byte, key []byte, at, size int64) error) error {
	for at := int64(0); at < int64(len(b.body)); {
		r, _ := parseRecord(b.body[at:])
		key := b.body[at+recordHeaderBytes : at+recordHeaderBytes+int64(r.keyBytes)]
		if err := visit(r.op, key, at, r.size()); err != nil {
			return err
		}
		at += r.size()
	}
	return nil
}
