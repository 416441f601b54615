package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"

	"pollenbend/internal/wait"
)

// prepare fences off earlier leaders and loads the state. It returns nil if the
// term ended before that was done.
func (l *leader) prepare() *engine.Engine {
	start := time.Now()
	if !l.fence() {
		return nil
	}
	state, ok := l.load()
	if !ok {
		return nil
	}
	set := l.n.set.Engine
	set.Term = l.rec.Term
	e := engine.New(set, l.n.log, wallClock, time.Now())
	if list, _, err := l.pollOnce(); err == nil {
		e.Handle(time.Now(), &engine.WorkersListed{Workers: list})
	}
	e.Restore(state)
	l.n.log.Info("leading", "term", l.rec.Term, "prepared_ms", time.Since(start).Milliseconds(), "jobs", len(state.Jobs))
	return e
}

func wallClock() int64 { return time.Now().UnixMilli() }

func (l *leader) fence() bool {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
		err := l.n.ports.Store.Fence(ctx, l.rec.Term)
		cancel()
		if err == nil {
			return true
		}
		l.n.log.Warn("cannot fence earlier leaders", "term", l.rec.Term, "reason", err.Error())
		if errors.Is(err, ErrFenced) {
			return false
		}
		wait.For(l.ctx, storePause)
	}
	return false
}

func (l *leader) load() (engine.Restored, bool) {
	for l.ctx.Err() == nil {
		state := engine.Restored{Jobs: make(map[string]*record.Job), Steps: make(map[job.StepRef]*record.Step)}
		ctx, cancel := context.WithTimeout(l.ctx, loadTimeout)
		err := l.n.ports.Store.Load(ctx, func(r record.Record) { l.restore(&state, r) })
		cancel()
		if err == nil {
			return state, true
		}
		l.n.log.Warn("cannot load the state", "term", l.rec.Term, "reason", err.Error())
		wait.For(l.ctx, storePause)
	}
	return engine.Restored{}, false
}

func (l *leader) restore(state *engine.Restored, r record.Record) {
	id, step, err := record.ParseKey(r.Key)
	if err != nil {
		l.n.log.Error("record of an unknown kind", "key", r.Key, "reason", err.Error())
		return
	}
	if step != nil {
		err = keep(state.Steps, *step, r.Value)
	} else {
		err = keep(state.Jobs, id, r.Value)
	}
	if err != nil {
		l.n.log.Error("record cannot be read", "key", r.Key, "reason", err.Error())
	}
}

// keep takes the newest value of a key into m. An empty value drops the key.
func keep[K comparable, V any](m map[K]*V, key K, value []byte) error {
	if len(value) == 0 {
		delete(m, key)
		return nil
	}
	kept := new(V)
	if err := record.Decode(value, kept); err != nil {
		return err
	}
	m[key] = kept
	return nil
}

// renew rewrites the leadership record until the term is over.
func (l *leader) renew(next int64) {
	l.seen()
	rec := l.rec
	for l.ctx.Err() == nil {
		wait.For(l.ctx, renewEvery)
		if l.ctx.Err() != nil {
			return
		}
		rec.Beat++
		ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
		err := l.n.ports.Store.WriteLeadership(ctx, rec, next)
		cancel()
		if err == nil {
			next++
			l.seen()
			continue
		}
		if l.ctx.Err() != nil {
			return
		}
		l.refused(err)
		now, _, place, found, readErr := l.n.readLeadership(l.ctx)
		if readErr != nil {
			continue
		}
		if found && now.Session != l.rec.Session {
			l.stop("term " + now.Instance + " has begun")
			return
		}
		next = place
	}
}

// seen notes that the store has answered this leader.
func (l *leader) seen() {
	l.n.mark(&l.n.storeSeen)
	if l.failing.Swap(0) != 0 {
		l.post(&engine.StoreAnswered{})
	}
}

func (l *leader) refused(err error) {
	if !l.failing.CompareAndSwap(0, int64(time.Since(l.n.born))) {
		return // told already
	}
	l.n.log.Warn("store call failed", "term", l.rec.Term, "reason", err.Error(), "last_answer_ms", l.n.since(&l.n.storeSeen).Milliseconds())
}

// resign lets another instance lead at once: the strongest one, or else whichever
// sees first that nobody leads.
func (l *leader) resign(ctx context.Context) {
	if to := l.successor(); to != nil && l.handOver(to) {
		return
	}
	l.stop("resigning")
	_, _, next, _, err := l.n.readLeadership(ctx)
	if err == nil {
		rec := l.rec
		rec.Resigned = true
		err = l.n.ports.Store.WriteLeadership(ctx, rec, next)
	}
	if err != nil {
		l.n.log.Warn("cannot resign", "term", l.rec.Term, "reason", err.Error())
	}
}
