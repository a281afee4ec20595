// Package configstate decides how the content of a configuration version is transferred as its
// difference from another version.
//
// A content is the file of an item, for example the plans of all tenants. It is identified by the
// SHA-256 digest of its bytes, which the fleet agrees on (package configversion). A Codec reads it
// as keyed records and writes the records back as the same bytes. So a process that has one content
// gets another one as the records that differ: by a delta if the server knows both, and otherwise
// by the buckets of records whose sums differ. The result is encoded and counts only if its bytes
// have the agreed digest. Without any content, or if too much differs, all bytes are transferred.
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

// Codec reads the contents of one item as records and writes them. Its methods must be safe for
// concurrent use and must not modify a state.
type Codec interface {
	// Decode reads a content. Its error names the place that can't be read.
	Decode(raw []byte) (*distribution.State, error)
	// Encode writes records as a content. Equal records give equal bytes. It returns an error for
	// records that are no content of the item.
	Encode(state *distribution.State) ([]byte, error)
}

// Version is one content. It is never modified.
type Version struct {
	// Digest is the SHA-256 digest of the content's bytes in hexadecimal.
	Digest string
	// Size is the number of bytes.
	Size  int64
	State *distribution.State

	// Canonical is set if Encode returns exactly the content's bytes. Any other content, such as a
	// hand-written one that an older program has proposed, can't be rebuilt from its records and is
	// transferred completely.
	Canonical bool
}

// Digest returns the digest that identifies a content.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Read reads a content. It returns an InvalidContentError if it can't be read.
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

// Canonical reads a content and returns the version of its canonical bytes, and these bytes.
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

// buildVerified is build with a known digest. It returns a DigestMismatchError for another result.
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

// Error returns the reason.
func (e *InvalidContentError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *InvalidContentError) Unwrap() error { return e.Reason }

// DigestMismatchError is returned if records do not add up to the requested content.
type DigestMismatchError struct{ Want, Got string }

// Error returns the first digits of both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("configuration: the records come to digest %.12s instead of %.12s",
		e.Got, e.Want)
}

// WrongBaseError is returned for a delta from or to another content than the requested one.
type WrongBaseError struct{ Have, Got string }

// Error returns the first digits of both digests.
func (e *WrongBaseError) Error() string {
	return fmt.Sprintf("configuration: a delta from or to %.12q, not %.12q", e.Got, e.Have)
}
