package event

import (
	"math/rand/v2"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

// Timing holds the durations that the services work with.
type Timing struct {
	Heartbeat       time.Duration // between heartbeats to each peer
	DeadAfter       time.Duration // silence after which a peer counts as dead
	WorkerLease     time.Duration // how long a worker lease lasts without renewal
	TaskLease       time.Duration // how long a worker runs tasks on without renewal
	ConfigFreshness time.Duration // longest time without log and peers in which work is taken
	Retention       time.Duration // how long a finished request is remembered
	RequestTimeout  time.Duration // longest time a caller may wait
}

// Env is what the services of one core share: time, randomness, identity and the
// actions of the current step. It is owned by the core's goroutine.
type Env struct {
	Self   platform.Instance
	Timing Timing

	now     time.Duration
	wokeAt  time.Duration
	wall    time.Time
	rng     *rand.Rand
	actions []Action
	appends uint64
	notes   uint64
	recent  []Note
}

// NewEnv returns an Env whose randomness is drawn from seed.
func NewEnv(self platform.Instance, timing Timing, seed uint64) *Env {
	return &Env{Self: self, Timing: timing, rng: rand.New(rand.NewPCG(seed, uint64(self.Incarnation)))}
}

// Owner returns this instance in its present life.
func (e *Env) Owner() wire.Owner {
	return wire.Owner{Instance: e.Self.ID, Incarnation: e.Self.Incarnation}
}

// Now returns the time of the current step on this instance's monotonic clock.
func (e *Env) Now() time.Duration { return e.now }

// Wall returns the time of day as of the last tick, or zero if it is not known. It
// may run backwards and differ between instances; only rules that are declared
// by the hour may follow it.
func (e *Env) Wall() time.Time { return e.wall }

// SetWall sets the time of day.
func (e *Env) SetWall(t time.Time) { e.wall = t }

// Rand returns the source of randomness.
func (e *Env) Rand() *rand.Rand { return e.rng }

// Emit adds an action to the current step.
func (e *Env) Emit(a Action) { e.actions = append(e.actions, a) }

// Send emits a message to a peer.
func (e *Env) Send(to model.InstanceID, m wire.Message) { e.Emit(Send{To: to, Message: m}) }

// Append emits records for the log and returns the id that AppendDone will carry.
func (e *Env) Append(records ...wire.Record) uint64 {
	e.appends++
	e.Emit(Append{ID: e.appends, Records: records})
	return e.appends
}

// pauseGap is a time between steps that only a pause of the process explains:
// ticks come far more often.
const pauseGap = time.Second

// Begin starts a step at now. Time never runs backwards.
func (e *Env) Begin(now time.Duration) {
	if now-e.now > pauseGap {
		e.wokeAt = now
	}
	e.now = max(e.now, now)
	e.actions = nil
}

// WokeAt returns when the last pause of this process ended, or its start. What
// arrives just after may have waited for that, and be old.
func (e *Env) WokeAt() time.Duration { return e.wokeAt }

// Take ends the step and returns its actions.
func (e *Env) Take() []Action {
	taken := e.actions
	e.actions = nil
	return taken
}

// maxNotes bounds the notes kept for the time line.
const maxNotes = 4096

// Note adds an event to the time line and returns its sequence number.
func (e *Env) Note(n Note) uint64 {
	e.notes++
	n.Seq, n.At = e.notes, e.now
	e.recent = append(e.recent, n)
	if len(e.recent) >= 2*maxNotes {
		e.recent = append([]Note(nil), e.recent[len(e.recent)-maxNotes:]...)
	}
	e.Emit(n)
	return n.Seq
}

// Notes returns the kept events of the time line after since.
func (e *Env) Notes(since uint64) []Note {
	first := e.notes - uint64(len(e.recent)) + 1
	if since+1 < first {
		since = first - 1
	}
	if since >= e.notes {
		return nil
	}
	return e.recent[since+1-first:]
}
