package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/record"

	"pollenbend/internal/wait"
)

const (
	// appendTimeout bounds one attempt to append. It allows for a slow store.
	appendTimeout = 1500 * time.Millisecond
	// appendProbeDelay is how long an attempt may take before the store is probed. If
	// the store answers the probe, the attempt is taken as lost in an outage, aborted
	// and retried.
	appendProbeDelay = 400 * time.Millisecond
	// appendRetryDelay is the delay after a failed attempt to append and between two
	// probes.
	appendRetryDelay = 20 * time.Millisecond
	// adviceMargin is how much longer than expected a call to the adviser may take.
	adviceMargin = 600 * time.Millisecond
	// maxAppendBytes is the maximum total size, in bytes, of the keys and values in one
	// append of several records. A larger record is appended on its own.
	maxAppendBytes = 1 << 20
	// recordFrameBytes bounds what a record takes in an append beside its key and value, in bytes.
	recordFrameBytes = 8
	// maxRejections is how often the store may reject an append until it is taken to do so for
	// its records. A call may also be damaged on its way.
	maxRejections = 3
)

// execute starts an action of the engine. Its result is posted as an event.
func (l *leader) execute(action any) {
	switch a := action.(type) {
	case *engine.Append:
		go l.appendBatch(a)
	case *engine.Start, *engine.Stop, *engine.Renew:
		if !l.relays.send(a) {
			go func() { l.post(l.n.callWorker(l.ctx, l.rec.Term, a)) }()
		}
	case *engine.AdviceCall:
		go l.advise(a)
	case *engine.CheckLeadership:
		go l.checkLeadership(a.Reason)
	case *engine.StepDown:
		l.stop(a.Reason)
	}
}

// callWorker makes the call to a worker that an action of the leader of a term asks for,
// and returns the event with its outcome.
func (n *Node) callWorker(ctx context.Context, term int64, action any) any {
	worker, timeout := workerCall(action)
	if worker == "" {
		panic("not an action for a worker")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Leaders of earlier versions send no fence number to their relays; theirs is the term.
	switch a := action.(type) {
	case *engine.Start:
		defer n.stats.Start.UpdateSince(time.Now())
		return n.ports.Workers.Start(ctx, max(term, a.Fence), a)
	case *engine.Stop:
		return n.ports.Workers.Stop(ctx, max(term, a.Fence), a)
	default:
		n.stats.Renewals.Inc(1)
		renewal := action.(*engine.Renew)
		return n.ports.Workers.Renew(ctx, max(term, renewal.Fence), renewal)
	}
}

// workerCall returns the worker that an action calls and the timeout of the call. The
// worker is empty if the action calls none.
func workerCall(action any) (worker string, timeout time.Duration) {
	switch a := action.(type) {
	case *engine.Start:
		return a.Worker, a.Timeout
	case *engine.Stop:
		return a.Worker, a.Timeout
	case *engine.Renew:
		return a.Worker, a.Timeout
	}
	return "", 0
}

// appendBatch stores a batch and posts the outcome once the outcome is certain.
func (l *leader) appendBatch(a *engine.Append) {
	start := time.Now()
	maxBytes := maxAppendBytes
	if limit := l.n.settings.MaxAppendBytes; limit > 0 {
		maxBytes = min(maxBytes, limit)
	}
	b := &batchAppend{leader: l}
	for _, part := range splitBatch(a.Records, maxBytes) {
		outcome, certain := b.append(part)
		if !certain {
			return // the term has ended
		}
		if outcome != engine.Stored {
			l.post(&engine.Appended{Append: a, Outcome: outcome})
			return
		}
	}
	l.n.stats.Append.UpdateSince(start)
	l.post(&engine.Appended{Append: a, Outcome: engine.Stored, Rejected: b.rejected})
}

// batchAppend stores the parts of a batch one after the other.
type batchAppend struct {
	*leader
	begun    bool // a part of the batch is stored
	rejected []engine.Rejection
}

// append appends records. If the store rejects them, it appends each half of them, so that those
// that the store rejects on their own don't keep back the others.
func (b *batchAppend) append(records []record.Record) (outcome engine.AppendOutcome, certain bool) {
	outcome, err := b.appendPart(records, !b.begun)
	switch {
	case err == nil:
		b.begun = b.begun || outcome == engine.Stored
		return outcome, true
	case !errors.Is(err, ErrRejected):
		return outcome, false
	case len(records) == 1:
		r := records[0]
		b.n.log.Error("store rejected record", "term", b.rec.Term, "key", r.Key, "bytes", r.Size(), "limit", b.n.settings.Engine.MaxRecordBytes, "reason", err.Error())
		b.n.stats.RecordsRejected.Inc(1)
		b.rejected = append(b.rejected, engine.Rejection{Key: r.Key, Reason: err.Error()})
		return engine.Stored, true
	}
	for _, half := range [][]record.Record{records[:len(records)/2], records[len(records)/2:]} {
		if outcome, certain = b.append(half); !certain || outcome != engine.Stored {
			return outcome, certain
		}
	}
	return engine.Stored, true
}

// errOutcomeUnknown is returned for an append whose outcome was not certain when the term ended.
var errOutcomeUnknown = errors.New("the term has ended")

// appendPart appends records. It retries until the outcome is certain. Its error is marked
// ErrRejected if the store rejects the records, or errOutcomeUnknown. The first part of a batch is
// returned as not stored if the store has refused it and no earlier attempt may have had an
// effect. Later parts are retried in any case, as a part of their batch is stored already.
func (l *leader) appendPart(records []record.Record, first bool) (engine.AppendOutcome, error) {
	uncertain, rejections := false, 0
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
		probe := time.AfterFunc(appendProbeDelay, func() { l.abortOnceStoreAnswers(ctx, cancel) })
		sent := time.Now()
		err := l.n.ports.Store.Append(ctx, l.rec.Term, l.sequence, records)
		probe.Stop()
		cancel()
		switch {
		case err == nil:
			l.sequence++
			l.noteConfirmed(sent)
			l.noteStoreAnswer()
			return engine.Stored, nil
		case errors.Is(err, ErrFenced):
			l.n.log.Warn("append refused", "term", l.rec.Term, "sequence", l.sequence, "reason", err.Error())
			return engine.Superseded, nil
		case errors.Is(err, ErrRejected):
			l.noteStoreAnswer()
			if rejections++; rejections >= maxRejections {
				return engine.NotStored, err // whenever they are carried out, the earlier attempts are rejected too
			}
			wait.For(l.ctx, appendRetryDelay)
			continue
		}
		if l.ctx.Err() != nil {
			break
		}
		l.noteStoreFailure(err)
		uncertain = uncertain || !errors.Is(err, ErrNoEffect)
		if first && !uncertain {
			return engine.NotStored, nil
		}
		wait.For(l.ctx, appendRetryDelay)
	}
	return engine.NotStored, errOutcomeUnknown
}

// abortOnceStoreAnswers probes the store until ctx, that of an attempt to append, ends.
// When the store answers a probe, it cancels the attempt, which is then retried.
func (l *leader) abortOnceStoreAnswers(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if l.probeStore() {
			cancel()
			return
		}
		wait.For(ctx, appendRetryDelay)
	}
}

// splitBatch splits records into parts of at most maxBytes, with recordFrameBytes for each
// record, or of one record that is larger.
func splitBatch(records []record.Record, maxBytes int) [][]record.Record {
	var parts [][]record.Record
	first, size := 0, 0
	for i, r := range records {
		framed := r.Size() + recordFrameBytes
		size += framed
		if size > maxBytes && i > first {
			parts = append(parts, records[first:i])
			first, size = i, framed
		}
	}
	return append(parts, records[first:])
}

// advise calls the adviser, through the delegate that the engine has chosen.
func (l *leader) advise(a *engine.AdviceCall) {
	ctx, cancel := context.WithTimeout(l.ctx, a.ExpectedDuration+adviceMargin)
	defer cancel()
	l.n.stats.Advice.Inc(1)
	ev := &engine.AdviceAnswered{Call: a}
	if a.Delegate == l.n.settings.Instance {
		good, ttl, err := l.n.ports.Adviser.Advise(ctx, a.Step, a.Workers)
		ev.Tickets, ev.TTL, ev.OK = good, ttl, err == nil
		l.post(ev)
		return
	}
	var reply AdviseReply
	args := AdviseArgs{Step: a.Step, Workers: a.Workers, Timeout: a.ExpectedDuration + adviceMargin}
	address := l.followerAddress(a.Delegate)
	if address == "" {
		l.post(ev) // counts as a failed call
		return
	}
	err := l.n.peers.Get(address).Call(ctx, serviceName+".Advise", &args, &reply)
	ev.Tickets, ev.TTL, ev.OK = reply.Good, reply.TTL, err == nil
	l.post(ev)
}
