package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/record"
)

const (
	// appendPause is the pause after an append that the store refused.
	appendPause = 60 * time.Millisecond
	// appendEvery is the least time between two appends. Calls to the store are
	// dear, and records that come within it share one.
	appendEvery = 20 * time.Millisecond
	// storingWeight is the weight of one append in the smoothed time to store.
	storingWeight = 0.3
	// slowStore is how long an append may be under way before new jobs are refused.
	// A store that is a hundred times slower than usual still answers in that time.
	slowStore = 700 * time.Millisecond
	// storeRetry and longestStoreRetry bound when callers are told to come back
	// while the store does not store.
	storeRetry        = time.Second
	longestStoreRetry = 3 * time.Second
)

// put adds a record to the next append.
func (e *Engine) put(key string, value []byte) {
	e.batch.Records = append(e.batch.Records, record.Record{Key: key, Value: value})
}

// afterAppend has f called once all that was recorded so far is stored.
func (e *Engine) afterAppend(f func()) { e.batch.post = append(e.batch.post, f) }

// touch has the record of s written with the next append.
func (e *Engine) touch(s *stepRun) {
	if _, there := e.dirtyStep[s]; there || s.job().compacted {
		return
	}
	e.dirtyStep[s] = struct{}{}
	e.dirtyList = append(e.dirtyList, s)
}

// flush sends the next append once the one before has ended.
func (e *Engine) flush() {
	if e.inFlight || e.now.Before(e.retryAt) || e.now.Sub(e.sentAt) < appendEvery {
		return
	}
	for _, s := range e.dirtyList {
		if !s.job().compacted {
			e.put(record.StepKey(s.ref), s.encode())
		}
	}
	clear(e.dirtyStep)
	e.dirtyList = e.dirtyList[:0]
	if len(e.batch.Records) == 0 && len(e.batch.post) == 0 {
		return
	}
	batch := e.batch
	e.batch = &Append{}
	if len(batch.Records) == 0 {
		for _, f := range batch.post {
			f()
		}
		return
	}
	e.inFlight = true
	e.sentAt = e.now
	e.emit(batch)
}

func (e *Engine) appended(ev *Appended) {
	e.inFlight = false
	switch ev.Outcome {
	case Superseded:
		e.stepDown("the store has seen a newer leader")
	case NotStored:
		e.notStored(ev.Append)
	default:
		e.storeBack()
		e.storing += time.Duration(storingWeight * float64(e.now.Sub(e.sentAt)-e.storing))
		for _, f := range ev.Append.post {
			f()
		}
	}
}

// notStored takes back a batch that was certainly not stored. Jobs in it are
// refused, as the store may stay away; all else waits for the next append.
func (e *Engine) notStored(batch *Append) {
	if e.storeDown.IsZero() {
		e.storeDown = e.now
		e.log.Warn("the store refuses appends", "records", len(batch.Records), "after_ms", e.age(e.sentAt))
	}
	e.retryAt = e.now.Add(appendPause)
	batch.Records = append(batch.Records, e.batch.Records...)
	batch.post = append(batch.post, e.batch.post...)
	batch.jobs = append(batch.jobs, e.batch.jobs...)
	e.batch = batch
	e.refuseBatch("the store is not in reach")
}

func (e *Engine) storeBack() {
	if e.storeDown.IsZero() {
		return
	}
	e.log.Info("the store is in reach again", "after_ms", e.age(e.storeDown))
	e.storeDown = time.Time{}
	e.retryAt = e.now
}

// refuseUnstored refuses the jobs that wait behind an append without an answer.
func (e *Engine) refuseUnstored() {
	if e.storeSilent() {
		e.refuseBatch("the store does not answer")
	}
}

// unstorable says why no job can be accepted now, if so, and when to come back.
func (e *Engine) unstorable() (string, time.Duration) {
	switch {
	case !e.storeDown.IsZero():
		return "the store is not in reach", e.storeRetryAfter()
	case e.storeSilent():
		return "the store does not answer", e.storeRetryAfter()
	}
	return "", 0
}

// storeSilent reports whether the append under way has had no answer for too long.
func (e *Engine) storeSilent() bool { return e.inFlight && e.now.Sub(e.sentAt) > slowStore }

// storeRetryAfter returns when callers should come back: later the longer the store
// has been away.
func (e *Engine) storeRetryAfter() time.Duration {
	away := e.now.Sub(e.sentAt)
	if !e.storeDown.IsZero() {
		away = e.now.Sub(e.storeDown)
	}
	return min(longestStoreRetry, max(storeRetry, away/2))
}

// refuseBatch refuses the jobs of the batch that was not sent, and takes their
// records out of it.
func (e *Engine) refuseBatch(why string) {
	if len(e.batch.jobs) == 0 {
		return
	}
	after := e.storeRetryAfter()
	gone := make(map[string]bool, len(e.batch.jobs))
	for _, j := range e.batch.jobs {
		gone[j.id] = true
		e.refuse(j.spec, why, after, j.waiting...)
		j.waiting = nil
		e.forget(j)
	}
	e.batch.jobs = nil
	kept := e.batch.Records[:0]
	for _, r := range e.batch.Records {
		if id, step, err := record.ParseKey(r.Key); err == nil && (gone[id] || step != nil && gone[step.Job]) {
			continue
		}
		kept = append(kept, r)
	}
	e.batch.Records = kept
}

// forget drops a job that was never stored, with the runs that were planned for it.
func (e *Engine) forget(j *jobState) {
	e.taskBegun(j)
	j.compacted = true
	j.state = record.Canceled
	delete(e.jobs, j.id)
	j.eachStep(func(s *stepRun) {
		for _, t := range s.tasks {
			for _, r := range slices.Clone(t.runs) {
				e.endRun(r, EndedStopped, "", "job not stored")
			}
		}
	})
	e.timed = slices.DeleteFunc(e.timed, func(other *jobState) bool { return other == j })
	e.dirty = true
}
