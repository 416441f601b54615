package engine

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/record"
)

// jobState is a job in memory.
type jobState struct {
	id        string
	queue     string
	team      string
	spec      *job.Spec // nil once the job is over
	accepted  int64     // Unix milliseconds
	ended     int64     // Unix milliseconds
	state     record.State
	shown     record.State // what callers are told; follows state once that is stored
	stored    bool         // the acceptance is stored
	begun     bool         // a task has started
	compacted bool         // over, and its steps are dropped from the store
	overdue   bool         // beyond what its team is owed
	waiting   []func(Answer)
	occ       []*occurrence
	left      int // occurrences that are not done
	arrived   time.Time
	tails     []time.Duration // longest chain of work from each step on
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	job   *jobState
	index int
	due   int64 // Unix milliseconds, zero for a job without times
	steps []*stepRun
	left  int // steps that are not done

	counted bool // among what has arrived
}

// stepRun is a step of one occurrence.
type stepRun struct {
	occ     *occurrence
	ref     job.StepRef
	name    string
	spec    *job.Step
	tasks   []*task
	left    int // tasks that are not done
	waiting int // tasks that are neither done nor have a run
	ready   bool
	readyAt time.Time
	toldAt  time.Time // when the log said last why it waits
	tried   bool      // a round of placement had a chance to place its tasks
	gangRun int       // number of the gang's last run
	advice  *adviceState
	charge  job.Resources
	key     ordering.Key
}

// task is one task of a step.
type task struct {
	step       *stepRun
	ref        job.TaskRef
	name       string
	done       bool
	number     int // of the last run
	failures   int
	checkpoint string
	runs       []*run
	lastWorker string // where the last run failed
}

// phase is how far a run has come.
type phase uint8

const (
	planned  phase = iota // its record is being stored
	ordered               // the order is under way
	running               // the worker has confirmed it
	stopping              // a stop is wanted or under way
	doubtful              // the worker cannot be asked; it may run until its lease lapses
)

// run is one run of a task on a worker.
type run struct {
	task      *task
	worker    *worker
	life      int64
	number    int
	phase     phase
	charge    job.Resources
	ticket    ticket
	sent      bool      // an order has gone out, from this leader or an earlier one
	orders    int       // times that this leader has sent the order
	begun     time.Time // when it did so first
	stopWhy   string
	stopSent  time.Time
	stopBusy  bool      // a stop is under way
	stopped   time.Time // when the worker confirmed the stop
	percent   int
	percentAt time.Time // when percent last rose
	base      int       // percent at the first sight
	baseAt    time.Time
	gone      bool
	restored  bool // known from the records of an earlier leader only
}

func (t *task) live() bool { return len(t.runs) > 0 }

func (s *stepRun) job() *jobState { return s.occ.job }

// fills reports whether a task of s is due to be placed.
func (s *stepRun) open() bool { return s.ready && s.waiting > 0 && s.job().state == record.Open }

func newJob(spec *job.Spec, accepted int64) *jobState {
	j := &jobState{id: spec.ID, queue: spec.Queue, team: spec.Team, spec: spec, accepted: accepted}
	j.left = spec.Occurrences()
	j.occ = make([]*occurrence, spec.Occurrences())
	return j
}

// occurrenceAt returns occurrence k, made on first use.
func (j *jobState) occurrenceAt(k int) *occurrence {
	if o := j.occ[k]; o != nil {
		return o
	}
	o := &occurrence{job: j, index: k, left: len(j.spec.Steps)}
	if j.spec.Scheduled() {
		o.due = j.spec.Due(k)
	}
	for i := range j.spec.Steps {
		o.steps = append(o.steps, newStepRun(o, i))
	}
	j.occ[k] = o
	return o
}

func newStepRun(o *occurrence, index int) *stepRun {
	spec := &o.job.spec.Steps[index]
	ref := job.StepRef{Job: o.job.id, Occurrence: o.index, Step: index}
	s := &stepRun{occ: o, ref: ref, name: ref.String(), spec: spec, charge: spec.Charge()}
	s.tasks = make([]*task, spec.Count)
	for i := range s.tasks {
		tr := job.TaskRef{StepRef: ref, Index: i}
		s.tasks[i] = &task{step: s, ref: tr, name: tr.String()}
	}
	s.left = spec.Count
	s.waiting = spec.Count
	return s
}

// encode returns the record of s.
func (s *stepRun) encode() []byte {
	r := record.Step{Tasks: make([]record.Task, len(s.tasks))}
	for i, t := range s.tasks {
		out := record.Task{Done: t.done, Run: t.number, Failures: t.failures, Checkpoint: t.checkpoint}
		for n, u := range t.runs {
			if n == 0 {
				out.Worker, out.Life, out.Run = u.worker.id, u.life, u.number
				continue
			}
			if r.Copies == nil {
				r.Copies = make(map[int]record.Task)
			}
			r.Copies[i] = record.Task{Run: u.number, Worker: u.worker.id, Life: u.life}
		}
		r.Tasks[i] = out
	}
	if s.advice != nil && s.waiting > 0 {
		for _, id := range s.advice.order {
			r.Good = append(r.Good, record.Good{Worker: id, Life: s.advice.good[id].life})
		}
		for _, id := range slices.Sorted(maps.Keys(s.advice.asked)) {
			r.Asked.Add(id)
		}
	}
	return record.Encode(&r)
}
