package engine

import (
	"fmt"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
)

// The store rejects a record over its limit, however often it is sent. A job whose records would
// pass the limit is refused; what may grow past it later, such as checkpoints, is left out of the
// record, and a job whose progress still can't be stored fails, as nothing of it may start any more.

const (
	// maxTaskBytes bounds the size of the progress of one task in a record, in bytes, with its
	// worker and its crashes, but without a checkpoint.
	maxTaskBytes = 96
	// endedJobBytes bounds what the record of a job that has ended holds beside the spec, in bytes.
	endedJobBytes = 1024
)

// Rejection is a record that the store has rejected for good.
type Rejection struct {
	Key    string
	Reason string
}

// fits reports whether the store takes a record of the given key and value.
func (e *Engine) fits(key string, value []byte) bool {
	r := record.Record{Key: key, Value: value}
	return e.cfg.MaxRecordBytes <= 0 || r.Size() <= e.cfg.MaxRecordBytes
}

// unstorable returns the reason why the records of a job cannot be stored, or "". jobRecord is that
// of its acceptance.
func (e *Engine) unstorable(spec *job.Spec, jobRecord []byte) string {
	limit := e.cfg.MaxRecordBytes
	if limit <= 0 {
		return ""
	}
	if size := len(record.JobKey(spec.ID)) + len(jobRecord) + endedJobBytes; size > limit {
		return tooLargeReason(size, limit)
	}
	for i := range spec.Steps {
		runs := 1
		if spec.Steps[i].Speculative {
			runs = 2
		}
		if size := min(spec.Steps[i].Count, record.SegmentTasks) * runs * maxTaskBytes; size > limit {
			return fmt.Sprintf("step %d takes records of %d bytes, at most %d can be stored", i, size, limit)
		}
	}
	return ""
}

// CannotStore returns the reason why a job can't be stored whose texts alone take more than limit
// bytes, or "". It is a part of what the leader checks, which costs an entry little. A limit of
// zero is none.
func CannotStore(spec *job.Spec, limit int) string {
	size := len(record.JobKey(spec.ID)) + len(spec.Payload) + endedJobBytes
	for i := range spec.Steps {
		s := &spec.Steps[i]
		size += len(s.Label) + len(s.PreferredRack) + len(s.Image)
	}
	if limit <= 0 || size <= limit {
		return ""
	}
	return tooLargeReason(size, limit)
}

func tooLargeReason(size, limit int) string {
	return fmt.Sprintf("the job takes a record of %d bytes, at most %d can be stored", size, limit)
}

// largeJobBytes is the size in memory from which a job counts as large. Only long texts make a
// job that large.
const largeJobBytes = 64 << 10

// noMemoryReason is the reason of the refusal of a large job beside others.
const noMemoryReason = "the leader has no memory for the job"

// noMemoryRetryAfter is the delay after which its caller may retry.
const noMemoryRetryAfter = 5 * time.Second

// memoryFull returns why a large job is refused beside the large jobs that are known, or "".
func (e *Engine) memoryFull(spec *job.Spec) (string, time.Duration) {
	size := spec.Size()
	if e.cfg.MaxLargeJobBytes <= 0 || size < largeJobBytes || e.largeJobBytes+size <= e.cfg.MaxLargeJobBytes {
		return "", 0
	}
	return noMemoryReason, noMemoryRetryAfter
}

// remember adds j to the known jobs.
func (e *Engine) remember(j *jobState) {
	e.jobs[j.id] = j
	if j.largeBytes > 0 || j.spec == nil {
		return
	}
	if size := j.spec.Size(); size >= largeJobBytes {
		j.largeBytes = size
		e.largeJobBytes += size
	}
}

// forget removes j from the known jobs.
func (e *Engine) forget(j *jobState) {
	delete(e.jobs, j.id)
	e.largeJobBytes -= j.largeBytes
	j.largeBytes = 0
}

// putSegment adds the record of a segment of s to the next append. What makes the record too large
// is left out if the next leader can do without it. The job fails if the rest is too large as well.
func (e *Engine) putSegment(s *stepState, segment int) {
	key, rec := record.StepKey(s.ref, segment), s.segmentRecord(segment)
	noteSettledStored(s.segment(segment))
	value := record.Encode(rec)
	if e.fits(key, value) {
		e.put(key, value)
		return
	}
	bytes := len(value)
	leaveOut := []struct {
		what string
		from func()
	}{
		{"advice", func() { rec.GoodWorkers, rec.Asked = nil, nil }},
		{"checkpoints", func() {
			for i := range rec.Tasks {
				rec.Tasks[i].Checkpoint = ""
			}
		}},
	}
	for _, part := range leaveOut {
		part.from()
		if value = record.Encode(rec); e.fits(key, value) {
			e.log.Warn("record stored in part", "job", s.ref.Job, "key", key, "bytes", bytes, "limit", e.cfg.MaxRecordBytes, "without", part.what)
			e.put(key, value)
			return
		}
	}
	e.failUnstorable(s.job(), key, fmt.Sprintf("a record of %d bytes, at most %d can be stored", len(value), e.cfg.MaxRecordBytes))
}

// failUnstorable fails a job whose progress cannot be stored. Its runs whose plan is not stored do
// not start.
func (e *Engine) failUnstorable(j *jobState, key, why string) {
	e.log.Error("progress not stored", "job", j.id, "key", key, "reason", why, "state", j.stateName())
	if j.state.Final() {
		return // the records stored before name all runs that may be at work
	}
	j.reason = "its progress cannot be stored: " + why
	e.finishJob(j, record.Failed)
}

// putJob adds the record of j to the next append, without the spec if the store does not take it.
// The next leader then doesn't know the runs of j.
func (e *Engine) putJob(j *jobState) {
	key, rec := record.JobKey(j.id), j.record()
	value := record.Encode(rec)
	if rec.Spec != nil && rec.State.Final() && (j.specRejected || !e.fits(key, value)) {
		e.log.Warn("record stored in part", "job", j.id, "key", key, "bytes", len(value), "limit", e.cfg.MaxRecordBytes, "without", "spec")
		rec.Spec = nil
		value = record.Encode(rec)
	}
	e.put(key, value)
}

// recordsRejected applies that the store has rejected records of a batch for good, while the others
// are stored. What was to follow once the batch is stored follows the next append, which
// stores the consequences.
func (e *Engine) recordsRejected(batch *Append, rejected []Rejection) {
	for _, r := range rejected {
		id, step, err := record.ParseKey(r.Key)
		if err != nil {
			continue // a cache, or a record whose size no caller chooses
		}
		j := e.jobs[id]
		switch {
		case j == nil || len(j.occurrences) == 0:
		case step != nil:
			e.failUnstorable(j, r.Key, r.Reason)
		case !j.stored:
			e.refuse(j.spec, "the job cannot be stored: "+r.Reason, 0, j.pendingSubmits...)
			j.pendingSubmits = nil
			e.dropUnstoredJob(j)
		case j.state.Final() && !j.specRejected:
			j.specRejected = true
			e.putJob(j)
		}
	}
	e.batch.onStored = append(batch.onStored, e.batch.onStored...)
}
