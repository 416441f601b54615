// Package requests coordinates the requests whose shards this instance owns: it
// remembers each by id, queues it for its team, dispatches its tasks to worker
// holders and answers everyone who asks for it.
//
// A task is dispatched again only when it is certain that the dispatch before has
// not started it and never will; see locate.go.
package requests

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/scheduler"
	"pollenbend/internal/scheduler/queue"
	"pollenbend/internal/service"
	"pollenbend/internal/service/membership"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Ownership tells which shards are owned here.
type Ownership interface {
	Mine(model.Shard) (term uint64, ok bool)
	Owner(model.Shard) (ownership.Slot, bool)
}

// Members tells who lives and what is free where.
type Members interface {
	Live() []wire.Owner
	IsLive(wire.Owner) bool
	Member(model.InstanceID) (*membership.Member, bool)
	// Majority reports whether most of the listed instances are heard.
	Majority() bool
}

// Ledger runs tasks on the workers held here.
type Ledger interface {
	Dispatch(wire.Dispatch) wire.TaskState
	Locate(wire.Locate) wire.Located
	Cancel(wire.CancelTask)
	Free() model.Resources
	Roster() map[model.WorkerID]model.Worker
	Usage(model.TeamID) model.Resources
	Explain(t *model.Task) scheduler.Explanation
	HoldTasks(wire.HoldTasks) wire.Held
	ReleaseHolds(wire.ReleaseHolds)
}

// Config describes services and teams.
type Config interface {
	Service(name string) (model.Service, bool)
	Teams() []model.Team
	// Fresh reports whether the log, or a peer that reads it, was heard lately.
	Fresh() bool
}

// Handover tells which shards are being handed over.
type Handover interface {
	Frozen(model.Shard) bool
}

// Replier gives an answer to a caller at this instance.
type Replier interface {
	OnReply(from wire.Owner, m wire.Reply)
}

// Service is the coordinator.
type Service struct {
	env       *event.Env
	ownership Ownership
	members   Members
	ledger    Ledger
	config    Config
	replier   Replier
	jobs      Jobs
	handover  Handover

	entries map[model.TaskID]*entry
	open    map[model.TaskID]*entry // those without a final answer
	ended   []*entry                // those with one, in the order of their ends
	queue   *queue.Queue
	rooms   map[model.InstanceID]*room
	past    [model.Shards]shardPast
	held    map[model.Shard]*heldMemory
	locates map[uint64]*locate
	locID   uint64
	moved   bool // something happened that may let waiting tasks start

	gangs      map[gangKey]*gang
	gangsMoved bool // a gang may have something to do
	holdID     uint64

	backoffs []backoff
	refusals map[refusal]time.Duration // until when a holder need not be asked
	sharesAt time.Duration
}

// room is what is believed free at another instance, from its last heartbeat less
// what was sent there since.
type room struct {
	seq  uint64
	free model.Resources
}

const (
	maxEntries       = 200000
	maxWaitingByTeam = 4096
	maxRuns          = 3
	// dispatchTimeout is how long a dispatch may go unanswered before its task
	// is looked for.
	dispatchTimeout = 2 * time.Second
	retryAfter      = time.Second
)

// New returns the coordinator.
func New(env *event.Env) *Service {
	return &Service{
		env:      env,
		entries:  make(map[model.TaskID]*entry),
		open:     make(map[model.TaskID]*entry),
		queue:    queue.New(queue.Config{MaxWaiting: maxWaitingByTeam}),
		rooms:    make(map[model.InstanceID]*room),
		held:     make(map[model.Shard]*heldMemory),
		locates:  make(map[uint64]*locate),
		refusals: make(map[refusal]time.Duration),
		gangs:    make(map[gangKey]*gang),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Requests }

// Bind finds the services that this one works with.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	if s.ownership, err = kernel.Find[Ownership](k, service.Ownership); err != nil {
		return err
	}
	if s.members, err = kernel.Find[Members](k, service.Membership); err != nil {
		return err
	}
	if s.ledger, err = kernel.Find[Ledger](k, service.Ledger); err != nil {
		return err
	}
	if s.config, err = kernel.Find[Config](k, service.Config); err != nil {
		return err
	}
	if s.jobs, err = kernel.Find[Jobs](k, service.Jobs); err != nil {
		return err
	}
	if s.handover, err = kernel.Find[Handover](k, service.Handover); err != nil {
		return err
	}
	s.replier, err = kernel.Find[Replier](k, service.Gateway)
	return err
}

// Serve takes a request from a gateway.
func (s *Service) Serve(from wire.Owner, f wire.Forward) {
	r := f.Request
	shard := model.ShardOfRequest(f.Team, r.ID)
	_, mine := s.ownership.Mine(shard)
	if !mine || s.handover.Frozen(shard) {
		s.refuse(from, f, verdict.Refuse(verdict.CodeStaleAuthority, "the shard has another owner").After(retryAfter))
		return
	}
	switch r.Op {
	case model.OpCall:
		s.call(from, f, shard)
	case model.OpStatus:
		s.status(from, f)
	case model.OpCancel:
		s.cancel(from, f)
	case model.OpSubmit:
		s.submit(from, f)
	default:
		s.refuse(from, f, verdict.Refuse(verdict.CodeBadRequest, "operation %q is not served here", r.Op))
	}
}

func (s *Service) call(from wire.Owner, f wire.Forward, shard model.Shard) {
	base := model.TaskIDOf(f.Team, f.Request.ID, 0)
	w := waiter{from: from, handle: f.Handle, deadline: s.env.Now() + f.Request.Timeout}
	if e, ok := s.entries[base]; ok {
		s.join(e, w, f)
		return
	}
	e, refusal := s.newEntry(base, shard, f)
	if refusal != nil {
		s.refuse(from, f, refusal)
		return
	}
	e.waiters = append(e.waiters, w)
	e.deadline = w.deadline
	s.entries[base] = e
	if s.neverSeen(f.Request.ID, shard) {
		s.enqueue(e)
		return
	}
	s.startLocate(e)
}

// join adds a caller to a request that is known already.
func (s *Service) join(e *entry, w waiter, f wire.Forward) {
	if e.fingerprint != 0 && e.fingerprint != fingerprint(f.Request) {
		s.refuse(w.from, f, verdict.Refuse(verdict.CodeConflict, "the id was used for another request"))
		return
	}
	if e.phase == phaseFinished {
		s.reply(w, e.answer)
		return
	}
	s.complete(e, f)
	e.waiters = append(e.waiters, w)
	e.deadline = max(e.deadline, w.deadline)
}

// complete gives an entry that was adopted from a task's state the task itself, so
// that it can be run if it turns out never to have started.
func (s *Service) complete(e *entry, f wire.Forward) {
	if e.fingerprint != 0 || e.task.Job != "" {
		return
	}
	t, refusal := s.buildTask(e.base, f)
	if refusal != nil {
		return
	}
	if e.charged {
		s.queue.Ended(&e.task)
		s.queue.Started(&t)
	}
	e.task = t
	e.fingerprint = fingerprint(f.Request)
}

func (s *Service) newEntry(base model.TaskID, shard model.Shard, f wire.Forward) (*entry, *verdict.Error) {
	if len(s.entries) >= maxEntries {
		return nil, verdict.Refuse(verdict.CodeOverloaded, "too many requests are remembered here").After(retryAfter)
	}
	if s.queue.Waiting(f.Team) >= maxWaitingByTeam {
		return nil, verdict.Refuse(verdict.CodeOverloaded, "the team has %d requests waiting here", maxWaitingByTeam).After(retryAfter)
	}
	t, refusal := s.buildTask(base, f)
	if refusal != nil {
		return nil, refusal
	}
	if !s.everFits(&t) {
		return nil, verdict.Refuse(verdict.CodeNeverFits, "no listed worker could ever run this: demand %+v, selector %+v", t.Demand, t.Require)
	}
	return &entry{
		id: f.Request.ID, task: t, base: base, shard: shard, run: 1,
		fingerprint: fingerprint(f.Request), receivedAt: s.env.Now(), born: s.env.Now(),
	}, nil
}

// buildTask joins the caller's part of a task with what its service declares.
func (s *Service) buildTask(base model.TaskID, f wire.Forward) (model.Task, *verdict.Error) {
	t := f.Request.Task
	t.ID, t.Team, t.Kind = base, f.Team, model.KindRequest
	if f.Request.Service != "" {
		svc, ok := s.config.Service(f.Request.Service)
		if !ok {
			return t, verdict.Refuse(verdict.CodeNotFound, "service %q is not declared", f.Request.Service)
		}
		t.Service, t.Repeatable = svc.Name, svc.Repeatable
		t.Class = cmp.Or(t.Class, svc.Class)
		t.Require = append(slices.Clone(svc.Require), t.Require...)
		t.Prefer = append(slices.Clone(svc.Prefer), t.Prefer...)
		if t.Demand.IsZero() {
			t.Demand = svc.Demand
		}
	}
	t.Class = cmp.Or(t.Class, model.ClassNormal)
	t.Demand.Slots = max(t.Demand.Slots, 1)
	return t, nil
}

func (s *Service) everFits(t *model.Task) bool {
	roster := s.ledger.Roster()
	if len(roster) == 0 {
		return true
	}
	for _, w := range roster {
		if t.Demand.Fits(w.Capacity) && t.Require.Matches(w.Labels) {
			return true
		}
	}
	return false
}

func fingerprint(r model.Request) uint64 {
	h := xxhash.New()
	for _, part := range []string{string(r.Op), r.Service, string(r.Task.Payload)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}

func (s *Service) reply(w waiter, a model.Answer) {
	m := wire.Reply{Handle: w.handle, Answer: a}
	if w.from == s.env.Owner() {
		s.replier.OnReply(w.from, m)
		return
	}
	s.env.Send(w.from.Instance, m)
}

func (s *Service) refuse(from wire.Owner, f wire.Forward, e *verdict.Error) {
	s.reply(waiter{from: from, handle: f.Handle}, model.Refusal(f.Request.ID, e))
}

func (s *Service) stopAs(e *entry, mode platform.StopMode) {
	c := wire.CancelTask{Task: e.taskOf(), Mode: mode}
	if e.holder == s.env.Owner() {
		s.ledger.Cancel(c)
		return
	}
	if e.holder.Instance != "" {
		s.env.Send(e.holder.Instance, c)
	}
}

// Waiting returns how many tasks of a team wait here.
func (s *Service) Waiting(team model.TeamID) int64 { return int64(s.queue.Waiting(team)) }

// Busy returns how many requests here have no final answer yet.
func (s *Service) Busy() int { return len(s.open) }
