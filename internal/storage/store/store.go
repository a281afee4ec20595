package store

import (
	"errors"
	"fmt"
	"io/fs"
	"sync"
)

// The defaults of Options.
const (
	defaultSegmentBytes = 16 << 20
	defaultOverlayKeys  = 16 << 10
	defaultStepBytes    = 64 << 10
)

// Options configure a store. The zero value is valid.
type Options struct {
	// SegmentBytes is the size at which a segment of the log is sealed, 16 MiB if it is 0. One
	// batch may exceed it.
	SegmentBytes int64
	// MaxOverlayKeys is the number of keys in memory at which the active segment is sealed, 16,384
	// if it is 0. Keys written since the last sealing are held in memory.
	MaxOverlayKeys int
	// CompactionStepBytes is the byte budget of the compaction step that each commit runs, 64 KiB
	// if it is 0. Four times the commit's own bytes are added to it.
	CompactionStepBytes int
	// Verify makes Open read and check every byte.
	Verify bool
	// ReadOnly opens the store without changing its files. Several processes may have it open this
	// way at the same time. A torn tail is reported in Stats and not truncated.
	ReadOnly bool
	// FS gives access to the directory. If it is nil, the path given to Open is used.
	FS FS
}

func (o Options) withDefaults() Options {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.MaxOverlayKeys == 0 {
		o.MaxOverlayKeys = defaultOverlayKeys
	}
	if o.CompactionStepBytes == 0 {
		o.CompactionStepBytes = defaultStepBytes
	}
	return o
}

// Store is an open store. Its methods are safe for concurrent use.
type Store struct {
	fs      FS
	options Options
	id      uint64
	unlock  func() error

	mu  sync.Mutex // guards the fields up to writing, and the refs of all files and file sets
	seq uint64     // sequence number of the last batch
	// overlay holds the locations of the keys in the active segment.
	overlay *node
	files   *fileSet
	closed  bool
	// failed is the reason why the store is read-only; nil if it is writable.
	failed error

	queue   []*commit
	writing bool // true while a goroutine is the writer; only it uses the fields below

	// nextFileID is the id for the next file to be created.
	nextFileID uint64
	active     *segment
	// end is the offset of the end of the active segment.
	end int64
	// synced is the offset up to which the active segment is known to be on disk.
	synced int64
	// firstSeq is the sequence number of the active segment's first batch.
	firstSeq uint64
	// overlayKeys is the number of entries of the overlay.
	overlayKeys int
	keys        uint64
	// baseKeys is the number of keys before firstSeq.
	baseKeys   uint64
	markFile   File
	markSlot   int64
	buf, block []byte
	merging    *mergeJob
	copying    *copyJob
	// lastGroupSize is the number of commits in the last group commit.
	lastGroupSize int
	epoch         uint32
	// retrySealAt is the value of end at which sealing is retried after a failure.
	retrySealAt int64
	// backgroundErr is the error of the last compaction step.
	backgroundErr error
	// markErr is the error of the last write of the sync mark by a commit.
	markErr error
	stats   Stats
}

// Stats describes a store. Sizes are in bytes.
type Stats struct {
	// Keys is the number of keys.
	Keys uint64
	// Seq is the number of batches that were ever committed.
	Seq uint64
	// LiveBytes is the total size of the newest records of all keys.
	LiveBytes int64
	// LogBytes is the size of all segments, and IndexBytes that of all runs.
	LogBytes   int64
	IndexBytes int64
	Segments   int
	Runs       int
	// Entries is the number of entries in the runs, including deletions.
	Entries int
	// OverlayKeys is the number of keys in memory, including deleted ones.
	OverlayKeys int
	// MemoryBytes is the estimated memory of the overlay, the filters and the directories.
	MemoryBytes int64
	// TruncatedBytes is the size of the torn tail that Open has found. It truncates the tail unless
	// the store is read-only.
	TruncatedBytes int64
	// RemovedFiles is the number of unfinished files that Open has removed.
	RemovedFiles int
	// WrittenBytes counts the bytes written to the log since Open, by commits and by compaction.
	WrittenBytes int64
	// CopiedBytes counts the bytes of records copied by compaction since Open.
	CopiedBytes int64
	// MergedEntries counts the index entries written by merges since Open.
	MergedEntries int64
	// Syncs counts the syncs of the log since Open.
	Syncs int64
	// BackgroundError joins the errors of the last compaction step and of the last write of the
	// sync mark. Commits do not fail because of it.
	BackgroundError error
}

// errOpenedReadOnly is the reason why a store opened with Options.ReadOnly accepts no commits.
var errOpenedReadOnly = errors.New("opened read-only")

// Open opens the store in a directory, or creates one there. The error wraps ErrLocked if the store
// is already open, and a *DamageError if the data is damaged.
func Open(dir string, opt Options) (_ *Store, err error) {
	opt = opt.withDefaults()
	if opt.FS == nil {
		if opt.FS, err = DirFS(dir, !opt.ReadOnly); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	s := &Store{fs: opt.FS, options: opt, files: &fileSet{refs: 1}}
	if s.unlock, err = s.fs.Lock(opt.ReadOnly); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, s.release())
		}
	}()
	names, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	in, err := s.fs.Open(manifestName, false)
	if errors.Is(err, fs.ErrNotExist) {
		if err := s.create(names); err != nil {
			return nil, err
		}
		return s, nil
	}
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	m, err := readManifest(in)
	if err := errors.Join(err, in.Close()); err != nil {
		return nil, err
	}
	if err := s.recover(m); err != nil {
		return nil, err
	}
	if opt.Verify {
		if err := s.verify(); err != nil {
			return nil, err
		}
	}
	if opt.ReadOnly {
		s.failed = errOpenedReadOnly
		return s, nil
	}
	return s, s.prepareWriting(names)
}

// Stats returns the current statistics. It waits for commits in progress.
func (s *Store) Stats() Stats {
	s.becomeWriter()
	defer s.handOverWriter()
	st := s.stats
	st.Keys = s.keys
	st.Seq = s.seq
	st.Segments = len(s.files.segments)
	st.Runs = len(s.files.runs)
	st.OverlayKeys = s.overlayKeys
	st.LogBytes = s.end
	st.MemoryBytes = int64(s.overlayKeys) * nodeBytes
	st.BackgroundError = errors.Join(s.backgroundErr, s.markErr)
	for _, g := range s.files.segments {
		st.LiveBytes += g.live
		st.LogBytes += g.length
	}
	for _, r := range s.files.runs {
		st.IndexBytes += r.length
		st.Entries += r.entries
		st.MemoryBytes += int64(len(r.directory) + 4*len(r.fenceOffsets) + len(r.filter))
	}
	return st
}

// Close waits for commits in progress, syncs all committed data and unlocks the directory. Open
// snapshots stay readable. Further calls do nothing.
func (s *Store) Close() error {
	s.becomeWriter()
	defer s.handOverWriter()
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.mu.Unlock()
	var err error
	if s.failed == nil {
		err = s.sync()
	}
	s.abandonMerge()
	return errors.Join(err, s.release())
}

// release closes all files that no snapshot uses and unlocks the directory.
func (s *Store) release() error {
	var err error
	if s.markFile != nil {
		err = s.markFile.Close()
	}
	s.mu.Lock()
	s.releaseFiles(s.files)
	s.mu.Unlock()
	return errors.Join(err, s.unlock())
}
