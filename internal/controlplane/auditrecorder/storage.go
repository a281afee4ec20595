package auditrecorder

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"path/filepath"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/storage/store"
)

// File names in the folder of an audit log, and keys in its store. They are part of stored data.
const (
	entriesName  = "entries"
	countersName = "cells"

	entryPrefix = 'e'
)

var stateKey = []byte("state")

// entryKey returns the key of an entry. Entries are sorted by incarnation and then by number.
func entryKey(incarnation, seq uint64) []byte {
	key := []byte{entryPrefix}
	key = binary.BigEndian.AppendUint64(key, incarnation)
	return binary.BigEndian.AppendUint64(key, seq)
}

// put commits entries, the pending deletions and the state in one batch. The caller holds r.mu, or
// no other goroutine has access to the Recorder yet.
func (r *Recorder) put(entries []auditlog.Entry) error {
	batch := r.deletions
	for i := range entries {
		raw, err := json.Marshal(&entries[i])
		if err != nil {
			return err
		}
		batch.Put(entryKey(r.state.Incarnation, entries[i].Seq), raw)
	}
	raw, err := json.Marshal(&r.state)
	if err != nil {
		return err
	}
	batch.Put(stateKey, raw)
	failpoint.At("record-before-write")
	if err := r.store.Commit(&batch, store.Durable); err != nil {
		return err
	}
	if r.state.Seq > 0 {
		r.head.Store(&auditlog.Head{
			ID:          r.id,
			Incarnation: incarnationText(r.state.Incarnation),
			Seq:         r.state.Seq,
			Hash:        r.state.Hash,
		})
	}
	return nil
}

// Read returns all entries of the audit log in a folder. No process may be writing to that folder.
func Read(dir string) (entries []auditlog.Entry, err error) {
	s, err := store.Open(filepath.Join(dir, entriesName), store.Options{ReadOnly: true})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	entries, err = readEntries(s, 0)
	if err != nil {
		return entries, fmt.Errorf("audit log: %s: %w", dir, err)
	}
	return entries, nil
}

// readEntries returns the entries that ended at from or later, in microseconds since 1970.
func readEntries(s *store.Store, from int64) (entries []auditlog.Entry, err error) {
	snapshot, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	defer snapshot.Close()
	for item, err := range snapshot.Range([]byte{entryPrefix}, []byte{entryPrefix + 1}) {
		if err != nil {
			return entries, err
		}
		var e auditlog.Entry
		if err := json.Unmarshal(item.Value, &e); err != nil {
			return entries, fmt.Errorf("invalid entry: %w", err)
		}
		if e.EndedAt >= from {
			entries = append(entries, e)
		}
	}
	return entries, nil
}
