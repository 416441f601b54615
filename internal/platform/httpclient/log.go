package httpclient

import (
	"context"
	"net/url"
	"strconv"
	"time"

	"pollenbend/internal/platform"
	"pollenbend/internal/platform/wire"
)

// maxLogConns is the maximum number of connections to the log, including those
// that long polls occupy.
const maxLogConns = 32

// Log implements platform.Log.
type Log struct {
	base   string
	client *client
}

var _ platform.Log = (*Log)(nil)

// NewLog returns a client of the log at baseURL.
func NewLog(baseURL string) *Log {
	return &Log{base: baseURL + wire.PathLog, client: newClient(maxLogConns)}
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream string, entry []byte) (uint64, error) {
	var reply wire.AppendReply
	u := l.base + url.PathEscape(stream) + wire.PathAppend
	if err := l.client.post(ctx, 0, u, wire.AppendRequest{Data: entry}, &reply); err != nil {
		return 0, err
	}
	if reply.Offset == 0 {
		return 0, errIncomplete
	}
	return reply.Offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	q := url.Values{
		wire.ParamFrom:  {strconv.FormatUint(from, 10)},
		wire.ParamLimit: {strconv.Itoa(limit)},
		wire.ParamWait:  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var b platform.Batch
	u := l.base + url.PathEscape(stream) + wire.PathRead + "?" + q.Encode()
	if err := l.client.get(ctx, wait, u, &b); err != nil {
		return platform.Batch{}, err
	}
	if b.Next == 0 {
		return platform.Batch{}, errIncomplete
	}
	return b, nil
}

// Close closes the idle connections.
func (l *Log) Close() { l.client.close() }
