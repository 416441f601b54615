package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/platform/httpclient"
	platformwire "pollenbend/internal/platform/wire"
)

// responder is a server that always returns the same answer, together with the
// production clients of the platform's services that connect to it.
type responder struct {
	workers      *httpclient.Workers
	log          *httpclient.Log
	url          string
	bytesRead    atomic.Int64 // of requests
	bytesWritten atomic.Int64 // of answers
	release      chan struct{}
	heldAnswers  sync.WaitGroup // counts down as requests arrive whose answers are held
}

var ack = platformwire.Ack{OK: true}

// granted returns the reply to a renewal with n outcomes.
func granted(n int) platform.RenewReply {
	r := platform.RenewReply{
		Granted: true, Incarnation: 1764800000000000000, Uptime: time.Hour, Seq: 123456,
		Current: platform.LeaseRef{Holder: instanceRefOf(0).Instance, Incarnation: instanceRefOf(0).Incarnation, Term: 12345678},
	}
	for i := range n {
		r.Finished = append(r.Finished, outcomeOf(model.TaskID(fmt.Sprintf("team-0000/request-%010d/0", i))))
	}
	return r
}

// batchOf returns a batch of the log with one entry of n bytes, or no entry for 0.
func batchOf(n int) platform.Batch {
	b := platform.Batch{Oldest: 12345678, Next: 12345678}
	if n > 0 {
		b.Entries = []platform.Entry{{Offset: 12345677, Data: make([]byte, n)}}
	}
	return b
}

func newResponder(b *testing.B, answer any) *responder {
	body, err := json.Marshal(answer)
	require.NoError(b, err)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Thu, 03 Dec 2026 22:00:00 GMT\r\nContent-Length: %d\r\n\r\n", len(body))
	e := &responder{}
	e.listen(b, append([]byte(head), body...))
	return e
}

func (e *responder) listen(b *testing.B, answer []byte) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	e.url = "http://" + l.Addr().String()
	e.workers, e.log = httpclient.NewWorkers(), httpclient.NewLog(e.url)
	b.Cleanup(func() {
		e.workers.Close()
		e.log.Close()
		_ = l.Close()
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn, answer)
		}
	}()
}

// serve answers every request of a connection. If release is set, it holds the
// answers until that channel is closed.
func (e *responder) serve(conn net.Conn, answer []byte) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(countingReader{conn, &e.bytesRead})
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if e.release != nil {
			e.heldAnswers.Done()
			<-e.release
		}
		n, err := conn.Write(answer)
		if err != nil {
			return
		}
		e.bytesWritten.Add(int64(n))
	}
}

type countingReader struct {
	io.Reader
	n *atomic.Int64
}

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n.Add(int64(n))
	return n, err
}

func (e *responder) worker() model.Worker {
	w := workerOf(0, 8)
	w.Addr = e.url
	return w
}

func (e *responder) renew(r platform.RenewRequest) error {
	_, err := e.workers.Renew(context.Background(), e.worker(), r)
	return err
}

func (e *responder) start(r platform.StartRequest) error {
	return e.workers.Start(context.Background(), e.worker(), r)
}

func (e *responder) readLog() error {
	_, err := e.log.Read(context.Background(), "pollenbend", 12345678, 512, time.Second)
	return err
}

// bytesPerCall returns the bytes of one exchange in both directions, including HTTP
// headers.
func (e *responder) bytesPerCall(b *testing.B, call func(*responder) error) float64 {
	const calls = 10
	for range calls {
		require.NoError(b, call(e))
	}
	return fixedValue(b, float64(e.bytesRead.Load()+e.bytesWritten.Load())/calls)
}

// processorTimePerCall returns the nanoseconds of processor time of one exchange.
func (e *responder) processorTimePerCall(b *testing.B, call func(*responder) error) float64 {
	require.NoError(b, call(e))
	before, n := processorTime(b), 0
	for b.Loop() {
		require.NoError(b, call(e))
		n++
	}
	return float64(processorTime(b)-before) / float64(n)
}

// connectionMemory returns the memory of the connections to n workers, each with a
// waiting renewal. It includes the small part of the answering end.
func connectionMemory(b *testing.B, n int, r platform.RenewRequest) float64 {
	before := memoryInUse()
	e := &responder{release: make(chan struct{})}
	e.heldAnswers.Add(n)
	e.listen(b, nil)
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	for i := range n {
		w := workerOf(i, 8)
		w.Addr = e.url
		calls.Go(func() { _, _ = e.workers.Renew(ctx, w, r) })
	}
	e.heldAnswers.Wait()
	after := memoryInUse()
	cancel()
	close(e.release)
	calls.Wait()
	return float64(after) - float64(before)
}

func snapshotBytes(teams int) float64 {
	s := declare.NewState()
	s.Apply(1, model.Change{ID: "all", Put: declarationsOf(teams)})
	return float64(len(s.Snapshot()))
}
