package httpclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var errSealed = errors.New("request abandoned before it was sent")

// States of a request body.
const (
	bodyUnread int32 = iota
	bodyRead         // parts of it may have been sent
	bodySealed       // no part of it was or will be sent
)

// body is the body of a command. It records, without a race against the HTTP
// transport's writer, whether any part of it may have been sent: the first read
// and seal exclude each other. Without its body, a command has no effect.
type body struct {
	data  []byte
	state atomic.Int32
}

func newBody(data []byte) *body { return &body{data: data} }

// seal reports whether no part of the body was sent. If so, it prevents any later
// read.
func (b *body) seal() bool {
	return b.state.CompareAndSwap(bodyUnread, bodySealed) || b.state.Load() == bodySealed
}

// request returns a POST request with this body.
func (b *body) request(ctx context.Context, url string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, b.reader())
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(b.data))
	// The HTTP transport requests another reader only when nothing was written.
	req.GetBody = func() (io.ReadCloser, error) { return b.reader(), nil }
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (b *body) reader() io.ReadCloser {
	return &bodyReader{body: b, remaining: bytes.NewReader(b.data)}
}

// bodyReader reads a body and marks it as read.
type bodyReader struct {
	body      *body
	remaining *bytes.Reader
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.body.state.CompareAndSwap(bodyUnread, bodyRead)
	if r.body.state.Load() == bodySealed {
		return 0, errSealed
	}
	return r.remaining.Read(p)
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }
