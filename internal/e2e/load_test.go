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

// load is a number of desks that each send one request after another through the
// instances that say they are ready, as the platform's balancer would. The
// requests must not be repeated, so each goes under a ticket. A refusal that says
// "not run" is asked again under the same ticket.
type load struct {
	cell       *cell
	clients    map[string]*client.Client
	probe      *http.Client
	allowDoubt bool
	cancel     context.CancelFunc
	group      sync.WaitGroup

	served  atomic.Int64
	refused atomic.Int64 // answers "not run"
	inDoubt atomic.Int64 // final answers "may have run"

	mu      sync.Mutex
	results map[string]result
}

// result is the final answer of one request.
type result struct{ done bool }

// probeTimeout is how long the balancer waits for /readyz.
const probeTimeout = 200 * time.Millisecond

// startLoad starts the desks. Without allowDoubt, "may have run" fails the test.
func (c *cell) startLoad(callers int, allowDoubt bool) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{
		cell: c, clients: make(map[string]*client.Client), probe: &http.Client{Timeout: probeTimeout},
		allowDoubt: allowDoubt, cancel: cancel, results: make(map[string]result),
	}
	for id, url := range c.http {
		cl, err := client.New(client.Config{
			Servers: []string{url}, Key: c.example.Secret("cork-desk"), MaxAttempts: 1,
		})
		require.NoError(c.t, err)
		l.clients[id] = cl
	}
	for i := range callers {
		l.group.Go(func() { l.desk(ctx, i) })
	}
	c.t.Cleanup(l.stop)
	return l
}

// stop lets every desk finish its request.
func (l *load) stop() {
	l.cancel()
	l.group.Wait()
}

func (l *load) answered() int64 { return l.served.Load() + l.inDoubt.Load() }

// verdicts returns the final answers so far by request id.
func (l *load) verdicts() map[string]result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

func (l *load) desk(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(uint64(number), 1))
	for ctx.Err() == nil && !l.cell.t.Failed() {
		tickets, err := l.pick(rng).Tickets(context.Background(), "cork", 1)
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

// request asks until there is a final answer and reports whether the request is
// done.
func (l *load) request(id string, rng *rand.Rand) bool {
	payload := json.RawMessage(fmt.Sprintf("%q", id))
	call := apiwire.Call{Queue: "cork", Service: "refill-prompt", Payload: payload, Timeout: "20s"}
	for {
		answer, err := l.pick(rng).Call(context.Background(), call, client.Identity{Ticket: id})
		switch v := verdict.Of(err); {
		case err == nil && answer.Verdict == verdict.Done:
			l.checkEcho(id, payload, answer)
			l.served.Add(1)
			return true
		case v == verdict.NotRun:
			l.refused.Add(1)
		case l.allowDoubt && answer == nil:
			// The answer was lost on the way: ask again by id.
		default:
			l.inDoubt.Add(1)
			if !l.allowDoubt {
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
		l.cell.t.Errorf("request %s has another's answer: %s", id, answer.Answer)
	}
}

func (l *load) pick(rng *rand.Rand) *client.Client {
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
