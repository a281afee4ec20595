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

// load reads the state. It returns nil without an error if there is no file. An error names the
// file, and the caller should then start without a state.
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
	// The name has the process id, since during a hot restart two processes write the state.
	next := fmt.Sprintf("%s.%d.new", f.path, os.Getpid())
	if err := writeSynced(next, distribution.EncodeStateFile(f.fleet, state)); err != nil {
		return err
	}
	if err := os.Rename(next, f.path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(f.path))
}

func writeSynced(path string, raw []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(raw)
	return errors.Join(err, file.Sync(), file.Close())
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
