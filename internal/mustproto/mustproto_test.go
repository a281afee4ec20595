package mustproto

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"
)

func TestMarshalIsDeterministic(t *testing.T) {
	fields := map[string]any{"a": 1, "b": 2, "c": 3, "d": 4, "e": 5, "f": 6}
	message, err := structpb.NewStruct(fields)
	if err != nil {
		t.Fatal(err)
	}
	first := Marshal(message)
	for range 50 {
		if again := Marshal(proto.CloneOf(message)); !bytes.Equal(first, again) {
			t.Fatal("equal messages give different bytes")
		}
	}
}

func TestMarshalPanicsOnInvalidText(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	Marshal(structpb.NewStringValue("\xff"))
}
