package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// crowdKind is a crowd of clients that all do the same.
type crowdKind struct {
	name    string
	clients int
	address func(in *instance) string // where it goes; nil for the address for callers
	do      func(v *visit)            // what a client does on a connection
}

// visit is one connection of a client of a crowd.
type visit struct {
	net.Conn
	address string
	client  int
	end     time.Time
}

func (v *visit) run(k *crowdKind) {
	conn, err := net.DialTimeout("tcp", v.address, time.Until(v.end))
	if err != nil {
		return
	}
	v.Conn = conn
	_ = conn.(*net.TCPConn).SetLinger(0) // keeps no port in TIME_WAIT
	_ = conn.SetDeadline(v.end)
	k.do(v)
	_ = conn.Close()
}

// send writes parts one after another and reports whether the connection took them all.
func (v *visit) send(parts ...[]byte) bool {
	for _, p := range parts {
		if _, err := v.Write(p); err != nil {
			return false
		}
	}
	return true
}

// hold reads until the connection ends.
func (v *visit) hold() { _, _ = io.Copy(io.Discard, v) }

// trickleInterval is the pause between two bytes of a request that never ends.
const trickleInterval = 200 * time.Millisecond

// trickle sends a part again and again until the connection ends.
func (v *visit) trickle(part string) {
	for time.Now().Before(v.end) && v.send([]byte(part)) {
		time.Sleep(trickleInterval)
	}
}

// head returns the beginning of a request of client i, without the empty line.
func head(method, path string) []byte {
	return []byte(method + " " + path + " HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token key\r\nContent-Type: application/json\r\n")
}

// post returns the beginning of a submission by client i. The id is the same each time, so
// that a crowd submits at most one job for each client.
func post(i int) []byte { return head("POST", fmt.Sprintf("/q/%016x", 0x10_000+i)) }

const chunkedLine = "Transfer-Encoding: chunked\r\n"

func lengthLine(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// oddLines returns short header lines with different names, of at most size bytes.
func oddLines(size int) []byte {
	const chars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+.^_`|~"
	var out []byte
	for _, a := range chars {
		for _, b := range chars {
			out = append(out, string(a)+string(b)+":\r\n"...)
			if len(out)+5 > size {
				return out
			}
		}
	}
	return out
}

// headerRoom is what is left of a header beside the lines of head.
const headerRoom = crowdHeaderBytes - 256

func repeatedLines() []byte { return bytes.Repeat([]byte("a:\r\n"), headerRoom/4) }

// padded returns a valid submission with white space in it, of size bytes.
func padded(size int) []byte {
	const begin, end = `{"spec":"p",`, `"steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":100}]}`
	return []byte(begin + strings.Repeat(" ", size-len(begin)-len(end)) + end)
}

// labeled returns a valid submission of size bytes whose step requires a long label.
func labeled(size int) []byte {
	const begin, end = `{"spec":"p","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":100,"requiredLabel":"`, `"}]}`
	return []byte(begin + strings.Repeat("a", size-len(begin)-len(end)) + end)
}

// listed returns a body of at most size bytes with begin, many elements and end.
func listed(size int, begin, element, end string) []byte {
	n := (size - len(begin) - len(end)) / len(element)
	return []byte(begin + strings.TrimSuffix(strings.Repeat(element, n), ",") + end)
}

// manySteps returns a submission with more steps than a job may have, about 13,000.
func manySteps() []byte {
	return listed(crowdBodyBytes, `{"spec":"p","steps":[`, `{"count":1,"cpu":1},`, `]}`)
}

// chunked encodes body in chunks of size bytes without the last, empty one.
func chunked(body []byte, size int, extension string) []byte {
	var out []byte
	for len(body) > 0 {
		n := min(size, len(body))
		out = fmt.Appendf(out, "%x%s\r\n", n, extension)
		out = append(append(out, body[:n]...), "\r\n"...)
		body = body[n:]
	}
	return out
}

const (
	pieceBytes = 4 << 10
	chunkBytes = 16 << 10
	// pipelinedRequests is the number of requests that a client sends at a time.
	pipelinedRequests = 200
	// requestLineBytes is the length of a long request line.
	requestLineBytes = 15_000
	// labeledBytes is the size of a submission with a long label, which fits into a record of the store.
	labeledBytes = 200_000
	piecePause   = 10 * time.Millisecond
)

var blank = []byte("\r\n")

// repeat sends a whole request again and again, each time after the answer to the one before.
func (v *visit) repeat(parts ...[]byte) {
	answers := bufio.NewReader(v)
	for v.send(parts...) {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err != nil || resp.Close {
			return
		}
	}
}

// whole returns what a client does that submits a body again and again.
func whole(body []byte) func(v *visit) {
	return func(v *visit) { v.repeat(post(v.client), []byte(lengthLine(len(body))), blank, body) }
}

// short returns what a client does that stops a byte before the end of a body.
func short(body []byte) func(v *visit) {
	return func(v *visit) {
		if v.send(post(v.client), []byte(lengthLine(len(body))), blank, body[:len(body)-1]) {
			v.hold()
		}
	}
}

// shortChunked returns what a client does that stops before the end of a chunked body.
func shortChunked(encoded []byte) func(v *visit) {
	return func(v *visit) {
		if v.send(post(v.client), []byte(chunkedLine), blank, encoded) {
			v.hold()
		}
	}
}
