package intake

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

var (
	// ErrTooLarge means that a body is larger than allowed.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoMemory means that there is no room for a body beside others.
	ErrNoMemory = errors.New("no memory for the body")
)

// firstBytes is the size of the first buffer for a body of unknown or large size. net/http reads into it directly.
const firstBytes = 2 * bufferBytes

// ReadBody reads the body of r, at most limit bytes. What it needs is reserved before and stays
// reserved until the request has been answered or Keep is called. The error is ErrTooLarge,
// ErrNoMemory or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	b := body{conn: connOf(r), limit: limit + 1}
	if r.ContentLength >= 0 {
		b.limit = r.ContentLength + 1 // the end is read with the last byte
	}
	if err := b.read(r.Body); err != nil {
		return nil, err
	}
	if int64(len(b.data)) > limit {
		return nil, ErrTooLarge
	}
	if !b.hold(int64(cap(b.data)), answering) {
		return nil, ErrNoMemory
	}
	w.Header().Del("Connection") // the connection can be kept
	return b.data, nil
}

// Discard reads the body of r, at most limit bytes, for a handler that has no use for it. From
// then on the request counts as read. Errors are those of ReadBody.
func Discard(w http.ResponseWriter, r *http.Request, limit int64) error {
	if r.ContentLength > limit {
		return ErrTooLarge
	}
	b := body{conn: connOf(r)}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return b.failure(err)
	case n > limit:
		return ErrTooLarge
	case !b.hold(0, answering):
		return ErrNoMemory
	}
	w.Header().Del("Connection") // the connection can be kept
	return nil
}

// body is a body that is being read.
type body struct {
	conn  *Conn // nil if the request is not served by a guard
	data  []byte
	limit int64
}

// read reads until the end or until there are more bytes than allowed.
func (b *body) read(from io.Reader) error {
	for {
		if len(b.data) == cap(b.data) {
			if int64(len(b.data)) >= b.limit {
				return nil
			}
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := from.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return b.failure(err)
		}
	}
}

// failure returns the reason of a failed read: ErrNoMemory if the connection was closed to make room.
func (b *body) failure(err error) error {
	if b.conn != nil && b.conn.ended() {
		return ErrNoMemory
	}
	return err
}

// grow doubles the buffer. Both buffers are reserved while one is copied.
func (b *body) grow() error {
	size := min(b.limit, max(firstBytes, 2*int64(cap(b.data))))
	if !b.hold(size+int64(cap(b.data)), readingBody) {
		return ErrNoMemory
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	if !b.hold(size, readingBody) {
		return ErrNoMemory
	}
	return nil
}

func (b *body) hold(n int64, p phase) bool {
	return b.conn == nil || b.conn.hold(n, p, CauseBody)
}

// Keep tells that a request holds n bytes decoded from its body, and no longer the body. It
// returns false if there is no room.
func Keep(r *http.Request, n int64) bool {
	c := connOf(r)
	return c == nil || c.hold(n, answering, CauseDecoded)
}
