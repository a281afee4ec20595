// Package mustproto encodes protobuf messages of the program's own making, for state machines and
// digests whose callers have no use for an error.
package mustproto

import "google.golang.org/protobuf/proto"

// Marshal returns the encoded message. Equal messages give equal bytes. It panics if a string of
// the message is not UTF-8, which is a fault of the program: strings are checked where they enter
// it.
func Marshal(m proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return raw
}
