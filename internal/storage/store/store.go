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

// Options say how a store is opened. The zero value is valid.
type Options struct {
	// SegmentBytes is the size at which a segment of the log is sealed, 16 MiB if it is 0. One
	// batch may pass it.
	SegmentBytes int64
	// MaxOverlayKeys is how many keys written since the last sealing are held in memory, 16,384 if
	// it is 0.
	MaxOverlayKeys int
	// CompactionStepBytes is how many bytes of compaction go along with each commit at least, 64
	// KiB if it is 0.
	CompactionStepBytes int
	// Verify has Open read and check every byte.
	Verify bool
	// ReadOnly opens without changing anything; other readers may do so at the same time. A torn
	// tail is reported in Stats and left.
	ReadOnly bool
	// FS is the folder. If it is nil, the folder at the path given to Open is used.
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

// Store is an open store. Its methods may be called concurrently.
type Store struct {
	fs      FS
	options Options
	id      uint64
	unlock  func() error

	mu      sync.Mutex // guards what follows, and every file's refs
	seq     uint64     // of the last batch
	overlay *node      // what was written since the active segment began
	files   *fileSet
	closed  bool
	failed  error // why nothing is committed any more

	queue   []*commit
	writing bool // one goroutine writes; what follows is its own

	nextFileID    uint64 // id of the next file
	active        *segment
	end           int64 // of the active segment
	synced        int64 // how far it is known to be on disk
	firstSeq      uint64
	overlayKeys   int // entries of top
	keys          uint64
	baseKeys      uint64
	markFile      File
	markSlot      int64
	buf, block    []byte
	merging       *mergeJob
	copying       *copyJob
	lastGroupSize int // of the last group
	epoch         uint32
	retrySealAt   int64 // no sealing before this end: the last one failed
	backgroundErr error // of the last step
	markErr       error // of the last mark
	stats         Stats
}

// Stats describe a store. Sizes of files are in bytes, as the files are now.
type Stats struct {
	Keys           uint64 // there now
	Seq            uint64 // batches committed ever
	LiveBytes      int64  // bytes of the newest records of all keys
	LogBytes       int64
	IndexBytes     int64
	Segments       int
	Runs           int
	Entries        int   // of the runs, deletions among them
	OverlayKeys    int   // keys in memory
	MemoryBytes    int64 // bytes of overlay, filters and directories, by reckoning
	TruncatedBytes int64 // bytes of a torn tail that Open cut off
	RemovedFiles   int   // files of unfinished work that Open removed
	WrittenBytes   int64 // bytes of commits and moves since Open
	CopiedBytes    int64 // bytes that compaction has copied
	MergedEntries  int64 // entries that it has written
	Syncs          int64 // of the log
	// what the last step of compaction, or the last mark, failed with; commits went on
	BackgroundError error
}

// Open opens the store in a folder, or creates one there. The error wraps ErrLocked if another
// process has it open, and is a *DamageError if something can't be read as it was written.
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
		s.failed = errors.New("opened so")
		return s, nil
	}
	return s, s.prepareWriting(names)
}

// Stats returns the store's present figures. It waits for a commit that is under way.
func (s *Store) Stats() Stats {
	s.becomeWriter()
	defer s.handOverWriter()
	st := s.stats
	st.Keys, st.Seq, st.Segments, st.Runs, st.OverlayKeys = s.keys, s.seq, len(s.files.segments), len(s.files.runs), s.overlayKeys
	st.LogBytes, st.MemoryBytes, st.BackgroundError = s.end, int64(s.overlayKeys)*nodeBytes, errors.Join(
		s.backgroundErr, s.markErr,
	)
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

// Close syncs what was committed and unlocks the folder. Commits under way are finished. Snapshots
// can be read until they are closed themselves.
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

// release closes all files and unlocks the folder.
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
