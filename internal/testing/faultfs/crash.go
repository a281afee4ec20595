package faultfs

import "slices"

// Fates of a pending operation. A lost operation leaves no trace, a kept one is complete. Any other
// number is how many bytes of a write are kept.
const (
	Lost = 0
	Kept = -1
)

// Pending returns the indices of those among the first n operations that a crash after them may
// undo.
func (f *FS) Pending(n int) (pending []int) {
	lastDirSync, lastFileSync := f.lastSyncs(n)
	for i, op := range f.ops[:n] {
		switch op.Kind {
		case Write, Truncate:
			if i > lastFileSync[op.fileID] {
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
	for id := range f.nextID {
		files[id] = -1
	}
	for i, op := range f.ops[:n] {
		switch op.Kind {
		case SyncDir:
			dir = i
		case SyncFile:
			files[op.fileID] = i
		}
	}
	return dir, files
}

// After returns the file system that a crash after the first n operations leaves. fate returns the
// fate of the pending operation with index i.
func (f *FS) After(n int, fate func(i int) int) *FS {
	crashed := f.recordedFrom.copy()
	for id, data := range f.recordedFrom.files {
		crashed.files[id] = slices.Clone(data)
	}
	crashed.nextID = f.nextID
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

// replay carries out a recorded operation. Of a write it carries out only the first kept bytes,
// where kept is positive.
func (f *FS) replay(op *Op, kept int) {
	switch op.Kind {
	case Write:
		data := op.data
		if kept > 0 {
			data = data[:min(kept, len(data))]
		}
		f.write(op.fileID, op.offset, data)
	case Truncate:
		f.truncate(op.fileID, op.offset)
	case Create:
		f.names[op.Name] = op.fileID
	case Rename:
		if f.names[op.From] == op.fileID {
			delete(f.names, op.From)
		}
		f.names[op.Name] = op.fileID
	case Remove:
		if f.names[op.Name] == op.fileID {
			delete(f.names, op.Name)
		}
	}
}
