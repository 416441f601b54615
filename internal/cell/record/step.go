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
	Settled     bool `cbor:"-"` // see Step
	LateLease   bool `cbor:"-"` // see Step
	Ticket      bool `cbor:"-"` // the start command of the run bears a ticket
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

// SegmentTasks is the number of tasks in a segment of a step. The size of a record is bounded by
// it, whatever the width of the step. It is part of the stored form: segment n holds the tasks
// from n*SegmentTasks on.
const SegmentTasks = 256

// MaxSegments is the number of segments of the widest step.
const MaxSegments = (job.MaxTasks + SegmentTasks - 1) / SegmentTasks

// Segments returns the number of segments of a step of the given number of tasks.
func Segments(tasks int) int { return (tasks + SegmentTasks - 1) / SegmentTasks }

// Segment returns the indexes of the first task of a segment of a step of the given number of
// tasks, and of the first one after it.
func Segment(segment, tasks int) (from, to int) {
	return segment * SegmentTasks, min(tasks, (segment+1)*SegmentTasks)
}

// StoredStep holds the records of a step, by segment.
type StoredStep map[int]*Step

// Task returns the record that holds the task with the given index, and the task's index in it.
// It returns nil if none does, so the task never had a run.
func (s StoredStep) Task(index int) (*Step, int) {
	if r, i := s[index/SegmentTasks], index%SegmentTasks; r != nil && i < len(r.Tasks) {
		return r, i
	}
	// The first record holds all tasks if an earlier version wrote it.
	if r := s[0]; r != nil && index < len(r.Tasks) {
		return r, index
	}
	return nil, 0
}

// Whole reports whether the first record holds tasks of other segments too, as those of earlier
// versions do.
func (s StoredStep) Whole() bool { return s[0] != nil && len(s[0].Tasks) > SegmentTasks }

// Step is the progress of the tasks of a segment of a step. The keys of SpeculativeRuns and Crashes
// are indexes of tasks, counted from the first one of the segment. GoodWorkers holds the workers that
// the adviser recommended and Asked those that it was asked about. Both are in the first segment and
// are kept while tasks wait, as advice is slow to get. A latest run, or a speculative one, is Settled if its
// start has been carried out by its incarnation, which refuses calls that were meant for earlier ones. LateLease
// says that such calls may have extended the lease there just before.
type Step struct {
	Tasks           []Task
	Crashes         map[int]Crashes
	SpeculativeRuns map[int]Task
	GoodWorkers     []GoodWorker
	Asked           NameSet
	Begun           bool  // a task of the job is known to have started
	PlannedAt       int64 // Unix milliseconds when the newest run was planned; zero if all starts are settled, or if unknown
	FailedGangRuns  []int // numbers of a gang's runs that count in Failures, in the first segment; missing in records of earlier versions
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

	FailedGangRuns []int `cbor:"13,keyasint,omitempty"` // see Step

	SettledRows bitSet `cbor:"14,keyasint,omitempty"` // of indexes in Rows; missing in records of earlier versions
	TicketRows  bitSet `cbor:"15,keyasint,omitempty"` // the same
	LateRows    bitSet `cbor:"16,keyasint,omitempty"` // the same, of runs with LateLease
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

// bitSet is a set of small numbers, lowest bit first.
type bitSet []byte

// add adds n.
func (b *bitSet) add(n int) {
	for len(*b) <= n/8 {
		*b = append(*b, 0)
	}
	(*b)[n/8] |= 1 << (n % 8)
}

// has reports whether n is in b.
func (b bitSet) has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

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
	if t.Settled {
		e.SettledRows.add(len(e.Rows))
	}
	if t.LateLease {
		e.LateRows.add(len(e.Rows))
	}
	if t.Ticket {
		e.TicketRows.add(len(e.Rows))
	}
	e.Rows = append(e.Rows, taskRow{Index: index, Speculative: speculative, Done: t.Done, Run: t.Run, Failures: t.Failures, Worker: e.workerIndex(t), Checkpoint: t.Checkpoint})
}

// encoded returns the encoded form of s.
func (s *Step) encoded() *stepRecord {
	r := stepEncoder{stepRecord: stepRecord{
		Asked: s.Asked, Begun: s.Begun, Count: len(s.Tasks), GoodCount: len(s.GoodWorkers), Crashes: s.Crashes, PlannedAt: s.PlannedAt, FailedGangRuns: s.FailedGangRuns,
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
	*s = Step{Tasks: make([]Task, r.Count), Asked: r.Asked, Begun: r.Begun, Crashes: r.Crashes, PlannedAt: r.PlannedAt, FailedGangRuns: r.FailedGangRuns}
	if r.GoodCount > 0 {
		s.GoodWorkers = r.Workers[:r.GoodCount]
	}
	for i := range s.Tasks {
		if i/8 < len(r.DoneAtOnce) && r.DoneAtOnce[i/8]&(1<<(i%8)) != 0 {
			s.Tasks[i] = doneAtOnce
		}
	}
	for n, row := range r.Rows {
		if row.Index < 0 || row.Index >= r.Count || row.Worker < 0 || row.Worker > len(r.Workers) {
			return errors.Newf("task %d of %d on worker %d of %d", row.Index, r.Count, row.Worker, len(r.Workers))
		}
		t := Task{Done: row.Done, Run: row.Run, Failures: row.Failures, Checkpoint: row.Checkpoint}
		if row.Worker > 0 {
			w := &r.Workers[row.Worker-1]
			t.Worker, t.Incarnation = w.Worker, w.Incarnation
			t.Settled, t.LateLease, t.Ticket = r.SettledRows.has(n), r.LateRows.has(n), r.TicketRows.has(n)
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
