package intake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"unsafe"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/link"
)

// control calls f with the descriptor of c.
func control(t *testing.T, c net.Conn, f func(fd uintptr)) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(f))
}

// fill writes to c until the kernel takes no more.
func fill(t *testing.T, c net.Conn) {
	t.Helper()
	part := make([]byte, 4<<10)
	control(t, c, func(fd uintptr) {
		for {
			if _, err := syscall.Write(int(fd), part); errors.Is(err, syscall.EAGAIN) {
				return
			}
		}
	})
}

// connect returns both ends of a connection to a new listener.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	l, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	client, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _, _ = client.Close(), server.Close(), l.Close() })
	return client, server
}

// Guards against a budget that left out half of the unread bytes, as the kernel doubles the size that is set.
func TestUnreadBytesStayWithinWhatAConnectionCosts(t *testing.T) {
	client, server := connect(t)
	fill(t, client)
	var unread int32
	control(t, server, func(fd uintptr) {
		size, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		assert.NoError(t, err)
		assert.LessOrEqual(t, size, ReceiveBytes)
		_, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&unread)))
		assert.Zero(t, errno)
	})
	t.Logf("%d bytes unread", unread)
	assert.Positive(t, unread)
	assert.LessOrEqual(t, int(unread), ReceiveBytes)
}

func TestLargestBodyArrivesThroughTheReceiveBuffer(t *testing.T) {
	client, server := connect(t)
	go func() { _, _ = io.WriteString(client, strings.Repeat("x", testBodyLimit)) }() // the reader sees a failure
	n, err := io.ReadFull(server, make([]byte, testBodyLimit))
	require.NoError(t, err)
	assert.Equal(t, testBodyLimit, n)
}

// Guards against an answer that is followed by its end only when net/http closes the connection half a second later.
func TestWritingSideOfAConnectionCanBeClosed(t *testing.T) {
	client, server := connect(t)
	var m link.Meter
	g := New(Limits{Bytes: 1 << 20}, func(Cause) {})
	conn := newConn(g, m.Conn(server))
	_, err := io.WriteString(conn, "answer")
	require.NoError(t, err)
	lingered := make(chan any)
	go func() {
		defer func() { lingered <- recover() }()
		_ = conn.CloseWrite()
	}()
	out, err := io.ReadAll(client) // ends although the connection is open
	require.NoError(t, err)
	assert.Equal(t, "answer", string(out))
	_, err = io.WriteString(client, "x")
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 1))
	require.NoError(t, err, "the reading side stays open")
	assert.Equal(t, http.ErrAbortHandler, <-lingered, "net/http does not wait once more")
}
