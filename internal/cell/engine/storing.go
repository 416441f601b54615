package engine

import (
	"math/bits"
	"slices"
	"time"

	"pollenbend/internal/cell/record"
)

const (
	// appendRetryDelay is the delay after an append that the store refused.
	appendRetryDelay = 60 * time.Millisecond
	// minAppendInterval is the minimum interval between two appends. Calls to the store
	// are expensive, so the records of an interval share one append.
	minAppendInterval = 20 * time.Millisecond
	// storeLatencyWeight is the weight of one append in the smoothed store latency.
	storeLatencyWeight = 0.3
	// appendAnswerTimeout is the minimum time without an answer to an append after which
	// new jobs are refused. A store a hundred times slower than usual still answers small
	// appends in it.
	appendAnswerTimeout = 700 * time.Millisecond
	// slowStoreMultiplier is that time as a multiple of the smoothed store latency.
	slowStoreMultiplier = 2
	// maxStoreLatency is the duration from which an append counts as delayed by an outage,
	// which says nothing about the latency after it.
	maxStoreLatency = time.Second
	// slowAppend is the duration from which an append is logged.
	slowAppend = 300 * time.Millisecond
	// minStoreRetryAfter and maxStoreRetryAfter bound the retry delay that callers get
	// while the store is unavailable.
	minStoreRetryAfter = time.Second
	maxStoreRetryAfter = 3 * time.Second
)

// put adds a record to the next append.
func (e *Engine) put(key string, value []byte) {
	e.batch.Records = append(e.batch.Records, record.Record{Key: key, Value: value})
}

// afterAppend calls f once all records put so far are stored.
func (e *Engine) afterAppend(f func()) { e.batch.onStored = append(e.batch.onStored, f) }

// markDirty has the record that holds t written with the next append. The members of a gang
// share what is recorded of them, so all of its records are written.
func (e *Engine) markDirty(t *task) {
	if t.step.spec.Gang {
		e.markSegmentsDirty(t.step, t.step.allSegments())
		return
	}
	e.markSegmentsDirty(t.step, 1<<(t.ref.Index/record.SegmentTasks))
}

// markAdviceDirty has the record that holds the adviser's answers for s written with the next append.
func (e *Engine) markAdviceDirty(s *stepState) { e.markSegmentsDirty(s, 1) }

// A bit set of segments is wide enough for the widest step.
const _ = uint(64 - record.MaxSegments)

// allSegments returns the bit set of all segments of s.
func (s *stepState) allSegments() uint64 { return 1<<record.Segments(len(s.tasks)) - 1 }

// markSegmentsDirty has the records of a bit set of segments of s written with the next append.
func (e *Engine) markSegmentsDirty(s *stepState, segments uint64) {
	if s.job().compacted {
		return
	}
	if s.wholeStored && segments&1 != 0 {
		segments = s.allSegments() // the first record will not hold the other tasks any more
		s.wholeStored = false
	}
	if s.dirtySegments == 0 {
		e.dirtySteps = append(e.dirtySteps, s)
	}
	s.dirtySegments |= segments
}

// putDirtySteps adds the records of all dirty segments to the next append.
func (e *Engine) putDirtySteps() {
	for _, s := range e.dirtySteps {
		segments := s.dirtySegments
		s.dirtySegments = 0
		if s.job().compacted {
			continue
		}
		// The first one comes last: until it is stored, that of an earlier version holds the tasks of the others.
		for segments != 0 {
			last := bits.Len64(segments) - 1
			segments &^= 1 << last
			e.putSegment(s, last)
		}
	}
	e.dirtySteps = e.dirtySteps[:0]
}

// flush sends the next append once the previous one has ended.
func (e *Engine) flush() {
	if e.appendInFlight || e.now.Before(e.appendRetryAt) || e.now.Sub(e.appendSentAt) < minAppendInterval {
		return
	}
	e.putDirtySteps()
	e.putModel()
	if len(e.batch.Records) == 0 && len(e.batch.onStored) == 0 {
		return
	}
	batch := e.batch
	e.batch = &Append{}
	if len(batch.Records) == 0 {
		for _, f := range batch.onStored {
			f()
		}
		return
	}
	e.appendInFlight = true
	e.appendSentAt = e.now
	e.emit(batch)
}

// appended applies the outcome of an append.
func (e *Engine) appended(ev *Appended) {
	e.appendInFlight = false
	switch ev.Outcome {
	case Superseded:
		e.stepDown("the store has seen a newer leader")
	case NotStored:
		e.appendRefused(ev.Append)
	default:
		e.storeRecovered()
		took := e.now.Sub(e.appendSentAt)
		e.storeLatency += time.Duration(storeLatencyWeight * float64(min(took, maxStoreLatency)-e.storeLatency))
		if took >= slowAppend {
			e.log.Warn("slow append", "records", len(ev.Append.Records), "bytes", record.TotalSize(ev.Append.Records), "after_ms", took.Milliseconds(), "jobs", len(ev.Append.jobs))
		}
		if len(ev.Rejected) > 0 {
			e.recordsRejected(ev.Append, ev.Rejected)
			return
		}
		for _, f := range ev.Append.onStored {
			f()
		}
	}
}

// appendRefused adds a batch that was certainly not stored to the next append. New jobs
// in it are refused, as the store may stay unavailable.
func (e *Engine) appendRefused(batch *Append) {
	if e.storeDownSince.IsZero() {
		e.storeDownSince = e.now
		e.log.Warn("store refused append", "records", len(batch.Records), "after_ms", e.msSince(e.appendSentAt))
	}
	e.appendRetryAt = e.now.Add(appendRetryDelay)
	batch.Records = append(batch.Records, e.batch.Records...)
	batch.onStored = append(batch.onStored, e.batch.onStored...)
	batch.jobs = append(batch.jobs, e.batch.jobs...)
	e.batch = batch
	e.refuseBatchJobs("the store is not in reach")
}

// storeRecovered records that the store accepts appends again.
func (e *Engine) storeRecovered() {
	if e.storeDownSince.IsZero() {
		return
	}
	e.log.Info("store available again", "after_ms", e.msSince(e.storeDownSince))
	e.storeDownSince = time.Time{}
	e.appendRetryAt = e.now
}

// refuseUnstoredJobs refuses the jobs that wait behind an append without an answer.
func (e *Engine) refuseUnstoredJobs() {
	if e.appendTimedOut() {
		e.refuseBatchJobs("the store does not answer")
	}
}

// storeUnavailable returns the reason why no job can be stored within the time that its
// caller waits, or "", and the retry delay for the caller. A wait of zero is not known.
func (e *Engine) storeUnavailable(wait time.Duration) (string, time.Duration) {
	switch {
	case wait > 0 && e.expectedStoreWait() > wait:
		return "the store is too slow for the caller's timeout", e.storeRetryAfter()
	case !e.storeDownSince.IsZero():
		return "the store is not in reach", e.storeRetryAfter()
	case e.appendTimedOut():
		return "the store does not answer", e.storeRetryAfter()
	}
	return "", 0
}

// expectedStoreWait returns the expected time until a record that is put now is stored.
func (e *Engine) expectedStoreWait() time.Duration {
	if !e.appendInFlight {
		return e.storeLatency
	}
	return max(0, e.storeLatency-e.now.Sub(e.appendSentAt)) + e.storeLatency
}

// appendTimedOut reports whether the append in flight has had no answer for much longer
// than usual.
func (e *Engine) appendTimedOut() bool {
	return e.appendInFlight && e.now.Sub(e.appendSentAt) > max(appendAnswerTimeout, slowStoreMultiplier*e.storeLatency)
}

// storeRetryAfter returns the retry delay for callers. It grows with the time that the
// store has been unavailable.
func (e *Engine) storeRetryAfter() time.Duration {
	downTime := e.now.Sub(e.appendSentAt)
	if !e.storeDownSince.IsZero() {
		downTime = e.now.Sub(e.storeDownSince)
	}
	return min(maxStoreRetryAfter, max(minStoreRetryAfter, downTime/2))
}

// refuseBatchJobs refuses the new jobs in the unsent batch and removes their records
// from it.
func (e *Engine) refuseBatchJobs(why string) {
	if len(e.batch.jobs) == 0 {
		return
	}
	retryAfter := e.storeRetryAfter()
	refused := make(map[string]bool, len(e.batch.jobs))
	for _, j := range e.batch.jobs {
		refused[j.id] = true
		e.refuse(j.spec, why, e.retryAfter(j.id, retryAfter), j.pendingSubmits...)
		j.pendingSubmits = nil
		e.dropUnstoredJob(j)
	}
	e.batch.jobs = nil
	kept := e.batch.Records[:0]
	for _, r := range e.batch.Records {
		if id, step, err := record.ParseKey(r.Key); err == nil && (refused[id] || step != nil && refused[step.Job]) {
			continue
		}
		kept = append(kept, r)
	}
	e.batch.Records = kept
}

// dropUnstoredJob drops a job that was never stored, and the runs planned for it.
func (e *Engine) dropUnstoredJob(j *jobState) {
	e.markStarted(j)
	j.compacted = true
	j.state = record.Canceled
	e.forget(j)
	j.eachStep(func(s *stepState) {
		for _, t := range s.tasks {
			for _, r := range slices.Clone(t.runs) {
				e.endRun(r, EndedStopped, "", "job not stored")
			}
		}
	})
	isJob := func(other *jobState) bool { return other == j }
	e.scheduledJobs = slices.DeleteFunc(e.scheduledJobs, isJob)
	e.endedJobs = slices.DeleteFunc(e.endedJobs, isJob) // it may have been canceled
	e.needsPlacement = true
}
