package engine

import (
	"math"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/policy"
	"pollenbend/internal/cell/reservation"
)

// While a gang waits, a worker on which it has reserved resources takes other tasks that end
// before the gang starts, or that fit beside it.

// maxReservationSpeedRatio is the ratio of the speeds of the fastest and the slowest class of workers
// from which no reservations are made. They go to the workers that are free first, whatever their
// speed, and a gang runs at the pace of its slowest member, so on an uneven fleet it occupies its
// workers for much longer than on workers of one speed. Equally fast workers differ by less as learned.
const maxReservationSpeedRatio = 1.25

// backfills reports whether steps of q reserve resources for their expected start, and others run there
// until then. If not, gangs hold what is free, as without the feature.
func (e *Engine) backfills(q *policy.Queue) bool {
	if !e.cfg.Features.Backfill {
		return false
	}
	p := e.pools[q.Service]
	if p == nil || p.speeds.Count() <= 1 {
		return true
	}
	return p.speeds.Slowness(p.speeds.Count()-1) < maxReservationSpeedRatio*p.speeds.Slowness(0)
}

// workerHold is what a waiting step has reserved on a worker in this placement round.
type workerHold struct {
	by        *stepReservation
	resources job.Resources
}

const (
	// releaseProbability is the probability of the expected ends that reservations count on.
	// The gang starts with the last of several ends, so the medians would be too early.
	releaseProbability = 0.75
	// backfillProbability is the probability with which a task that is started on reserved
	// resources has to end before they are needed. runtimeOf has this quantile.
	backfillProbability = endQuantile
	// endsRetention is how long the expected ends of the runs on a worker are kept. They
	// hardly change while its runs stay the same.
	endsRetention = 20 * time.Millisecond
)

// backfillMultiplier is the 0.9 quantile of the run time as a multiple of the estimate times
// the queue's smoothed ratio, without learned run times. It is 1.68 for a log-normal
// distribution with a spread of 0.5, which the jobs of a queue have.
var backfillMultiplier = meanFactor(backfillProbability)

// freeFor returns the resources of w that are free for a task of s now.
func (e *Engine) freeFor(s *stepState, w *worker) job.Resources {
	free := w.free()
	if len(w.holds) == 0 || !s.charge.Fits(free) || !w.heldAgainst(s) {
		return free // on a full fleet, most workers hold no further task anyway
	}
	runtime := time.Duration(0)
	if !s.spec.LongRunning {
		runtime = e.backfillRuntimeOf(s, w)
	}
	return e.freeBeside(w, s, runtime)
}

// freeForNew returns the resources of w that are free for a task of a new job.
func (e *Engine) freeForNew(queue, team string, step *job.Step, w *worker) job.Resources {
	if len(w.holds) == 0 {
		return w.free()
	}
	return e.freeBeside(w, nil, e.backfillRuntime(queue, team, step, w.id))
}

// heldAgainst reports whether anything on w is held against s.
func (w *worker) heldAgainst(s *stepState) bool {
	return slices.ContainsFunc(w.holds, func(h workerHold) bool { return h.by.binds(s) })
}

// strictlyHeldAgainst reports whether a strict reservation on w is held from its start on against s, or
// against any step if s is nil.
func (w *worker) strictlyHeldAgainst(s *stepState) bool {
	return slices.ContainsFunc(w.holds, func(h workerHold) bool { return h.by.strict && h.by.amidIdle && (s == nil || h.by.binds(s)) })
}

// backfillRuntime returns the time that a task of a new job does not exceed on a worker, with
// backfillProbability.
func (e *Engine) backfillRuntime(queue, team string, step *job.Step, worker string) time.Duration {
	if !e.cfg.Features.LearnedRuntimes {
		return scale(e.estimator.expect(queue, step.Estimate), backfillMultiplier)
	}
	return e.runtimes.Expect(taskOf(&job.Spec{Queue: queue, Team: team}, step, "", 1), worker).Quantile(backfillProbability)
}

// backfillRuntimeOf is backfillRuntime of a task of s on w.
func (e *Engine) backfillRuntimeOf(s *stepState, w *worker) time.Duration {
	if !e.cfg.Features.LearnedRuntimes {
		return scale(e.estimator.expect(s.job().queue, s.spec.Estimate), backfillMultiplier)
	}
	return scale(e.runtimeOf(s).p90, e.modelSlowness(w))
}

// freeBeside returns the resources of w that are free beside what is held against s, or
// against any step if s is nil, for a task of the given run time. A run time of zero stands
// for a task that does not end. Beside a strict reservation any task counts as such: it may
// start if the reserving step can start without its end.
func (e *Engine) freeBeside(w *worker, s *stepState, runtime time.Duration) job.Resources {
	if w.overcommitted() {
		return job.Resources{}
	}
	end := e.now.Add(runtime + ticketMargin + e.storeLatency)
	if runtime == 0 || w.strictlyHeldAgainst(s) {
		end = e.now.Add(noEnd)
	}
	timeline := e.timelineInto(e.holdBuffer[:0], w, s)
	e.holdBuffer = timeline.Holds
	return timeline.FreeUntil(e.now, end)
}

// noEnd is longer than any reservation is ahead.
const noEnd = 24 * time.Hour

// freeAt returns the resources of w that are expected to be free at the given time beside what is
// held against s.
func (e *Engine) freeAt(w *worker, s *stepState, at time.Time) job.Resources {
	free := w.capacity.Sub(w.used).Sub(w.heldForGangs).Sub(w.withheld)
	for _, r := range e.releases(w) {
		if r.At.After(at) {
			break
		}
		free = free.Add(r.Resources)
	}
	for _, h := range w.holds {
		if h.by.binds(s) && !h.by.heldFrom(e.now).After(at) {
			free = free.Sub(h.resources)
		}
	}
	return free
}

// timeline returns the expected use of w, with what is held against s, or against any step if
// s is nil.
func (e *Engine) timeline(w *worker, s *stepState) reservation.Worker {
	return e.timelineInto(nil, w, s)
}

// timelineInto is timeline with the holds appended to a buffer.
func (e *Engine) timelineInto(holds []reservation.Hold, w *worker, s *stepState) reservation.Worker {
	out := reservation.Worker{Holds: holds, Free: w.capacity.Sub(w.used).Sub(w.heldForGangs).Sub(w.withheld), Releases: e.releases(w)}
	for _, h := range w.holds {
		if s == nil || h.by.binds(s) {
			out.Holds = append(out.Holds, reservation.Hold{From: h.by.heldFrom(e.now), Resources: h.resources})
		}
	}
	return out
}

// releases returns the expected ends of the runs on w.
func (e *Engine) releases(w *worker) []reservation.Release {
	if w.releasesValid && e.now.Sub(w.releasesAt) < endsRetention {
		return w.releases
	}
	e.trial.saveReleases(w)
	w.releasesValid, w.releasesAt = true, e.now
	w.releases = w.releases[:0]
	for _, r := range w.runs {
		switch {
		case r.held || r.phase != stopping && r.task.step.spec.LongRunning:
		case r.phase == stopping:
			w.releases = append(w.releases, reservation.Release{At: e.now.Add(e.cfg.MaxStopDuration), Resources: r.charge})
		default:
			w.releases = append(w.releases, reservation.Release{At: e.expectedEnd(r, releaseProbability), Resources: r.charge})
		}
	}
	slices.SortFunc(w.releases, func(a, b reservation.Release) int { return a.At.Compare(b.At) })
	return w.releases
}

// isBackfill reports whether a task of s on w uses resources that are held against s.
func (w *worker) isBackfill(s *stepState) bool {
	if len(w.holds) == 0 {
		return false
	}
	free := w.capacity.Sub(w.used)
	for _, h := range w.holds {
		if h.by.binds(s) {
			free = free.Sub(h.resources)
		}
	}
	return w.heldAgainst(s) && !s.charge.Fits(free)
}

// reservedAgainst tells how urgent the reservations on w are that s, which is of a higher
// priority, may use: it is zero if there are none. Tasks go where the least urgent step waits.
func (w *worker) reservedAgainst(s *stepState) float64 {
	most := 0
	for _, h := range w.holds {
		if h.by.step != s && h.by.firm() {
			most = max(most, maxReservingSteps+1-h.by.rank)
		}
	}
	return float64(most)
}

// runtimeSpread is the assumed standard deviation of the logarithm of the run time relative to
// its expectation. Jobs of a queue differ by about this much.
const runtimeSpread = 0.5

// spreadFactor returns the p-quantile of a log-normal distribution relative to its median.
func spreadFactor(p, spread float64) float64 {
	return math.Exp(math.Sqrt2 * math.Erfinv(2*p-1) * spread)
}

// meanFactor returns the p-quantile of the run time relative to its mean, which is what the
// queue's smoothed ratio follows.
func meanFactor(p float64) float64 {
	return spreadFactor(p, runtimeSpread) * math.Exp(-runtimeSpread*runtimeSpread/2)
}

// scale returns d times factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
