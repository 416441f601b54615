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

// propertySeed makes the random tests repeat; -rapid.seed overrides it.
const propertySeed = "20261203"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		panic(err)
	}
	flag.Parse()
	fmt.Println("seed:", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// shadow is an independent record of what a worker granted and started. Its
// commands are random: racing holders, delayed starts, pauses and restarts.
type shadow struct {
	core    *WorkerCore
	now     time.Time
	holder  platform.LeaseRef
	until   time.Time
	topTerm uint64
	fence   uint64
	started map[model.TaskID]bool
}

func newShadow() *shadow {
	w := model.Worker{ID: "w", Capacity: model.Resources{Slots: 3, MilliCPU: 4000}}
	settings := WorkerSettings{TaskLease: 20 * time.Second}
	return &shadow{
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

// drawUsual returns the holder most of the time.
func (s *shadow) drawUsual(t *rapid.T) platform.LeaseRef {
	if rapid.IntRange(0, 3).Draw(t, "usual") > 0 {
		return s.holder
	}
	return drawRef(t)
}

func (s *shadow) pass(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	s.core.Advance(s.now)
}

func (s *shadow) renew(t *rapid.T) {
	r := platform.RenewRequest{
		Lease:    s.drawUsual(t),
		Duration: time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second,
		Full:     rapid.Bool().Draw(t, "full"),
		Fence:    uint64(rapid.IntRange(0, 8).Draw(t, "fence")),
	}
	reply := s.core.Renew(s.now, r)
	until := s.now.Add(r.Duration)
	if !reply.Granted {
		return
	}
	if r.Lease != s.holder {
		same := r.Lease.Holder == s.holder.Holder && r.Lease.Incarnation == s.holder.Incarnation
		if s.now.Before(s.until) && !same {
			t.Fatalf("%v granted while %v holds until %v", r.Lease, s.holder, s.until)
		}
		s.holder, s.until, s.fence = r.Lease, s.now, 0
	}
	if r.Lease.Term < s.topTerm {
		t.Fatalf("term went down from %d to %d", s.topTerm, r.Lease.Term)
	}
	s.topTerm = r.Lease.Term
	if until.After(s.until) {
		s.until = until
	}
	if r.Full {
		s.fence = max(s.fence, r.Fence)
	}
}

func (s *shadow) release(t *rapid.T) {
	ref := s.drawUsual(t)
	s.core.Renew(s.now, platform.RenewRequest{Lease: ref, Release: true})
	if ref == s.holder && s.now.Before(s.until) {
		s.until = s.now
	}
}

func (s *shadow) start(t *rapid.T) {
	r := platform.StartRequest{
		Lease: s.drawUsual(t),
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
	before := starts(s.core.history)
	err := s.core.Start(s.now, r)
	if starts(s.core.history) == before {
		s.checkRefusal(t, r, err)
		return
	}
	switch {
	case err != nil:
		t.Fatalf("task %s was refused and started", r.Task.ID)
	case r.Lease != s.holder || !s.now.Before(s.until):
		t.Fatalf("start under %v; %v holds until %v, now %v", r.Lease, s.holder, s.until, s.now)
	case r.Seq <= s.fence:
		t.Fatalf("start %d passed fence %d", r.Seq, s.fence)
	case s.started[r.Task.ID]:
		t.Fatalf("task %s started twice in an incarnation", r.Task.ID)
	}
	s.started[r.Task.ID] = true
}

// checkRefusal wants a reason for a task that did not start.
func (s *shadow) checkRefusal(t *rapid.T, r platform.StartRequest, err error) {
	var e *verdict.Error
	switch {
	case err == nil && !s.started[r.Task.ID]:
		t.Fatalf("task %s was acknowledged and not started", r.Task.ID)
	case err == nil:
		return
	case !errors.As(err, &e) || e.Verdict != verdict.NotRun:
		t.Fatalf("refused without a verdict: %v", err)
	case s.started[r.Task.ID]:
		t.Fatalf("task %s was started and then said not to have run", r.Task.ID)
	case e.Code == verdict.CodeStaleAuthority && r.Lease == s.holder && s.now.Before(s.until) && r.Seq > s.fence:
		t.Fatalf("refused under the lease in force: %v", err)
	}
}

func (s *shadow) stop(t *rapid.T) {
	modes := []platform.StopMode{platform.StopKill, platform.StopCheckpoint, platform.StopThrottle}
	_ = s.core.Stop(s.now, platform.StopRequest{
		Lease: s.drawUsual(t),
		Task:  model.TaskID(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "task"))),
		Mode:  rapid.SampledFrom(modes).Draw(t, "mode"),
	})
}

func (s *shadow) faults(t *rapid.T) {
	s.core.SetFaults(s.now, WorkerFaults{
		Paused:         rapid.IntRange(0, 2).Draw(t, "paused") == 0,
		FailEverything: rapid.Bool().Draw(t, "failing"),
		ReportDelay:    time.Duration(rapid.IntRange(0, 3).Draw(t, "delay")) * time.Second,
	})
}

func (s *shadow) restart(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "restart") > 0 {
		return
	}
	s.core.Restart(s.now)
	s.holder, s.until, s.topTerm, s.fence = platform.LeaseRef{}, s.now, 0, 0
	s.started = map[model.TaskID]bool{}
}

// check replays the history: what runs never exceeds the capacity, nothing ends
// that did not start, and times don't go back within a task.
func (s *shadow) check(t *rapid.T) {
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
			t.Fatalf("committed %+v", used)
		}
	}
	if used != s.core.Used() {
		t.Fatalf("history has %+v in use, the worker %+v", used, s.core.Used())
	}
}

func TestWorkerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShadow()
		t.Repeat(map[string]func(*rapid.T){
			"":        s.check,
			"pass":    s.pass,
			"renew":   s.renew,
			"release": s.release,
			"start":   s.start,
			"again":   s.start,
			"stop":    s.stop,
			"faults":  s.faults,
			"restart": s.restart,
		})
	})
}
