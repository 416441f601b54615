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

// phase is where a request stands at its coordinator.
type phase uint8

const (
	phaseLocating phase = iota // not known whether it was started before
	phaseWaiting
	phaseDispatched
	phaseRunning
	phaseBackoff // ended, and to be run again after a pause
	phaseFinished
	phaseGang // waits to start together with its gang
)

// entry is the memory of one request.
type entry struct {
	id           string
	task         model.Task
	base         model.TaskID
	shard        model.Shard
	fingerprint  uint64
	phase        phase
	holder       wire.Owner // instance that the task was dispatched to
	attempt      uint32
	run          int
	born         time.Duration // when it was received first, at the latest
	receivedAt   time.Duration
	startedAt    time.Duration
	finishedAt   time.Duration
	dispatchedAt time.Duration
	deadline     time.Duration
	canceled     bool
	charged      bool   // counted as running for its team
	place        uint64 // in the order received, once dispatched
	waiters      []waiter
	answer       model.Answer
	worker       model.WorkerID
	gang         *gang // that the task belongs to, or nil
	failed       bool  // the last run failed by itself
}

type waiter struct {
	from     wire.Owner
	handle   uint64
	deadline time.Duration
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
	e.waiters = append(e.waiters, w)
	e.deadline = max(e.deadline, w.deadline)
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

// neverSeen reports whether a request without an entry was certainly not seen
// before: its ticket is of a term since which memory is complete, or everything
// that could have been seen before is past its retention.
func (s *Service) neverSeen(id string, shard model.Shard) bool {
	past := s.past[shard]
	if t, err := model.ParseTicket(id); err == nil && t.Term >= past.exactFrom {
		return true
	}
	return past.lostAt == 0 || s.env.Now()-past.lostAt > s.env.Timing.Retention+s.env.Timing.RequestTimeout
}

// enqueue makes a task wait for its team's turn. A task that finds its team's
// queue full is refused: it has not run.
func (s *Service) enqueue(e *entry) {
	if e.gang != nil {
		s.setPhase(e, phaseGang)
		return
	}
	s.setPhase(e, phaseWaiting)
	if err := s.queue.Push(&e.task); err != nil {
		s.finish(e, s.unstarted(e, verdict.CodeOverloaded, err.Error()))
	}
	s.moved = true
}

// setPhase moves an entry on and keeps the queue's account of its team: a task is
// charged to it from its dispatch to its end.
func (s *Service) setPhase(e *entry, p phase) {
	if e.phase == phaseWaiting && p != phaseWaiting {
		s.queue.Cancel(e.task.ID)
	}
	was, is := e.charged, p == phaseDispatched || p == phaseRunning || p == phaseLocating && e.charged
	if is && !was {
		e.place = s.queue.Started(&e.task)
	}
	if was && !is {
		s.queue.Ended(&e.task)
	}
	e.charged = is
	e.phase = p
	if e.gang != nil {
		e.gang.changed = true
		s.gangsMoved = true
		s.moved = true
	}
	if p == phaseFinished {
		delete(s.open, e.base)
		return
	}
	s.open[e.base] = e
}

// finish gives a request its final answer and tells everyone who waits for it.
func (s *Service) finish(e *entry, a model.Answer) {
	a.ID = e.id
	s.setPhase(e, phaseFinished)
	e.finishedAt = s.env.Now()
	s.ended = append(s.ended, e)
	e.answer = a
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		s.reply(w, a)
	}
	if e.task.Job != "" && e.gang == nil {
		s.jobs.TaskEnded(e.task, a)
	}
	s.moved = true
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

func (s *Service) status(from wire.Owner, f wire.Forward) {
	w := waiter{from: from, handle: f.Handle}
	if a, ok := s.jobs.Status(f.Team, model.JobID(f.Request.ID), f.Request.Why); ok {
		s.reply(w, a)
		return
	}
	e, ok := s.entries[model.TaskIDOf(f.Team, f.Request.ID, 0)]
	if !ok {
		s.refuse(from, f, s.unknown(f))
		return
	}
	if e.phase == phaseFinished {
		s.reply(w, e.answer)
		return
	}
	a := model.Answer{ID: e.id, Verdict: verdict.Pending, Message: e.phase.String(), Worker: e.worker}
	if f.Request.Why {
		a.Body = s.why(e)
	}
	s.reply(w, a)
}

// unknown tells about an id without an entry: "not run" only when that is
// certain.
func (s *Service) unknown(f wire.Forward) *verdict.Error {
	shard := model.ShardOfRequest(f.Team, f.Request.ID)
	e := verdict.Refuse(verdict.CodeNotFound, "no request with this id is remembered")
	if !s.neverSeen(f.Request.ID, shard) {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

// String names a phase as status answers show it.
func (p phase) String() string {
	switch p {
	case phaseLocating:
		return "checking whether it ran before"
	case phaseWaiting:
		return "waiting"
	case phaseDispatched:
		return "starting"
	case phaseRunning:
		return "running"
	case phaseBackoff:
		return "waiting to run again"
	case phaseGang:
		return "waiting to start with its gang"
	}
	return "finished"
}

func (s *Service) cancel(from wire.Owner, f wire.Forward) {
	if s.jobs.Cancel(Caller{From: from, Handle: f.Handle}, f.Team, model.JobID(f.Request.ID)) {
		return
	}
	e, ok := s.entries[model.TaskIDOf(f.Team, f.Request.ID, 0)]
	if !ok {
		s.refuse(from, f, s.unknown(f))
		return
	}
	w := waiter{from: from, handle: f.Handle, deadline: s.env.Now() + f.Request.Timeout}
	switch e.phase {
	case phaseFinished:
		s.reply(w, e.answer)
	case phaseWaiting, phaseBackoff:
		e.waiters = append(e.waiters, w)
		s.finish(e, s.unstarted(e, verdict.CodeCanceled, "canceled before it was started"))
	default:
		e.canceled = true
		e.waiters = append(e.waiters, w)
		s.stop(e)
	}
}

func (s *Service) stop(e *entry) { s.stopAs(e, platform.StopKill) }

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

// OnTick ends requests whose callers' time is up and forgets old ones.
func (s *Service) OnTick() {
	now := s.env.Now()
	for _, id := range s.due(now) {
		s.expire(s.entries[id], now)
	}
	s.forgetOld(now)
	s.retryLocates(now)
	s.endBackoffs(now)
	s.gangsMoved = true
	if now-s.sharesAt >= s.env.Timing.Heartbeat {
		s.sharesAt = now
		s.refreshShares()
	}
	s.moved = true
}

// due returns the open entries that have something to do at now, sorted.
func (s *Service) due(now time.Duration) []model.TaskID {
	var ids []model.TaskID
	for id, e := range s.open {
		lost := e.phase == phaseDispatched && now-e.dispatchedAt > dispatchTimeout
		if lost || len(e.waiters) > 0 && now >= e.deadline {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// forgetOld drops the entries that ended longer ago than the retention. They
// stand in the order of their ends.
func (s *Service) forgetOld(now time.Duration) {
	n := 0
	for n < len(s.ended) && now-s.ended[n].finishedAt > s.env.Timing.Retention {
		if e := s.ended[n]; s.entries[e.base] == e {
			delete(s.entries, e.base)
		}
		s.ended[n] = nil
		n++
	}
	s.ended = s.ended[n:]
}

func (s *Service) expire(e *entry, now time.Duration) {
	switch e.phase {
	case phaseWaiting:
		s.finish(e, s.unstarted(e, verdict.CodeDeadline, "no worker was free in time"))
	case phaseDispatched:
		if now-e.dispatchedAt > dispatchTimeout {
			s.startLocate(e)
		}
		s.answerLate(e, now)
	default:
		s.answerLate(e, now)
	}
}

// answerLate tells callers whose time is up the truth of this moment. The request
// may run on, and its entry goes on to learn the outcome.
func (s *Service) answerLate(e *entry, now time.Duration) {
	if now < e.deadline {
		return
	}
	a := model.Answer{
		ID: e.id, Verdict: verdict.MayHaveRun, Code: verdict.CodeDeadline,
		Message: "still " + e.phase.String() + " at the deadline", RetryAfter: retryAfter,
	}
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		s.reply(w, a)
	}
}

// unstarted gives up a task that is not started now. Its request has not run,
// unless an earlier run had begun.
func (s *Service) unstarted(e *entry, code verdict.Code, message string) model.Answer {
	a := model.Refusal(e.id, verdict.Refuse(code, "%s", message).After(retryAfter))
	if e.run > 1 {
		a.Verdict = verdict.MayHaveRun
	}
	return a
}

// Waiting returns how many tasks of a team wait here.
func (s *Service) Waiting(team model.TeamID) int64 { return int64(s.queue.Waiting(team)) }

// Busy returns how many requests here have no final answer yet.
func (s *Service) Busy() int { return len(s.open) }
