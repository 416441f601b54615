package engine

import (
	"slices"
	"time"

	"pollenbend/internal/cell/job"
	"pollenbend/internal/cell/ordering"
	"pollenbend/internal/cell/record"
	"pollenbend/internal/cell/runtimes"
)

// jobState is the in-memory state of a job.
type jobState struct {
	id              string
	queue           string
	team            string
	spec            *job.Spec // nil for a job that was restored after its steps were compacted
	acceptedAt      int64     // Unix milliseconds
	endedAt         int64     // Unix milliseconds
	state           record.State
	reason          string       // why it failed, if not for its attempts
	reportedState   record.State // what callers get; set to state once that is stored
	stored          bool         // the job's acceptance is stored
	started         bool         // a task has started, or none ever will
	largeBytes      int64        // of memory, if the job is large and known
	compacted       bool         // the job has ended and its steps are removed from the store
	specRejected    bool         // the store has rejected the record of its end with the spec
	overEntitlement bool         // exceeded its team's entitlement when it was submitted
	pendingSubmits  []*Submit    // that wait until the acceptance is stored
	occurrences     []*occurrence
	remaining       int             // occurrences that are not done
	arrivedAt       time.Time       // when it was submitted; for a restored job, when it was accepted
	criticalPaths   []time.Duration // by step; see criticalPathsOf
}

// occurrence is one execution of the steps of a job. A scheduled job has several.
type occurrence struct {
	job       *jobState
	index     int
	due       int64 // Unix milliseconds, zero for a job without a schedule
	steps     []*stepState
	remaining int // steps that are not done

	arrivalCounted bool // its work is counted in the arrival rate
}

// stepState is the state of a step in one occurrence.
type stepState struct {
	occ            *occurrence
	ref            job.StepRef
	name           string
	spec           *job.Step
	tasks          []*task
	remaining      int  // tasks that are not done
	waiting        int  // tasks that are neither done nor have a run
	ready          bool // the steps that it depends on are done
	readyAt        time.Time
	waitLoggedAt   time.Time // when logWait last logged it
	suspected      bool      // one of its tasks was suspected of a crash
	riskySince     time.Time // since when it waits to place tasks whose start is risky; zero if it does not
	waitedForLimit bool      // its team's limit kept tasks of it from running
	placementTried bool      // a placement round has tried to place its tasks
	triedAt        time.Time // when a placement round last tried it
	started        bool      // this leader has planned runs for its tasks
	lastGangRun    int       // highest run number of the gang
	failedGangRuns []int     // numbers of the gang's runs that count as failed
	advice         *adviceState
	planFailedAt   time.Time        // when no start could be found for it, see Engine.planStart; zero if one was
	neverFits      bool             // its tasks don't fit on the workers that it may reserve, whatever ends there
	passesHolds    bool             // it has waited for holdPatience in this placement round
	reservation    *stepReservation // nil if it has none
	charge         job.Resources    // of one task, see job.Step.Charge
	inOpenSteps    bool             // it is in Engine.openSteps
	dirtySegments  uint64           // bit set of the segments whose records the next append writes
	wholeStored    bool             // the stored record of the first segment holds all tasks, as an earlier version wrote it
	urgency        ordering.Step    // when it was opened, or when the declarations last changed
	key            ordering.Key     // set by sortByUrgency

	runtime           stepRuntime // see Engine.runtimeOf
	pace              gangPace    // see Engine.paceOf
	preemptionTriedAt time.Time   // when preemptFor last examined it
}

// task is one task of a step.
type task struct {
	step           *stepState
	ref            job.TaskRef
	name           string
	done           bool
	lastRun        int // number of the last run
	failures       int
	checkpoint     string
	runs           []*run
	lastFailedOn   string // worker on which the last failed run was
	lastEnd        lastEnd
	crashes        record.Crashes // of workers that ran it
	investigations int            // crashes that it may have caused and whose cause is not known yet
	onlyCause      bool           // no other job can have caused the last of them
	harmless       bool           // a worker has worked on after it had started a run of it
	preempted      bool           // this leader has stopped a run of it for another step
}

// lastEnd tells how the last run of a task that ended became known to have ended. It decides
// whether a failure that is reported later counts.
type lastEnd struct {
	run    int
	reason EndReason
	source string
	at     time.Time
}

// phase is the stage that a run has reached.
type phase uint8

const (
	planned     phase = iota // its record is being stored
	starting                 // the start command has been sent
	running                  // the worker has confirmed the start
	stopping                 // the run is to be stopped
	unconfirmed              // whether it runs is not known; the worker's next report decides, or its lease
)

// run is one run of a task on a worker.
type run struct {
	task             *task
	worker           *worker
	incarnation      int64
	number           int
	phase            phase
	charge           job.Resources
	ticket           ticket
	checkpoint       string    // from which it starts; empty for none
	startSent        bool      // this leader or an earlier one has sent the start command
	plannedAt        int64     // Unix milliseconds when it was planned, by this leader or an earlier one; zero if unknown
	newAtTakeover    bool      // see Engine.newAtTakeover
	held             bool      // it uses nothing on its worker, see Engine.holdRun
	startsSent       int       // number of start commands that this leader has sent
	unansweredStarts int       // number of these that got no answer
	settledSince     time.Time // since when it is settled, see Engine.settleRun; zero if it is not
	hadTicket        bool      // an earlier leader sent its start, with a ticket
	lateLease        bool      // it is settled, and late commands may have extended its lease before
	settledStored    bool      // its record says so
	startSettled     bool      // the start command has been carried out or refused, so it will have no effect any more
	unattributed     bool      // its start was accepted by an answer that did not tell the incarnation, and no report has shown the run
	startSentAt      time.Time // when this leader sent it; zero if it has not
	stopReason       string
	stopSentAt       time.Time
	stopInFlight     bool      // a stop command has no answer yet
	stopConfirmedAt  time.Time // when the worker accepted the stop command; the run may not have ended yet
	percent          int       // progress in percent
	progressAt       time.Time // when percent last rose
	basePercent      int       // percent in the first report of the run
	baseAt           time.Time // when that report arrived
	ended            bool      // removed from its task and its worker
	restored         bool      // known only from the records of an earlier leader
	crashRisk        float64   // see Engine.crashRisk; zero from when its worker is not exposed to its start any more
	teamSlot         int       // index in contention.runs of its team
	startedClock     int64     // the worker's clock when it first told that it has the run, in ms; zero if it has not

	predicted runtimes.Prediction // of its run time, when its start was sent
	ends      [2]knownEnd         // see Engine.expectedEnd
}

func (t *task) hasRuns() bool { return len(t.runs) > 0 }

func (s *stepState) job() *jobState { return s.occ.job }

// open reports whether tasks of s can be placed now.
func (s *stepState) open() bool { return s.ready && s.waiting > 0 && s.job().state == record.Open }

func newJob(spec *job.Spec, accepted int64) *jobState {
	j := &jobState{id: spec.ID, queue: spec.Queue, team: spec.Team, spec: spec, acceptedAt: accepted}
	j.remaining = spec.Occurrences()
	j.occurrences = make([]*occurrence, spec.Occurrences())
	return j
}

// occurrenceAt returns occurrence k and creates it on first use.
func (j *jobState) occurrenceAt(k int) *occurrence {
	if o := j.occurrences[k]; o != nil {
		return o
	}
	o := &occurrence{job: j, index: k, remaining: len(j.spec.Steps)}
	if j.spec.Scheduled() {
		o.due = j.spec.Due(k)
	}
	for i := range j.spec.Steps {
		o.steps = append(o.steps, newStepState(o, i))
	}
	j.occurrences[k] = o
	return o
}

func newStepState(o *occurrence, index int) *stepState {
	spec := &o.job.spec.Steps[index]
	ref := job.StepRef{Job: o.job.id, Occurrence: o.index, Step: index}
	s := &stepState{occ: o, ref: ref, name: ref.String(), spec: spec, charge: spec.Charge()}
	s.tasks = make([]*task, spec.Count)
	for i := range s.tasks {
		tr := job.TaskRef{StepRef: ref, Index: i}
		s.tasks[i] = &task{step: s, ref: tr, name: tr.String()}
	}
	s.remaining = spec.Count
	s.waiting = spec.Count
	return s
}

// newestPlan returns when the newest run of tasks was planned, in Unix milliseconds, or zero if all
// start commands are settled or that is not known.
func newestPlan(tasks []*task) int64 {
	newest, unsettled := int64(0), int64(0)
	for _, t := range tasks {
		for _, r := range t.runs {
			newest = max(newest, r.plannedAt)
			if !r.startSettled {
				unsettled = max(unsettled, r.plannedAt)
			}
		}
	}
	if unsettled == 0 {
		return 0
	}
	return newest // the next leader takes it for the time of each run, see Engine.newAtTakeover
}

// segment returns the tasks of a segment of s.
func (s *stepState) segment(n int) []*task {
	from, to := record.Segment(n, len(s.tasks))
	return s.tasks[from:to]
}

// segmentRecord returns the record of a segment of s.
func (s *stepState) segmentRecord(segment int) *record.Step {
	tasks := s.segment(segment)
	r := &record.Step{Tasks: make([]record.Task, len(tasks)), Begun: s.job().started}
	addSpeculative := func(index int, t record.Task) {
		if r.SpeculativeRuns == nil {
			r.SpeculativeRuns = make(map[int]record.Task)
		}
		r.SpeculativeRuns[index] = t
	}
	r.PlannedAt = newestPlan(tasks)
	for i, t := range tasks {
		out := record.Task{Done: t.done, Run: t.lastRun, Failures: t.failures, Checkpoint: t.checkpoint}
		if t.done {
			out.Checkpoint = ""
		}
		if t.crashes != (record.Crashes{}) && !t.done {
			if r.Crashes == nil {
				r.Crashes = make(map[int]record.Crashes)
			}
			r.Crashes[i] = t.crashes
		}
		for n, u := range t.runs {
			if n == 0 {
				out.Worker, out.Incarnation, out.Run, out.Settled, out.LateLease, out.Ticket = u.worker.id, u.incarnation, u.number, u.settled(), u.lateLease, u.hasTicket()
				continue
			}
			addSpeculative(i, record.Task{Run: u.number, Worker: u.worker.id, Incarnation: u.incarnation, Settled: u.settled(), LateLease: u.lateLease, Ticket: u.hasTicket()})
		}
		if len(t.runs) == 1 && out.Run < t.lastRun {
			addSpeculative(i, record.Task{Run: t.lastRun}) // it has ended, and its number must not be used again
		}
		r.Tasks[i] = out
	}
	if segment == 0 {
		r.FailedGangRuns = s.failedGangRuns
		s.addAdvice(r)
	}
	return r
}

// addAdvice adds the adviser's answers to the record of the first segment of s.
func (s *stepState) addAdvice(r *record.Step) {
	if s.advice == nil || s.waiting == 0 {
		return
	}
	for _, g := range s.advice.good {
		r.GoodWorkers = append(r.GoodWorkers, record.GoodWorker{Worker: g.id, Incarnation: g.ticket.incarnation})
	}
	names := make([]string, 0, len(s.advice.asked))
	for w := range s.advice.asked {
		names = append(names, w.id)
	}
	slices.Sort(names) // the encoding does not depend on the order of the map
	for _, name := range names {
		r.Asked.Add(name)
	}
}
