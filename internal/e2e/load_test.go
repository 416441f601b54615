package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/client"
	apiwire "pollenbend/internal/httpapi/wire"
	"pollenbend/internal/verdict"
)

// load is a number of desks that each send one request after another through the
// instances that say they are ready, as the platform's balancer would. A refusal
// that says "not run" is asked again under the same id.
type load struct {
	cell    *cell
	clients map[string]*client.Client
	cancel  context.CancelFunc
	group   sync.WaitGroup

	served  atomic.Int64
	refused atomic.Int64 // answers "not run"
	inDoubt atomic.Int64 // answers "may have run"
}

func (c *cell) startLoad(callers int) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cell: c, clients: make(map[string]*client.Client), cancel: cancel}
	for id, url := range c.http {
		cl, err := client.New(client.Config{Servers: []string{url}, Key: c.example.Secret("cork-desk"), MaxAttempts: 1})
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

func (l *load) desk(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(uint64(number), 1))
	for n := 0; ctx.Err() == nil; n++ {
		l.request(fmt.Sprintf("prompt-%d-%d", number, n), rng)
	}
}

// request asks until the request has run. "May have run" is no answer that a
// drain may give: it fails the test.
func (l *load) request(id string, rng *rand.Rand) {
	call := apiwire.Call{Queue: "cork", Service: "refill-prompt", Payload: json.RawMessage(`1`), Timeout: "20s"}
	for {
		answer, err := l.pick(rng).Call(context.Background(), call, client.Identity{IdempotencyKey: id})
		switch v := verdict.Of(err); {
		case err == nil && answer.Verdict == verdict.Done:
			l.served.Add(1)
			return
		case v == verdict.NotRun:
			l.refused.Add(1)
		default:
			l.inDoubt.Add(1)
			l.cell.t.Errorf("request %s: %+v, %v", id, answer, err)
			return
		}
	}
}

func (l *load) pick(rng *rand.Rand) *client.Client {
	ids := l.cell.ids()
	for {
		id := ids[rng.IntN(len(ids))]
		if reachable(l.cell.http[id] + "/readyz") {
			return l.clients[id]
		}
	}
}
