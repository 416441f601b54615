// Package testcell runs several decision cores against the platform's stand-ins
// in virtual time, for tests. Everything that happens follows from one seed.
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

// Secrets with which the cell's keys are declared.
const (
	OperatorSecret = "operator-secret"
	stream         = "cell"
)

// epoch is the wall-clock time at which every cell begins.
var epoch = time.Date(2026, time.March, 1, 6, 0, 0, 0, time.UTC)

// Options configures a Cell.
type Options struct {
	Seed   uint64
	Timing event.Timing
}

// DefaultTiming returns the timing that cells run with.
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

// Cell is a set of instances, workers and a platform in virtual time. It is not
// safe for concurrent use.
type Cell struct {
	options Options
	tamper  Tamper
	rng     *rand.Rand
	now     time.Duration
	queue   timers
	serial  uint64

	instances map[model.InstanceID]*instance
	order     []model.InstanceID
	links     map[pair]*link

	log      *standin.LogCore
	appended []appended
	logSince time.Duration // when the log's faults changed last
	noLog    map[model.InstanceID]bool
	list     *standin.ListCore
	lag      time.Duration
	leaving  map[model.WorkerID]time.Duration // when the list shows it

	history *standin.History
	workers map[model.WorkerID]*worker
	wanted  model.Declarations
	calls   []*Call
	faults  []Violation // broken promises found while running
}

// appended is one log entry and the time at which it took effect.
type appended struct {
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
		options:   o,
		rng:       rand.New(rand.NewPCG(o.Seed, 1)),
		instances: make(map[model.InstanceID]*instance),
		links:     make(map[pair]*link),
		log:       standin.NewLogCore(standin.LogSettings{}),
		noLog:     make(map[model.InstanceID]bool),
		list:      standin.NewListCore(0),
		leaving:   make(map[model.WorkerID]time.Duration),
		history:   standin.NewHistory(),
		workers:   make(map[model.WorkerID]*worker),
	}
	c.wanted.Keys = []model.Key{{
		Name: "operator", Scope: model.ScopeOperator, SHA256: declare.HashSecret(OperatorSecret),
	}}
	return c
}

// Now returns the virtual time since the cell began.
func (c *Cell) Now() time.Duration { return c.now }

// History returns what the workers really did.
func (c *Cell) History() []standin.Event { return c.history.Read(0).Events }

func (c *Cell) wall() time.Time { return epoch.Add(c.now) }

// timer runs a function at a virtual time. Timers of one time run in the order
// in which they were set.
type timer struct {
	at     time.Duration
	serial uint64
	run    func()
}

type timers []timer

func (q timers) Len() int { return len(q) }
func (q timers) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q timers) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timers) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timers) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = timer{}
	*q = (*q)[:last]
	return t
}

func (c *Cell) after(d time.Duration, run func()) {
	c.serial++
	heap.Push(&c.queue, timer{at: c.now + max(d, 0), serial: c.serial, run: run})
}

// Advance runs the cell for d.
func (c *Cell) Advance(d time.Duration) {
	until := c.now + d
	for len(c.queue) > 0 && c.queue[0].at <= until {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
	c.now = until
}

// between draws a duration from low to high.
func (c *Cell) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)+1))
}

// latency draws the time that a message takes.
func (c *Cell) latency() time.Duration {
	return c.between(500*time.Microsecond, 3*time.Millisecond)
}

// AddInstances lists n instances named entry-1, entry-2 and so on, spread over
// four availability zones. Start starts them.
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
			c.linkOf(a, b)
		}
	}
}

// Declare adds to the declarations with which the cell starts.
func (c *Cell) Declare(d model.Declarations) {
	c.wanted.Teams = append(c.wanted.Teams, d.Teams...)
	c.wanted.Keys = append(c.wanted.Keys, d.Keys...)
	c.wanted.Queues = append(c.wanted.Queues, d.Queues...)
	c.wanted.Services = append(c.wanted.Services, d.Services...)
}

// Start puts the declarations into the log and starts every instance.
func (c *Cell) Start() {
	change := model.Change{ID: "initial", Put: c.wanted, Author: "test"}
	c.appendRecords([]wire.Record{wire.ConfigChange{Change: change}})
	for _, id := range c.order {
		c.after(c.between(0, 500*time.Millisecond), func() { c.Restart(id) })
	}
}

// Instances returns the ids of all instances in order.
func (c *Cell) Instances() []model.InstanceID { return c.order }

// Workers returns the ids of all workers in order.
func (c *Cell) Workers() []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
