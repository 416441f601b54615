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

// serviceName is the name of the net/rpc service on which instances call each other.
const serviceName = "Cell"

// Service answers the calls of other instances.
type Service struct{ n *Node }

// Reply is the answer to a caller's request that another instance has forwarded.
type Reply struct {
	NotLeading bool // the instance does not lead; there is no answer
	Answer     engine.Answer
}

// SubmitArgs are the arguments of Submit.
type SubmitArgs struct {
	Spec *job.Spec
	Wait time.Duration // how long the caller waits for the answer

	Attempt engine.Attempt
	// Term is that of the leader that the attempt is sent to. An instance that leads another
	// term does not handle it. Zero, as instances of earlier versions send it, means any term.
	Term int64
}

// JobArgs are the arguments of Cancel and Status: a job, and the caller as in engine.Caller.
type JobArgs struct {
	ID, Team, Queue string
	Public          bool
}

func newJobArgs(id string, c engine.Caller) *JobArgs {
	return &JobArgs{ID: id, Team: c.Team, Queue: c.Queue, Public: c.Public}
}

func (a *JobArgs) caller() engine.Caller {
	return engine.Caller{Team: a.Team, Queue: a.Queue, Public: a.Public}
}

// QueueArgs are the arguments of Pending.
type QueueArgs struct{ Queue string }

// PingArgs describe the instance that pings the leader.
type PingArgs struct {
	Instance    string
	Address     string        // address at which peers connect to it
	Policy      int64         // version of the declarations in force there
	Evacuations int64         // revision of the evacuations in force there
	StoreAge    time.Duration // time since the store last answered that instance
	CPUShare    float64       // CPU that the instance can use at present, in cores
	LinkMbps    float64       // bandwidth of its link in Mbit/s, zero if unknown
	Draining    bool
	Warm        bool   // it has a recent copy of the state
	Others      uint64 // version of the list of instances that it has
}

// PingReply describes the instance that was pinged.
type PingReply struct {
	Session     string        // incarnation of the instance
	Leading     bool          // it leads, or has claimed the leadership and prepares to lead
	Term        int64         // that it leads or prepares to lead; zero if that is not known yet
	Policy      int64         // version of the declarations in force there
	Evacuations int64         // revision of the evacuations in force there
	Others      *instanceList // nil if the pinging instance has the leader's version, or the pinged one does not lead
	// StoreAway reports that the leader's last call to the store failed or that the store
	// has not answered it for storeNoAnswerProbeDelay. The pinging instance then probes
	// the store, so that the leader learns whether it could hand over to it.
	StoreAway bool
}

// AdviseArgs are the arguments of Advise.
type AdviseArgs struct {
	Step    string
	Workers []string
	Timeout time.Duration // of the call to the adviser
}

// AdviseReply is the adviser's answer.
type AdviseReply struct {
	Good map[string]string // ticket of each worker that the adviser recommends, by worker id
	TTL  time.Duration     // how long the tickets last
}

const (
	// NoMemoryReason is the reason of a refusal for want of memory.
	NoMemoryReason = "no memory for the request"
	// NoMemoryRetryDelay is the delay after which the caller may retry.
	NoMemoryRetryDelay = time.Second
	// forwardedCopies is how many times the leader holds a forwarded job until it is answered:
	// in the message, decoded, and as a record.
	forwardedCopies = 3
)

// Submit submits a job to the engine of this instance, if it leads and has memory for it.
func (s *Service) Submit(args *SubmitArgs, reply *Reply) error {
	if s.n.leading.Load() == nil {
		reply.NotLeading = true
		return nil
	}
	if reserve := s.n.settings.Reserve; reserve != nil {
		release, ok := reserve(forwardedCopies * args.Spec.Size())
		if !ok {
			reply.Answer = engine.Answer{Outcome: engine.Refused, Why: NoMemoryReason, RetryAfter: NoMemoryRetryDelay}
			return nil
		}
		defer release()
	}
	return s.answerInTerm(args.Term, reply, func(answer func(engine.Answer)) any {
		return &engine.Submit{Spec: args.Spec, Wait: args.Wait, Attempt: args.Attempt, Reply: answer}
	})
}

// Cancel cancels a job, if this instance leads.
func (s *Service) Cancel(args *JobArgs, reply *Reply) error {
	return s.answerLocally(reply, func(answer func(engine.Answer)) any {
		return &engine.Cancel{ID: args.ID, Caller: args.caller(), Reply: answer}
	})
}

// Status returns the status of a job, if this instance leads.
func (s *Service) Status(args *JobArgs, reply *Reply) error {
	return s.answerLocally(reply, func(answer func(engine.Answer)) any {
		return &engine.Status{ID: args.ID, Caller: args.caller(), Reply: answer}
	})
}

// Pending returns how many jobs of a queue have not started, if this instance leads.
func (s *Service) Pending(args *QueueArgs, reply *Reply) error {
	return s.answerLocally(reply, func(answer func(engine.Answer)) any {
		return &engine.Pending{Queue: args.Queue, Reply: answer}
	})
}

// answerLocally sets reply to the answer of this instance's engine to the event that
// newEvent returns, or to NotLeading if the instance does not lead.
func (s *Service) answerLocally(reply *Reply, newEvent func(func(engine.Answer)) any) error {
	return s.answerInTerm(0, reply, newEvent)
}

// answerInTerm is answerLocally for an instance that leads the given term, unless that is zero.
// One that leads another term counts as not leading.
func (s *Service) answerInTerm(term int64, reply *Reply, newEvent func(func(engine.Answer)) any) error {
	l := s.n.leading.Load()
	if l == nil || term != 0 && term != l.rec.Term {
		reply.NotLeading = true
		return nil
	}
	answer, err := l.ask(context.Background(), newEvent)
	if errors.Is(err, errNotHandled) {
		reply.NotLeading = true
		return nil
	}
	reply.Answer = answer
	return err
}

// Ping reports the state of this instance and, if it leads, records the caller as a
// follower.
func (s *Service) Ping(args *PingArgs, reply *PingReply) error {
	n := s.n
	reply.Session = n.incarnation
	if p := n.policy.Load(); p != nil {
		reply.Policy, reply.Evacuations = p.Version, p.Evacuations.Revision
	}
	l := n.leading.Load()
	reply.Leading = l != nil || n.leadsOrPrepares() || n.claiming.Load()
	if own := n.ownTerm.Load(); own != nil {
		own.recordPing(args)
		reply.Term = own.rec.Term
	}
	if l != nil {
		if known := n.cellInstances.Load(); known != nil && known.Version != args.Others {
			reply.Others = known
		}
		reply.StoreAway = l.storeFailingSince.Load() != 0 || n.since(&n.storeAnsweredAt) > storeNoAnswerProbeDelay
	}
	if args.Policy > reply.Policy || args.Evacuations > reply.Evacuations {
		go n.fetchPolicy(args.Address)
	}
	return nil
}

// Policy returns the declarations in force on this instance. Their version is 0 if there
// are none.
func (s *Service) Policy(_ *struct{}, reply *policy.Policy) error {
	if p := s.n.policy.Load(); p != nil {
		*reply = policy.Policy{Version: p.Version, Queues: p.Queues, Services: p.Services, Teams: p.Teams, HTTP: p.HTTP, Evacuations: p.Evacuations}
	}
	return nil
}

// Advise calls the adviser for the leader.
func (s *Service) Advise(args *AdviseArgs, reply *AdviseReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Timeout)
	defer cancel()
	good, ttl, err := s.n.ports.Adviser.Advise(ctx, args.Step, args.Workers)
	reply.Good, reply.TTL = good, ttl
	return err
}

// fetchPolicy fetches the declarations of the instance at address, which are newer, and
// puts them in force.
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

// pingResult is the result of a ping.
type pingResult uint8

const (
	pingNoAnswer   pingResult = iota // the ping timed out, or its connection failed
	pingLeads                        // the leader answers
	pingNotLeading                   // another process, or one that does not lead, answers
	pingRefused                      // no process listens at the leader's address
)

// ping asks the leader whether it still leads, and exchanges versions of the declarations
// and of the list of instances with it. If the store does not answer the leader, ping
// probes the store and, if that answers here, tells the leader at once.
func (n *Node) ping(ctx context.Context, rec *Leadership) pingResult {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	n.measureCPU()
	result, storeAway := n.exchangePing(ctx, rec)
	if !storeAway {
		return result
	}
	if _, _, _, _, err := n.readLeadership(ctx); err != nil {
		n.log.Info("the store answers neither this instance nor the leader", "leader", rec.Instance, "reason", err.Error())
		return result
	}
	if again, _ := n.exchangePing(ctx, rec); again != pingNoAnswer {
		result = again
	}
	return result
}

// exchangePing sends one ping and handles its answer. storeAway reports that the store does
// not answer the leader.
func (n *Node) exchangePing(ctx context.Context, rec *Leadership) (result pingResult, storeAway bool) {
	args := PingArgs{
		Instance: n.settings.Instance, Address: n.settings.Address, CPUShare: n.cpuShare(),
		StoreAge: n.since(&n.storeAnsweredAt), LinkMbps: n.settings.LinkMbps, Draining: n.draining.Load(), Warm: n.warm(),
	}
	if p := n.policy.Load(); p != nil {
		args.Policy, args.Evacuations = p.Version, p.Evacuations.Revision
	}
	if o := n.cellInstances.Load(); o != nil {
		args.Others = o.Version
	}
	var reply PingReply
	err := n.peers.Get(rec.Address).Ping(ctx, serviceName+".Ping", &args, &reply)
	switch {
	case errors.Is(err, peer.ErrRefused):
		return pingRefused, false
	case err != nil:
		return pingNoAnswer, false
	case reply.Session != rec.Session || !reply.Leading:
		return pingNotLeading, false
	}
	n.setNow(&n.leaderAnsweredAt)
	if reply.Term > rec.Term { // the instance has stepped down and leads again
		later := *rec
		later.Term = reply.Term
		n.setLeader(&later)
	}
	if reply.Others != nil {
		n.cellInstances.Store(reply.Others)
	}
	if reply.Policy > args.Policy || reply.Evacuations > args.Evacuations {
		n.fetchPolicy(rec.Address)
	}
	return pingLeads, reply.StoreAway
}

// jitter returns a random duration between 0 and d.
func jitter(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d) + 1)) }
