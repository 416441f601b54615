package soak

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// calmRequest is a request that a process serves while there is no crowd.
type calmRequest struct {
	name    string
	address func(in *instance) string // nil for the address for callers
	parts   [][]byte                  // sent with a pause after each
	status  int
	answers int // how many; zero for one
}

// calmRequests returns single requests of the kinds that the crowds send, and whole.
func calmRequests() []calmRequest {
	metrics := func(in *instance) string { return in.metrics }
	small, large := padded(100), padded(crowdBodyBytes)
	steps, label := manySteps(), labeled(labeledBytes)
	dependencies := listed(crowdBodyBytes, `{"spec":"p","steps":[{"count":1,"cpu":1,"dependsOn":[`, "0,", `]}]}`)
	last := []byte("0\r\n\r\n")
	id := 0x20_000
	submission := func(name string, lines []byte, status int, body ...[]byte) calmRequest {
		id++
		return calmRequest{name: name, status: status, parts: append([][]byte{bytes.Join([][]byte{post(id), lines, blank}, nil)}, body...)}
	}
	length := func(body []byte) []byte { return []byte(lengthLine(len(body))) }
	var pieces [][]byte
	for rest := large; len(rest) > 0; rest = rest[min(pieceBytes, len(rest)):] {
		pieces = append(pieces, rest[:min(pieceBytes, len(rest))])
	}
	return []calmRequest{
		submission("short header lines", append(oddLines(headerRoom), length(small)...), http.StatusOK, small),
		submission("one name repeated", append(repeatedLines(), length(small)...), http.StatusOK, small),
		{name: "long request line", parts: [][]byte{head("GET", "/q/?a="+strings.Repeat("a", requestLineBytes)), blank}, status: http.StatusOK},
		{name: "long id", parts: [][]byte{head("GET", "/q/"+strings.Repeat("a", requestLineBytes)), blank}, status: http.StatusBadRequest},
		submission("large body", length(large), http.StatusOK, large),
		submission("body in pieces", length(large), http.StatusOK, pieces...),
		submission("short header lines and a large body", append(oddLines(headerRoom), length(large)...), http.StatusOK, large),
		submission("long label", length(label), http.StatusOK, label),
		submission("large chunks", []byte(chunkedLine), http.StatusOK, chunked(large, chunkBytes, ""), last),
		submission("chunks of one byte", []byte(chunkedLine), http.StatusOK, chunked(large, 1, ""), last),
		submission("chunk extensions", []byte(chunkedLine), http.StatusOK, chunked(large, chunkBytes, ";a=b"), last),
		submission("trailer", []byte("Trailer: a\r\n"+chunkedLine), http.StatusOK, chunked(large, chunkBytes, ""), []byte("0\r\na: b\r\n\r\n")),
		submission("many steps", length(steps), http.StatusBadRequest, steps),
		submission("many dependencies", length(dependencies), http.StatusBadRequest, dependencies),
		{name: "pipelined requests", parts: [][]byte{bytes.Repeat(append(head("GET", "/q/"), blank...), pipelinedRequests)}, status: http.StatusOK, answers: pipelinedRequests},
		{name: "metrics", address: metrics, parts: [][]byte{head("GET", "/metrics"), oddLines(headerRoom), blank}, status: http.StatusOK},
		{name: "explanation", address: metrics, parts: [][]byte{head("POST", "/explain?queue=q&team=t"), length(large), blank, large}, status: http.StatusOK},
	}
}

// TestCrowdCalm checks that one legal request of each kind at a time is served.
func TestCrowdCalm(t *testing.T) {
	c := startCrowded(t, buildProgram(t), 1)
	in := c.instances[0]
	w := watchProcess(in, crowdLimits)
	for _, r := range calmRequests() {
		t.Run(r.name, func(t *testing.T) { r.check(t, in) })
	}
	w.end()
	w.check(t)
	t.Log(w)
}

func (r *calmRequest) check(t *testing.T, in *instance) {
	address := in.front
	if r.address != nil {
		address = r.address(in)
	}
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(recoveryTimeout)))
	for _, p := range r.parts {
		_, err := conn.Write(p)
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	answers := bufio.NewReader(conn)
	for i := range max(1, r.answers) {
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err, "answer %d", i)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, r.status, resp.StatusCode, "answer %d: %.200s", i, body)
	}
}

// maxLineBytes bounds a line of the log whose parts from the caller are cut.
const maxLineBytes = 1 << 10

// TestCrowdLogLines checks that the lines of the log about a request are short, whatever the caller sent.
func TestCrowdLogLines(t *testing.T) {
	long := strings.Repeat("a", requestLineBytes)
	field := listed(crowdBodyBytes, `{"spec":"p","`, "a", `":1}`)
	binary := buildProgram(t)
	for name, request := range map[string][]byte{
		"long-id":    append(head("GET", "/q/"+long), blank...),
		"long-path":  append(head("GET", "/none/"+long), blank...),
		"long-host":  []byte("GET /q/ HTTP/1.1\r\nHost: " + long + "\r\n\r\n"),
		"long-label": bytes.Join([][]byte{post(1), []byte(lengthLine(labeledBytes)), blank, labeled(labeledBytes)}, nil),
		"long-field": bytes.Join([][]byte{post(1), []byte(lengthLine(len(field))), blank, field}, nil),
	} {
		t.Run(name, func(t *testing.T) {
			c := startCrowded(t, binary, 1)
			conn, err := net.Dial("tcp", c.instances[0].front)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = conn.Write(request)
			require.NoError(t, err)
			_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			line := c.lineWith("aaaaaaaaaa")
			require.NotEmpty(t, line, "no line about the request")
			assert.LessOrEqual(t, len(line), maxLineBytes, "%.300s", line)
		})
	}
}

// lineWith waits for a line that contains text in the log of the first instance.
func (c *cell) lineWith(text string) string {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		data, err := os.ReadFile(c.instances[0].log.Name())
		if err != nil {
			return ""
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				return line
			}
		}
	}
	return ""
}
