package distribution

import (
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/mustproto"
)

// Message is one response in the form in which it is sent. It is encoded once, shared by all
// streams that it goes to, and never modified.
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

func digestsMessage(at Position, first int, sums Sums) *Message {
	m := &distributionpb.BucketDigests{
		Position: at.Proto(),
		First:    uint32(first),
		Sums:     sums.Encode(),
	}
	return newMessage(&distributionpb.WatchResponse{
		Response: &distributionpb.WatchResponse_Digests{Digests: m},
	})
}

func bucketsMessage(at Position, buckets []*distributionpb.Bucket, last bool) *Message {
	m := &distributionpb.Buckets{Position: at.Proto(), Buckets: buckets, Last: last}
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

func behindMessage(at Position) *Message {
	m := &distributionpb.Behind{Position: at.Proto()}
	return newMessage(&distributionpb.WatchResponse{
		Response: &distributionpb.WatchResponse_Behind{Behind: m},
	})
}

func resumeRequest(m *distributionpb.Resume) *distributionpb.WatchRequest {
	return &distributionpb.WatchRequest{Request: &distributionpb.WatchRequest_Resume{Resume: m}}
}

func fetchRequest(at Position, buckets []uint32) *distributionpb.WatchRequest {
	m := &distributionpb.FetchBuckets{Position: at.Proto(), Buckets: buckets}
	return &distributionpb.WatchRequest{Request: &distributionpb.WatchRequest_Fetch{Fetch: m}}
}

func acknowledgeRequest(at Position) *distributionpb.WatchRequest {
	m := &distributionpb.Acknowledge{Epoch: at.Epoch, Revision: at.Revision}
	return &distributionpb.WatchRequest{
		Request: &distributionpb.WatchRequest_Acknowledge{Acknowledge: m},
	}
}
