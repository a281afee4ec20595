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

// A fetch that is interrupted at any byte is resumed and ends with the full content. A content that
// is damaged on the way never gets its final name.
func TestAFetchInterruptedAtEachByte(t *testing.T) {
	raw := bytes.Repeat([]byte("terms of a plan\n"), 12)
	from, to := NewContents(t.TempDir()), NewContents(t.TempDir())
	digest, err := from.Add(raw)
	if err != nil {
		t.Fatal(err)
	}
	ref := configversion.Ref{Digest: digest, Size: int64(len(raw))}
	broke := errors.New("the link broke")
	// fetch takes what comes, up to a byte of the content, with one byte of it changed if that is
	// not below 0.
	fetch := func(end, spoilt int) error {
		begun := to.PartialSize(digest)
		var pieces [][]byte
		if err := from.Send(digest, begun, func(b []byte) error {
			pieces = append(pieces, bytes.Clone(b))
			return nil
		}); err != nil {
			return err
		}
		all := bytes.Join(pieces, nil)
		all = all[:max(0, min(len(all), end-int(begun)))]
		if spoilt >= int(begun) && spoilt < int(begun)+len(all) {
			all[spoilt-int(begun)]++
		}
		return to.Receive(ref, begun, func() ([]byte, error) {
			if len(all) == 0 {
				return nil, broke
			}
			n := min(7, len(all))
			b := all[:n]
			all = all[n:]
			return b, nil
		})
	}
	for end := range raw {
		for _, spoilt := range []int{-1, end / 2} {
			if err := fetch(end, spoilt); !errors.Is(err, broke) {
				t.Fatalf("cut at %d: %v", end, err)
			}
			if _, err := to.Read(digest); !errors.Is(err, os.ErrNotExist) {
				t.Fatalf("cut at %d: it is there already: %v", end, err)
			}
			if got := to.PartialSize(digest); got != int64(end) {
				t.Fatalf("cut at %d: %d bytes are kept", end, got)
			}
			err := fetch(len(raw), -1)
			if spoilt >= 0 && spoilt < end {
				if !errors.Is(err, ErrDigest) {
					t.Fatalf("cut at %d, byte %d changed: %v", end, spoilt, err)
				}
				err = fetch(len(raw), -1) // from the beginning
			}
			if got, bad := to.Read(digest); err != nil || bad != nil || !bytes.Equal(got, raw) {
				t.Fatalf("cut at %d: %v, %v", end, err, bad)
			}
			if err := os.Remove(to.path(digest)); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := to.Receive(ref, 0, func() ([]byte, error) { return make([]byte, len(raw)+1), nil }); !errors.Is(err, ErrDigest) {
		t.Errorf("one that is longer than it is to be: %v", err)
	}
	if err := from.Send("../../../etc/passwd", 0, func([]byte) error { return io.ErrUnexpectedEOF }); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a digest that is none: %v", err)
	}
}

// Unused contents are removed. Those of versions that may be restored, and those written a short
// time ago, stay.
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
		one := configversion.Version{Item: "plans", Number: uint64(k + 1), Digest: d, ExpiresAt: time.Minute}
		if k == 1 {
			one.ExpiresAt = 0 // somebody acts on it
		}
		v.Versions = append(v.Versions, one)
	}
	if err := c.RemoveUnused(referencedDigests(&v), time.Hour); err != nil {
		t.Fatal(err)
	}
	for k, d := range digests {
		if _, err := c.Read(d); err != nil {
			t.Errorf("version %d, just made: %v", k, err)
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

// Contents that were stored unsynced are checked like others, and can be synced later.
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
		t.Errorf("%q %v", raw, err)
	}
	if err := os.WriteFile(contents.path(digest), []byte("ter"), 0o600); err != nil { // as a power cut may leave it
		t.Fatal(err)
	}
	if _, err := contents.Read(digest); !errors.Is(err, ErrDigest) {
		t.Errorf("a torn content: %v", err)
	}
	if err := contents.Sync(digest); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a content that is not there: %v", err)
	}
}
