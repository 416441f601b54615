package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/peer"
	"pollenbend/internal/cell/policy"
)

// serviceName is the name under which instances call each other.
const serviceName = "Cell"

// Service answers the calls of other instances.
type Service struct{ n *Node }

// Reply is the answer of a leader to a caller's request that an entry passed on.
type Reply struct {
	NotLeading bool
	Answer     engine.Answer
}

// SubmitArgs passes on a submission.
type SubmitArgs struct{ Spec *job.Spec }

// JobArgs names a job of a team.
type JobArgs struct{ ID, Team string }

// QueueArgs names a queue.
type QueueArgs struct{ Queue string }

// PingArgs tells the leader about the instance that pings.
type PingArgs struct {
	Instance string
	Address  string
	Policy   int64         // version in force there
	StoreAge time.Duration // since the store last answered there
	CPUShare float64
	Draining bool
	Others   uint64 // version of the list of instances that is known there
}

// PingReply tells about the instance that was pinged.
type PingReply struct {
	Session string
	Leading bool
	Policy  int64
	Others  *instances // unless the instance that pings knows this version
	// StoreAway tells that the leader cannot reach the store, and would hand over to
	// an instance that can.
	StoreAway bool
}

// AdviseArgs asks an instance to call the adviser.
type AdviseArgs struct {
	Step    string
	Workers []string
	Timeout time.Duration
}

// AdviseReply is the adviser's answer.
type AdviseReply struct {
	Good map[string]string
	TTL  time.Duration
}

// Submit implements the peer call of that name.
func (s *Service) Submit(args *SubmitArgs, reply *Reply) error {
	return s.local(reply, func(answer func(engine.Answer)) any {
		return &engine.Submit{Spec: args.Spec, Reply: answer}
	})
}

// Cancel implements the peer call of that name.
func (s *Service) Cancel(args *JobArgs, reply *Reply) error {
	return s.local(reply, func(answer func(engine.Answer)) any {
		return &engine.Cancel{ID: args.ID, Team: args.Team, Reply: answer}
	})
}

// Status implements the peer call of that name.
func (s *Service) Status(args *JobArgs, reply *Reply) error {
	return s.local(reply, func(answer func(engine.Answer)) any {
		return &engine.Status{ID: args.ID, Team: args.Team, Reply: answer}
	})
}

// Pending implements the peer call of that name.
func (s *Service) Pending(args *QueueArgs, reply *Reply) error {
	return s.local(reply, func(answer func(engine.Answer)) any {
		return &engine.Pending{Queue: args.Queue, Reply: answer}
	})
}

var errDeposed = errors.New("the leader stepped down before it answered")

// local has the engine of this instance answer, if it leads.
func (s *Service) local(reply *Reply, event func(func(engine.Answer)) any) error {
	l := s.n.leading.Load()
	if l == nil {
		reply.NotLeading = true
		return nil
	}
	answer, ok := l.ask(context.Background(), event)
	if !ok {
		return errDeposed
	}
	reply.Answer = answer
	return nil
}

// Ping implements the peer call of that name.
func (s *Service) Ping(args *PingArgs, reply *PingReply) error {
	n := s.n
	reply.Session = n.session
	if p := n.policy.Load(); p != nil {
		reply.Policy = p.Version
	}
	l := n.leading.Load()
	reply.Leading = l != nil || n.preparing() || n.claiming.Load()
	if l != nil {
		l.pinged(args)
		if known := n.others.Load(); known != nil && known.Version != args.Others {
			reply.Others = known
		}
		reply.StoreAway = l.failing.Load() != 0 || n.since(&n.storeSeen) > silentBeforeProbe
	}
	if args.Policy > reply.Policy {
		go n.fetchPolicy(args.Address)
	}
	return nil
}

// Policy implements the peer call of that name.
func (s *Service) Policy(_ *struct{}, reply *policy.Policy) error {
	if p := s.n.policy.Load(); p != nil {
		*reply = policy.Policy{Version: p.Version, Queues: p.Queues, Services: p.Services, Teams: p.Teams, HTTP: p.HTTP}
	}
	return nil
}

// Advise implements the peer call of that name.
func (s *Service) Advise(args *AdviseArgs, reply *AdviseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Timeout)
	defer cancel()
	good, ttl, err := s.n.ports.Adviser.Advise(ctx, args.Step, args.Workers)
	reply.Good, reply.TTL = good, ttl
	return err
}

// TakeOver implements the peer call of that name.
func (s *Service) TakeOver(_ *struct{}, _ *struct{}) error {
	select {
	case s.n.takeOver <- struct{}{}:
	default: // asked already
	}
	return nil
}

// fetchPolicy takes over the declarations of the instance at address, which are
// newer.
func (n *Node) fetchPolicy(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var p policy.Policy
	if err := n.peers.Get(address).Call(ctx, serviceName+".Policy", &struct{}{}, &p); err != nil {
		n.log.Warn("cannot fetch newer declarations", "peer", address, "reason", err.Error())
		return
	}
	n.setPolicy(p.Index())
}

// pingVerdict is what a ping told.
type pingVerdict uint8

const (
	pingSilent  pingVerdict = iota
	pingLeads               // the leader answers
	pingOther               // another process, or one that does not lead, answers
	pingRefused             // no process listens there
)

// ping asks the leader whether it leads.
func (n *Node) ping(ctx context.Context, rec *Leadership) pingVerdict {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	args := PingArgs{
		Instance: n.set.Instance, Address: n.set.Address, CPUShare: n.set.CPUShare,
		StoreAge: n.since(&n.storeSeen), Draining: n.draining.Load(),
	}
	if p := n.policy.Load(); p != nil {
		args.Policy = p.Version
	}
	if o := n.others.Load(); o != nil {
		args.Others = o.Version
	}
	var reply PingReply
	err := n.peers.Get(rec.Address).Call(ctx, serviceName+".Ping", &args, &reply)
	switch {
	case errors.Is(err, peer.ErrRefused):
		return pingRefused
	case err != nil:
		return pingSilent
	case reply.Session != rec.Session || !reply.Leading:
		return pingOther
	}
	n.mark(&n.heard)
	if reply.Others != nil {
		n.others.Store(reply.Others)
	}
	if reply.StoreAway {
		// Tells with the next ping whether the store answers here.
		if _, _, _, _, err := n.readLeadership(ctx); err != nil {
			n.log.Info("the store does not answer here either", "leader", rec.Instance, "reason", err.Error())
		}
	}
	if reply.Policy > args.Policy {
		n.fetchPolicy(rec.Address)
	}
	return pingLeads
}

func jitter(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d) + 1)) }
