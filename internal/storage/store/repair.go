package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Report says what Repair recovered and what was lost.
type Report struct {
	// RecoveredKeys is the number of keys in the new store.
	RecoveredKeys int
	// DamagedDir is the path to which the damaged store's directory was renamed.
	DamagedDir string
	// Lost has one line for each loss.
	Lost []string
}

// Repair replaces a damaged store by a new one with the data that can still be read. The damaged
// directory is kept next to it under another name. A key is recovered only if its value is
// certainly the newest: keys that a damaged part of the index or the log may have changed are
// dropped and reported. Without a readable manifest this can't be determined, and Repair fails
// unless fromLogs is set. With fromLogs, Repair ignores the manifest and recovers the batches of
// each segment up to the first damaged one, so that deleted keys may reappear.
func Repair(dir string, fromLogs bool) (rep Report, err error) {
	dir = filepath.Clean(dir)
	folder, err := DirFS(dir, false)
	if err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	unlock, err := folder.Lock(false)
	if err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	defer func() { err = errors.Join(err, unlock()) }()
	repaired := dir + ".repaired"
	if err := os.RemoveAll(repaired); err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	target, err := Open(repaired, Options{})
	if err != nil {
		return rep, err
	}
	salvaging := &salvage{fs: folder, target: target, report: &rep}
	if fromLogs {
		err = salvaging.recoverByLogs()
	} else {
		err = salvaging.recoverByManifest()
	}
	rep.RecoveredKeys = int(target.Stats().Keys)
	if err := errors.Join(err, target.Close()); err != nil {
		return rep, errors.Join(err, os.RemoveAll(repaired))
	}
	rep.DamagedDir = unusedName(dir + ".damaged")
	if err := os.Rename(dir, rep.DamagedDir); err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	if err := os.Rename(repaired, dir); err != nil {
		return rep, fmt.Errorf("store: %w", err)
	}
	return rep, syncDir(filepath.Dir(dir))
}

// unusedName returns path, with a number appended if path already exists.
func unusedName(path string) string {
	name := path
	for n := 2; ; n++ {
		if _, err := os.Lstat(name); errors.Is(err, fs.ErrNotExist) {
			return name
		}
		name = fmt.Sprintf("%s.%d", path, n)
	}
}
