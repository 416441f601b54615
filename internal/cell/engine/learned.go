package engine

import (
	"math"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/record"
	"pollenbend/internal/cell/runtimes"
)

// With the feature LearnedRuntimes, expected run times come from a model that is learned
// from finished runs. Without it, they are the callers' estimates times the smoothed
// ratio of their queue, see runtimeEstimator.

// taskOf returns the properties of a task of a step by which its run time is expected.
// name is that of the step, empty before the job is accepted. Outside its preferred rack a
// task takes longer by a known factor, given as stretch.
func taskOf(spec *job.Spec, s *job.Step, name string, stretch float64) runtimes.Task {
	return runtimes.Task{Queue: spec.Queue, Team: spec.Team, Image: s.Image, Step: name, CPU: s.Need.CPU, Estimate: time.Duration(stretch * float64(s.Estimate))}
}

// medianRuntime returns the run time that a task of a step of a job exceeds as likely as
// not, on an ordinary worker.
func (e *Engine) medianRuntime(spec *job.Spec, s *job.Step) time.Duration {
	if !e.cfg.Features.LearnedRuntimes {
		return e.estimator.expect(spec.Queue, s.Estimate)
	}
	return e.runtimes.Expect(taskOf(spec, s, "", 1), "").Median()
}

// stepRuntimeValidity is how long what is expected of the tasks of a step is used before
// it is computed anew. The waiting work is measured every few milliseconds, and runs are
// compared with new ones several times per second.
const stepRuntimeValidity = 500 * time.Millisecond

// stepRuntime is what was expected of the tasks of a step on an ordinary worker.
type stepRuntime struct {
	mean, median, p90 time.Duration
	at                time.Time // when it was computed
}

// runtimeOf returns what is expected of the tasks of s on an ordinary worker.
func (e *Engine) runtimeOf(s *stepState) stepRuntime {
	if !e.cfg.Features.LearnedRuntimes {
		expected := e.estimator.expect(s.job().queue, s.spec.Estimate)
		return stepRuntime{mean: expected, median: expected, p90: expected}
	}
	if s.runtime.at.IsZero() || e.now.Sub(s.runtime.at) >= stepRuntimeValidity {
		x := e.runtimes.Expect(taskOf(s.job().spec, s.spec, s.name, 1), "")
		r := stepRuntime{mean: x.Mean(), median: x.Median(), p90: x.Quantile(endQuantile), at: e.now}
		if e.trial != nil {
			return r
		}
		s.runtime = r
	}
	return s.runtime
}

// expectation returns the distribution of the run time of r on its worker, for a gang on
// the slowest worker of its members.
func (e *Engine) expectation(r *run) runtimes.Expectation {
	s := r.task.step
	t := taskOf(s.job().spec, s.spec, s.name, e.rackStretch(r))
	if !e.cfg.Features.LearnedRuntimes {
		t.Estimate = e.estimator.expect(t.Queue, t.Estimate)
		return e.runtimes.Expect(t, "") // the model is empty
	}
	return e.runtimes.Expect(t, e.paceOf(r))
}

// rackStretch returns the run time of r relative to that in its preferred rack.
func (e *Engine) rackStretch(r *run) float64 {
	if rack := r.task.step.spec.PreferredRack; rack != "" && r.worker.rack != rack {
		return max(1, e.cfg.OffRackMultiplier)
	}
	return 1
}

// paceOf returns the worker that determines how long r takes: its own or, for a gang, the
// slowest one of the members.
func (e *Engine) paceOf(r *run) string {
	s := r.task.step
	if !s.spec.Gang {
		return r.worker.id
	}
	if s.pace.run == r.number {
		return s.pace.worker
	}
	slowest, pace := 0.0, r.worker.id
	for _, m := range s.tasks {
		for _, u := range m.runs {
			if slowness := e.runtimes.Slowness(u.worker.id); u.number == r.number && slowness > slowest {
				slowest, pace = slowness, u.worker.id
			}
		}
	}
	if e.trial == nil {
		s.pace = gangPace{r.number, pace}
	}
	return pace
}

// gangPace is the slowest worker of a run of a gang.
type gangPace struct {
	run    int
	worker string
}

// predict remembers what is expected of r, whose start is sent now.
func (e *Engine) predict(r *run) {
	if e.cfg.Features.LearnedRuntimes && !r.task.step.spec.LongRunning {
		r.predicted = e.expectation(r).Prediction()
	}
}

// learnRuntime adds a run that has succeeded to the model.
func (e *Engine) learnRuntime(r *run) {
	s := r.task.step
	if !e.cfg.Features.LearnedRuntimes || r.task.done || s.spec.LongRunning || !e.measured(r) {
		return
	}
	t := taskOf(s.job().spec, s.spec, s.name, e.rackStretch(r))
	if !s.spec.Gang {
		e.runtimes.ObservePredicted(t, r.worker.id, e.now.Sub(r.startSentAt), r.predicted)
		return
	}
	if start, known := gangStart(r); known {
		e.runtimes.ObserveGang(t, e.paceOf(r), e.now.Sub(start), r.predicted)
	}
}

// measured reports whether the time for which r worked is known, and was all that its
// task needs. A run on a worker that was silent may have ended long before it was reported.
func (e *Engine) measured(r *run) bool {
	return !r.startSentAt.IsZero() && r.startsSent == 1 && r.unansweredStarts == 0 && r.checkpoint == "" && !r.worker.silenceEndedAt.Equal(e.now)
}

// gangStart returns when the last member of the gang of r was started, whose end is the
// first one of its run. It reports false if the start of a member is not known.
func gangStart(r *run) (time.Time, bool) {
	start := r.startSentAt
	for _, m := range r.task.step.tasks {
		if m == r.task {
			continue
		}
		if len(m.runs) != 1 || m.runs[0].number != r.number || m.runs[0].startSentAt.IsZero() || m.runs[0].startsSent != 1 {
			return time.Time{}, false
		}
		if m.runs[0].startSentAt.After(start) {
			start = m.runs[0].startSentAt
		}
	}
	return start, true
}

const (
	// modelAgeInterval is the interval at which old samples lose weight.
	modelAgeInterval = time.Second
	// modelStoreInterval is the minimum interval between two records of the model, and
	// modelStoreRuns the number of new runs from which one is written. A few new runs are
	// written after modelStoreDelay. A record has up to 16 KB, and the store is expensive.
	modelStoreInterval = 5 * time.Second
	modelStoreRuns     = 200
	modelStoreDelay    = 30 * time.Second
	// modelLogInterval is the interval between two log lines about the model, and
	// maxLoggedQueues the number of queues in such a line.
	modelLogInterval = 10 * time.Second
	maxLoggedQueues  = 6
)

// modelUpkeep holds when the model was last stored, logged and aged.
type modelUpkeep struct {
	agedAt, storedAt, loggedAt time.Time
	storedRuns, reportedRuns   int // value of runtimes.Model.Observed then
}

// RuntimeReport is what the engine tells about the learned run times, for metrics.
type RuntimeReport struct {
	Calibration                                 float64 // part of the runs that ended within their 0.9 quantile; zero if unknown
	NewSamples                                  int     // runs observed since the last report
	LeastSlowness, MedianSlowness, MostSlowness float64 // of the workers
}

// maintainModel lets old samples of the model lose weight, and logs what it has learned.
func (e *Engine) maintainModel() {
	if !e.cfg.Features.LearnedRuntimes {
		return
	}
	u := &e.modelUpkeep
	if u.agedAt.IsZero() {
		u.agedAt, u.storedAt, u.loggedAt = e.now, e.now, e.now
	}
	if elapsed := e.now.Sub(u.agedAt); elapsed >= modelAgeInterval {
		u.agedAt = e.now
		e.runtimes.Advance(elapsed)
	}
	if e.now.Sub(u.loggedAt) < modelLogInterval {
		return
	}
	u.loggedAt = e.now
	report := RuntimeReport{Calibration: e.runtimes.Calibration(), NewSamples: e.runtimes.Observed() - u.reportedRuns}
	u.reportedRuns = e.runtimes.Observed()
	report.LeastSlowness, report.MedianSlowness, report.MostSlowness = e.runtimes.SlownessRange()
	if e.cfg.ReportRuntimes != nil {
		e.cfg.ReportRuntimes(report)
	}
	if report.NewSamples > 0 {
		e.logModel(report)
	}
}

// logModel logs what has been learned of the most observed queues.
func (e *Engine) logModel(report RuntimeReport) {
	attrs := []any{"new", report.NewSamples, "within_p90", rounded(report.Calibration),
		"slowness_min", rounded(report.LeastSlowness), "slowness_median", rounded(report.MedianSlowness), "slowness_max", rounded(report.MostSlowness)}
	for i, q := range e.runtimes.Queues() {
		if i == maxLoggedQueues {
			break
		}
		attrs = append(attrs, "samples_"+q.Queue, q.Samples, "median_"+q.Queue, rounded(q.Median), "p90_"+q.Queue, rounded(q.P90), "within_p90_"+q.Queue, rounded(q.Calibration))
	}
	e.log.Info("learned run times", attrs...)
}

// rounded returns x in thousandths, for logs.
func rounded(x float64) float64 { return math.Round(1000*x) / 1000 }

// putModel adds the record of the model to an append that is sent anyway, if enough runs
// were added since the last one.
func (e *Engine) putModel() {
	u := &e.modelUpkeep
	if !e.cfg.Features.LearnedRuntimes || len(e.batch.Records) == 0 || !e.storeDownSince.IsZero() {
		return
	}
	age, added := e.now.Sub(u.storedAt), e.runtimes.Observed()-u.storedRuns
	if age < modelStoreInterval || added == 0 || added < modelStoreRuns && age < modelStoreDelay {
		return
	}
	u.storedAt, u.storedRuns = e.now, e.runtimes.Observed()
	e.put(record.ModelKey, e.runtimes.Encode())
}

// restoreModel decodes the record of the model that an earlier leader has stored. One that
// cannot be decoded is ignored, so the model starts empty.
func (e *Engine) restoreModel(data []byte) {
	if !e.cfg.Features.LearnedRuntimes || len(data) == 0 {
		return
	}
	if err := e.runtimes.Decode(data); err != nil {
		e.log.Warn("learned run times ignored", "bytes", len(data), "reason", err.Error())
		return
	}
	e.log.Info("learned run times restored", "bytes", len(data), "queues", len(e.runtimes.Queues()), "workers", len(e.runtimes.Workers()))
}
