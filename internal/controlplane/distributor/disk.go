package distributor

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"mothcleat/internal/controlplane/distribution"
)

// stateFile is the file that holds a replica's last state.
type stateFile struct {
	path  string
	fleet string
}

// load reads the state. It returns nil if there is no file. An error names the file, and the caller
// should start without a state.
func (f stateFile) load() (*distribution.State, error) {
	raw, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	state, err := distribution.DecodeStateFile(f.fleet, raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.path, err)
	}
	return state, nil
}

// save replaces the file atomically: a reader sees the old state or the new one.
func (f stateFile) save(state *distribution.State) error {
	if err := os.MkdirAll(filepath.Dir(f.path), 0o700); err != nil {
		return err
	}
	next := fmt.Sprintf("%s.%d.new", f.path, os.Getpid()) // beside a hand-over two processes write
	if err := writeSynced(next, distribution.EncodeStateFile(f.fleet, state)); err != nil {
		return err
	}
	if err := os.Rename(next, f.path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(f.path))
}

func writeSynced(path string, raw []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	return errors.Join(err, file.Sync(), file.Close())
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
