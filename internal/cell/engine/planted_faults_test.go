package engine

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pollenbend/internal/cell/record"
)

// plantedFault is a fault of what passes between the engine and the world.
type plantedFault struct {
	name                string
	action              func(n *network, action any) any // changes an action of the engine; nil drops it
	event               func(n *network, event any) any  // changes an event for the engine
	restartsKeepID      bool                             // the fault shows in schedules with kept ids
	crashes             bool                             // the fault shows in schedules with crashes and workers that shrink
	cuts                bool                             // the fault shows in schedules with cuts that refuse connections
	cancels             bool                             // the fault shows in schedules with cancellations at any time
	losesWithdrawals    bool                             // a new leader gets none of the withdrawals
	newLeaders          bool                             // the fault shows in schedules whose leaders last for seconds only
	gangFailures        bool                             // the fault shows in schedules whose gangs fail at once on several workers
	hidesShrinkage      bool                             // the directory shows a shrunk worker's capacity as before
	ignoresEvacuations  bool                             // the engine is not told of evacuations
	noLeases            bool                             // workers don't end runs whose lease has expired
	noStops             bool                             // workers accept stops without carrying them out
	forgetsReportedEnds bool                             // a reported end counts as acknowledged at once
	forgetsEndedRuns    bool                             // workers start a run again that has ended or was stopped
}

// plantedFaults are found by TestRandomRefusals, each within plantedFaultSeeds seeds.
var plantedFaults = []plantedFault{
	{name: "a start without an answer counts as refused", event: onStart(func(n *network, ev *StartAnswered) {
		if ev.Outcome == NoAnswer {
			ev.Outcome = Unhealthy
		}
	})},
	{name: "a refusal of a start counts as a restart", event: onStart(func(n *network, ev *StartAnswered) {
		if isRefusal(ev.Outcome) {
			ev.Outcome = OtherIncarnation
		}
	})},
	{name: "a stop without an answer counts as accepted", event: func(n *network, event any) any {
		if ev, ok := event.(*StopAnswered); ok && ev.Outcome == NoAnswer {
			ev.Outcome = Accepted
		}
		return event
	}},
	{name: "a refused stop counts as accepted", event: func(n *network, event any) any {
		if ev, ok := event.(*StopAnswered); ok && (ev.Outcome == Unhealthy || ev.Outcome == Invalid) {
			ev.Outcome = Accepted
		}
		return event
	}},
	{name: "a refused stop counts as a restart", event: func(n *network, event any) any {
		if ev, ok := event.(*StopAnswered); ok && (ev.Outcome == Unhealthy || ev.Outcome == Invalid) {
			ev.Outcome = OtherIncarnation
		}
		return event
	}},
	{name: "a refused renewal counts as a restart", event: func(n *network, event any) any {
		if ev, ok := event.(*RenewalAnswered); ok && ev.Report == nil {
			ev.OtherIncarnation = true
		}
		return event
	}},
	{name: "reports leave out running tasks", event: onReport(func(n *network, r *Report) {
		if len(r.Running) > 0 && n.rand.IntN(4) == 0 {
			r.Running = r.Running[1:]
		}
	})},
	{name: "reports leave out ends", event: onReport(func(n *network, r *Report) {
		if len(r.Ended) > 1 && n.rand.IntN(4) == 0 {
			r.Ended = r.Ended[1:]
		}
	})},
	{name: "a renewal delivers an older report", event: olderReport},
	{name: "a report has the clock of another worker", event: onReport(func(n *network, r *Report) {
		if n.rand.IntN(4) == 0 {
			r.Clock += 300_000
		}
	})},
	{name: "failures are reported as successes", event: onReport(func(n *network, r *Report) {
		for i := range r.Ended {
			if r.Ended[i].Reason == EndedFailed {
				r.Ended[i].Reason = EndedDone
			}
		}
	})},
	{name: "lapsed runs are reported as failed", event: onReport(func(n *network, r *Report) {
		for i := range r.Ended {
			if r.Ended[i].Reason == EndedLeaseExpired || r.Ended[i].Reason == EndedStopped {
				r.Ended[i].Reason = EndedFailed
			}
		}
	})},
	{name: "checkpoints of another task", event: onReport(func(n *network, r *Report) {
		if len(r.Running) > 1 {
			r.Running[0].Checkpoint = r.Running[1].Checkpoint
		}
	})},
	{name: "records are not stored", action: func(n *network, action any) any {
		if a, ok := action.(*Append); ok {
			n.w.after(0, func() { n.w.engine.Handle(n.w.now, &Appended{Append: a, Outcome: Stored}) })
			return nil
		}
		return action
	}},
	{name: "all ends are acknowledged at once", action: func(n *network, action any) any {
		if a, ok := action.(*Renew); ok {
			a.Cursor = n.w.workers[a.Worker].lastEnd
		}
		return action
	}},
	{name: "starts carry no ticket", action: func(n *network, action any) any {
		if a, ok := action.(*Start); ok {
			a.Ticket = ""
		}
		return action
	}},
	{name: "stops name an earlier run", action: func(n *network, action any) any {
		if a, ok := action.(*Stop); ok {
			a.Run--
		}
		return action
	}},
	{name: "the answer of a new incarnation names the earlier one", restartsKeepID: true, event: onStart(func(n *network, ev *StartAnswered) {
		if ev.Incarnation != 0 {
			ev.Incarnation = ev.Start.Incarnation
		}
	})},
	{name: "starts in a new incarnation are not answered", restartsKeepID: true, event: onStart(func(n *network, ev *StartAnswered) {
		if ev.Incarnation != ev.Start.Incarnation && ev.Incarnation != 0 {
			ev.Outcome = OtherIncarnation
		}
	})},
	{name: "a start without an answer is not waited for", restartsKeepID: true, event: onStart(func(n *network, ev *StartAnswered) {
		if ev.Outcome == NoAnswer && ev.Start.Ticket == "" {
			ev.Outcome = DeadlinePassed
		}
	})},
	{name: "a refused connection counts as a restart", cuts: true, event: func(n *network, event any) any {
		if ev, ok := event.(*RenewalAnswered); ok && ev.ConnectionRefused {
			ev.OtherIncarnation = true
		}
		return event
	}},
	{name: "a start without an answer counts as not sent", crashes: true, event: onStart(func(n *network, ev *StartAnswered) {
		if ev.Outcome == NoAnswer {
			ev.Outcome = NotSent
		}
	})},
	{name: "the crashes under a task are not stored", crashes: true, newLeaders: true, action: onStepRecords(func(s *record.Step) { s.Crashes = nil })},
	{name: "the numbers of a gang's failed runs are stored wrong", gangFailures: true, action: onStepRecords(func(s *record.Step) {
		for i := range s.FailedGangRuns {
			s.FailedGangRuns[i]++
		}
	})},
	{name: "the failures of a gang's run are not stored", gangFailures: true, action: onStepRecords(func(s *record.Step) {
		for i := range s.Tasks {
			s.Tasks[i].Failures = 0
		}
	})},
	{name: "withdrawals are not stored", cancels: true, action: dropRecords(func(n *network, r *record.Record) bool { return record.IsWithdrawal(r.Key) })},
	{name: "withdrawals are lost at a takeover", cancels: true, losesWithdrawals: true},
	{name: "the records of canceled jobs are not stored", cancels: true, action: dropRecords(func(n *network, r *record.Record) bool {
		return n.ofCanceledJob(r)
	})},
	{name: "the end of a worker is not told", crashes: true, event: func(n *network, event any) any {
		switch ev := event.(type) {
		case *RenewalAnswered:
			ev.ConnectionRefused = false
		case *StartAnswered:
			ev.ConnectionRefused = false
		}
		return event
	}},
	{name: "a shrunk worker is listed as before", crashes: true, hidesShrinkage: true},
	{name: "evacuations are not told", ignoresEvacuations: true},
	{name: "workers accept stops without carrying them out", noStops: true},
	{name: "workers keep runs whose lease has expired", noLeases: true},
	{name: "reported ends are forgotten before they are stored", forgetsReportedEnds: true},
	{name: "workers start runs again that have ended", forgetsEndedRuns: true},
}

func isRefusal(o CommandOutcome) bool {
	return o == DeadlinePassed || o == NoCapacity || o == BadTicket || o == Unhealthy || o == Invalid
}

// onStart returns a fault that changes the outcomes of starts.
func onStart(change func(n *network, ev *StartAnswered)) func(*network, any) any {
	return func(n *network, event any) any {
		if ev, ok := event.(*StartAnswered); ok {
			change(n, ev)
		}
		return event
	}
}

// onReport returns a fault that changes reports.
func onReport(change func(n *network, r *Report)) func(*network, any) any {
	return func(n *network, event any) any {
		if ev, ok := event.(*RenewalAnswered); ok && ev.Report != nil {
			change(n, ev.Report)
		}
		return event
	}
}

// olderReport has one renewal in four deliver a report that the worker made some reports ago.
func olderReport(n *network, event any) any {
	ev, ok := event.(*RenewalAnswered)
	if !ok || ev.Report == nil {
		return event
	}
	key := lifeKey(ev.Worker, ev.Report.Incarnation)
	n.reports[key] = append(n.reports[key], ev.Report)
	if n.rand.IntN(4) > 0 {
		return event
	}
	copied := *ev
	copied.Report = n.reports[key][max(0, len(n.reports[key])-5)]
	return &copied
}

// onStepRecords returns a fault that changes the records of steps before they are stored.
func onStepRecords(change func(s *record.Step)) func(*network, any) any {
	return func(n *network, action any) any {
		a, ok := action.(*Append)
		if !ok {
			return action
		}
		for i := range a.Records {
			r := &a.Records[i]
			if record.IsWithdrawal(r.Key) || r.Key == record.ModelKey || len(r.Value) == 0 {
				continue
			}
			_, step, err := record.ParseKey(r.Key)
			n.w.must(err)
			if step == nil {
				continue
			}
			in := new(record.Step)
			n.w.must(record.Decode(r.Value, in))
			change(in)
			r.Value = record.Encode(in)
		}
		return action
	}
}

// dropRecords returns a fault that removes records from appends, which are answered as stored.
func dropRecords(drops func(n *network, r *record.Record) bool) func(*network, any) any {
	return func(n *network, action any) any {
		if a, ok := action.(*Append); ok {
			a.Records = slices.DeleteFunc(a.Records, func(r record.Record) bool { return drops(n, &r) })
		}
		return action
	}
}

// ofCanceledJob reports whether r is the record of a job that was canceled.
func (n *network) ofCanceledJob(r *record.Record) bool {
	id, step, err := record.ParseKey(r.Key)
	if err != nil || id == "" || step != nil || len(r.Value) == 0 {
		return false
	}
	in := new(record.Job)
	n.w.must(record.Decode(r.Value, in))
	return in.State == record.Canceled
}

// recorder takes note of failed checks instead of failing the test.
type recorder struct {
	testing.TB
	first string // first failed check
}

func (r *recorder) Helper() {}

func (r *recorder) Failed() bool { return r.first != "" }

func (r *recorder) Errorf(format string, args ...any) {
	if r.first == "" {
		r.first = fmt.Sprintf(format, args...)
	}
}

func (r *recorder) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}

func (r *recorder) Fatal(args ...any) { r.Fatalf("%s", fmt.Sprint(args...)) }

// failureOf returns the first failed check of a schedule with a planted fault, or "".
func failureOf(t *testing.T, seed uint64, f plantedFault) string {
	r := &recorder{TB: t}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runRandomRefusals(r, seed, refusalOptions{planted: f, restartsKeepID: f.restartsKeepID, crashes: f.crashes, cuts: f.cuts, cancels: f.cancels, newLeaders: f.newLeaders, evacuations: f.ignoresEvacuations, gangFailures: f.gangFailures})
	}()
	<-ended
	return r.first
}

// plantedFaultSeeds is the number of seeds within which each planted fault has to be found.
const plantedFaultSeeds = 150

func TestPlantedFaultsAreFound(t *testing.T) {
	for _, f := range plantedFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= plantedFaultSeeds; seed++ {
				if why := failureOf(t, seed, f); why != "" {
					t.Logf("seed %d: %s", seed, why)
					return
				}
			}
			t.Errorf("not found in %d seeds", plantedFaultSeeds)
		})
	}
}
