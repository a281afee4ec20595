// Package state keeps what a gateway knows in one file, so that its next process
// can go on from there.
//
// The file is a line and a text. The line reads
//
//	mothcleat-state 1 LENGTH CHECKSUM
//
// with the length of the text in bytes and its CRC-32C as eight hex digits; the
// text is a decide.Snapshot as JSON. A file that is cut, damaged, foreign or of another
// version is refused as a whole. A new state replaces the old one by a rename, so
// a process that ends amid writing leaves the old one.
package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"

	"mothcleat/decide"
)

const (
	magic   = "mothcleat-state"
	version = 1
	most    = 64 << 20 // bytes of a state that is read
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File keeps the newest state given to it. Its methods may be called concurrently.
type File struct {
	path string

	mu   sync.Mutex
	last decide.Time // of the state that the file holds
	done bool        // the last state of an orderly end is written
}

// Open makes a File at a path. Its folder must exist and be writable, which is
// tried at once: a state that can't be kept must not be found out in a crash.
func Open(path string) (*File, error) {
	probe, err := os.CreateTemp(filepath.Dir(path), ".mothcleat-")
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	probe.Close()
	if err := os.Remove(probe.Name()); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return &File{path: path}, nil
}

// Store replaces the state. A state older than the one stored last is passed
// over, and so is all that comes after one marked as the last. Durable has it
// survive a power cut, too; else it survives the end of the process. After an
// error there is no state: an old one would grant again what was taken since.
func (f *File) Store(s decide.Snapshot, durable bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done || s.At < f.last {
		return nil
	}
	if err := f.write(s, durable); err != nil {
		return errors.Join(fmt.Errorf("state: %w", err), os.RemoveAll(f.path))
	}
	f.last, f.done = s.At, s.Last
	return nil
}

func (f *File) write(s decide.Snapshot, durable bool) error {
	raw, err := Encode(s)
	if err != nil {
		return err
	}
	next := f.path + ".new"
	out, err := os.OpenFile(next, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = out.Write(raw)
	if err == nil && durable {
		err = out.Sync()
	}
	if err = errors.Join(err, out.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, f.path); err != nil || !durable {
		return err
	}
	dir, err := os.Open(filepath.Dir(f.path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Load reads the state. The error is fs.ErrNotExist if there is none.
func (f *File) Load() (decide.Snapshot, error) {
	in, err := os.Open(f.path)
	if err != nil {
		return decide.Snapshot{}, fmt.Errorf("state: %w", err)
	}
	defer in.Close()
	raw, err := io.ReadAll(io.LimitReader(in, most+1))
	if err != nil {
		return decide.Snapshot{}, fmt.Errorf("state: %w", err)
	}
	s, err := Decode(raw)
	if err != nil {
		return s, fmt.Errorf("state: %s: %w", f.path, err)
	}
	return s, nil
}

// Encode gives the bytes of a file.
func Encode(s decide.Snapshot) ([]byte, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	head := fmt.Appendf(nil, "%s %d %d %08x\n", magic, version, len(text), crc32.Checksum(text, castagnoli))
	return append(head, text...), nil
}

// Decode reads the bytes of a file, or tells why they can't be used.
func Decode(raw []byte) (s decide.Snapshot, err error) {
	line, text, ok := bytes.Cut(raw[:min(len(raw), most)], []byte("\n"))
	if !ok || !bytes.HasPrefix(line, []byte(magic+" ")) {
		return s, errors.New("no state of this program")
	}
	var format, length int
	var sum uint32
	if n, err := fmt.Sscanf(string(line), magic+" %d %d %08x", &format, &length, &sum); n < 1 || format != version {
		return s, fmt.Errorf("format %d, %d wanted", format, version)
	} else if err != nil {
		return s, errors.New("head can't be read")
	}
	switch {
	case len(text) < length:
		return s, fmt.Errorf("cut after %d of %d bytes", len(text), length)
	case len(text) > length:
		return s, fmt.Errorf("%d bytes too many", len(text)-length)
	case crc32.Checksum(text, castagnoli) != sum:
		return s, errors.New("checksum differs: damaged")
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return decide.Snapshot{}, err
	}
	return s, nil
}
