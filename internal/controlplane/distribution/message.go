package distribution

import (
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/mustproto"
)

// Message is a response together with its encoding. It is encoded once, shared by all streams that
// it is sent on, and never modified.
type Message struct {
	Response *distributionpb.WatchResponse
	// Bytes is the encoded Response.
	Bytes []byte
}

func newMessage(r *distributionpb.WatchResponse) *Message {
	return &Message{r, mustproto.Marshal(r)}
}

func deltaMessage(d *Delta) *Message {
	return newMessage(&distributionpb.WatchResponse{
		Response: &distributionpb.WatchResponse_Delta{Delta: d.Proto()},
	})
}

func digestsMessage(position Position, first int, sums Sums) *Message {
	m := &distributionpb.BucketDigests{
		Position: position.Proto(),
		First:    uint32(first),
		Sums:     sums.Encode(),
	}
	return newMessage(&distributionpb.WatchResponse{
		Response: &distributionpb.WatchResponse_Digests{Digests: m},
	})
}

func bucketsMessage(position Position, buckets []*distributionpb.Bucket, last bool) *Message {
	m := &distributionpb.Buckets{Position: position.Proto(), Buckets: buckets, Last: last}
	return newMessage(&distributionpb.WatchResponse{
		Response: &distributionpb.WatchResponse_Buckets{Buckets: m},
	})
}

func heartbeatMessage(m *distributionpb.Heartbeat) *Message {
	return newMessage(&distributionpb.WatchResponse{
		Response: &distributionpb.WatchResponse_Heartbeat{Heartbeat: m},
	})
}

func retryMessage(afterNanos uint64) *Message {
	m := &distributionpb.RetryLater{AfterNs: afterNanos}
	return newMessage(&distributionpb.WatchResponse{
		Response: &distributionpb.WatchResponse_Retry{Retry: m},
	})
}

func behindMessage(position Position) *Message {
	m := &distributionpb.Behind{Position: position.Proto()}
	return newMessage(&distributionpb.WatchResponse{
		Response: &distributionpb.WatchResponse_Behind{Behind: m},
	})
}

func resumeRequest(m *distributionpb.Resume) *distributionpb.WatchRequest {
	return &distributionpb.WatchRequest{Request: &distributionpb.WatchRequest_Resume{Resume: m}}
}

func fetchRequest(position Position, buckets []uint32) *distributionpb.WatchRequest {
	m := &distributionpb.FetchBuckets{Position: position.Proto(), Buckets: buckets}
	return &distributionpb.WatchRequest{Request: &distributionpb.WatchRequest_Fetch{Fetch: m}}
}

func acknowledgeRequest(position Position) *distributionpb.WatchRequest {
	m := &distributionpb.Acknowledge{Epoch: position.Epoch, Revision: position.Revision}
	return &distributionpb.WatchRequest{
		Request: &distributionpb.WatchRequest_Acknowledge{Acknowledge: m},
	}
}
