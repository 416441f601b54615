// Package gateway accepts requests from the callers connected to this instance: it
// checks the key, routes each request to the owner of its shard, and returns exactly
// one final answer to the caller.
package gateway

import (
	"container/heap"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/service/ownership"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// Config authorizes keys and applies changes to the declarations.
type Config interface {
	// Authorize returns the team for which a caller may submit work to a queue, and
	// the name of the key. Only an open queue accepts work without a key.
	Authorize(key, queue string) (model.TeamID, string, *verdict.Error)
	// AuthorizeOperator returns the name of an operator's key.
	AuthorizeOperator(key string) (string, *verdict.Error)
	// Fresh reports whether the declarations known to this instance are recent enough to
	// accept work.
	Fresh() bool
	// Change appends a change to the log and responds to the handle with its result.
	Change(handle uint64, author string, c model.Change)
	// Document returns the current declarations and their version.
	Document() (model.Declarations, uint64)
}

// Ownership returns the owners of shards.
type Ownership interface {
	// Owner returns a shard's owner and term, or false if it has never had an owner.
	Owner(model.Shard) (ownership.ShardOwner, bool)
	// Owned returns the shards that this instance owns and their terms.
	Owned() []wire.ShardTerm
	// ShardOwners returns the owners by shard; the term of a shard without one is 0.
	ShardOwners() [model.Shards]ownership.ShardOwner
}

// Members reports which instances are live.
type Members interface {
	IsLive(wire.InstanceRef) bool
	Live() []wire.InstanceRef
	// Leaving reports whether this instance is leaving the cell.
	Leaving() bool
}

// Coordinator serves requests whose shard this instance owns.
type Coordinator interface {
	Serve(from wire.InstanceRef, f wire.Forward)
}

// Ledger describes the workers held by this instance.
type Ledger interface {
	Free() model.Resources
	HeldWorkers() []model.WorkerID
	Coverage() wire.Coverage
}

// Service routes requests and tracks those that have no final answer.
type Service struct {
	env         *event.Env
	config      Config
	ownership   Ownership
	members     Members
	coordinator Coordinator
	ledger      Ledger

	pending    map[uint64]*pending
	timers     timerHeap
	lastSerial uint64
}

// pending is a caller's request that has no final answer yet.
type pending struct {
	forward  wire.Forward
	shard    model.Shard
	sentTo   wire.InstanceRef
	sent     bool // it may have reached an owner
	retryAt  time.Duration
	deadline time.Duration
	reroutes int
}

const (
	// answerGracePeriod is how much longer than the coordinator the gateway waits,
	// so that the coordinator's more precise verdict arrives first.
	answerGracePeriod = 300 * time.Millisecond
	// rerouteDelay is the delay before a request is routed again.
	rerouteDelay = 100 * time.Millisecond
	maxReroutes  = 20 // of a request
	// retryAfter is the delay after which refused callers are asked to retry.
	retryAfter = time.Second
	maxPending = 20000 // requests of this instance without a final answer
	maxTickets = 1000  // of one call
)

// New returns a gateway without requests.
func New(env *event.Env) *Service {
	return &Service{env: env, pending: make(map[uint64]*pending)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Gateway }

// Bind looks up the services that the gateway depends on.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	if s.config, err = kernel.Find[Config](k, service.Config); err != nil {
		return err
	}
	if s.ownership, err = kernel.Find[Ownership](k, service.Ownership); err != nil {
		return err
	}
	if s.members, err = kernel.Find[Members](k, service.Membership); err != nil {
		return err
	}
	if s.coordinator, err = kernel.Find[Coordinator](k, service.Requests); err != nil {
		return err
	}
	s.ledger, err = kernel.Find[Ledger](k, service.Ledger)
	return err
}

// OnRequest handles a caller's request.
func (s *Service) OnRequest(handle uint64, r model.Request) {
	if refusal := s.accept(handle, r); refusal != nil {
		s.respond(handle, model.Refusal(r.ID, refusal))
	}
}

func (s *Service) accept(handle uint64, r model.Request) *verdict.Error {
	if len(s.pending) >= maxPending {
		return verdict.Refuse(verdict.CodeOverloaded, "this instance has %d requests open", maxPending).WithRetryAfter(time.Second)
	}
	if !s.config.Fresh() {
		return verdict.Refuse(verdict.CodeUnavailable, "this instance is cut off from the log and its peers").WithRetryAfter(retryAfter)
	}
	switch r.Op {
	case model.OpCall, model.OpSubmit, model.OpStatus, model.OpCancel:
		return s.acceptWork(handle, r)
	case model.OpTicket:
		return s.issueTickets(handle, r)
	case model.OpApply, model.OpConfig, model.OpCell, model.OpTimeline, model.OpDrainSelf:
		return s.serveOperator(handle, r)
	}
	return verdict.Refuse(verdict.CodeBadRequest, "operation %q is not known", r.Op)
}

func (s *Service) acceptWork(handle uint64, r model.Request) *verdict.Error {
	team, keyName, refusal := s.config.Authorize(r.Key, r.Queue)
	if refusal != nil {
		return refusal
	}
	submitsWork := r.Op == model.OpCall || r.Op == model.OpSubmit
	if r.ID == "" {
		if !submitsWork {
			return verdict.Refuse(verdict.CodeBadRequest, "an id is required")
		}
		id, ok := s.newTicket()
		if !ok {
			return verdict.Refuse(verdict.CodeUnavailable, "no shard is owned yet").WithRetryAfter(retryAfter)
		}
		r.ID = id
	}
	r.Key = ""
	p := &pending{
		forward:  wire.Forward{Handle: handle, Team: team, KeyName: keyName, Request: r},
		shard:    model.ShardOfRequest(team, r.ID),
		deadline: s.env.Now() + s.timeout(r) + answerGracePeriod,
	}
	s.pending[handle] = p
	heap.Push(&s.timers, timer{p.deadline, handle})
	s.route(handle, p)
	return nil
}

func (s *Service) timeout(r model.Request) time.Duration {
	if r.Timeout <= 0 {
		return s.env.Timing.RequestTimeout
	}
	return min(r.Timeout, s.env.Timing.RequestTimeout)
}

// newTicket returns a new ticket for a shard owned here, or for any shard with a live
// owner if this instance owns none. It returns false if there is no such shard.
func (s *Service) newTicket() (string, bool) {
	owned := s.ownership.Owned()
	if len(owned) == 0 {
		for i, shardOwner := range s.ownership.ShardOwners() {
			if shardOwner.Term != 0 && s.members.IsLive(shardOwner.Owner) {
				owned = append(owned, wire.ShardTerm{Shard: model.Shard(i), Term: shardOwner.Term})
			}
		}
	}
	if len(owned) == 0 {
		return "", false
	}
	s.lastSerial++
	st := owned[s.lastSerial%uint64(len(owned))]
	var random [6]byte
	for i := range random {
		random[i] = byte(s.env.Rand().Uint32())
	}
	serial := fmt.Sprintf("%x.%x.%s", uint64(s.env.Self.Incarnation), s.lastSerial, hex.EncodeToString(random[:]))
	return model.Ticket{Shard: st.Shard, Term: st.Term, Serial: serial}.String(), true
}

func (s *Service) issueTickets(handle uint64, r model.Request) *verdict.Error {
	if _, _, refusal := s.config.Authorize(r.Key, r.Queue); refusal != nil {
		return refusal
	}
	if r.Count < 1 || r.Count > maxTickets {
		return verdict.Refuse(verdict.CodeBadRequest, "count must be from 1 to %d", maxTickets)
	}
	a := model.Answer{Verdict: verdict.Done}
	for range r.Count {
		id, ok := s.newTicket()
		if !ok {
			return verdict.Refuse(verdict.CodeUnavailable, "no shard is owned yet").WithRetryAfter(retryAfter)
		}
		a.Tickets = append(a.Tickets, id)
	}
	s.respond(handle, a)
	return nil
}

// route sends a request to the owner of its shard. If the shard has no live owner, a
// request that was never sent is refused at once and any other is retried.
func (s *Service) route(handle uint64, p *pending) {
	shardOwner, ok := s.ownership.Owner(p.shard)
	if !ok || !s.members.IsLive(shardOwner.Owner) {
		if !p.sent {
			s.finish(handle, model.Refusal(p.forward.Request.ID, verdict.Refuse(verdict.CodeUnavailable,
				"shard %d of the request has no reachable owner: %q in life %d, term %d", p.shard,
				shardOwner.Owner.Instance, shardOwner.Owner.Incarnation, shardOwner.Term).WithRetryAfter(retryAfter)))
			return
		}
		s.scheduleRetry(handle, p, s.env.Now()+rerouteDelay)
		return
	}
	p.sentTo, p.sent, p.retryAt = shardOwner.Owner, true, 0
	f := p.forward
	f.Request.Timeout = p.deadline - answerGracePeriod - s.env.Now()
	if shardOwner.Owner == s.env.SelfRef() {
		s.coordinator.Serve(s.env.SelfRef(), f)
		return
	}
	s.env.Send(shardOwner.Owner.Instance, f)
}

// OnMessage handles replies from coordinators and requests forwarded by other gateways.
func (s *Service) OnMessage(from wire.InstanceRef, m wire.Message) {
	switch m := m.(type) {
	case wire.Reply:
		s.OnReply(from, m)
	case wire.Forward:
		s.coordinator.Serve(from, m)
	}
}

// OnReply returns a coordinator's answer to the caller. It drops an answer to a
// request other than the handle's, or from an instance other than the one that the
// request was last sent to.
func (s *Service) OnReply(from wire.InstanceRef, m wire.Reply) {
	p, ok := s.pending[m.Handle]
	if !ok || p.sentTo != from || m.Answer.ID != p.forward.Request.ID {
		return
	}
	if m.Answer.Code == verdict.CodeStaleAuthority && p.reroutes < maxReroutes {
		p.reroutes++
		s.scheduleRetry(m.Handle, p, s.env.Now()+rerouteDelay)
		return
	}
	s.finish(m.Handle, m.Answer)
}

// OnPeerDown schedules a retry, under the same id, of the requests that were sent over
// a lost connection.
func (s *Service) OnPeerDown(peer wire.InstanceRef) {
	for handle, p := range s.pending {
		if p.sentTo == peer {
			s.scheduleRetry(handle, p, s.env.Now()+rerouteDelay)
		}
	}
}

// OnShardMoved routes unanswered requests of the shard to its new owner.
func (s *Service) OnShardMoved(m service.ShardMove) {
	for handle, p := range s.pending {
		if p.shard == m.Shard && p.sentTo != m.After {
			s.scheduleRetry(handle, p, s.env.Now())
		}
	}
}

// OnTick retries requests that are due and ends those whose deadline has passed.
func (s *Service) OnTick() {
	now := s.env.Now()
	for _, handle := range s.popDue(now) {
		p := s.pending[handle]
		switch {
		case now >= p.deadline:
			s.finish(handle, s.expired(p))
		case p.retryAt > 0 && now >= p.retryAt:
			s.route(handle, p)
		}
	}
}

func (s *Service) expired(p *pending) model.Answer {
	e := verdict.Refuse(verdict.CodeDeadline, "no answer from the owner of the request's shard in time").WithRetryAfter(retryAfter)
	if p.sent {
		e.Verdict = verdict.MayHaveRun
		e.Code = verdict.CodeInDoubt
	}
	return model.Refusal(p.forward.Request.ID, e)
}

// OnRequestGone removes a caller that has disconnected. Its request continues, and the
// caller may ask for it by id.
func (s *Service) OnRequestGone(handle uint64) { delete(s.pending, handle) }

func (s *Service) finish(handle uint64, a model.Answer) {
	delete(s.pending, handle)
	s.respond(handle, a)
}

func (s *Service) respond(handle uint64, a model.Answer) {
	s.env.Emit(event.Respond{Handle: handle, Answer: a})
}

// Open returns the number of callers that wait for an answer.
func (s *Service) Open() int { return len(s.pending) }

func (s *Service) serveOperator(handle uint64, r model.Request) *verdict.Error {
	author, refusal := s.config.AuthorizeOperator(r.Key)
	if refusal != nil {
		return refusal
	}
	switch r.Op {
	case model.OpApply:
		if r.Change == nil {
			return verdict.Refuse(verdict.CodeBadRequest, "a change is required")
		}
		s.config.Change(handle, author, *r.Change)
	case model.OpConfig:
		doc, version := s.config.Document()
		s.respondJSON(handle, doc, version)
	case model.OpTimeline:
		s.respondJSON(handle, s.timeline(r.Since), 0)
	case model.OpDrainSelf:
		s.env.Emit(event.Drain{})
		s.respond(handle, model.Answer{Verdict: verdict.Done})
	case model.OpCell:
		_, version := s.config.Document()
		s.respondJSON(handle, s.cell(), version)
	}
	return nil
}

// Cell is this instance's view of the cell, sent to operators as JSON.
type Cell struct {
	Instance model.InstanceID         `json:"instance"`
	Live     []wire.InstanceRef       `json:"live"`
	Shards   map[model.InstanceID]int `json:"shards"`
	Workers  []model.WorkerID         `json:"workers"`
	Covered  int                      `json:"covered"` // number of workers in the coverage
	Free     model.Resources          `json:"free"`
	Leaving  bool                     `json:"leaving"`
	Open     int                      `json:"open_requests"`
}

func (s *Service) cell() Cell {
	c := Cell{
		Instance: s.env.Self.ID, Live: s.members.Live(), Shards: make(map[model.InstanceID]int),
		Workers: s.ledger.HeldWorkers(), Covered: len(s.ledger.Coverage().Workers), Free: s.ledger.Free(),
		Leaving: s.members.Leaving(), Open: len(s.pending),
	}
	for _, shardOwner := range s.ownership.ShardOwners() {
		if shardOwner.Term != 0 {
			c.Shards[shardOwner.Owner.Instance]++
		}
	}
	return c
}

// Timeline is the part of the timeline that one instance recorded, sent to operators
// as JSON.
type Timeline struct {
	Instance    model.InstanceID  `json:"instance"`
	Incarnation model.Incarnation `json:"incarnation"`
	Events      []event.Note      `json:"events"`
}

func (s *Service) timeline(since uint64) Timeline {
	return Timeline{Instance: s.env.Self.ID, Incarnation: s.env.Self.Incarnation, Events: s.env.Notes(since)}
}

func (s *Service) respondJSON(handle uint64, v any, version uint64) {
	body, err := json.Marshal(v)
	if err != nil {
		s.respond(handle, model.Answer{Verdict: verdict.NotRun, Code: verdict.CodeUnavailable, Message: err.Error()})
		return
	}
	s.respond(handle, model.Answer{Verdict: verdict.Done, Body: body, Version: version})
}
