package transport

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenbend/internal/model"
)

// Size limits of payloads, in bytes.
const (
	// MaxOrderedPayload is the maximum size of a payload that is delivered in
	// the order in which it was sent.
	MaxOrderedPayload = 16 << 10
	// MaxPayload is the maximum size of any payload.
	MaxPayload = 8 << 20
)

// frameKind is the type of a frame. It is the byte that follows the frame's length.
type frameKind byte

const (
	frameHello frameKind = iota + 1
	framePayload
	framePing
	framePong
	frameEnd // end of the ordered payloads; the receiver answers it with the same kind
)

// frameLengthBytes is the size in bytes of the length that starts a frame. The
// length covers the kind and the body.
const frameLengthBytes = 4

// hello is the body of the first frame in either direction of a connection's
// first stream. The dialling side sets Serial, which increases with every
// connection that one incarnation opens.
type hello struct {
	Instance    model.InstanceID  `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Serial      uint64            `cbor:"3,keyasint,omitempty"`
}

// writeFrame writes the length, the kind and the body.
func writeFrame(w io.Writer, kind frameKind, body []byte) error {
	var head [frameLengthBytes + 1]byte
	binary.BigEndian.PutUint32(head[:], uint32(1+len(body)))
	head[frameLengthBytes] = byte(kind)
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// readFrame reads a frame whose body has at most limit bytes.
func readFrame(r io.Reader, limit int) (frameKind, []byte, error) {
	var head [frameLengthBytes + 1]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < 1 || uint64(length) > uint64(limit)+1 {
		return 0, nil, errors.Newf("frame of %d bytes", length)
	}
	body := make([]byte, length-1)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	return frameKind(head[frameLengthBytes]), body, nil
}

func writeHello(w *bufio.Writer, h hello) error {
	body, err := cbor.Marshal(h)
	if err != nil {
		return err
	}
	if err := writeFrame(w, frameHello, body); err != nil {
		return err
	}
	return w.Flush()
}

func readHello(r io.Reader) (hello, error) {
	kind, body, err := readFrame(r, MaxOrderedPayload)
	if err != nil {
		return hello{}, err
	}
	if kind != frameHello {
		return hello{}, errors.Newf("unexpected frame kind %d; the first frame must be a hello", kind)
	}
	var h hello
	if err := cbor.Unmarshal(body, &h); err != nil {
		return hello{}, errors.Wrap(err, "decode hello")
	}
	return h, nil
}
