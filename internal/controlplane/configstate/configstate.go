// Package configstate decides how the content of a configuration version is transferred as its
// difference from another version.
//
// A content is the file of an item, for example the plans of all tenants. It is identified by the
// SHA-256 digest of its bytes, which the fleet agrees on (package configversion). A Codec decodes a
// content into keyed records and encodes the records into the same bytes. A process that has one
// content therefore receives another one as the records that differ: by a delta if the server knows
// both, and otherwise by the buckets of records whose sums differ. The process encodes the result
// and accepts it only if its bytes have the agreed digest. If the process has no content, or too
// much differs, all bytes are transferred.
//
// The package does no I/O.
package configstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"mothcleat/internal/controlplane/distribution"
)

// Codec decodes the contents of one item into records and encodes records. Its methods must be safe
// for concurrent use and must not modify a state.
type Codec interface {
	// Decode decodes a content. Its error names the place in the content that is invalid.
	Decode(raw []byte) (*distribution.State, error)
	// Encode encodes records as a content. Equal records give equal bytes. It returns an error for
	// records that do not form a valid content of the item.
	Encode(state *distribution.State) ([]byte, error)
}

// Version is one content of an item. It is never modified.
type Version struct {
	// Digest is the SHA-256 digest of the content's bytes in hexadecimal.
	Digest string
	// Size is the size of the content in bytes.
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

// Read decodes a content. It returns an InvalidContentError for a content that the codec rejects.
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

// Canonical decodes a content and returns the version of its canonical bytes, and these bytes. It
// returns an InvalidContentError for a content that can't be decoded.
func Canonical(codec Codec, raw []byte) (*Version, []byte, error) {
	state, err := codec.Decode(raw)
	if err != nil {
		return nil, nil, &InvalidContentError{Digest(raw), err}
	}
	return build(codec, state)
}

// build returns the version that has the records of a state, and its bytes.
func build(codec Codec, state *distribution.State) (*Version, []byte, error) {
	raw, err := codec.Encode(state)
	if err != nil {
		return nil, nil, err
	}
	return &Version{Digest(raw), int64(len(raw)), state, true}, raw, nil
}

// buildVerified is build with the expected digest of the result. It returns a DigestMismatchError
// if the digest differs.
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

// InvalidContentError is returned for a content that this program can't decode.
type InvalidContentError struct {
	Digest string
	Reason error
}

// Error returns the reason.
func (e *InvalidContentError) Error() string { return e.Reason.Error() }

// Unwrap returns the reason.
func (e *InvalidContentError) Unwrap() error { return e.Reason }

// DigestMismatchError is returned if records do not form the requested content.
type DigestMismatchError struct{ Want, Got string }

// Error returns the first digits of both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("configuration: the records have digest %.12s instead of %.12s",
		e.Got, e.Want)
}

// WrongBaseError is returned for a delta or sums of a content other than the expected one.
type WrongBaseError struct{ Have, Got string }

// Error returns the first digits of both digests.
func (e *WrongBaseError) Error() string {
	return fmt.Sprintf("configuration: the delta or sums are for content %.12q instead of %.12q",
		e.Got, e.Have)
}
