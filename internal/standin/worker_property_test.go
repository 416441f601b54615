package standin

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/verdict"
)

// propertySeed makes the property tests deterministic; -rapid.seed overrides it.
const propertySeed = "20261203"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		panic(err)
	}
	flag.Parse()
	fmt.Println("seed:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// referenceWorker is an independent model of the leases that a worker granted and
// the tasks that it started. Its methods issue random commands of competing holders,
// including delayed starts, and inject random faults and restarts.
type referenceWorker struct {
	core        *WorkerCore
	now         time.Time
	holder      platform.LeaseRef
	expiresAt   time.Time
	highestTerm uint64
	fence       uint64
	started     map[model.TaskID]bool
}

func newReferenceWorker() *referenceWorker {
	w := model.Worker{ID: "w", Capacity: model.Resources{Slots: 3, MilliCPU: 4000}}
	settings := WorkerSettings{TaskLease: 20 * time.Second}
	return &referenceWorker{
		core:    NewWorkerCore(epoch, w, settings, NewHistory()),
		now:     epoch,
		started: map[model.TaskID]bool{},
	}
}

func drawRef(t *rapid.T) platform.LeaseRef {
	return platform.LeaseRef{
		Holder:      rapid.SampledFrom([]model.InstanceID{"a", "b", "c"}).Draw(t, "holder"),
		Incarnation: model.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
		Term:        uint64(rapid.IntRange(1, 6).Draw(t, "term")),
	}
}

// drawMostlyHolder returns the lease of the present holder in three of four
// draws, otherwise a random one.
func (s *referenceWorker) drawMostlyHolder(t *rapid.T) platform.LeaseRef {
	if rapid.IntRange(0, 3).Draw(t, "usual") > 0 {
		return s.holder
	}
	return drawRef(t)
}

func (s *referenceWorker) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	s.core.Advance(s.now)
}

func (s *referenceWorker) renew(t *rapid.T) {
	r := platform.RenewRequest{
		Lease:    s.drawMostlyHolder(t),
		Duration: time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second,
		Full:     rapid.Bool().Draw(t, "full"),
		Fence:    uint64(rapid.IntRange(0, 8).Draw(t, "fence")),
	}
	reply := s.core.Renew(s.now, r)
	expiresAt := s.now.Add(r.Duration)
	if !reply.Granted {
		return
	}
	if r.Lease != s.holder {
		same := r.Lease.Holder == s.holder.Holder && r.Lease.Incarnation == s.holder.Incarnation
		if s.now.Before(s.expiresAt) && !same {
			t.Fatalf("%v granted while %v holds until %v", r.Lease, s.holder, s.expiresAt)
		}
		s.holder, s.expiresAt, s.fence = r.Lease, s.now, 0
	}
	if r.Lease.Term < s.highestTerm {
		t.Fatalf("term decreased from %d to %d", s.highestTerm, r.Lease.Term)
	}
	s.highestTerm = r.Lease.Term
	if expiresAt.After(s.expiresAt) {
		s.expiresAt = expiresAt
	}
	if r.Full {
		s.fence = max(s.fence, r.Fence)
	}
}

func (s *referenceWorker) release(t *rapid.T) {
	ref := s.drawMostlyHolder(t)
	s.core.Renew(s.now, platform.RenewRequest{Lease: ref, Release: true})
	if ref == s.holder && s.now.Before(s.expiresAt) {
		s.expiresAt = s.now
	}
}

func (s *referenceWorker) start(t *rapid.T) {
	r := platform.StartRequest{
		Lease: s.drawMostlyHolder(t),
		Seq:   uint64(rapid.IntRange(0, 12).Draw(t, "seq")),
		Task: model.Task{
			ID:      model.TaskID(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "task"))),
			RunTime: time.Duration(rapid.IntRange(0, 9).Draw(t, "run")) * time.Second,
			Demand: model.Resources{
				Slots:    int64(rapid.IntRange(-1, 2).Draw(t, "slots")),
				MilliCPU: int64(rapid.IntRange(0, 3000).Draw(t, "cpu")),
			},
		},
	}
	before := countStarts(s.core.history)
	err := s.core.Start(s.now, r)
	if countStarts(s.core.history) == before {
		s.checkRefusal(t, r, err)
		return
	}
	switch {
	case err != nil:
		t.Fatalf("task %s was started although the start was refused", r.Task.ID)
	case r.Lease != s.holder || !s.now.Before(s.expiresAt):
		t.Fatalf("start under %v; %v holds until %v, now %v", r.Lease, s.holder, s.expiresAt, s.now)
	case r.Seq <= s.fence:
		t.Fatalf("start %d passed fence %d", r.Seq, s.fence)
	case s.started[r.Task.ID]:
		t.Fatalf("task %s started twice in an incarnation", r.Task.ID)
	}
	s.started[r.Task.ID] = true
}

// checkRefusal checks that there was a valid reason not to start a task.
func (s *referenceWorker) checkRefusal(t *rapid.T, r platform.StartRequest, err error) {
	var e *verdict.Error
	switch {
	case err == nil && !s.started[r.Task.ID]:
		t.Fatalf("start of task %s was acknowledged but the task did not start", r.Task.ID)
	case err == nil:
		return
	case !errors.As(err, &e) || e.Verdict != verdict.NotRun:
		t.Fatalf("refused without a verdict: %v", err)
	case s.started[r.Task.ID]:
		t.Fatalf("task %s was started but the answer's verdict is not run", r.Task.ID)
	case e.Code == verdict.CodeStaleAuthority && r.Lease == s.holder && s.now.Before(s.expiresAt) && r.Seq > s.fence:
		t.Fatalf("refused under the lease in force: %v", err)
	}
}

func (s *referenceWorker) stop(t *rapid.T) {
	modes := []platform.StopMode{platform.StopKill, platform.StopCheckpoint, platform.StopThrottle}
	_ = s.core.Stop(s.now, platform.StopRequest{
		Lease: s.drawMostlyHolder(t),
		Task:  model.TaskID(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "task"))),
		Mode:  rapid.SampledFrom(modes).Draw(t, "mode"),
	})
}

func (s *referenceWorker) setFaults(t *rapid.T) {
	s.core.SetFaults(s.now, WorkerFaults{
		Paused:       rapid.IntRange(0, 2).Draw(t, "paused") == 0,
		FailAllTasks: rapid.Bool().Draw(t, "failing"),
		ReportDelay:  time.Duration(rapid.IntRange(0, 3).Draw(t, "delay")) * time.Second,
	})
}

func (s *referenceWorker) restart(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "restart") > 0 {
		return
	}
	s.core.Restart(s.now)
	s.holder, s.expiresAt, s.highestTerm, s.fence = platform.LeaseRef{}, s.now, 0, 0
	s.started = map[model.TaskID]bool{}
}

// checkHistory replays the history and checks that running tasks never exceed
// the capacity, that no task ends without a start, and that no task ends before
// its start.
func (s *referenceWorker) checkHistory(t *rapid.T) {
	var used model.Resources
	running := map[model.TaskID]Event{}
	for _, e := range s.core.history.Read(0).Events {
		switch e.Kind {
		case EventStart:
			running[e.Task] = e
			used = used.Add(e.Demand)
		case EventEnd:
			began, ok := running[e.Task]
			if !ok || e.At.Before(began.At) {
				t.Fatalf("task %s ended at %v before it started", e.Task, e.At)
			}
			delete(running, e.Task)
			used = used.Sub(e.Demand)
		}
		if !used.Fits(s.core.Worker().Capacity) {
			t.Fatalf("running tasks exceed the capacity: %+v", used)
		}
	}
	if used != s.core.Used() {
		t.Fatalf("the history has %+v in use, the worker reports %+v", used, s.core.Used())
	}
}

func TestWorkerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newReferenceWorker()
		t.Repeat(map[string]func(*rapid.T){
			"":        s.checkHistory,
			"pass":    s.advance,
			"renew":   s.renew,
			"release": s.release,
			"start":   s.start,
			"again":   s.start, // doubles the frequency of starts
			"stop":    s.stop,
			"faults":  s.setFaults,
			"restart": s.restart,
		})
	})
}
