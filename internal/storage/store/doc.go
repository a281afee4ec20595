// Package store is a small embedded key-value store in a directory. One process at a time writes
// it, and after any crash it recovers everything that it has promised.
//
// # Guarantees
//
//   - After Commit with Durable has returned nil, the batch survives any crash of the process or
//     the system, and any power failure.
//   - After Commit with Buffered has returned nil, the batch survives the end of the process. Until
//     the next durable commit, Sync or Close, a crash of the system may lose it together with
//     everything committed after it.
//   - Batches are atomic and ordered: recovery finds a prefix of the committed batches without a
//     gap.
//   - Data that was not committed is never read. A commit that returned an error is not visible to
//     this process. Only if the process ends before another commit may the next one find it,
//     complete or not at all.
//   - A torn tail, which only a crash during a write that was not yet promised leaves, is truncated
//     and reported in Stats.TruncatedBytes. Any other damage is an error that names file and
//     offset: at Open if it concerns the manifest, the headers, the newest segment or an index's
//     directory (all bytes, with Options.Verify), and otherwise at the read that meets it. Data is
//     never lost silently.
//   - A failed write changes nothing. After a failed sync nothing can be promised any more: the
//     store becomes read-only until it is opened again.
//   - A directory of a newer format, or of another program, is rejected and not changed.
//
// The end of the synced log is recorded in a separate file, so that promised data that is missing
// or damaged is not taken for a torn tail. That record is not synced itself: damage in addition to
// a power failure may look like a torn tail.
//
// # Bounds
//
// Disk: at most twice the live records and two segments for the log once compaction has caught up.
// Compaction runs along with commits in steps of Options.CompactionStepBytes and four times the
// commit's own bytes. The index takes four entries a live key, and as much again during merges.
//
// Memory: Options.MaxOverlayKeys entries of about 130 bytes and their keys, and less than 3 bytes
// for each other key if keys have up to 32 bytes: a filter of 10 bits a key, and the first key of
// each 4 KiB of index. A commit holds its batch twice.
//
// File descriptors: one for each segment and each index run.
//
// The store starts no goroutine and reads no clock. Its methods are safe for concurrent use.
// docs/store-format.md describes the format, docs/store.md the reasons for the design.
package store
