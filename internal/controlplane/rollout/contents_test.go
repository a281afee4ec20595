package rollout

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// A fetch that is interrupted at any byte can be resumed and yields the full content. A content
// that is corrupted in transit never gets its final name.
func TestFetchInterruptedAtEachByte(t *testing.T) {
	raw := bytes.Repeat([]byte("terms of a plan\n"), 12)
	from, to := NewContents(t.TempDir()), NewContents(t.TempDir())
	digest, err := from.Add(raw)
	if err != nil {
		t.Fatal(err)
	}
	ref := configversion.Ref{Digest: digest, Size: int64(len(raw))}
	errLinkBroken := errors.New("the link broke")
	// fetch receives the content up to the byte at end, and then the link breaks. If corrupted is
	// not negative, fetch changes the byte at that offset.
	fetch := func(end, corrupted int) error {
		offset := to.PartialSize(digest)
		var chunks [][]byte
		if err := from.Send(digest, offset, func(b []byte) error {
			chunks = append(chunks, bytes.Clone(b))
			return nil
		}); err != nil {
			return err
		}
		all := bytes.Join(chunks, nil)
		all = all[:max(0, min(len(all), end-int(offset)))]
		if corrupted >= int(offset) && corrupted < int(offset)+len(all) {
			all[corrupted-int(offset)]++
		}
		return to.Receive(ref, offset, func() ([]byte, error) {
			if len(all) == 0 {
				return nil, errLinkBroken
			}
			n := min(7, len(all))
			b := all[:n]
			all = all[n:]
			return b, nil
		})
	}
	for end := range raw {
		for _, corrupted := range []int{-1, end / 2} {
			if err := fetch(end, corrupted); !errors.Is(err, errLinkBroken) {
				t.Fatalf("cut at %d: %v", end, err)
			}
			if _, err := to.Read(digest); !errors.Is(err, os.ErrNotExist) {
				t.Fatalf("cut at %d: reading the incomplete content: %v", end, err)
			}
			if got := to.PartialSize(digest); got != int64(end) {
				t.Fatalf("cut at %d: the partial size is %d", end, got)
			}
			err := fetch(len(raw), -1)
			if corrupted >= 0 && corrupted < end {
				if !errors.Is(err, ErrDigest) {
					t.Fatalf("cut at %d, byte %d changed: %v", end, corrupted, err)
				}
				err = fetch(len(raw), -1) // from the beginning, because the file was removed
			}
			got, readErr := to.Read(digest)
			if err != nil || readErr != nil || !bytes.Equal(got, raw) {
				t.Fatalf("cut at %d: after resuming: %v, %v", end, err, readErr)
			}
			if err := os.Remove(to.path(digest)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := to.Receive(ref, 0, func() ([]byte, error) { return make([]byte, len(raw)+1), nil }); !errors.Is(err, ErrDigest) {
		t.Errorf("a content longer than its size: %v", err)
	}
	if err := from.Send("../../../etc/passwd", 0, func([]byte) error { return io.ErrUnexpectedEOF }); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("an invalid digest: %v", err)
	}
}

// RemoveUnused removes unused contents, but neither those of versions that may be restored nor
// those that were written a short time ago.
func TestRemoveUnused(t *testing.T) {
	c := NewContents(t.TempDir())
	v := configversion.View{At: time.Hour}
	var digests []string
	for k := range 20 {
		d, err := c.Add(fmt.Appendf(nil, "version %d", k))
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, d)
		version := configversion.Version{Item: "plans", Number: uint64(k + 1), Digest: d, ExpiresAt: time.Minute}
		if k == 1 {
			version.ExpiresAt = 0 // a gateway may still operate under it
		}
		v.Versions = append(v.Versions, version)
	}
	if err := c.RemoveUnused(referencedDigests(&v), time.Hour); err != nil {
		t.Fatal(err)
	}
	for k, d := range digests {
		if _, err := c.Read(d); err != nil {
			t.Errorf("version %d, just written: %v", k, err)
		}
	}
	if err := c.RemoveUnused(referencedDigests(&v), 0); err != nil {
		t.Fatal(err)
	}
	for k, d := range digests {
		if _, err := c.Read(d); (err == nil) != (k == 1 || k >= 20-maxKeptVersions) {
			t.Errorf("version %d: %v", k, err)
		}
	}
}

// Contents that were stored unsynced are verified like others, and can be synced later.
func TestUnsyncedContents(t *testing.T) {
	contents := NewContents(t.TempDir())
	digest, err := contents.Unsynced().Add([]byte("terms"))
	if err != nil {
		t.Fatal(err)
	}
	if err := contents.Sync(digest); err != nil {
		t.Error(err)
	}
	if raw, err := contents.Read(digest); err != nil || string(raw) != "terms" {
		t.Errorf("Read returns %q, %v", raw, err)
	}
	if err := os.WriteFile(contents.path(digest), []byte("ter"), 0o600); err != nil { // as after a power failure
		t.Fatal(err)
	}
	if _, err := contents.Read(digest); !errors.Is(err, ErrDigest) {
		t.Errorf("a truncated content: %v", err)
	}
	if err := contents.Sync(digest); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("syncing a content that does not exist: %v", err)
	}
}
