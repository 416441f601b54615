package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The bound must follow the messages of gob however they are cut into reads.
func TestMessagesUpToTheBoundPass(t *testing.T) {
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	for _, size := range []int{0, 1, 100, 126, 127, 128, 255, 256, 70_000, maxMessageBytes - 64} {
		require.NoError(t, encoder.Encode(EchoReply{Words: []string{strings.Repeat("w", size)}}))
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var f frames
		for rest := stream.Bytes(); len(rest) > 0; {
			n := min(len(rest), 1+rng.IntN(1<<rng.IntN(22)))
			require.True(t, f.pass(rest[:n]))
			rest = rest[n:]
		}
		assert.Equal(t, frames{length: f.length}, f, "the end of a message")
	}
}

func TestMessageBeyondTheBoundIsNotHeld(t *testing.T) {
	for _, length := range []uint64{maxMessageBytes + 1, 1 << 30, 1 << 63} {
		message := binary.BigEndian.AppendUint64([]byte{0xf8}, length) // eight bytes of length
		for cut := range message {
			var f frames
			assert.False(t, f.pass(message[:cut]) && f.pass(message[cut:]), "%d", length)
		}
	}
	local, remote := net.Pipe()
	go func() { _, _ = remote.Write([]byte{0xfc, 0xff, 0xff, 0xff, 0xff, 1}) }()
	_, err := (&boundedConn{Conn: local}).Read(make([]byte, 10))
	assert.ErrorIs(t, err, errMessageTooLarge)
}

func TestCallWithALargeMessageFailsAndTheNextSucceeds(t *testing.T) {
	e := newEcho()
	close(e.release)
	client := NewPool(DialTCP).Get(startEcho(t, e))
	var reply EchoReply
	require.Error(t, client.Call(t.Context(), "Echo.Say", &[]string{strings.Repeat("w", maxMessageBytes+1)}, &reply))
	require.NoError(t, client.Call(t.Context(), "Echo.Say", &[]string{strings.Repeat("w", maxMessageBytes/2)}, &reply))
	assert.Len(t, reply.Words[0], maxMessageBytes/2)
}
