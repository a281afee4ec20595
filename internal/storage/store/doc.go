// Package store is a small embedded key-value store in a directory, built on an append-only log.
// Only one process at a time can write to it. After any crash it recovers all data that it has
// acknowledged as durable.
//
// # Guarantees
//
//   - After Commit with Durable has returned nil, the batch survives any crash of the process or
//     the system, and any power failure.
//   - After Commit with Buffered has returned nil, the batch survives a crash of the process. Until
//     the next durable commit, Sync or Close, a crash of the system may lose it together with all
//     batches committed after it.
//   - Batches are atomic and ordered: recovery finds a prefix of the committed batches without a
//     gap.
//   - Data that was not committed is never read. A batch whose commit returned an error is not
//     visible to this process. Only if this process ends before another commit may the next
//     process find that batch, either complete or not at all.
//   - A torn tail is truncated and reported in Stats.TruncatedBytes. It results only from a crash
//     during a write that was not yet acknowledged. Any other damage is an error that names file
//     and offset. Open returns it for the manifest, the headers, the newest segment and the
//     directory of an index run, and with Options.Verify for every byte. Otherwise the read that
//     encounters the damage returns it. Data is never lost silently.
//   - A failed write changes nothing. After a failed sync no more data can be acknowledged: the
//     store becomes read-only until it is opened again.
//   - A directory with a newer format, or of another program, is rejected and not changed.
//
// The end of the synced log is recorded in a separate file, the sync mark, so that missing or
// damaged data that was acknowledged is not mistaken for a torn tail. The mark itself is not
// synced: damage in addition to a power failure may look like a torn tail.
//
// # Bounds
//
// Disk: once compaction has caught up, the log takes at most twice the size of the live records
// plus two segments. Each commit runs a compaction step of Options.CompactionStepBytes plus four
// times the commit's own bytes. The index takes up to four entries per live key, and as much again
// during merges.
//
// Memory: Options.MaxOverlayKeys entries of about 130 bytes plus their keys. Each other key takes
// less than 3 bytes if keys have up to 32 bytes: a filter of 10 bits per key, and the first key of
// each 4 KiB of index. A commit holds two copies of its batch.
//
// File descriptors: one per segment and one per index run.
//
// The store starts no goroutine and reads no clock. Its methods are safe for concurrent use.
// docs/store-format.md describes the format, docs/store.md the reasons for the design.
package store
