package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"mothcleat/internal/dataplane/policy"
)

const (
	magic         = "mothcleat-state"
	formatVersion = 1
	maxStateBytes = 64 << 20 // limit for reading a snapshot
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Errors of Decode.
var (
	ErrForeign  = errors.New("no state of this program")
	ErrFormat   = errors.New("unknown format")
	ErrHead     = errors.New("head can't be read")
	ErrLength   = errors.New("wrong length")
	ErrChecksum = errors.New("checksum differs: damaged")
)

// HandoverState is what a process tells its successor. Earlier builds neither send nor read
// ExecutedIDs.
type HandoverState struct {
	policy.Snapshot

	// ExecutedIDs are the ids of requests that the successor must not execute.
	ExecutedIDs []uint64 `json:"ExecutedIDs,omitempty"`
}

// EncodeHandover returns the state as a text, in the format of Encode.
func EncodeHandover(s HandoverState) ([]byte, error) { return encode(s) }

// DecodeHandover parses a text that EncodeHandover or Encode returned. Its errors are those of
// Decode.
func DecodeHandover(raw []byte) (s HandoverState, err error) {
	text, err := verify(raw)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return HandoverState{}, err
	}
	return s, nil
}

// Encode returns a snapshot as a text for a successor. The text is the line
//
//	mothcleat-state 1 LENGTH CHECKSUM
//
// followed by a policy.Snapshot as JSON. LENGTH is the length of the JSON in bytes, and CHECKSUM
// its CRC-32C as eight hex digits.
func Encode(s policy.Snapshot) ([]byte, error) { return encode(s) }

func encode(state any) ([]byte, error) {
	text, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	sum := crc32.Checksum(text, castagnoli)
	head := fmt.Appendf(nil, "%s %d %d %08x\n", magic, formatVersion, len(text), sum)
	return append(head, text...), nil
}

// Decode parses a text that Encode returned. For other texts it returns an error that wraps
// ErrForeign, ErrFormat, ErrHead, ErrLength or ErrChecksum, or an error of the JSON decoder.
func Decode(raw []byte) (policy.Snapshot, error) {
	s, err := DecodeHandover(raw)
	return s.Snapshot, err
}

// verify returns the JSON of a text after its line, length and checksum were checked.
func verify(raw []byte) (text []byte, err error) {
	line, text, ok := bytes.Cut(raw[:min(len(raw), maxStateBytes)], []byte("\n"))
	if !ok || !bytes.HasPrefix(line, []byte(magic+" ")) {
		return nil, ErrForeign
	}
	var format, length int
	var sum uint32
	n, err := fmt.Sscanf(string(line), magic+" %d %d %08x", &format, &length, &sum)
	if n < 1 || format != formatVersion {
		return nil, fmt.Errorf("%w: format %d, must be %d", ErrFormat, format, formatVersion)
	}
	if err != nil {
		return nil, ErrHead
	}
	switch {
	case len(text) < length:
		return nil, fmt.Errorf("%w: truncated after %d of %d bytes", ErrLength, len(text), length)
	case len(text) > length:
		return nil, fmt.Errorf("%w: %d bytes too many", ErrLength, len(text)-length)
	case crc32.Checksum(text, castagnoli) != sum:
		return nil, ErrChecksum
	}
	return text, nil
}

// loadLegacyFile reads the single file that versions before the store wrote, in Encode's format.
func loadLegacyFile(path string) (policy.Snapshot, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return policy.Snapshot{}, err
	}
	return Decode(raw)
}
