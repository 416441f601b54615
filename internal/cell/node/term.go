package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/record"

	"pollenbend/internal/wait"
)

// prepare fences earlier leaders, loads the state and returns an engine that runs on it.
// It returns nil if the term ended first.
func (l *leader) prepare() *engine.Engine {
	start := time.Now()
	workers := make(chan []engine.WorkerInfo, 1)
	go func() {
		list, _, _ := l.pollOnce() // without a list, the engine gets the first one from pollWorkers
		workers <- list
	}()
	if !l.fence() {
		return nil
	}
	fenced := time.Now()
	state, ok := l.load()
	if !ok {
		return nil
	}
	loaded := time.Now()
	config := l.n.settings.Engine
	config.Term = l.rec.Term
	config.MaxLeaderOverlap = maxLeaderOverlap
	config.CountCrash = l.n.stats.countCrash
	config.ReportEvacuated = l.n.stats.reportEvacuated
	config.ReportRuntimes = l.n.stats.reportRuntimes
	config.CountRefused = l.n.stats.countRefused
	config.CountReservations = l.n.stats.countReservations
	config.CountPreempted = l.n.stats.countPreempted
	e := engine.New(config, l.n.log, wallClock, time.Now())
	if list := <-workers; list != nil {
		e.Handle(time.Now(), &engine.WorkersListed{Workers: list})
	}
	e.Restore(state)
	l.n.log.Info("leading", "term", l.rec.Term, "prepared_ms", time.Since(start).Milliseconds(), "fence_ms", fenced.Sub(start).Milliseconds(),
		"load_ms", loaded.Sub(fenced).Milliseconds(), "jobs", len(state.Jobs), "steps", len(state.Steps))
	return e
}

// wallClock returns the Unix time in milliseconds.
func wallClock() int64 { return time.Now().UnixMilli() }

// fence makes the store refuse appends of earlier leaders. It retries until that has
// succeeded, and reports false if the term ended or a later one has begun.
func (l *leader) fence() bool {
	for l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
		sent := time.Now()
		err := l.n.ports.Store.Fence(ctx, l.rec.Term)
		cancel()
		if err == nil {
			l.noteConfirmed(sent)
			return true
		}
		l.n.log.Warn("cannot fence earlier leaders", "term", l.rec.Term, "reason", err.Error())
		if errors.Is(err, ErrFenced) {
			return false
		}
		wait.For(l.ctx, storeRetryDelay)
	}
	return false
}

// load reads the state from the store. It retries until that has succeeded, and reports
// false if the term ended first.
func (l *leader) load() (engine.Restored, bool) {
	for l.ctx.Err() == nil {
		state := engine.NewRestored()
		ctx, cancel := context.WithTimeout(l.ctx, loadTimeout)
		err := l.n.ports.Store.Load(ctx, func(r record.Record) { l.restoreRecord(&state, r) })
		cancel()
		if err == nil {
			return state, true
		}
		l.n.log.Warn("cannot load the state", "term", l.rec.Term, "reason", err.Error())
		wait.For(l.ctx, storeRetryDelay)
	}
	return engine.Restored{}, false
}

// restoreRecord adds a record to state. It logs records that it cannot decode and leaves
// them out.
func (l *leader) restoreRecord(state *engine.Restored, r record.Record) {
	if r.Key == record.ModelKey {
		state.Model = r.Value
		return
	}
	if record.IsWithdrawal(r.Key) {
		if err := setDecoded(state.Withdrawals, r.Key, r.Value); err != nil {
			l.n.log.Error("cannot decode the value of a record", "key", r.Key, "reason", err.Error())
		}
		return
	}
	id, step, err := record.ParseKey(r.Key)
	if err != nil {
		l.n.log.Error("cannot parse the key of a record", "key", r.Key, "reason", err.Error())
		return
	}
	if step != nil {
		err = setDecoded(state.StepOf(step.StepRef), step.Segment, r.Value)
	} else {
		err = setDecoded(state.Jobs, id, r.Value)
	}
	if err != nil {
		l.n.log.Error("cannot decode the value of a record", "key", r.Key, "reason", err.Error())
	}
}

// setDecoded sets key in m to the decoded value. An empty value deletes the key.
func setDecoded[K comparable, V any](m map[K]*V, key K, value []byte) error {
	if len(value) == 0 {
		delete(m, key)
		return nil
	}
	decoded := new(V)
	if err := record.Decode(value, decoded); err != nil {
		return err
	}
	m[key] = decoded
	return nil
}

// renewLeadership rewrites the leadership record every leadershipRenewInterval until the
// term ends. It ends the term if another instance has claimed the leadership. next is the
// offset of the next record.
func (l *leader) renewLeadership(next int64) {
	l.noteStoreAnswer()
	rec := l.rec
	for l.ctx.Err() == nil {
		wait.For(l.ctx, leadershipRenewInterval)
		if l.ctx.Err() != nil {
			return
		}
		rec.Beat++
		ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
		sent := time.Now()
		err := l.n.ports.Store.WriteLeadership(ctx, rec, next)
		cancel()
		if err == nil {
			next++
			l.post(&engine.FenceRenewed{Fence: next}) // a term is the offset of its claim plus one, so the next one is higher
			l.noteConfirmed(sent)
			l.noteStoreAnswer()
			continue
		}
		if l.ctx.Err() != nil {
			return
		}
		l.noteStoreFailure(err)
		sent = time.Now()
		current, _, currentNext, found, readErr := l.n.readLeadership(l.ctx)
		if readErr != nil {
			continue
		}
		if found && current.Session != l.rec.Session {
			l.stop("instance " + current.Instance + " has claimed the leadership")
			return
		}
		if found && l.names(&current) {
			l.noteConfirmed(sent)
		}
		next = currentNext
	}
}

// checkLeadership ends the term for the given reason unless the leadership record names this term.
func (l *leader) checkLeadership(reason string) {
	current, _, _, found, err := l.n.readLeadership(l.ctx)
	if err == nil && found && current.Session == l.rec.Session && current.Term == l.rec.Term {
		l.n.log.Warn("the leadership record names no newer leader", "term", l.rec.Term, "claim", reason)
		l.post(&engine.LeadershipConfirmed{})
		return
	}
	l.stop(reason)
}

// noteStoreAnswer records that a call to the store has succeeded, and posts
// StoreRecovered if earlier calls had failed.
func (l *leader) noteStoreAnswer() {
	l.n.setNow(&l.n.storeAnsweredAt)
	if l.storeFailingSince.Swap(0) != 0 {
		l.post(&engine.StoreRecovered{})
	}
}

// noteStoreFailure records that a call to the store has failed, and logs the first
// failure after a success.
func (l *leader) noteStoreFailure(err error) {
	l.storeRefused.Store(!errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled))
	if !l.storeFailingSince.CompareAndSwap(0, int64(time.Since(l.n.startedAt))) {
		return // logged already
	}
	l.n.log.Warn("store call failed", "term", l.rec.Term, "reason", err.Error(), "last_answer_ms", l.n.since(&l.n.storeAnsweredAt).Milliseconds())
}

// resign ends the term so that another instance can lead at once: the one that successor
// returns or, if there is none or it cannot be reached, the first that reads the
// resignation. What the next leader needs is stored before.
func (l *leader) resign(ctx context.Context) {
	l.conclude(ctx)
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
		l.n.log.Warn("cannot write the resignation; the term has ended on this instance", "term", l.rec.Term, "reason", err.Error())
	}
}
