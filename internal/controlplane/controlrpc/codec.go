package controlrpc

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
)

// Encoded is a message of a server that is encoded already. Many streams may send the same one at
// once: its bytes are neither copied nor changed.
type Encoded []byte

// encodedCodec is the protobuf codec, which passes an Encoded on as it is.
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
