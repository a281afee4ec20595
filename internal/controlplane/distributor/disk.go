package distributor

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"mothcleat/internal/controlplane/distribution"
)

// stateFile is where a replica's last state lies.
type stateFile struct {
	path  string
	fleet string
}

// load reads the state. Where there is no file it is nil. An error names the file; the state is to
// be taken anew then.
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

// save replaces the file as a whole: whoever reads it has the old state or the new one.
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
