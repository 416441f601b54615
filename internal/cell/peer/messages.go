package peer

import (
	"net"

	"github.com/cockroachdb/errors"
)

// maxMessageBytes is the maximum size of a message between instances. The largest carry the
// commands for a relay's workers, or all declarations. gob itself would take 1 GB.
const maxMessageBytes = 16 << 20

// errMessageTooLarge ends a connection.
var errMessageTooLarge = errors.Newf("a message of more than %d bytes", maxMessageBytes)

// boundedConn is a connection on which a message that is too large ends the reading before it
// is held in memory.
type boundedConn struct {
	net.Conn
	frames frames
}

// Read implements net.Conn.
func (c *boundedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.frames.pass(b[:n]) {
		return 0, errMessageTooLarge
	}
	return n, err
}

// frames follows the messages in a stream of gob: each has its length before it, which is one
// byte up to maxShortLength, or the negated number of bytes that it takes and these bytes,
// the highest first.
type frames struct {
	left        int    // bytes of the message that have not passed
	lengthBytes int    // bytes of its length that have not passed
	length      uint64 // what has passed of it
}

// maxShortLength is the highest length that takes one byte.
const maxShortLength = 0x7f

// pass follows b and returns false if a message is too large.
func (f *frames) pass(b []byte) bool {
	for len(b) > 0 {
		switch {
		case f.left > 0:
			n := min(f.left, len(b))
			f.left -= n
			b = b[n:]
			continue
		case f.lengthBytes > 0:
			f.length = f.length<<8 | uint64(b[0])
			f.lengthBytes--
		case b[0] <= maxShortLength:
			f.length = uint64(b[0])
		default:
			f.length, f.lengthBytes = 0, -int(int8(b[0]))
		}
		b = b[1:]
		if f.length > maxMessageBytes {
			return false
		}
		if f.lengthBytes == 0 {
			f.left = int(f.length)
		}
	}
	return true
}
