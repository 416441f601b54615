package scenario

import (
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/testcell"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// mutant is a fault that is injected into the cell and the promises that it breaks.
type mutant struct {
	name     string
	script   string             // the script that detects it
	breaks   []testcell.Promise // the check must report one of these
	newFault func(*testcell.Cell) fault
}

// fault alters the events and actions of the cores and the starts that reach workers.
// Nil functions alter nothing.
type fault struct {
	event  func(id model.InstanceID, e event.Event) event.Event
	action func(id model.InstanceID, a event.Action) []event.Action
	start  func(id model.WorkerID, r platform.StartRequest) platform.StartRequest
}

// Event implements testcell.FaultInjector.
func (f fault) Event(id model.InstanceID, e event.Event) event.Event {
	if f.event == nil {
		return e
	}
	return f.event(id, e)
}

// Action implements testcell.FaultInjector.
func (f fault) Action(id model.InstanceID, a event.Action) []event.Action {
	if f.action == nil {
		return []event.Action{a}
	}
	return f.action(id, a)
}

// Start implements testcell.FaultInjector.
func (f fault) Start(id model.WorkerID, r platform.StartRequest) platform.StartRequest {
	if f.start == nil {
		return r
	}
	return f.start(id, r)
}

// TestMutants guards against checks that pass whatever the cores do. It injects one
// fault at a time and requires that the checker reports a promise that it breaks.
func TestMutants(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			s := readScript(t, m.script)
			newInjector := func(c *testcell.Cell) testcell.FaultInjector { return m.newFault(c) }
			err := s.failure(newInjector)
			require.Contains(t, m.breaks, testcell.Promise(kindOf(err)), "script %s does not detect the injected fault: %v", m.script, err)
			t.Logf("the fault is detected by script %s:\n%s%v", m.script, s, err)
		})
	}
}

// readScript reads a script from testdata.
func readScript(t *testing.T, name string) schedule {
	data, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
	require.NoError(t, err)
	var s schedule
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
			s = append(s, line)
		}
	}
	return s
}

var mutants = []mutant{
	{
		name:   "a worker's lease is not checked",
		script: "start_late_fenced_no_task_runs_twice",
		breaks: []testcell.Promise{testcell.PromiseCapacity, testcell.PromiseSingleRun, testcell.PromiseAtMostOnce, testcell.PromiseLimit},
		newFault: func(c *testcell.Cell) fault {
			return fault{start: func(id model.WorkerID, r platform.StartRequest) platform.StartRequest {
				if ref, held := c.LeaseOf(id); held {
					r.Lease, r.Seq, r.WorkerIncarnation = ref, math.MaxUint64, 0
				}
				return r
			}}
		},
	},
	{
		name:   "a full report's running tasks are ignored",
		script: "instance_killed_takeover_counts_running_tasks",
		breaks: []testcell.Promise{testcell.PromiseCapacity},
		newFault: onEvent(func(_ model.InstanceID, e event.Event) event.Event {
			if d, ok := e.(event.RenewDone); ok && d.Full {
				d.Reply.Running = nil
				return d
			}
			return e
		}),
	},
	{
		name:   "a ceiling is granted twice",
		script: "limit_holder_killed_team_within_limit",
		breaks: []testcell.Promise{testcell.PromiseLimit},
		newFault: onMessage(func(m wire.Message) wire.Message {
			if g, ok := m.(wire.Grant); ok {
				g.Ceiling *= 2
				return g
			}
			return m
		}),
	},
	{
		name:   "running tasks are forgotten",
		script: "connection_cut_task_states_are_retold",
		breaks: []testcell.Promise{testcell.PromiseSingleRun, testcell.PromiseAtMostOnce},
		newFault: func(*testcell.Cell) fault {
			return fault{event: func(_ model.InstanceID, e event.Event) event.Event {
				p, ok := e.(event.PeerMessage)
				if !ok {
					return e
				}
				switch m := p.Message.(type) {
				case wire.Located:
					m.Seen = nil
					p.Message = m
				case wire.TaskState:
					if m.Phase == wire.PhaseRunning {
						p.Message = wire.FetchCoverage{}
					}
				}
				return p
			}}
		},
	},
	{
		name:   "a withdrawal is not applied at one instance",
		script: "key_withdrawn_refused_everywhere",
		breaks: []testcell.Promise{testcell.PromiseKey, testcell.PromiseConfig},
		newFault: onEvent(func(id model.InstanceID, e event.Event) event.Event {
			if id != "entry-3" {
				return e
			}
			switch e := e.(type) {
			case event.LogRead:
				e.Entries = withoutChanges(e.Entries)
				return e
			case event.PeerMessage:
				switch m := e.Message.(type) {
				case wire.LogEntries:
					e.Message = wire.LogEntries{Entries: withoutChanges(m.Entries)}
				case wire.KeysWithdrawn, wire.SnapshotState:
					e.Message = wire.FetchCoverage{}
				}
				return e
			}
			return e
		}),
	},
	{
		name:   "a start is sent again under a new id",
		script: "no_failure_every_call_is_done",
		breaks: []testcell.Promise{testcell.PromiseSingleRun, testcell.PromiseAtMostOnce, testcell.PromiseCapacity},
		newFault: onAction(func(a event.Action) []event.Action {
			s, ok := a.(event.Start)
			if !ok {
				return []event.Action{a}
			}
			again := s
			again.Request.Task.ID = model.WithRun(model.BaseTask(s.Request.Task.ID), 9)
			return []event.Action{s, again}
		}),
	},
	{
		name:   "an uncertain outcome is reported as not run",
		script: "worker_restarted_not_repeated",
		breaks: []testcell.Promise{testcell.PromiseNotRun},
		newFault: onAnswer(func(a model.Answer) []model.Answer {
			if a.Verdict == verdict.MayHaveRun {
				a.Verdict = verdict.NotRun
			}
			return []model.Answer{a}
		}),
	},
	{
		name:   "answers go to the wrong requests",
		script: "no_failure_every_call_is_done",
		breaks: []testcell.Promise{testcell.PromiseCompleteAnswer},
		newFault: func(*testcell.Cell) fault {
			var last []byte
			return onAnswer(func(a model.Answer) []model.Answer {
				if a.Body != nil {
					last, a.Body = a.Body, last
				}
				return []model.Answer{a}
			})(nil)
		},
	},
	{
		name:     "an answer is given twice",
		script:   "no_failure_every_call_is_done",
		breaks:   []testcell.Promise{testcell.PromiseAnswerInTime},
		newFault: onAnswer(func(a model.Answer) []model.Answer { return []model.Answer{a, a} }),
	},
	{
		name:   "refusals at the deadline are lost",
		script: "worker_unreachable_not_run_is_true",
		breaks: []testcell.Promise{testcell.PromiseAnswerInTime},
		newFault: onAnswer(func(a model.Answer) []model.Answer {
			if a.Code == verdict.CodeDeadline {
				return nil
			}
			return []model.Answer{a}
		}),
	},
	{
		name:   "leaving marks in the worker list are ignored",
		script: "leaving_worker_gets_no_new_work",
		breaks: []testcell.Promise{testcell.PromiseLeaving},
		newFault: onEvent(func(_ model.InstanceID, e event.Event) event.Event {
			l, ok := e.(event.Listed)
			if !ok {
				return e
			}
			l.Listing.Workers = slices.Clone(l.Listing.Workers)
			for i := range l.Listing.Workers {
				l.Listing.Workers[i].Leaving = false
			}
			return l
		}),
	},
	{
		name:   "truncated answers are treated as complete",
		script: "worker_cuts_answers_none_is_passed_on",
		breaks: []testcell.Promise{testcell.PromiseCompleteAnswer},
		newFault: onEvent(func(_ model.InstanceID, e event.Event) event.Event {
			d, ok := e.(event.RenewDone)
			if !ok {
				return e
			}
			d.Reply.Finished = slices.Clone(d.Reply.Finished)
			for i := range d.Reply.Finished {
				d.Reply.Finished[i].Complete = true
			}
			return d
		}),
	},
	{
		name:   "an unanswered start counts as not started",
		script: "start_answer_lost_and_worker_restarted_not_repeated",
		breaks: []testcell.Promise{testcell.PromiseSingleRun, testcell.PromiseAtMostOnce, testcell.PromiseCapacity, testcell.PromiseLimit, testcell.PromiseNotRun},
		newFault: onEvent(func(_ model.InstanceID, e event.Event) event.Event {
			if d, ok := e.(event.StartDone); ok && d.Verdict == verdict.MayHaveRun {
				d.Verdict = verdict.NotRun
				return d
			}
			return e
		}),
	},
}

// withoutChanges removes the configuration changes from all entries but the one at
// offset 1.
func withoutChanges(entries []platform.Entry) []platform.Entry {
	entries = slices.Clone(entries)
	for i, e := range entries {
		records, err := wire.DecodeEntry(e.Data)
		if err != nil {
			panic(err)
		}
		if e.Offset == 1 {
			continue
		}
		records = slices.DeleteFunc(records, func(r wire.Record) bool {
			_, change := r.(wire.ConfigChange)
			return change
		})
		if entries[i].Data, err = wire.EncodeEntry(records); err != nil {
			panic(err)
		}
	}
	return entries
}

func onEvent(f func(model.InstanceID, event.Event) event.Event) func(*testcell.Cell) fault {
	return func(*testcell.Cell) fault { return fault{event: f} }
}

func onAction(f func(event.Action) []event.Action) func(*testcell.Cell) fault {
	return func(*testcell.Cell) fault {
		return fault{action: func(_ model.InstanceID, a event.Action) []event.Action { return f(a) }}
	}
}

func onMessage(f func(wire.Message) wire.Message) func(*testcell.Cell) fault {
	return onAction(func(a event.Action) []event.Action {
		if s, ok := a.(event.Send); ok {
			s.Message = f(s.Message)
			return []event.Action{s}
		}
		return []event.Action{a}
	})
}

func onAnswer(f func(model.Answer) []model.Answer) func(*testcell.Cell) fault {
	return onAction(func(a event.Action) []event.Action {
		r, ok := a.(event.Respond)
		if !ok {
			return []event.Action{a}
		}
		var out []event.Action
		for _, answer := range f(r.Answer) {
			out = append(out, event.Respond{Handle: r.Handle, Answer: answer})
		}
		return out
	})
}
