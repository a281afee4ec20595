package snapshot

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/storage/store"
)

// headKey is the key of the head.
var headKey = []byte("head")

// The first bytes of the keys of customers and backends, and the length of these keys.
const (
	customerKind = 'c'
	backendKind  = 'b'
	idKeyBytes   = 1 + 8
)

// ErrUnknownKey is returned if a store contains a key that does not belong to a snapshot.
var ErrUnknownKey = errors.New("key does not belong to a state")

// idKey returns the key of a customer or a backend.
func idKey(kind byte, id uint64) []byte { return binary.BigEndian.AppendUint64([]byte{kind}, id) }

func putJSON(b *store.Batch, key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b.Put(key, text)
	return nil
}

// putChanged adds to the batch the records in now that differ from those in before, and deletions
// of the records that are only in before.
func putChanged[K uint64 | uint32, V comparable](
	b *store.Batch, kind byte, before, now map[K]V,
) error {
	for id, v := range now {
		if old, ok := before[id]; ok && old == v {
			continue
		}
		if err := putJSON(b, idKey(kind, uint64(id)), v); err != nil {
			return err
		}
	}
	for id := range before {
		if _, ok := now[id]; !ok {
			b.Delete(idKey(kind, uint64(id)))
		}
	}
	return nil
}

// loadFrom reads the snapshot in a store. It returns fs.ErrNotExist if there is none.
func loadFrom(from *store.Store) (s policy.Snapshot, err error) {
	view, err := from.Snapshot()
	if err != nil {
		return s, err
	}
	defer view.Close()
	head, err := view.Get(headKey)
	if errors.Is(err, store.ErrNotFound) {
		return s, fs.ErrNotExist
	}
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(head, &s); err != nil {
		return s, err
	}
	for item, err := range view.Range(nil, nil) {
		if err != nil {
			return s, err
		}
		if err := addRecord(&s, item.Key, item.Value); err != nil {
			return s, err
		}
	}
	return s, nil
}

// addRecord adds the customer or the backend in a store's record to a snapshot. It ignores the
// head, and returns ErrUnknownKey for other keys.
func addRecord(s *policy.Snapshot, key, value []byte) (err error) {
	switch {
	case bytes.Equal(key, headKey):
	case len(key) == idKeyBytes && key[0] == customerKind:
		s.Customers, err = appendJSON(s.Customers, value)
	case len(key) == idKeyBytes && key[0] == backendKind:
		s.Backends, err = appendJSON(s.Backends, value)
	default:
		err = fmt.Errorf("%w: %q", ErrUnknownKey, key)
	}
	return err
}

func appendJSON[V any](to []V, text []byte) ([]V, error) {
	var v V
	err := json.Unmarshal(text, &v)
	return append(to, v), err
}
