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
	// appendTimeout bounds one attempt to append, also to a slow store.
	appendTimeout = 1500 * time.Millisecond
	// appendSuspect is how long an attempt may go without an answer before the store
	// is probed: if it answers, the attempt was swallowed by an outage.
	appendSuspect = 400 * time.Millisecond
	// appendPause is the pause after an append that had no effect.
	appendPause = 20 * time.Millisecond
	// adviceSlack is how much longer than promised the adviser may take.
	adviceSlack = 600 * time.Millisecond
	// appendBytes is the most that one append carries.
	appendBytes = 1 << 20
)

// carryOut starts an action of the engine. Its result comes back as an event.
func (l *leader) carryOut(action any) {
	switch a := action.(type) {
	case *engine.Append:
		go l.append(a)
	case *engine.Start:
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, a.Timeout)
			defer cancel()
			begun := time.Now()
			ev := l.n.ports.Workers.Start(ctx, l.rec.Term, a)
			l.n.stats.Start.UpdateSince(begun)
			l.post(ev)
		}()
	case *engine.Stop:
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, a.Timeout)
			defer cancel()
			l.post(l.n.ports.Workers.Stop(ctx, l.rec.Term, a))
		}()
	case *engine.Look:
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, a.Timeout)
			defer cancel()
			l.n.stats.Looks.Inc(1)
			l.post(l.n.ports.Workers.Look(ctx, l.rec.Term, a))
		}()
	case *engine.Ask:
		go l.advise(a)
	case *engine.StepDown:
		l.stop(a.Why)
	}
}

// append stores a batch. It tries until the outcome is certain.
func (l *leader) append(a *engine.Append) {
	begun := time.Now()
	for i, part := range split(a.Records) {
		outcome, certain := l.appendPart(part, i == 0)
		if !certain {
			return // the term is over
		}
		if outcome != engine.Stored {
			l.post(&engine.Appended{Append: a, Outcome: outcome})
			return
		}
	}
	l.n.stats.Append.UpdateSince(begun)
	l.post(&engine.Appended{Append: a, Outcome: engine.Stored})
}

// appendPart appends records. A first part that the store has refused, with no
// attempt whose outcome is open, is given back as not stored.
func (l *leader) appendPart(records []record.Record, first bool) (outcome engine.AppendOutcome, certain bool) {
	open := false
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
		suspect := time.AfterFunc(appendSuspect, func() { l.giveUpIfSwallowed(ctx, cancel) })
		err := l.n.ports.Store.Append(ctx, l.rec.Term, l.sequence, records)
		suspect.Stop()
		cancel()
		switch {
		case err == nil:
			l.sequence++
			l.seen()
			return engine.Stored, true
		case errors.Is(err, ErrFenced):
			l.n.log.Warn("append refused", "term", l.rec.Term, "sequence", l.sequence, "reason", err.Error())
			return engine.Superseded, true
		}
		if l.ctx.Err() != nil {
			break
		}
		l.refused(err)
		open = open || !errors.Is(err, ErrNotDone)
		if first && !open {
			return engine.NotStored, true
		}
		wait.For(l.ctx, appendPause)
	}
	return engine.NotStored, false
}

// giveUpIfSwallowed probes the store until ctx, that of an attempt to append, ends.
// Once the store answers at its usual speed it ends the attempt, which is then made
// again.
func (l *leader) giveUpIfSwallowed(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if l.reachesStore() {
			cancel()
			return
		}
		wait.For(ctx, appendPause)
	}
}

// split cuts records into parts of at most appendBytes.
func split(records []record.Record) [][]record.Record {
	var parts [][]record.Record
	first, size := 0, 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value)
		if size > appendBytes && i > first {
			parts = append(parts, records[first:i])
			first, size = i, len(r.Key)+len(r.Value)
		}
	}
	return append(parts, records[first:])
}

// advise calls the adviser from the arm that the engine chose.
func (l *leader) advise(a *engine.Ask) {
	ctx, cancel := context.WithTimeout(l.ctx, a.Cost+adviceSlack)
	defer cancel()
	l.n.stats.Advice.Inc(1)
	ev := &engine.Advised{Ask: a}
	if a.Arm == l.n.set.Instance {
		good, ttl, err := l.n.ports.Adviser.Advise(ctx, a.Step, a.Workers)
		ev.Good, ev.TTL, ev.OK = good, ttl, err == nil
		l.post(ev)
		return
	}
	var reply AdviseReply
	args := AdviseArgs{Step: a.Step, Workers: a.Workers, Timeout: a.Cost + adviceSlack}
	address := l.armAddress(a.Arm)
	if address == "" {
		l.post(ev)
		return
	}
	err := l.n.peers.Get(address).Call(ctx, serviceName+".Advise", &args, &reply)
	ev.Good, ev.TTL, ev.OK = reply.Good, reply.TTL, err == nil
	l.post(ev)
}
