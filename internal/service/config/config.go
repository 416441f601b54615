// Package config keeps the declarations in force. They are built from the changes in
// the log, so they are the same on every instance that has applied the log to the
// same offset. The package also authorizes keys.
package config

import (
	"fmt"
	"slices"
	"time"

	"pollenbend/internal/declare"
	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Members provides the peers of this instance and whether it can reach a majority.
type Members interface {
	Majority() bool
	Peers() []model.InstanceID
}

// Service is the configuration service.
type Service struct {
	env     *event.Env
	members Members

	state   *declare.State
	applied uint64
	logAt   time.Duration // when the last read was sent that found the log applied to its end
	peers   map[model.InstanceID]peerView
	pending map[string]*change
	appends map[uint64]string // append id to id of the change
	serial  uint64
	// keyReferences is set when callers' keys are references from a trace.
	keyReferences   bool
	peerWithdrawals map[wire.WithdrawnKey]bool // withdrawals received from a peer before their change was applied
}

// peerView is the state of the log according to the last heartbeat of a peer.
type peerView struct {
	applied    uint64
	reachedAt  time.Duration // when the peer last reached the log, on this instance's clock
	receivedAt time.Duration
}

// change is an operator's change that has not been read back from the log yet.
type change struct {
	handles  []uint64
	deadline time.Duration
}

const (
	// resumeDelay is the time after a pause of the process during which heartbeats are
	// ignored: they may have been queued during the pause and be outdated.
	resumeDelay   = time.Second
	changeTimeout = 10 * time.Second
	retryAfter    = time.Second
)

// New returns the configuration service.
func New(env *event.Env) *Service {
	return &Service{
		env:             env,
		state:           declare.NewState(),
		peers:           make(map[model.InstanceID]peerView),
		pending:         make(map[string]*change),
		appends:         make(map[uint64]string),
		peerWithdrawals: make(map[wire.WithdrawnKey]bool),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Config }

// Bind looks up the services that this one uses. It returns an error when one is missing.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	s.members, err = kernel.Find[Members](k, service.Membership)
	return err
}

// OnLog stores that the log is applied to its end, as of the time when the read was
// sent.
func (s *Service) OnLog(l service.LogState) {
	if s.applied+1 >= l.Next {
		s.logAt = max(s.logAt, l.AskedAt)
	}
}

// OnEntry stores how far the log is applied, and removes the withdrawals up to
// there.
func (s *Service) OnEntry(offset uint64) {
	s.applied = offset
	for k := range s.peerWithdrawals {
		if k.Offset <= offset {
			delete(s.peerWithdrawals, k)
		}
	}
}

// OnMessage handles what peers report about the log and withdrawn keys.
func (s *Service) OnMessage(from wire.Owner, m wire.Message) {
	switch m := m.(type) {
	case wire.Heartbeat:
		s.onHeartbeat(from, m)
	case wire.KeysWithdrawn:
		s.onWithdrawn(m)
	}
}

func (s *Service) onHeartbeat(from wire.Owner, heartbeat wire.Heartbeat) {
	s.peers[from.Instance] = peerView{
		applied: heartbeat.Applied, reachedAt: s.env.Now() - heartbeat.LogAge, receivedAt: s.env.Now(),
	}
}

// Fresh reports whether the declarations known to this instance are recent enough to
// accept work. They are when the log, or a peer that had reached the log, answered
// within Timing.ConfigFreshness; or, while no instance can reach the log, when this
// instance can reach a majority and no peer has applied more of it.
func (s *Service) Fresh() bool {
	limit := s.env.Timing.ConfigFreshness
	now := s.env.Now()
	if s.logAt > 0 && now-s.logAt <= limit {
		return true
	}
	reachable, reached := false, false
	for _, p := range s.peers {
		if now-p.receivedAt > limit || p.receivedAt < s.env.ResumedAt()+resumeDelay {
			continue
		}
		if p.applied > s.applied {
			return false
		}
		reachable = true
		reached = reached || now-p.reachedAt <= limit
	}
	return reached || reachable && s.applied > 0 && s.members.Majority()
}

// OnRecord applies a change.
func (s *Service) OnRecord(offset uint64, r wire.Record) {
	c, ok := r.(wire.ConfigChange)
	if !ok {
		return
	}
	result := s.state.Apply(offset, c.Change)
	s.announceWithdrawn(result.Withdrawn)
	if p, waiting := s.pending[c.Change.ID]; waiting {
		s.answerChange(c.Change.ID, p, answerOf(c.Change.ID, result))
	}
}

func answerOf(id string, r declare.Result) model.Answer {
	if r.Outcome == declare.Accepted {
		return model.Answer{ID: id, Verdict: verdict.Done, Version: r.Offset}
	}
	code := verdict.CodeConflict
	if r.Outcome == declare.Invalid {
		code = verdict.CodeBadRequest
	}
	return model.Answer{ID: id, Verdict: verdict.NotRun, Code: code, Message: r.Message}
}

// Change appends an operator's change. The answer is sent once the change has been
// read back from the log.
func (s *Service) Change(handle uint64, author string, c model.Change) {
	if c.ID == "" {
		s.serial++
		c.ID = fmt.Sprintf("%s-%x-%d", s.env.Self.ID, uint64(s.env.Self.Incarnation), s.serial)
	}
	c.Author = author
	if r, ok := s.state.Settled(c.ID); ok {
		s.respond(handle, answerOf(c.ID, r))
		return
	}
	p, ok := s.pending[c.ID]
	if !ok {
		p = &change{deadline: s.env.Now() + changeTimeout}
		s.pending[c.ID] = p
		s.appends[s.env.Append(wire.ConfigChange{Change: c})] = c.ID
	}
	p.handles = append(p.handles, handle)
}

// OnAppendDone refuses a change that is certainly not in the log. In doubt, the log
// or the deadline decides.
func (s *Service) OnAppendDone(d event.AppendDone) {
	id, ok := s.appends[d.ID]
	if !ok {
		return
	}
	delete(s.appends, d.ID)
	p, waiting := s.pending[id]
	if !waiting || d.Verdict != verdict.NotRun {
		return
	}
	s.answerChange(id, p, model.Refusal(id, verdict.Refuse(verdict.CodeUnavailable, "the log does not take changes now").WithRetryAfter(retryAfter)))
}

// OnTick answers changes that were not read back before their deadline.
func (s *Service) OnTick() {
	for _, id := range s.overdue() {
		s.answerChange(id, s.pending[id], model.Answer{
			ID: id, Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt,
			Message: "the change may be in the log; apply it again with the same id", RetryAfter: retryAfter,
		})
	}
}

func (s *Service) overdue() []string {
	var ids []string
	for id, p := range s.pending {
		if s.env.Now() >= p.deadline {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *Service) answerChange(id string, p *change, a model.Answer) {
	delete(s.pending, id)
	for _, h := range p.handles {
		s.respond(h, a)
	}
}

func (s *Service) respond(handle uint64, a model.Answer) {
	s.env.Emit(event.Respond{Handle: handle, Answer: a})
}

// Authorize returns the team for which a queue accepts work with a key, and the name
// of the key. Only an open queue accepts work without a key. It returns an error
// when the queue is not declared, or the key is unknown or not valid for the queue.
func (s *Service) Authorize(secret, queue string) (model.TeamID, string, *verdict.Error) {
	q, refusal := s.queue(queue)
	if refusal != nil {
		return "", "", refusal
	}
	if secret == "" && q.Open {
		return q.Team, "", nil
	}
	key, ok := s.authenticate(secret)
	if !ok {
		return "", "", verdict.Refuse(verdict.CodeUnauthorized, "the key is not known or was withdrawn")
	}
	if key.Scope != model.ScopeTeam {
		return "", "", verdict.Refuse(verdict.CodeForbidden, "key %q is not a team's key", key.Name)
	}
	if queue != "" && q.Team != key.Team {
		return "", "", verdict.Refuse(verdict.CodeForbidden, "queue %q belongs to another team than the key", queue)
	}
	return key.Team, key.Name, nil
}

func (s *Service) queue(name string) (model.Queue, *verdict.Error) {
	if name == "" {
		return model.Queue{}, nil
	}
	q, ok := s.state.Queue(name)
	if !ok {
		return q, verdict.Refuse(verdict.CodeNotFound, "queue %q is not declared", name)
	}
	return q, nil
}

// AuthorizeOperator returns the name of an operator's key. While no operator key is
// declared, as in a new cell, anyone may declare the first one. It returns an error
// for any other key.
func (s *Service) AuthorizeOperator(secret string) (string, *verdict.Error) {
	key, ok := s.authenticate(secret)
	if ok && key.Scope == model.ScopeOperator {
		return key.Name, nil
	}
	if ok {
		return "", verdict.Refuse(verdict.CodeForbidden, "key %q is not an operator's key", key.Name)
	}
	if !s.state.HasOperatorKey() && s.Fresh() {
		return "bootstrap", nil
	}
	return "", verdict.Refuse(verdict.CodeUnauthorized, "the key is not known or was withdrawn")
}

// Document returns all declarations and their version.
func (s *Service) Document() (model.Declarations, uint64) {
	return s.state.Declarations(), s.state.Version()
}

// Version returns the version of the declarations in force.
func (s *Service) Version() uint64 { return s.state.Version() }

// Service returns a declared service. It returns false when there is none of that
// name.
func (s *Service) Service(name string) (model.Service, bool) { return s.state.Service(name) }
