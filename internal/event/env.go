package event

import (
	"math/rand/v2"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

// Timing contains the durations that the services use.
type Timing struct {
	Heartbeat       time.Duration // between heartbeats to each peer
	DeadAfter       time.Duration // time without a heartbeat after which a peer may count as dead
	WorkerLease     time.Duration // how long a worker lease lasts without renewal
	TaskLease       time.Duration // how long a worker continues its tasks without renewal
	ConfigFreshness time.Duration // maximum time without log and peers during which work is accepted
	Retention       time.Duration // how long a finished request is remembered
	RequestTimeout  time.Duration // maximum time that a caller may wait
}

// Env is shared by the services of one core: time, randomness, identity and the
// actions of the current step. It must only be used by the goroutine of the core.
type Env struct {
	Self   platform.Instance
	Timing Timing

	now          time.Duration
	resumedAt    time.Duration
	wall         time.Time
	rng          *rand.Rand
	actions      []Action
	lastAppendID uint64
	lastNoteSeq  uint64
	recentNotes  []Note
}

// NewEnv returns an Env whose random numbers are derived from seed and the
// incarnation of self.
func NewEnv(self platform.Instance, timing Timing, seed uint64) *Env {
	return &Env{Self: self, Timing: timing, rng: rand.New(rand.NewPCG(seed, uint64(self.Incarnation)))}
}

// SelfRef returns this instance in its current incarnation.
func (e *Env) SelfRef() wire.InstanceRef {
	return wire.InstanceRef{Instance: e.Self.ID, Incarnation: e.Self.Incarnation}
}

// Now returns the time of the current step on this instance's monotonic clock.
func (e *Env) Now() time.Duration { return e.now }

// Wall returns the time of day as of the last tick, or zero if it is not known. It
// may run backwards and differ between instances; only rules that are declared for
// hours of the day may depend on it.
func (e *Env) Wall() time.Time { return e.wall }

// SetWall sets the time of day.
func (e *Env) SetWall(t time.Time) { e.wall = t }

// Rand returns the random number generator.
func (e *Env) Rand() *rand.Rand { return e.rng }

// Emit adds an action to the current step.
func (e *Env) Emit(a Action) { e.actions = append(e.actions, a) }

// Send emits a message to a peer.
func (e *Env) Send(to model.InstanceID, m wire.Message) { e.Emit(Send{To: to, Message: m}) }

// Append emits records for the log and returns the id that the AppendDone will
// carry.
func (e *Env) Append(records ...wire.Record) uint64 {
	e.lastAppendID++
	e.Emit(Append{ID: e.lastAppendID, Records: records})
	return e.lastAppendID
}

// pauseThreshold is a time between steps that is only exceeded when the process was
// paused: ticks come far more often.
const pauseThreshold = time.Second

// Begin starts a step at now. Now never returns an earlier time than before.
func (e *Env) Begin(now time.Duration) {
	if now-e.now > pauseThreshold {
		e.resumedAt = now
	}
	e.now = max(e.now, now)
	e.actions = nil
}

// ResumedAt returns when the last pause of this process ended, or 0 if it was never
// paused. Input that arrives just after that may have been queued during the pause and
// be outdated.
func (e *Env) ResumedAt() time.Duration { return e.resumedAt }

// EndStep ends the step and returns its actions.
func (e *Env) EndStep() []Action {
	actions := e.actions
	e.actions = nil
	return actions
}

// maxNotes is the number of notes kept for the timeline.
const maxNotes = 4096

// Note adds an event to the timeline and returns its sequence number.
func (e *Env) Note(n Note) uint64 {
	e.lastNoteSeq++
	n.Seq, n.At = e.lastNoteSeq, e.now
	e.recentNotes = append(e.recentNotes, n)
	if len(e.recentNotes) >= 2*maxNotes {
		e.recentNotes = append([]Note(nil), e.recentNotes[len(e.recentNotes)-maxNotes:]...)
	}
	e.Emit(n)
	return n.Seq
}

// Notes returns the kept events of the timeline with a sequence number above since.
func (e *Env) Notes(since uint64) []Note {
	first := e.lastNoteSeq - uint64(len(e.recentNotes)) + 1
	if since+1 < first {
		since = first - 1
	}
	if since >= e.lastNoteSeq {
		return nil
	}
	return e.recentNotes[since+1-first:]
}
