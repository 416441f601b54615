package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/client"
	apiwire "pollenbend/internal/httpapi/wire"
	"pollenbend/internal/verdict"
)

// load is a number of callers that each send requests in sequence through ready
// instances, as the platform's load balancer would choose them. The requests must not
// be repeated, so each has a ticket. A request that is refused with "not run" is sent
// again with the same ticket.
type load struct {
	cell           *cell
	clients        map[string]*client.Client
	probe          *http.Client
	allowUncertain bool
	cancel         context.CancelFunc
	group          sync.WaitGroup

	served    atomic.Int64
	refused   atomic.Int64 // answers with the verdict "not run"
	uncertain atomic.Int64 // final answers with the verdict "may have run"

	mu      sync.Mutex
	results map[string]result
}

// result is the outcome of one request.
type result struct{ done bool }

// probeTimeout is the timeout of a readiness probe of /readyz.
const probeTimeout = 200 * time.Millisecond

// startLoad starts the callers. Without allowUncertain, an answer "may have run" fails
// the test.
func (c *cell) startLoad(callers int, allowUncertain bool) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		cell: c, clients: make(map[string]*client.Client), probe: &http.Client{Timeout: probeTimeout},
		allowUncertain: allowUncertain, cancel: cancel, results: make(map[string]result),
	}
	for id, url := range c.http {
		cl, err := client.New(client.Config{
			Servers: []string{url}, Key: c.example.Secret("cork-desk"), MaxAttempts: 1,
		})
		require.NoError(c.t, err)
		l.clients[id] = cl
	}
	for i := range callers {
		l.group.Go(func() { l.runCaller(ctx, i) })
	}
	c.t.Cleanup(l.stop)
	return l
}

// stop makes every caller finish its request and waits for it.
func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

func (l *load) answered() int64 { return l.served.Load() + l.uncertain.Load() }

// resultsByID returns the results so far by request id.
func (l *load) resultsByID() map[string]result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// runCaller sends requests in sequence until ctx is done or the test has failed.
func (l *load) runCaller(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(uint64(number), 1))
	for ctx.Err() == nil && !l.cell.t.Failed() {
		tickets, err := l.pickReady(rng).Tickets(context.Background(), "cork", 1)
		if err != nil {
			continue
		}
		id := tickets[0]
		done := l.request(id, rng)
		l.mu.Lock()
		l.results[id] = result{done: done}
		l.mu.Unlock()
	}
}

// request sends a request until it has a final answer, and reports whether it is
// done.
func (l *load) request(id string, rng *rand.Rand) bool {
	payload := json.RawMessage(fmt.Sprintf("%q", id))
	call := apiwire.Call{Queue: "cork", Service: "refill-prompt", Payload: payload, Timeout: "20s"}
	for {
		answer, err := l.pickReady(rng).Call(context.Background(), call, client.Identity{Ticket: id})
		switch v := verdict.Of(err); {
		case err == nil && answer.Verdict == verdict.Done:
			l.checkEcho(id, payload, answer)
			l.served.Add(1)
			return true
		case v == verdict.NotRun:
			l.refused.Add(1)
		case l.allowUncertain && answer == nil:
			// The answer was lost in transit; send the request again with the same ticket.
		default:
			l.uncertain.Add(1)
			if !l.allowUncertain {
				l.cell.t.Errorf("request %s: %+v, %v", id, answer, err)
			}
			return false
		}
	}
}

func (l *load) checkEcho(id string, payload json.RawMessage, answer *apiwire.Answer) {
	var echo struct {
		Echo []byte `json:"echo"`
	}
	if err := json.Unmarshal(answer.Answer, &echo); err != nil || string(echo.Echo) != string(payload) {
		l.cell.t.Errorf("request %s got the answer to another request: %s", id, answer.Answer)
	}
}

// pickReady returns the client of a random instance whose readiness probe succeeds.
func (l *load) pickReady(rng *rand.Rand) *client.Client {
	ids := l.cell.ids()
	for {
		id := ids[rng.IntN(len(ids))]
		res, err := l.probe.Get(l.cell.http[id] + "/readyz")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return l.clients[id]
		}
	}
}
