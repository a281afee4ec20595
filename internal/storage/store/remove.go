package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"
)

// Remove deletes a store, damaged or not, and its directory if that is empty afterwards. Files that
// do not belong to a store stay. It is not an error if the directory does not exist. A process that
// has the store open can still use its open files.
func Remove(dir string) error {
	folder, err := DirFS(dir, false)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	names, err := folder.List()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	for _, name := range names {
		if isStoreFile(name) {
			err = errors.Join(err, folder.Remove(name))
		}
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := os.Remove(dir); err != nil && !errors.Is(err, syscall.ENOTEMPTY) &&
		!errors.Is(err, syscall.EEXIST) {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}
