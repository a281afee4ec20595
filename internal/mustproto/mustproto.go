// Package mustproto encodes protobuf messages that the program itself has built, for state machines
// and digests that can't handle an encoding error.
package mustproto

import "google.golang.org/protobuf/proto"

// Marshal returns the encoded message. Equal messages give equal bytes. It panics if a string of
// the message is not valid UTF-8, which is a bug in the program: strings are checked when they
// enter it.
func Marshal(m proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return raw
}
