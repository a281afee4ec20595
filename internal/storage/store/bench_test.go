package store

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/btree"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

var value100 = bytes.Repeat([]byte("v"), 100)

// benchKey returns key number i, which has 16 bytes. Key order differs from the order of numbers.
func benchKey(i int) []byte {
	return fmt.Appendf(nil, "%016x", hash(littleEndian.AppendUint64(nil, uint64(i))))
}

// BenchmarkCommit commits records with values of 100 bytes: to a store, and for comparison to a plain
// file with one write and one sync per commit.
func BenchmarkCommit(b *testing.B) {
	for _, writers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("durable/store/%d", writers), func(b *testing.B) {
			benchCommits(b, writers, Durable)
		})
		b.Run(fmt.Sprintf("durable/file/%d", writers), func(b *testing.B) {
			f, err := os.Create(filepath.Join(b.TempDir(), "log"))
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			var mu sync.Mutex
			runConcurrently(b, writers, func(i int) error {
				mu.Lock()
				defer mu.Unlock()
				if _, err := f.Write(appendRecord(nil, opPut, benchKey(i), value100)); err != nil {
					return err
				}
				return f.Sync()
			})
		})
	}
	b.Run("buffered/store/1", func(b *testing.B) { benchCommits(b, 1, Buffered) })
}

func benchCommits(b *testing.B, writers int, d Durability) {
	s, err := Open(b.TempDir(), Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	runConcurrently(b, writers, func(i int) error {
		var batch Batch
		batch.Put(benchKey(i), value100)
		return s.Commit(&batch, d)
	})
	st := s.Stats()
	b.ReportMetric(float64(st.Syncs)/float64(b.N), "syncs/op")
	b.ReportMetric(float64(st.WrittenBytes+st.MergedEntries*entryCost)/float64(b.N)/116,
		"written/byte")
}

func runConcurrently(b *testing.B, writers int, do func(i int) error) {
	var next atomic.Int64
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for {
				i := int(next.Add(1))
				if i > b.N {
					return
				}
				if err := do(i); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

const million = 1_000_000

// fillStore creates a store of a million keys of 16 bytes with values of 100 bytes and returns its
// directory.
func fillStore(b *testing.B, o Options, compact bool) string {
	dir := b.TempDir()
	s, err := Open(dir, o)
	if err != nil {
		b.Fatal(err)
	}
	for i := 0; i < million; {
		var batch Batch
		for range 1000 {
			batch.Put(benchKey(i), value100)
			i++
		}
		if err := s.Commit(&batch, Buffered); err != nil {
			b.Fatal(err)
		}
	}
	if compact {
		if err := s.Compact(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		b.Fatal(err)
	}
	return dir
}

// BenchmarkOpenMillion opens a store of a million keys: from the sealed index, with all bytes
// verified, by reading all entries into a hash table as a store with hint files does, and by
// replaying the log.
func BenchmarkOpenMillion(b *testing.B) {
	sealed := fillStore(b, Options{}, true)
	benchOpen := func(b *testing.B, dir string, o Options, then func(s *Store) any) {
		before := heapBytes()
		var s *Store
		var retained any
		for b.Loop() {
			var err error
			if s, err = Open(dir, o); err != nil {
				b.Fatal(err)
			}
			retained = then(s)
			if err := s.Close(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/million, "B/key")
		runtime.KeepAlive(s)
		runtime.KeepAlive(retained)
	}
	b.Run("sealed", func(b *testing.B) {
		benchOpen(b, sealed, Options{}, func(*Store) any { return nil })
	})
	b.Run("verified", func(b *testing.B) {
		benchOpen(b, sealed, Options{Verify: true}, func(*Store) any { return nil })
	})
	b.Run("hints", func(b *testing.B) {
		benchOpen(b, sealed, Options{}, func(s *Store) any {
			h := newHashIndex(million)
			for _, r := range s.files.runs {
				for w := r.from(nil); ; {
					key, at, ok, err := w.next()
					if err != nil {
						b.Fatal(err)
					}
					if !ok {
						break
					}
					h.put(key, at)
				}
			}
			return h
		})
	})
	log := fillStore(b, Options{SegmentBytes: 1 << 40, MaxOverlayKeys: 1 << 30}, false)
	b.Run("log", func(b *testing.B) {
		benchOpen(b, log, Options{SegmentBytes: 1 << 40, MaxOverlayKeys: 1 << 30}, func(*Store) any {
			return nil
		})
	})
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// hashIndex is an open-addressed hash table over packed entries, like the index of a store that
// holds all keys in memory. It is not ordered.
type hashIndex struct {
	slots  []uint32 // 1 + the offset of an entry in packed, 0 if the slot is empty
	packed []byte
}

func newHashIndex(n int) *hashIndex {
	size := 16
	for size*3 < n*4 {
		size *= 2
	}
	return &hashIndex{slots: make([]uint32, size)}
}

func (h *hashIndex) find(key []byte) (slot int, entry []byte) {
	for slot = int(
		hash(key) % uint64(len(h.slots)),
	); h.slots[slot] != 0; slot = (slot + 1) % len(h.slots) {
		e := h.packed[h.slots[slot]-1:]
		n, k := binary.Uvarint(e)
		if e = e[k:]; bytes.Equal(e[:n], key) {
			return slot, e[n:]
		}
	}
	return slot, nil
}

func (h *hashIndex) put(key []byte, at location) {
	slot, _ := h.find(key)
	h.slots[slot] = uint32(len(h.packed)) + 1
	h.packed = append(binary.AppendUvarint(h.packed, uint64(len(key))), key...)
	h.packed = binary.AppendUvarint(
		binary.AppendUvarint(binary.AppendUvarint(h.packed, at.segment), uint64(at.offset)),
		uint64(at.size),
	)
}

type item struct {
	key string
	at  location
}

// BenchmarkIndex compares index structures: memory per key, look-ups of present and of absent keys,
// and ranges of a hundred keys.
func BenchmarkIndex(b *testing.B) {
	at := func(i int) location { return location{uint64(i>>16) + 1, int64(i&0xffff) * 129, 129} }
	benchLookups := func(
		b *testing.B, before int64, retained any,
		get func(key []byte) bool, hundredFrom func(key []byte) int,
	) {
		bytes := float64(heapBytes()-before) / million
		r := rand.New(rand.NewPCG(1, 1))
		b.Run("present", func(b *testing.B) {
			for b.Loop() {
				if !get(benchKey(r.IntN(million))) {
					b.Fatal("a present key was not found")
				}
			}
			b.ReportMetric(bytes, "B/key")
		})
		b.Run("absent", func(b *testing.B) {
			for b.Loop() {
				if get(benchKey(million + r.IntN(million))) {
					b.Fatal("an absent key was found")
				}
			}
		})
		if hundredFrom != nil {
			b.Run("range100", func(b *testing.B) {
				for b.Loop() {
					if n := hundredFrom(benchKey(r.IntN(million))); n == 0 {
						b.Fatal("the range is empty")
					}
				}
			})
		}
		runtime.KeepAlive(retained)
	}
	countUpTo100 := func(w iterator) (n int) {
		for ; n < 100; n++ {
			if _, _, ok, err := w.next(); !ok || err != nil {
				break
			}
		}
		return n
	}
	b.Run("runs", func(b *testing.B) {
		dir := fillStore(b, Options{}, true)
		before := heapBytes()
		s, err := Open(dir, Options{})
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		var buf []byte
		benchLookups(b, before, s, func(key []byte) bool {
			_, ok, err := find(nil, s.files, key, &buf)
			return ok && err == nil
		}, func(key []byte) int {
			var all []iterator
			for _, r := range s.files.runs {
				all = append(all, r.from(key))
			}
			return countUpTo100(merge(all...))
		})
	})
	b.Run("hash", func(b *testing.B) {
		before := heapBytes()
		h := newHashIndex(million)
		for i := range million {
			h.put(benchKey(i), at(i))
		}
		h.packed = bytes.Clone(h.packed)
		benchLookups(b, before, h, func(key []byte) bool {
			_, e := h.find(key)
			return e != nil
		}, nil)
	})
	b.Run("treap", func(b *testing.B) {
		before := heapBytes()
		var top *node
		for i := range million {
			k := string(benchKey(i))
			top, _, _ = top.with(k, at(i), priority(k), 1)
		}
		benchLookups(b, before, top, func(key []byte) bool { _, ok := top.get(string(key)); return ok },
			func(key []byte) int { return countUpTo100(top.from(string(key))) })
	})
	b.Run("btree", func(b *testing.B) {
		before := heapBytes()
		t := btree.NewG(32, func(a, b item) bool { return strings.Compare(a.key, b.key) < 0 })
		for i := range million {
			t.ReplaceOrInsert(item{string(benchKey(i)), at(i)})
		}
		benchLookups(b, before, t, func(key []byte) bool {
			return t.Has(item{key: string(key)})
		}, func(key []byte) (n int) {
			t.AscendGreaterOrEqual(item{key: string(key)}, func(item) bool { n++; return n < 100 })
			return n
		})
	})
	b.Run("radix", func(b *testing.B) {
		before := heapBytes()
		t := iradix.New[location]().Txn()
		for i := range million {
			t.Insert(benchKey(i), at(i))
		}
		tree := t.Commit()
		benchLookups(b, before, tree, func(key []byte) bool {
			_, ok := tree.Get(key)
			return ok
		}, func(key []byte) (n int) {
			it := tree.Root().Iterator()
			it.SeekLowerBound(key)
			for ; n < 100; n++ {
				if _, _, ok := it.Next(); !ok {
					break
				}
			}
			return n
		})
	})
}

// BenchmarkRange scans a hundred items with their values from a random key on.
func BenchmarkRange(b *testing.B) {
	s, err := Open(fillStore(b, Options{}, true), Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	r := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		view, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		n := 0
		for _, err := range view.Range(benchKey(r.IntN(million)), nil) {
			if err != nil {
				b.Fatal(err)
			}
			if n++; n == 100 {
				break
			}
		}
		view.Close()
	}
}
