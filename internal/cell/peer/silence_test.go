package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// network connects a client and a server by pipes whose ends lose what is written to them
// while they are silent. A call of Dial numbers its connection.
type network struct {
	mu      sync.Mutex
	pipes   []*lossyPipe // the client's ends, in the order of the calls of dial
	conns   []net.Conn   // the server's ends
	service *pausedService
}

// lossyPipe loses what is written to it while it is silent.
type lossyPipe struct {
	net.Conn
	silent atomic.Bool
	closed atomic.Bool
}

func (p *lossyPipe) Write(b []byte) (int, error) {
	if p.silent.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

func (p *lossyPipe) Close() error {
	p.closed.Store(true)
	return p.Conn.Close()
}

// pausedService handles pings and requests. busy delays every answer, as a peer does whose
// processor is busy; work delays those to requests, as a slow store does.
type pausedService struct {
	busy, work time.Duration
	noProbes   bool // as in earlier versions
}

func (s *pausedService) Ping(*struct{}, *struct{}) error {
	time.Sleep(s.busy)
	return nil
}

func (s *pausedService) Submit(*struct{}, *struct{}) error {
	time.Sleep(s.busy + s.work)
	return nil
}

func (n *network) dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Cell", n.service); err != nil {
		return nil, err
	}
	if !n.service.noProbes {
		if err := server.RegisterName(probeService, prober{}); err != nil {
			return nil, err
		}
	}
	go server.ServeConn(&idleConn{remote})
	pipe := &lossyPipe{Conn: local}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pipes, n.conns = append(n.pipes, pipe), append(n.conns, remote)
	return pipe, nil
}

// pipe returns the client's end of a connection.
func (n *network) pipe(i int) *lossyPipe {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pipes[i]
}

// runNetwork runs f in virtual time on a client that pings a peer every 200 ms.
func runNetwork(t *testing.T, service pausedService, f func(t *testing.T, n *network, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{service: &service}
		c := NewPool(n.dial).Get("peer:1")
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				ping, cancelPing := context.WithTimeout(ctx, 300*time.Millisecond)
				_ = c.Ping(ping, "Cell.Ping", &struct{}{}, &struct{}{}) // tests have peers that do not answer in time
				cancelPing()
				time.Sleep(200 * time.Millisecond)
			}
		}()
		synctest.Wait() // until the connection for pings is open
		f(t, n, c)
		cancel()
		time.Sleep(10 * time.Second) // until handlers and timers have ended
		n.mu.Lock()
		defer n.mu.Unlock()
		for i := range n.pipes {
			_, _ = n.pipes[i].Conn.Close(), n.conns[i].Close() // some have been closed
		}
	})
}

// submit makes a request that waits for its answer for the given time.
func submit(t *testing.T, c *Client, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return c.Call(ctx, "Cell.Submit", &struct{}{}, &struct{}{})
}

// Pings that time out on a busy peer must not end the requests that wait for it.
func TestUnansweredPingsLeaveWaitingRequests(t *testing.T) {
	runNetwork(t, pausedService{busy: 900 * time.Millisecond}, func(t *testing.T, _ *network, c *Client) {
		assert.NoError(t, submit(t, c, 3*time.Second))
	})
}

// A request may wait for the store of its peer while pings are answered. Its connection must
// not count as silent.
func TestRequestThatTakesLongKeepsItsConnection(t *testing.T) {
	runNetwork(t, pausedService{work: 2 * time.Second}, func(t *testing.T, _ *network, c *Client) {
		assert.NoError(t, submit(t, c, 3*time.Second))
	})
}

// A request must not wait for its deadline on a connection that has gone silent while the
// peer answers on another one, also if the peer is of a version that knows no probes.
func TestSilentConnectionBesideAWorkingOneIsClosed(t *testing.T) {
	for _, noProbes := range []bool{false, true} {
		runNetwork(t, pausedService{noProbes: noProbes}, func(t *testing.T, n *network, c *Client) {
			require.NoError(t, submit(t, c, time.Second))
			time.Sleep(time.Second)
			n.pipe(1).silent.Store(true)
			start := time.Now()
			err := submit(t, c, 5*time.Second)
			require.Error(t, err)
			assert.NotErrorIs(t, err, ErrNotSent)
			assert.NotErrorIs(t, err, context.DeadlineExceeded)
			assert.Less(t, time.Since(start), 700*time.Millisecond)
			assert.NoError(t, submit(t, c, time.Second))
		})
	}
}

// The deadline of one request must not end the others on its connection. The next request
// does not wait on that connection, which may be silent.
func TestDeadlineOfOneRequestLeavesTheOthers(t *testing.T) {
	runNetwork(t, pausedService{work: 2 * time.Second}, func(t *testing.T, n *network, c *Client) {
		other := make(chan error, 1)
		go func() { other <- submit(t, c, 3*time.Second) }()
		time.Sleep(10 * time.Millisecond)
		require.ErrorIs(t, submit(t, c, 20*time.Millisecond), context.DeadlineExceeded)
		go func() { _ = submit(t, c, 3*time.Second) }() // only opens another connection
		require.NoError(t, <-other)
		synctest.Wait()
		assert.True(t, n.pipe(1).closed.Load(), "no call waits on the connection")
		assert.False(t, n.pipe(2).closed.Load())
	})
}

// The peer closes connections that have been idle. A request that is sent at that moment
// would have an unknown outcome.
func TestIdleConnectionIsReplacedBeforeThePeerClosesIt(t *testing.T) {
	runNetwork(t, pausedService{}, func(t *testing.T, n *network, c *Client) {
		require.NoError(t, submit(t, c, time.Second))
		time.Sleep(idleTimeout - time.Millisecond)
		n.pipe(1).silent.Store(true) // a request that is sent now may not be read
		assert.NoError(t, submit(t, c, time.Second))
		assert.True(t, n.pipe(1).closed.Load())
	})
}
