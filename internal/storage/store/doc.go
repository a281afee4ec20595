// Package store is a small embedded store: keys and values in a folder, written by
// one process at a time, that comes back after any crash with all that it promised.
//
// # Promise
//
//   - After Commit with Durable returned nil, the batch survives any crash of the
//     process, the system or the power.
//   - After Commit with Buffered returned nil, the batch survives the end of the
//     process. Until the next durable commit, Sync or Close a crash of the system may
//     take it, and then all that was committed after it as well.
//   - A batch is there whole or not at all, and batches are there in the order of their
//     commits without a gap.
//   - Nothing is ever read that was not committed. A commit that returned an error is not
//     seen by this process; only if the process ends before another commit may the next
//     one find it, whole or not at all.
//   - A torn tail, which only a crash amid a write that nobody was promised leaves, is cut and told
//     in Stats.Cut. Any other damage is an error that names file and offset: at Open
//     where it concerns the manifest, the heads, the newest segment or an index's directory (all
//     bytes, with Options.Verify), else at the read that meets it. It is never a silent loss.
//   - A failed write changes nothing. After a failed sync nothing can be promised any
//     more: the store takes no commit until it is opened anew, and reads go on.
//   - A folder of a newer format, or another program's, is refused and left as it is.
//
// What was synced is noted beside the log, so that a promised batch that is gone
// or changed is told from a torn tail. That note is not synced itself: damage on top of a power cut
// may look like a tail.
//
// # Bounds
//
// Disk: at most twice the live records and two segments, for the log, once compaction has caught
// up; it goes along with commits in steps of Options.Step bytes and four times the commit's own.
// For the index four entries a live key, and as much again while runs are merged. Memory:
// Options.Overlay entries of some 130 bytes and their key, and less than 3 bytes a key for the rest
// where keys have up to 32 bytes (a filter of 10 bits a key, and a first key for each 4 KiB of
// index). A commit holds its batch twice. Descriptors: one a segment and one an index run.
//
// The store starts no goroutine and looks at no clock. Its methods may be called
// concurrently. docs/store-format.md has the format, docs/store.md why it is so.
package store
