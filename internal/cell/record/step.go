package record

import (
	"slices"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/cell/job"
)

// Task is the progress of one task.
type Task struct {
	_           struct{} `cbor:",toarray"`
	Done        bool
	Run         int    // sequence number of the latest run
	Failures    int    // number of runs that failed
	Worker      string // worker that got the latest run; empty once the end of the run is known
	Incarnation int64  // incarnation of Worker
	Checkpoint  string
}

// Crashes counts the workers that crashed under a task.
type Crashes struct {
	_        struct{} `cbor:",toarray"`
	Caused   int      // crashes that the task most likely caused
	Doubtful int      // crashes right after its start that may have another cause
	Late     int      // crashes after it had run for a while, among other tasks
	Run      int      // highest number of a run under which a crash is counted
}

// doneAtOnce is a task that was done by its first run, as most are.
var doneAtOnce = Task{Done: true, Run: 1}

// Step is the progress of the tasks of a step. The keys of SpeculativeRuns are indexes
// of tasks. GoodWorkers holds the workers that the adviser recommended and Asked those
// that it was asked about. Both are kept while tasks wait, as advice is slow to get.
// The keys of Crashes are indexes of tasks, too.
type Step struct {
	Tasks           []Task
	Crashes         map[int]Crashes
	SpeculativeRuns map[int]Task
	GoodWorkers     []GoodWorker
	Asked           NameSet
	Begun           bool  // a task of the job is known to have started
	PlannedAt       int64 // Unix milliseconds when the newest run was planned; zero if all starts are settled, or if unknown
}

// GoodWorker is a worker that the adviser recommended for a step, in one incarnation.
// The advice is valid for the whole incarnation; its ticket expires earlier.
type GoodWorker struct {
	_           struct{} `cbor:",toarray"`
	Worker      string
	Incarnation int64
}

// stepRecord is the encoded form of a Step. It is rewritten at every start and end of a
// task, so it names each worker once and leaves out the tasks without a run.
type stepRecord struct {
	// Records of earlier versions have Tasks, SpeculativeRuns and Good instead of the last
	// five fields.
	Tasks           []Task       `cbor:"1,keyasint,omitempty"`
	SpeculativeRuns map[int]Task `cbor:"2,keyasint,omitempty"`
	Good            []GoodWorker `cbor:"3,keyasint,omitempty"`

	Asked NameSet `cbor:"4,keyasint,omitempty"`
	Begun bool    `cbor:"5,keyasint,omitempty"` // see Step

	Count      int          `cbor:"6,keyasint,omitempty"`  // number of tasks
	DoneAtOnce []byte       `cbor:"7,keyasint,omitempty"`  // bit set of tasks, lowest bit first
	Rows       []taskRow    `cbor:"8,keyasint,omitempty"`  // other tasks that had a run, and speculative runs
	Workers    []GoodWorker `cbor:"9,keyasint,omitempty"`  // the good ones first
	GoodCount  int          `cbor:"10,keyasint,omitempty"` // number of good ones

	Crashes map[int]Crashes `cbor:"11,keyasint,omitempty"` // by task

	PlannedAt int64 `cbor:"12,keyasint,omitempty"` // see Step
}

// taskRow is a Task, or a speculative run of one.
type taskRow struct {
	_           struct{} `cbor:",toarray"`
	Index       int      // of the task
	Speculative bool
	Done        bool
	Run         int
	Failures    int
	Worker      int // index in Workers plus one; zero if there is none
	Checkpoint  string
}

// stepEncoder builds the encoded form of a step.
type stepEncoder struct {
	stepRecord
	indexes map[string]int // index in Workers plus one, by name
}

// workerIndex returns the index plus one in Workers of the worker of t, and adds the worker
// if it is not there. It returns zero if t has none.
func (e *stepEncoder) workerIndex(t *Task) int {
	if t.Worker == "" {
		return 0
	}
	if e.indexes == nil {
		e.indexes = make(map[string]int, len(e.Workers)+cap(e.Rows)/2)
		for i := range e.Workers {
			e.indexes[e.Workers[i].Worker] = i + 1
		}
	}
	// A worker that started again appears once for each incarnation; only the last one is
	// found by its name.
	i := e.indexes[t.Worker]
	if i == 0 || e.Workers[i-1].Incarnation != t.Incarnation {
		e.Workers = append(e.Workers, GoodWorker{Worker: t.Worker, Incarnation: t.Incarnation})
		i = len(e.Workers)
		e.indexes[t.Worker] = i
	}
	return i
}

// add adds a task or a speculative run of one.
func (e *stepEncoder) add(index int, t *Task, speculative bool) {
	e.Rows = append(e.Rows, taskRow{Index: index, Speculative: speculative, Done: t.Done, Run: t.Run, Failures: t.Failures, Worker: e.workerIndex(t), Checkpoint: t.Checkpoint})
}

// encoded returns the encoded form of s.
func (s *Step) encoded() *stepRecord {
	r := stepEncoder{stepRecord: stepRecord{
		Asked: s.Asked, Begun: s.Begun, Count: len(s.Tasks), GoodCount: len(s.GoodWorkers), Crashes: s.Crashes, PlannedAt: s.PlannedAt,
		Workers: slices.Clip(s.GoodWorkers), Rows: make([]taskRow, 0, len(s.Tasks)),
	}}
	for i := range s.Tasks {
		switch s.Tasks[i] {
		case Task{}:
		case doneAtOnce:
			if r.DoneAtOnce == nil {
				r.DoneAtOnce = make([]byte, (len(s.Tasks)+7)/8)
			}
			r.DoneAtOnce[i/8] |= 1 << (i % 8)
		default:
			r.add(i, &s.Tasks[i], false)
		}
		if speculative, ok := s.SpeculativeRuns[i]; ok {
			r.add(i, &speculative, true)
		}
	}
	return &r.stepRecord
}

// decode sets s to the step that r encodes.
func (s *Step) decode(r *stepRecord) error {
	if r.Count == 0 {
		*s = Step{Tasks: r.Tasks, SpeculativeRuns: r.SpeculativeRuns, GoodWorkers: r.Good, Asked: r.Asked, Begun: r.Begun}
		return nil
	}
	if r.Count < 0 || r.Count > job.MaxTasks || len(r.DoneAtOnce) > (r.Count+7)/8 || r.GoodCount < 0 || r.GoodCount > len(r.Workers) {
		return errors.Newf("a step of %d tasks and %d workers with inconsistent fields", r.Count, len(r.Workers))
	}
	*s = Step{Tasks: make([]Task, r.Count), Asked: r.Asked, Begun: r.Begun, Crashes: r.Crashes, PlannedAt: r.PlannedAt}
	if r.GoodCount > 0 {
		s.GoodWorkers = r.Workers[:r.GoodCount]
	}
	for i := range s.Tasks {
		if i/8 < len(r.DoneAtOnce) && r.DoneAtOnce[i/8]&(1<<(i%8)) != 0 {
			s.Tasks[i] = doneAtOnce
		}
	}
	for _, row := range r.Rows {
		if row.Index < 0 || row.Index >= r.Count || row.Worker < 0 || row.Worker > len(r.Workers) {
			return errors.Newf("task %d of %d on worker %d of %d", row.Index, r.Count, row.Worker, len(r.Workers))
		}
		t := Task{Done: row.Done, Run: row.Run, Failures: row.Failures, Checkpoint: row.Checkpoint}
		if row.Worker > 0 {
			w := &r.Workers[row.Worker-1]
			t.Worker, t.Incarnation = w.Worker, w.Incarnation
		}
		if !row.Speculative {
			s.Tasks[row.Index] = t
			continue
		}
		if s.SpeculativeRuns == nil {
			s.SpeculativeRuns = make(map[int]Task)
		}
		s.SpeculativeRuns[row.Index] = t
	}
	return nil
}
