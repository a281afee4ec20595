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
	"slices"
	"strings"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/failpoint"
)

// Contents is a content-addressed folder: the name of each file is the hexadecimal SHA-256 digest
// of its content. A file with that name is complete. An incomplete file has the additional suffix
// partSuffix, and a fetch resumes at its end. The methods may be called concurrently.
type Contents struct {
	dir string
	// unsynced says that contents are not synced to the disk. A content that a power failure
	// damages is detected by its digest and fetched again.
	unsynced bool
}

const (
	partSuffix    = ".part"
	sendChunkSize = 32 << 10 // bytes
)

var digestName = regexp.MustCompile(`^[0-9a-f]{64}$`)

// ErrDigest is returned for a content that does not match its digest, after its file was removed.
var ErrDigest = errors.New("rollout: a content does not match its digest")

// NewContents returns the contents of a folder. Call Create if the folder may not exist.
func NewContents(dir string) *Contents { return &Contents{dir: dir} }

// Unsynced returns the same folder for storing contents that need not survive a power failure.
func (c *Contents) Unsynced() *Contents { return &Contents{dir: c.dir, unsynced: true} }

// Create creates the folder if it does not exist.
func (c *Contents) Create() error { return os.MkdirAll(c.dir, 0o700) }

func (c *Contents) path(digest string) string { return filepath.Join(c.dir, digest) }

func (c *Contents) partPath(digest string) string { return c.path(digest) + partSuffix }

// Read returns a content after checking its digest. The error wraps ErrDigest if the file was
// damaged, and fs.ErrNotExist if there is none.
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

// Add stores a content and returns its digest.
func (c *Contents) Add(raw []byte) (digest string, err error) {
	sum := sha256.Sum256(raw)
	digest = hex.EncodeToString(sum[:])
	if err := os.WriteFile(c.partPath(digest), raw, 0o600); err != nil {
		return "", err
	}
	return digest, c.finish(digest)
}

// PartialSize returns the size in bytes of an incomplete content, 0 if there is none.
func (c *Contents) PartialSize(digest string) int64 {
	info, err := os.Stat(c.partPath(digest))
	if err != nil {
		return 0
	}
	return info.Size()
}

// Receive writes the chunks that next returns, starting at an offset in bytes. When the content has
// its full size, Receive checks the digest. If next fails, the bytes that were received are kept,
// so that a later call can resume.
func (c *Contents) Receive(r configversion.Ref, from int64, next func() ([]byte, error)) error {
	f, err := os.OpenFile(c.partPath(r.Digest), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(from); err != nil {
		return err
	}
	offset := from
	for offset < r.Size {
		chunk, err := next()
		if err != nil {
			return err
		}
		if offset+int64(len(chunk)) > r.Size {
			return errors.Join(ErrDigest, os.Remove(f.Name()))
		}
		if _, err := f.WriteAt(chunk, offset); err != nil {
			return err
		}
		offset += int64(len(chunk))
		failpoint.At("content-amid-fetch")
	}
	return c.finish(r.Digest)
}

// finish checks the digest of a complete content, syncs it unless the contents are unsynced, and
// renames it to its final name.
func (c *Contents) finish(digest string) error {
	name := c.partPath(digest)
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
	if !c.unsynced {
		if err := f.Sync(); err != nil {
			return err
		}
	}
	failpoint.At("content-before-name")
	if err := os.Rename(name, c.path(digest)); err != nil || c.unsynced {
		return err
	}
	return c.syncDir()
}

// Sync syncs a complete content to the disk, including one that was stored unsynced.
func (c *Contents) Sync(digest string) error {
	f, err := os.OpenFile(c.path(digest), os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return err
	}
	return c.syncDir()
}

func (c *Contents) syncDir() error {
	dir, err := os.Open(c.dir)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Send sends a content in chunks, starting at an offset in bytes. The error wraps fs.ErrNotExist if
// the content is not stored here.
func (c *Contents) Send(digest string, from int64, send func([]byte) error) error {
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
	chunk := make([]byte, sendChunkSize)
	for {
		n, err := f.Read(chunk)
		if n > 0 {
			if err := send(chunk[:n]); err != nil {
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

// Newest returns the digests of up to limit complete contents, the last written first.
func (c *Contents) Newest(limit int) ([]string, error) {
	entries, err := os.ReadDir(c.dir)
	if err != nil {
		return nil, err
	}
	written := map[string]time.Time{}
	var digests []string
	for _, e := range entries {
		if info, err := e.Info(); err == nil && digestName.MatchString(e.Name()) {
			written[e.Name()] = info.ModTime()
			digests = append(digests, e.Name())
		}
	}
	slices.SortFunc(digests, func(a, b string) int { return written[b].Compare(written[a]) })
	return digests[:min(len(digests), limit)], nil
}

// RemoveUnused removes the contents, complete or incomplete, whose digests are not in keep and
// whose files were last written at least minAge ago.
func (c *Contents) RemoveUnused(keep map[string]bool, minAge time.Duration) error {
	entries, err := os.ReadDir(c.dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		digest := strings.TrimSuffix(e.Name(), partSuffix)
		if keep[digest] || !digestName.MatchString(digest) {
			continue
		}
		if info, err := e.Info(); err != nil || time.Since(info.ModTime()) < minAge {
			continue
		}
		if err := os.Remove(filepath.Join(c.dir, e.Name())); err != nil {
			return err
		}
	}
	return nil
}
