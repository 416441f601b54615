// Package testcell simulates a cell for tests: several decision cores run against
// stand-ins for the platform's services in virtual time. A run is determined by
// its seed.
package testcell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pollenbend/internal/declare"
	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/standin"
	"pollenbend/internal/wire"
)

const (
	// OperatorSecret is the secret of the cell's operator key.
	OperatorSecret = "operator-secret"
	// stream is the name of the log's stream.
	stream = "cell"
)

// epoch is the wall-clock time at which every cell starts.
var epoch = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

// Options configures a Cell.
type Options struct {
	Seed   uint64
	Timing event.Timing
}

// DefaultTiming returns the timing of a cell whose options set none.
func DefaultTiming() event.Timing {
	return event.Timing{
		Heartbeat:       500 * time.Millisecond,
		DeadAfter:       3 * time.Second,
		WorkerLease:     4 * time.Second,
		TaskLease:       5 * time.Minute,
		ConfigFreshness: 5 * time.Second,
		Retention:       10 * time.Minute,
		RequestTimeout:  30 * time.Second,
	}
}

// Cell simulates instances, workers and the platform's services in virtual time.
// It is not safe for concurrent use.
type Cell struct {
	options    Options
	injector   FaultInjector
	rng        *rand.Rand
	now        time.Duration
	timers     timerQueue
	lastSerial uint64

	instances map[model.InstanceID]*instance
	order     []model.InstanceID
	links     map[pair]*link

	log            *standin.LogCore
	logEntries     []logEntry
	logFaultsSetAt time.Duration // when the log's faults were last changed
	logUnreachable map[model.InstanceID]bool
	list           *standin.ListCore
	listLag        time.Duration
	leavingSince   map[model.WorkerID]time.Duration // time from which the list shows the worker as leaving

	history      *standin.History
	workers      map[model.WorkerID]*worker
	declarations model.Declarations
	calls        []*Call
	violations   []Violation // violations found while the cell runs
}

// logEntry is one log entry and the time at which it took effect.
type logEntry struct {
	offset  uint64
	at      time.Duration
	records []wire.Record
}

// New returns an empty cell.
func New(o Options) *Cell {
	if o.Timing == (event.Timing{}) {
		o.Timing = DefaultTiming()
	}
	c := &Cell{
		options:        o,
		rng:            rand.New(rand.NewPCG(o.Seed, 1)),
		instances:      make(map[model.InstanceID]*instance),
		links:          make(map[pair]*link),
		log:            standin.NewLogCore(standin.LogSettings{}),
		logUnreachable: make(map[model.InstanceID]bool),
		list:           standin.NewListCore(0),
		leavingSince:   make(map[model.WorkerID]time.Duration),
		history:        standin.NewHistory(),
		workers:        make(map[model.WorkerID]*worker),
	}
	c.declarations.Keys = []model.Key{{
		Name: "operator", Scope: model.ScopeOperator, SHA256: declare.HashSecret(OperatorSecret),
	}}
	return c
}

// Now returns the virtual time since the cell was created.
func (c *Cell) Now() time.Duration { return c.now }

// History returns the events that the workers recorded.
func (c *Cell) History() []standin.Event { return c.history.Read(0).Events }

func (c *Cell) wallTime() time.Time { return epoch.Add(c.now) }

// timer runs a function at a virtual time. Timers with the same time run in the
// order in which they were set.
type timer struct {
	at     time.Duration
	serial uint64
	run    func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return t
}

func (c *Cell) runAfter(d time.Duration, f func()) {
	c.lastSerial++
	heap.Push(&c.timers, timer{at: c.now + max(d, 0), serial: c.lastSerial, run: f})
}

// Advance runs the cell for d of virtual time.
func (c *Cell) Advance(d time.Duration) {
	end := c.now + d
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// randomDuration returns a uniformly distributed duration from minimum to maximum.
func (c *Cell) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(c.rng.Int64N(int64(maximum-minimum)+1))
}

// randomLatency returns the random one-way latency of one message.
func (c *Cell) randomLatency() time.Duration {
	return c.randomDuration(500*time.Microsecond, 3*time.Millisecond)
}

// AddInstances adds n instances named entry-1, entry-2 and so on, spread over four
// availability zones. Start starts them.
func (c *Cell) AddInstances(n int) {
	for i := range n {
		info := platform.Instance{
			ID:       model.InstanceID(fmt.Sprintf("entry-%d", i+1)),
			Location: model.Location{Zone: fmt.Sprintf("zone-%d", i%4+1)},
		}
		c.instances[info.ID] = &instance{cell: c, info: info}
		c.order = append(c.order, info.ID)
	}
	for i, a := range c.order {
		for _, b := range c.order[i+1:] {
			c.linkBetween(a, b)
		}
	}
}

// Declare adds to the declarations that Start writes to the log.
func (c *Cell) Declare(d model.Declarations) {
	c.declarations.Teams = append(c.declarations.Teams, d.Teams...)
	c.declarations.Keys = append(c.declarations.Keys, d.Keys...)
	c.declarations.Queues = append(c.declarations.Queues, d.Queues...)
	c.declarations.Services = append(c.declarations.Services, d.Services...)
}

// Start appends the declarations to the log and starts every instance after a
// random delay of at most 500 ms.
func (c *Cell) Start() {
	change := model.Change{ID: "initial", Put: c.declarations, Author: "test"}
	c.appendRecords([]wire.Record{wire.ConfigChange{Change: change}})
	for _, id := range c.order {
		c.runAfter(c.randomDuration(0, 500*time.Millisecond), func() { c.Restart(id) })
	}
}

// Instances returns the ids of all instances in the order of their numbers.
func (c *Cell) Instances() []model.InstanceID { return c.order }

// Workers returns the sorted ids of all workers.
func (c *Cell) Workers() []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
