package distribution

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/bits"

	"github.com/zeebo/xxh3"
)

// DigestBytes is the length of an encoded Digest.
const DigestBytes = 16

// Digest is a 128-bit hash, or a sum of such hashes modulo 2 to the power of 128.
type Digest struct{ High, Low uint64 }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d.Encode()) }

// Encode returns the digest's 16 bytes in big-endian order.
func (d Digest) Encode() []byte { return d.appendTo(make([]byte, 0, DigestBytes)) }

func (d Digest) appendTo(to []byte) []byte {
	to = binary.BigEndian.AppendUint64(to, d.High)
	return binary.BigEndian.AppendUint64(to, d.Low)
}

// DecodeDigest decodes the result of Encode. It returns an InvalidMessageError for any other
// length.
func DecodeDigest(raw []byte) (Digest, error) {
	if len(raw) != DigestBytes {
		return Digest{}, &InvalidMessageError{
			"digest", fmt.Sprintf("%d bytes instead of %d", len(raw), DigestBytes),
		}
	}
	return Digest{binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:])}, nil
}

// plus adds a hash. The order of additions does not matter.
func (d Digest) plus(other Digest) Digest {
	low, carry := bits.Add64(d.Low, other.Low, 0)
	high, _ := bits.Add64(d.High, other.High, carry)
	return Digest{high, low}
}

// minus removes a hash that was added with plus.
func (d Digest) minus(other Digest) Digest {
	low, borrow := bits.Sub64(d.Low, other.Low, 0)
	high, _ := bits.Sub64(d.High, other.High, borrow)
	return Digest{high, low}
}

// appendKey appends an unambiguous encoding of a key.
func appendKey(to []byte, kind Kind, id string) []byte {
	to = binary.AppendUvarint(to, uint64(kind))
	to = binary.AppendUvarint(to, uint64(len(id)))
	return append(to, id...)
}

// bucketIndex returns the index of the bucket of a key. Servers are in the first serverBuckets
// buckets, all other records in the rest.
func bucketIndex(kind Kind, id string) uint32 {
	var scratch [128]byte
	hash := xxh3.Hash(appendKey(scratch[:0], kind, id))
	if kind == KindServer {
		return uint32(hash % serverBuckets)
	}
	return serverBuckets + uint32(hash%(BucketCount-serverBuckets))
}

// recordHash returns the hash with which a record contributes to its bucket's sum.
func recordHash(r *Record) Digest {
	var scratch [512]byte
	h := xxh3.Hash128(append(appendKey(scratch[:0], r.Kind, r.ID), r.Value...))
	return Digest{h.Hi, h.Lo}
}

// stateDigest returns the digest of a state whose records' hashes add up to total.
func stateDigest(epoch, revision uint64, total Digest) Digest {
	var scratch [16 + DigestBytes]byte
	raw := binary.BigEndian.AppendUint64(scratch[:0], epoch)
	raw = binary.BigEndian.AppendUint64(raw, revision)
	h := xxh3.Hash128(total.appendTo(raw))
	return Digest{h.Hi, h.Lo}
}
