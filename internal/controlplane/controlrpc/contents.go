package controlrpc

import (
	"context"
	"errors"
	"io/fs"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothcleat/internal/controlplane/controlpb"
)

// Contents stores the contents of versions. Its methods return fs.ErrNotExist if a content is not
// stored in this process. They are called concurrently.
type Contents interface {
	// Send sends a content, starting at an offset in bytes.
	Send(digest string, from int64, send func([]byte) error) error
	// Keep fetches a content from the process that sent the request, and stores it.
	Keep(ctx context.Context, request *controlpb.KeepRequest) error
	// Delta returns the difference between a content and one that the client has, or the content's
	// sums if none of the client's contents is stored in this process.
	Delta(request *controlpb.ContentDeltaRequest) (*controlpb.ContentDeltaResponse, error)
	// Buckets returns some buckets of a content's records.
	Buckets(
		request *controlpb.ContentBucketsRequest,
	) (*controlpb.ContentBucketsResponse, error)
}

// noContents is the reason in answers to requests for contents if this process stores none.
const noContents = "this process keeps no contents"

// Content requests a content from a process, starting at an offset in bytes. Each call of the
// returned function returns the next piece; after the last one it returns io.EOF.
func (c *Client) Content(
	ctx context.Context, id, address, digest string, from int64,
) (func() ([]byte, error), error) {
	client, err := c.process(id, address)
	if err != nil {
		return nil, err
	}
	stream, err := client.Content(ctx,
		&controlpb.ContentRequest{Fleet: c.fleet, Digest: digest, From: from})
	if err != nil {
		return nil, err
	}
	return func() ([]byte, error) {
		piece, err := stream.Recv()
		return piece.GetData(), err
	}, nil
}

// ContentDelta requests from a process the difference between a content and one that this process
// has; see Contents.Delta. It returns ErrNoContent if the other process does not have the content.
func (c *Client) ContentDelta(
	ctx context.Context, id, address string, request *controlpb.ContentDeltaRequest,
) (*controlpb.ContentDeltaResponse, error) {
	client, err := c.process(id, address)
	if err != nil {
		return nil, err
	}
	request.Fleet = c.fleet
	response, err := client.ContentDelta(ctx, request)
	if status.Code(err) == codes.NotFound {
		err = ErrNoContent
	}
	return response, err
}

// ContentBuckets requests some buckets of a content's records from a process.
func (c *Client) ContentBuckets(
	ctx context.Context, id, address string, request *controlpb.ContentBucketsRequest,
) (*controlpb.ContentBucketsResponse, error) {
	client, err := c.process(id, address)
	if err != nil {
		return nil, err
	}
	request.Fleet = c.fleet
	return client.ContentBuckets(ctx, request)
}

// Keep requests that another process fetch and store a content that this one has.
func (c *Client) Keep(
	ctx context.Context, id, address string, request *controlpb.KeepRequest,
) error {
	client, err := c.process(id, address)
	if err != nil {
		return err
	}
	// The caller may pass the same request to several calls concurrently: it must not be changed.
	answer, err := client.Keep(ctx, &controlpb.KeepRequest{
		Fleet:  c.fleet,
		Item:   request.Item,
		Digest: request.Digest,
		Size:   request.Size,
		From:   request.From,
	})
	if err != nil {
		return err
	}
	return rejection(answer)
}

// Content sends a content, if it is stored in this process.
func (s *Server) Content(
	request *controlpb.ContentRequest, stream grpc.ServerStreamingServer[controlpb.ContentChunk],
) error {
	if err := s.checkContents(request.Fleet); err != nil {
		return err
	}
	send := func(data []byte) error { return stream.Send(&controlpb.ContentChunk{Data: data}) }
	return contentError(s.Contents.Send(request.Digest, request.From, send))
}

// ContentDelta returns the difference between a content and one that the client has; see
// Contents.Delta.
func (s *Server) ContentDelta(
	_ context.Context, request *controlpb.ContentDeltaRequest,
) (*controlpb.ContentDeltaResponse, error) {
	if err := s.checkContents(request.Fleet); err != nil {
		return nil, err
	}
	response, err := s.Contents.Delta(request)
	return response, contentError(err)
}

// ContentBuckets returns some buckets of a content's records.
func (s *Server) ContentBuckets(
	_ context.Context, request *controlpb.ContentBucketsRequest,
) (*controlpb.ContentBucketsResponse, error) {
	if err := s.checkContents(request.Fleet); err != nil {
		return nil, err
	}
	response, err := s.Contents.Buckets(request)
	return response, contentError(err)
}

// Keep fetches a content from the process that sent the request, and stores it.
func (s *Server) Keep(
	ctx context.Context, request *controlpb.KeepRequest,
) (*controlpb.Answer, error) {
	if request.Fleet != s.fleet {
		return nil, errOtherFleet
	}
	if s.Contents == nil {
		return &controlpb.Answer{Code: controlpb.Code_REFUSED, Reason: noContents}, nil
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	if err := s.Contents.Keep(ctx, request); err != nil {
		return &controlpb.Answer{Code: controlpb.Code_REFUSED, Reason: err.Error()}, nil
	}
	return &controlpb.Answer{}, nil
}

// checkContents returns an error for a request of another fleet, or if this process stores no
// contents.
func (s *Server) checkContents(fleet string) error {
	if fleet != s.fleet {
		return errOtherFleet
	}
	if s.Contents == nil {
		return status.Error(codes.Unimplemented, noContents)
	}
	return nil
}

// contentError returns the gRPC status NotFound in place of fs.ErrNotExist.
func contentError(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return status.Error(codes.NotFound, "it is not here")
	}
	return err
}
