package controlrpc

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
)

// Encoded is an already encoded message of a server. Many streams may send the same message
// concurrently: its bytes are neither copied nor changed.
type Encoded []byte

// encodedCodec is the protobuf codec, except that it returns the bytes of an Encoded unchanged.
type encodedCodec struct{ encoding.CodecV2 }

// Marshal returns a message's bytes.
func (c encodedCodec) Marshal(message any) (mem.BufferSlice, error) {
	if raw, ok := message.(Encoded); ok {
		return mem.BufferSlice{mem.SliceBuffer(raw)}, nil
	}
	return c.CodecV2.Marshal(message)
}

func serverCodec() grpc.ServerOption {
	return grpc.ForceServerCodecV2(encodedCodec{encoding.GetCodecV2(proto.Name)})
}
