// Package configstate decides how the content of a configuration version travels as its difference
// to another version.
//
// A content is a file of an item, for example the plans of all tenants. Its identity is the SHA-256
// digest of its bytes, which the fleet agrees on (package versions). A Codec reads it as keyed
// records and writes the records back as the same bytes. So a process that has one content gets
// another as the records that differ: by a delta where the server knows both, and otherwise by the
// buckets of records whose sums differ. What results is written back and counts only if its bytes
// come to the agreed digest. Without any content, or where too much differs, the bytes travel
// whole.
//
// Nothing here does I/O.
package configstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"mothcleat/internal/controlplane/distribution"
)

// Codec reads the contents of one item as records and writes them. Its methods may be called
// concurrently, and must not change a state.
type Codec interface {
	// Decode reads a content. Its error names the place that can't be read.
	Decode(raw []byte) (*distribution.State, error)
	// Encode writes records as a content: the same bytes for the same records, whatever was read
	// before. It returns an error for records that are no content of the item.
	Encode(state *distribution.State) ([]byte, error)
}

// Version is one content. It is never changed.
type Version struct {
	Digest string // SHA-256 of its bytes, hexadecimal
	Size   int64  // of its bytes
	State  *distribution.State

	// Canonical tells that Encode gives the content's bytes. Another content, which an older
	// program has proposed as a person wrote it, can't be made of its records and travels whole.
	Canonical bool
}

// Digest is the identity of a content.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Read reads a content. An InvalidContentError says why it can't be read.
func Read(codec Codec, raw []byte) (*Version, error) {
	digest := Digest(raw)
	state, err := codec.Decode(raw)
	if err != nil {
		return nil, &InvalidContentError{digest, err}
	}
	canonical, err := codec.Encode(state)
	if err != nil {
		return nil, &InvalidContentError{digest, err}
	}
	return &Version{digest, int64(len(raw)), state, bytes.Equal(raw, canonical)}, nil
}

// Canonical reads a content and gives the version of its canonical bytes, and these.
func Canonical(codec Codec, raw []byte) (*Version, []byte, error) {
	state, err := codec.Decode(raw)
	if err != nil {
		return nil, nil, &InvalidContentError{Digest(raw), err}
	}
	return build(codec, state)
}

// build returns the version of some records, and its bytes.
func build(codec Codec, state *distribution.State) (*Version, []byte, error) {
	raw, err := codec.Encode(state)
	if err != nil {
		return nil, nil, err
	}
	return &Version{Digest(raw), int64(len(raw)), state, true}, raw, nil
}

// buildVerified is build where the digest is known beforehand. It returns a DigestMismatchError for
// another result.
func buildVerified(
	codec Codec, state *distribution.State, digest string,
) (*Version, []byte, error) {
	v, raw, err := build(codec, state)
	if err != nil {
		return nil, nil, err
	}
	if v.Digest != digest {
		return nil, nil, &DigestMismatchError{digest, v.Digest}
	}
	return v, raw, nil
}

// InvalidContentError is returned for a content that this program can't read.
type InvalidContentError struct {
	Digest string
	Reason error
}

func (e *InvalidContentError) Error() string { return e.Reason.Error() }

func (e *InvalidContentError) Unwrap() error { return e.Reason }

// DigestMismatchError is returned where records don't come to the content that was asked for.
type DigestMismatchError struct{ Want, Got string }

func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("configuration: the records come to digest %.12s instead of %.12s",
		e.Got, e.Want)
}

// WrongBaseError is returned for a delta to another content than the one at hand, or between others
// than asked for.
type WrongBaseError struct{ Have, Got string }

func (e *WrongBaseError) Error() string {
	return fmt.Sprintf("configuration: a delta from or to %.12q, not %.12q", e.Got, e.Have)
}
