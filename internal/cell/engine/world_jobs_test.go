package engine

import (
	"fmt"
	"time"

	"pollenbend/internal/cell/job"
)

// submit submits a job and returns its id. The answer is recorded when it arrives.
func (w *world) submit(queue, team string, steps ...job.Step) string {
	return w.submitSpec(&job.Spec{Queue: queue, Team: team, Payload: "p", Steps: steps})
}

// submitDue submits a scheduled job whose only occurrence is due. Such jobs are accepted however
// long they have to wait.
func (w *world) submitDue(queue, team string, steps ...job.Step) string {
	return w.submitSpec(&job.Spec{Queue: queue, Team: team, Payload: "p", Steps: steps, Times: 1, FirstDue: w.now.UnixMilli()})
}

// submitSpec submits a job under a new id, which it returns.
func (w *world) submitSpec(spec *job.Spec) string {
	w.addSpec(spec)
	w.submittedAt[spec.ID] = w.now
	w.sendSubmit(spec)
	return spec.ID
}

// addSpec gives a job a new id without submitting it.
func (w *world) addSpec(spec *job.Spec) *job.Spec {
	spec.ID = fmt.Sprintf("%016x", len(w.specs)+1)
	w.must(spec.Validate())
	w.specs[spec.ID] = spec
	return spec
}

// sendSubmit submits a job of the given spec and records the answer.
func (w *world) sendSubmit(spec *job.Spec) {
	e := w.engine
	e.Handle(w.now, &Submit{Spec: spec, Reply: func(a Answer) {
		if w.engine != e {
			return
		}
		w.answers[spec.ID] = a
		w.refused[spec.ID] = a.Outcome == Refused
		w.accepted[spec.ID] = w.accepted[spec.ID] || a.Outcome == OK
	}})
}

// callerWith returns the caller that submits a job of the given spec.
func callerWith(spec *job.Spec) Caller {
	return Caller{Team: spec.Team, Queue: spec.Queue, Public: spec.Public}
}

// state returns the state that the engine reports for a job, or "unknown".
func (w *world) state(id string) string {
	state := ""
	w.engine.Handle(w.now, &Status{ID: id, Caller: callerWith(w.specs[id]), Reply: func(a Answer) {
		state = a.State
		if a.Outcome == NotFound {
			state = "unknown"
		}
	}})
	return state
}

// cancel cancels a job. canceledAt is set when the answer arrives.
func (w *world) cancel(id string) {
	e := w.engine
	w.cancelRequested[id] = true
	e.Handle(w.now, &Cancel{ID: id, Caller: callerWith(w.specs[id]), Reply: func(a Answer) {
		if w.engine == e && a.Outcome != Refused {
			w.canceledAt[id] = w.now
		}
	}})
}

// tasks returns a step of independent tasks. cpu is in thousandths of a core.
func tasks(count int, cpu int64, runtime time.Duration) job.Step {
	return job.Step{Count: count, Need: job.Resources{CPU: cpu, MemMB: 100}, Estimate: runtime}
}

// gang returns a step whose tasks are a gang.
func gang(count int, cpu int64, runtime time.Duration) job.Step {
	s := tasks(count, cpu, runtime)
	s.Gang = true
	return s
}

// pending returns the number of jobs of a queue that have not started.
func (w *world) pending(queue string) int {
	n := -1
	w.engine.Handle(w.now, &Pending{Queue: queue, Reply: func(a Answer) { n = a.Pending }})
	return n
}
