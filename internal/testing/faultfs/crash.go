package faultfs

import "slices"

// Fates of a pending operation. Lost leaves no trace, Kept is there completely. Any other number is
// how many bytes of a write are there.
const (
	Lost = 0
	Kept = -1
)

// Pending returns the indices of those among the first n operations that a crash after them may undo.
func (f *FS) Pending(n int) (pending []int) {
	lastDirSync, lastFileSync := f.lastSyncs(n)
	for i, op := range f.ops[:n] {
		switch op.Kind {
		case Write, Truncate:
			if i > lastFileSync[op.file] {
				pending = append(pending, i)
			}
		case Create, Rename, Remove:
			if i > lastDirSync {
				pending = append(pending, i)
			}
		}
	}
	return pending
}

// lastSyncs returns the indices of the last sync of the folder and of each file among the first n
// operations, -1 where there is none.
func (f *FS) lastSyncs(n int) (dir int, files map[int]int) {
	dir, files = -1, map[int]int{}
	for id := range f.next {
		files[id] = -1
	}
	for i, op := range f.ops[:n] {
		switch op.Kind {
		case SyncDir:
			dir = i
		case SyncFile:
			files[op.file] = i
		}
	}
	return dir, files
}

// After returns the folder that a crash after the first n operations leaves. fate returns what becomes
// of the pending operation with an index.
func (f *FS) After(n int, fate func(i int) int) *FS {
	crashed := f.base.copy()
	for id, data := range f.base.files {
		crashed.files[id] = slices.Clone(data)
	}
	crashed.next = f.next
	pending := map[int]bool{}
	for _, i := range f.Pending(n) {
		pending[i] = true
	}
	for i, op := range f.ops[:n] {
		kept := Kept
		if pending[i] {
			kept = fate(i)
		}
		if kept != Lost {
			crashed.replay(&op, kept)
		}
	}
	return crashed
}

// replay carries out a recorded operation. Of a write it carries out only the first kept bytes, where
// kept is positive.
func (f *FS) replay(op *Op, kept int) {
	switch op.Kind {
	case Write:
		data := op.data
		if kept > 0 {
			data = data[:min(kept, len(data))]
		}
		f.write(op.file, op.at, data)
	case Truncate:
		f.truncate(op.file, op.at)
	case Create:
		f.names[op.Name] = op.file
	case Rename:
		if f.names[op.From] == op.file {
			delete(f.names, op.From)
		}
		f.names[op.Name] = op.file
	case Remove:
		if f.names[op.Name] == op.file {
			delete(f.names, op.Name)
		}
	}
}
