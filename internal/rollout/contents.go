// Package rollout is a process's side of what its fleet acts on: it asks what it may act on, fetches contents by their digest, has
// them put in force, and tells what is. One of the fleet's processes, as a duty, takes roll-outs from stage to stage. The decisions are
// package versions'.
package rollout

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"mothcleat/internal/faultpoint"
	"mothcleat/versions"
)

// Contents is a folder of contents, each under its digest: one that is there under that name is whole and as it should be. What
// is not whole yet lies beside it and is gone on with. Its methods may be called concurrently.
type Contents struct{ dir string }

const part = ".part"

var digestName = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ErrDigest: a content is not what its name says. What was there of it is removed.
var ErrDigest = errors.New("rollout: a content that is not what its digest says")

// NewContents are those of a folder, which Make makes.
func NewContents(dir string) *Contents { return &Contents{dir} }

// Make makes the folder if it is not there.
func (c *Contents) Make() error { return os.MkdirAll(c.dir, 0o700) }

func (c *Contents) path(digest string) string { return filepath.Join(c.dir, digest) }

// Read gives a content. Whoever has damaged the file, what is read is as its digest says, or ErrDigest.
func (c *Contents) Read(digest string) ([]byte, error) {
	if !digestName.MatchString(digest) {
		return nil, fmt.Errorf("rollout: digest %.80q", digest)
	}
	raw, err := os.ReadFile(c.path(digest))
	if err != nil {
		return nil, err
	}
	if sum := sha256.Sum256(raw); hex.EncodeToString(sum[:]) != digest {
		return nil, errors.Join(ErrDigest, os.Remove(c.path(digest)))
	}
	return raw, nil
}

// Add puts a content in, and gives what it is called.
func (c *Contents) Add(raw []byte) (digest string, err error) {
	sum := sha256.Sum256(raw)
	digest = hex.EncodeToString(sum[:])
	if err := os.WriteFile(c.path(digest)+part, raw, 0o600); err != nil {
		return "", err
	}
	return digest, c.finish(digest)
}

// Begun is how much of a content is there already.
func (c *Contents) Begun(digest string) int64 {
	if i, err := os.Stat(c.path(digest) + part); err == nil {
		return i.Size()
	}
	return 0
}

// Take adds the bytes that follow those that are there, until the reader ends; at size the content is whole and is checked.
func (c *Contents) Take(r versions.Ref, from int64, next func() ([]byte, error)) error {
	f, err := os.OpenFile(c.path(r.Digest)+part, os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(from); err != nil {
		return err
	}
	at := from
	for at < r.Size {
		data, err := next()
		if err != nil {
			return err // what came is gone on with
		}
		if at+int64(len(data)) > r.Size {
			return errors.Join(ErrDigest, os.Remove(f.Name()))
		}
		if _, err := f.WriteAt(data, at); err != nil {
			return err
		}
		at += int64(len(data))
		faultpoint.At("content-amid-fetch")
	}
	return c.finish(r.Digest)
}

// finish checks what lies beside, and gives it its name.
func (c *Contents) finish(digest string) error {
	name := c.path(digest) + part
	f, err := os.OpenFile(name, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, f); err != nil {
		return err
	}
	if hex.EncodeToString(sum.Sum(nil)) != digest {
		return errors.Join(ErrDigest, os.Remove(name))
	}
	if err := f.Sync(); err != nil {
		return err
	}
	faultpoint.At("content-before-name")
	if err := os.Rename(name, c.path(digest)); err != nil {
		return err
	}
	dir, err := os.Open(c.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Give sends a content from a place on, in pieces.
func (c *Contents) Give(digest string, from int64, send func([]byte) error) error {
	if !digestName.MatchString(digest) {
		return fs.ErrNotExist
	}
	f, err := os.Open(c.path(digest))
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Seek(from, io.SeekStart); err != nil {
		return err
	}
	piece := make([]byte, pieceSize)
	for {
		n, err := f.Read(piece)
		if n > 0 {
			if err := send(piece[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Tidy removes contents that nothing is to be had of any more: those that are not among some, and have not been touched for a while.
func (c *Contents) Tidy(keep map[string]bool, untouched time.Duration) error {
	entries, err := os.ReadDir(c.dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		digest := strings.TrimSuffix(e.Name(), part)
		if keep[digest] || !digestName.MatchString(digest) {
			continue
		}
		if i, err := e.Info(); err != nil || time.Since(i.ModTime()) < untouched {
			continue
		}
		if err := os.Remove(filepath.Join(c.dir, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

const pieceSize = 32 << 10
