// Package config keeps the declarations in force: a fold of the changes in the
// log, the same on every instance that has read equally far. It also decides
// whether a key gives access.
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

// Members tells how well this instance is connected to the others.
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
	logAt   time.Duration
	pause   pause
	peers   map[model.InstanceID]peerView
	pending map[string]*change
	appends map[uint64]string // append id to change id
	serial  uint64
	// references is set when callers' keys are recorded references.
	references bool
	heard      map[wire.WithdrawnKey]bool // withdrawals that came from a peer first
}

// peerView is what a peer's last heartbeat said of the log.
type peerView struct {
	applied   uint64
	reachedAt time.Duration // when the peer last reached the log, on this instance's clock
	heardAt   time.Duration
}

// change is an operator's change that awaits its place in the log.
type change struct {
	handles  []uint64
	deadline time.Duration
}

const (
	changeTimeout = 10 * time.Second
	retryAfter    = time.Second
)

// New returns the configuration service.
func New(env *event.Env) *Service {
	return &Service{
		env:     env,
		state:   declare.NewState(),
		peers:   make(map[model.InstanceID]peerView),
		pending: make(map[string]*change),
		appends: make(map[uint64]string),
		heard:   make(map[wire.WithdrawnKey]bool),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Config }

// Bind finds the services that this one works with.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	s.members, err = kernel.Find[Members](k, service.Membership)
	return err
}

// OnLog notes that the log answered.
func (s *Service) OnLog(_, next uint64) {
	s.pause.note(s.env.Now())
	if s.applied+1 >= next {
		s.logAt = s.env.Now()
	}
}

// OnEntry notes how far the log is applied, and forgets withdrawals up to there.
func (s *Service) OnEntry(offset uint64) {
	s.applied = offset
	for k := range s.heard {
		if k.Offset <= offset {
			delete(s.heard, k)
		}
	}
}

// OnMessage notes what peers say of the log and of withdrawn keys.
func (s *Service) OnMessage(from wire.Owner, m wire.Message) {
	s.pause.note(s.env.Now())
	switch m := m.(type) {
	case wire.Heartbeat:
		s.onHeartbeat(from, m)
	case wire.KeysWithdrawn:
		s.onWithdrawn(m)
	}
}

func (s *Service) onHeartbeat(from wire.Owner, beat wire.Heartbeat) {
	s.peers[from.Instance] = peerView{
		applied: beat.Applied, reachedAt: s.env.Now() - beat.LogAge, heardAt: s.env.Now(),
	}
}

// Fresh reports whether the declarations known here are recent enough to take
// work: the log, or a peer that reached it, was heard within the freshness time;
// or, while the log is out for all, most peers are heard and none is ahead.
func (s *Service) Fresh() bool {
	limit := s.env.Timing.ConfigFreshness
	now := s.env.Now()
	s.pause.note(now)
	if s.logAt > 0 && now-s.logAt <= limit && s.pause.counts(s.logAt) {
		return true
	}
	heard, reached := false, false
	for _, p := range s.peers {
		if now-p.heardAt > limit || !s.pause.counts(p.heardAt) {
			continue
		}
		if p.applied > s.applied {
			return false
		}
		heard = true
		reached = reached || now-p.reachedAt <= limit
	}
	return reached || heard && s.applied > 0 && s.members.Majority()
}

// OnRecord folds a change.
func (s *Service) OnRecord(offset uint64, r wire.Record) {
	c, ok := r.(wire.ConfigChange)
	if !ok {
		return
	}
	result := s.state.Apply(offset, c.Change)
	s.tellWithdrawn(result.Withdrawn)
	if p, waiting := s.pending[c.Change.ID]; waiting {
		s.settle(c.Change.ID, p, answerOf(c.Change.ID, result))
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

// Change appends an operator's change. The answer comes once the change's place
// in the log has been read back.
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

// OnAppendDone refuses a change that certainly is not in the log. In doubt, the
// fold or the deadline decides.
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
	s.settle(id, p, model.Refusal(id, verdict.Refuse(verdict.CodeUnavailable, "the log does not take changes now").After(retryAfter)))
}

// OnTick ends changes whose place in the log is still open at their deadline.
func (s *Service) OnTick() {
	s.pause.note(s.env.Now())
	for _, id := range s.overdue() {
		s.settle(id, s.pending[id], model.Answer{
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

func (s *Service) settle(id string, p *change, a model.Answer) {
	delete(s.pending, id)
	for _, h := range p.handles {
		s.respond(h, a)
	}
}

func (s *Service) respond(handle uint64, a model.Answer) {
	s.env.Emit(event.Respond{Handle: handle, Answer: a})
}

// Authorize returns the team for which work may be taken from a queue, and the
// name of the key. Only an open queue takes work without a key.
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

// AuthorizeOperator returns the name of an operator's key. While no operator key
// is declared, as in a new cell, anyone may declare the first.
func (s *Service) AuthorizeOperator(secret string) (string, *verdict.Error) {
	key, ok := s.authenticate(secret)
	if ok && key.Scope == model.ScopeOperator {
		return key.Name, nil
	}
	if ok {
		return "", verdict.Refuse(verdict.CodeForbidden, "key %q is not an operator's key", key.Name)
	}
	if !s.state.HasOperator() && s.Fresh() {
		return "bootstrap", nil
	}
	return "", verdict.Refuse(verdict.CodeUnauthorized, "the key is not known or was withdrawn")
}

// Document returns everything declared and its version.
func (s *Service) Document() (model.Declarations, uint64) {
	return s.state.Declarations(), s.state.Version()
}

// Version returns the version of the declarations in force.
func (s *Service) Version() uint64 { return s.state.Version() }

// Service returns a declared service.
func (s *Service) Service(name string) (model.Service, bool) { return s.state.Service(name) }
