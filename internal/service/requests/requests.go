// Package requests coordinates the requests whose shards this instance owns: it
// stores each by id, queues it for its team, dispatches its tasks to lease holders of
// workers and replies to every caller that waits for it.
//
// A task is dispatched again only when it is certain that the previous dispatch has
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

// Ownership returns the owners of shards.
type Ownership interface {
	// OwnedTerm returns the term of a shard that this instance owns.
	OwnedTerm(model.Shard) (term uint64, ok bool)
	// Owner returns a shard's owner and term, or false if it has never had an owner.
	Owner(model.Shard) (ownership.ShardOwner, bool)
	// UnownedAt returns a time at which a shard had never had an owner, or false if
	// none is known.
	UnownedAt(model.Shard) (time.Duration, bool)
}

// Members returns the live instances and their latest heartbeats.
type Members interface {
	Live() []wire.InstanceRef
	IsLive(wire.InstanceRef) bool
	Member(model.InstanceID) (*membership.Member, bool)
	// Majority reports whether this instance is in contact with more than half of
	// the listed instances, itself included.
	Majority() bool
}

// Ledger starts and stops tasks on the workers held by this instance.
type Ledger interface {
	Dispatch(wire.Dispatch) wire.TaskState
	Locate(wire.Locate) wire.Located
	Cancel(wire.CancelTask)
	Free() model.Resources
	ListedWorkers() map[model.WorkerID]model.Worker
	Usage(model.TeamID) model.Resources
	Explain(t *model.Task) scheduler.Explanation
	HoldTasks(wire.HoldTasks) wire.Held
	ReleaseHolds(wire.ReleaseHolds)
}

// Config provides the declared services and teams.
type Config interface {
	Service(name string) (model.Service, bool)
	Teams() []model.Team
	// Fresh reports whether the declarations known to this instance are recent enough to
	// accept work.
	Fresh() bool
}

// Handover reports which shards are being handed over to another owner.
type Handover interface {
	// Frozen reports whether a shard owned here takes no requests because its
	// handover is in progress.
	Frozen(model.Shard) bool
}

// Replier delivers an answer to a caller connected to this instance.
type Replier interface {
	OnReply(from wire.InstanceRef, m wire.Reply)
}

// Service coordinates the requests of the shards owned here.
type Service struct {
	env       *event.Env
	ownership Ownership
	members   Members
	ledger    Ledger
	config    Config
	replier   Replier
	jobs      Jobs
	handover  Handover

	entries       map[model.TaskID]*entry
	open          map[model.TaskID]*entry // entries without a final answer
	finished      []*entry                // entries with a final answer, by time of finish
	queue         *queue.Queue
	freeEstimates map[model.InstanceID]*freeEstimate
	history       [model.Shards]shardHistory     // by shard
	unownedAt     map[model.Shard]time.Duration  // as Ownership.UnownedAt, from previous owners; may be negative
	imports       map[model.Shard]*pendingImport // records received for shards not owned here yet
	locates       map[uint64]*locate
	lastLocateID  uint64
	dispatchDue   bool // an event may allow waiting tasks to start

	gangs        map[gangKey]*gang
	gangsChanged bool // a gang may need to be advanced
	lastHoldID   uint64

	backoffs          []backoff
	refusedUntil      map[refusalKey]time.Duration // time on env's clock before which a holder is not asked again
	sharesRefreshedAt time.Duration
}

// freeEstimate is an estimate of the free resources on the workers of another
// instance: the value in its last heartbeat minus the demand dispatched to it since.
type freeEstimate struct {
	seq  uint64 // sequence number of that heartbeat
	free model.Resources
}

const (
	maxEntries        = 200000 // of this instance
	maxWaitingPerTeam = 4096   // tasks of a team in the queue of this instance
	maxRuns           = 3      // of a task, see shouldRunAgain
	// dispatchTimeout is how long a dispatch may remain unanswered before its task
	// is located.
	dispatchTimeout = 2 * time.Second
	// retryAfter is the delay after which refused callers are asked to retry.
	retryAfter = time.Second
)

// New returns a coordinator without requests.
func New(env *event.Env) *Service {
	return &Service{
		env:           env,
		entries:       make(map[model.TaskID]*entry),
		open:          make(map[model.TaskID]*entry),
		queue:         queue.New(queue.Config{MaxWaiting: maxWaitingPerTeam}),
		freeEstimates: make(map[model.InstanceID]*freeEstimate),
		imports:       make(map[model.Shard]*pendingImport),
		unownedAt:     make(map[model.Shard]time.Duration),
		locates:       make(map[uint64]*locate),
		refusedUntil:  make(map[refusalKey]time.Duration),
		gangs:         make(map[gangKey]*gang),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Requests }

// Bind looks up the services that the coordinator depends on.
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

// Serve handles a request forwarded by a gateway.
func (s *Service) Serve(from wire.InstanceRef, f wire.Forward) {
	r := f.Request
	shard := model.ShardOfRequest(f.Team, r.ID)
	_, owned := s.ownership.OwnedTerm(shard)
	if !owned || s.handover.Frozen(shard) {
		s.refuse(from, f, verdict.Refuse(verdict.CodeStaleAuthority, "the shard has another owner").WithRetryAfter(retryAfter))
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

func (s *Service) call(from wire.InstanceRef, f wire.Forward, shard model.Shard) {
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

// join adds a caller to an existing request, or replies at once if the request has
// finished or the caller's request differs from it.
func (s *Service) join(e *entry, w waiter, f wire.Forward) {
	if e.fingerprint != 0 && e.fingerprint != fingerprint(f.Request) {
		s.refuse(w.from, f, verdict.Refuse(verdict.CodeConflict, "the id was used for another request"))
		return
	}
	if e.phase == phaseFinished {
		s.reply(w, e.answer)
		return
	}
	s.completeTask(e, f)
	e.waiters = append(e.waiters, w)
	e.deadline = max(e.deadline, w.deadline)
}

// completeTask sets the full task of an entry that was adopted from a task state, so
// that the task can be run if it proves never to have started.
func (s *Service) completeTask(e *entry, f wire.Forward) {
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
		return nil, verdict.Refuse(verdict.CodeOverloaded, "too many requests are remembered here").WithRetryAfter(retryAfter)
	}
	if s.queue.Waiting(f.Team) >= maxWaitingPerTeam {
		return nil, verdict.Refuse(verdict.CodeOverloaded, "the team has %d requests waiting here", maxWaitingPerTeam).WithRetryAfter(retryAfter)
	}
	t, refusal := s.buildTask(base, f)
	if refusal != nil {
		return nil, refusal
	}
	if !s.fitsListedWorker(&t) {
		return nil, verdict.Refuse(verdict.CodeNeverFits, "no listed worker could ever run this: demand %+v, selector %+v", t.Demand, t.Require)
	}
	return &entry{
		id: f.Request.ID, task: t, base: base, shard: shard, run: 1,
		fingerprint: fingerprint(f.Request), receivedAt: s.env.Now(), firstReceivedAt: s.env.Now(),
	}, nil
}

// buildTask merges the caller's part of a task with the declaration of its service.
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

// fitsListedWorker reports whether a task fits on an idle listed worker. Without any
// listed worker it returns true, as the list may not have been received yet.
func (s *Service) fitsListedWorker(t *model.Task) bool {
	listed := s.ledger.ListedWorkers()
	if len(listed) == 0 {
		return true
	}
	for _, w := range listed {
		if t.Demand.Fits(w.Capacity) && t.Require.Matches(w.Labels) {
			return true
		}
	}
	return false
}

// fingerprint returns a hash of the parts in which requests with the same id must agree.
// It is never 0, which stands for an unknown request.
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
	if w.from == s.env.SelfRef() {
		s.replier.OnReply(w.from, m)
		return
	}
	s.env.Send(w.from.Instance, m)
}

func (s *Service) refuse(from wire.InstanceRef, f wire.Forward, e *verdict.Error) {
	s.reply(waiter{from: from, handle: f.Handle}, model.Refusal(f.Request.ID, e))
}

func (s *Service) stopWithMode(e *entry, mode platform.StopMode) {
	c := wire.CancelTask{Task: e.runID(), Mode: mode}
	if e.holder == s.env.SelfRef() {
		s.ledger.Cancel(c)
		return
	}
	if e.holder.Instance != "" {
		s.env.Send(e.holder.Instance, c)
	}
}

// Waiting returns the number of a team's tasks that wait in the queue here.
func (s *Service) Waiting(team model.TeamID) int64 { return int64(s.queue.Waiting(team)) }

// OpenRequests returns the number of requests here without a final answer.
func (s *Service) OpenRequests() int { return len(s.open) }
