package link

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestMeterCountsBothEnds(t *testing.T) {
	var client, server Meter
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := server.Listener(raw)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(c, c, 5) // a failure shows in the counts
		_ = c.Close()
	}()
	c, err := client.Dialer(new(net.Dialer).DialContext)(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	_, err = c.Write([]byte("hello"))
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(answer))
	for _, m := range []*Meter{&client, &server} {
		assert.Equal(t, int64(5), m.Sent())
		assert.Equal(t, int64(5), m.Received())
	}
}

func TestDialerReturnsErrors(t *testing.T) {
	var m Meter
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := m.Dialer(new(net.Dialer).DialContext)(ctx, "tcp", "127.0.0.1:1")
	require.Error(t, err)
}
