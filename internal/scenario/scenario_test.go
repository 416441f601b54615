package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
	"pollenbend/internal/standin"
	"pollenbend/internal/testcell"
	"pollenbend/internal/verdict"
)

// scenarioSeed is the default seed of the scenarios. A script may set another.
const scenarioSeed = 1

// TestScenario runs the scripts in testdata. Each is named for a failure and the
// promise that must hold under it.
func TestScenario(t *testing.T) {
	runScripts(t, "testdata")
}

// TestGangScenario runs the scripts about gangs.
func TestGangScenario(t *testing.T) { runScripts(t, "testdata/gang") }

// TestJobScenario runs the scripts about batch jobs and services.
func TestJobScenario(t *testing.T) { runScripts(t, "testdata/job") }

func runScripts(t *testing.T, dir string) {
	t.Helper()
	t.Logf("seed %d", scenarioSeed)
	cmds := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, run := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			s := ts.Value(stateKey{}).(*state)
			if err := run(s, parse(args)); (err != nil) != neg {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			env.Values[stateKey{}] = newState(scenarioSeed, nil)
			return nil
		},
		Cmds: cmds,
	})
}

type stateKey struct{}

// state is the state of one script: its cell and its calls by name.
type state struct {
	cell        *testcell.Cell
	calls       map[string]*testcell.Call
	newInjector injectorFunc
}

// injectorFunc returns the fault to inject into a cell. A nil function injects none.
type injectorFunc func(*testcell.Cell) testcell.FaultInjector

func newState(seed uint64, newInjector injectorFunc) *state {
	s := &state{cell: testcell.New(testcell.Options{Seed: seed}), calls: make(map[string]*testcell.Call), newInjector: newInjector}
	if newInjector != nil {
		s.cell.SetFaultInjector(newInjector(s.cell))
	}
	return s
}

// arguments holds the plain words of a command and its name=value words. The first
// error in reading them is kept in err.
type arguments struct {
	words []string
	named map[string]string
	err   error
}

func parse(args []string) *arguments {
	a := &arguments{named: make(map[string]string)}
	for _, w := range args {
		if k, v, ok := strings.Cut(w, "="); ok {
			a.named[k] = v
		} else {
			a.words = append(a.words, w)
		}
	}
	return a
}

func (a *arguments) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	a.fail("argument %d is missing", i+1)
	return ""
}

func (a *arguments) fail(format string, args ...any) {
	if a.err == nil {
		a.err = fmt.Errorf(format, args...)
	}
}

func (a *arguments) instance(i int) model.InstanceID { return model.InstanceID(a.word(i)) }
func (a *arguments) worker(i int) model.WorkerID     { return model.WorkerID(a.word(i)) }

func (a *arguments) text(name, def string) string {
	if v, ok := a.named[name]; ok {
		return v
	}
	return def
}

func (a *arguments) number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		a.fail("%v", err)
	}
	return n
}

func (a *arguments) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		a.fail("%v", err)
	}
	return d
}

func (a *arguments) flag(name string) bool { return a.text(name, "false") == "true" }

func secretOf(key string) string { return "secret-of-" + key }

func teamKey(name string, team model.TeamID) model.Key {
	return model.Key{Name: name, Team: team, Scope: model.ScopeTeam, SHA256: declare.HashSecret(secretOf(name))}
}

// check returns an error that lists all broken promises, or nil.
func (s *state) check() error {
	var lines []string
	found := s.cell.Check()
	for _, v := range found {
		lines = append(lines, v.Error())
	}
	if len(lines) == 0 {
		return nil
	}
	return failureError{fmt.Errorf("%d broken promises:\n%s", len(lines), strings.Join(lines, "\n")), string(found[0].Promise)}
}

func (s *state) call(name string) (*testcell.Call, error) {
	call, ok := s.calls[name]
	if !ok {
		return nil, fmt.Errorf("unknown call %q", name)
	}
	return call, nil
}

func (s *state) starts(call *testcell.Call) int {
	base := model.TaskIDOf(call.Team, call.ID(), 0)
	n := 0
	for _, e := range s.cell.History() {
		if e.Kind == standin.EventStart && model.BaseTask(e.Task) == base {
			n++
		}
	}
	return n
}

func (s *state) expect(name string, wanted []string) error {
	call, err := s.call(name)
	if err != nil {
		return err
	}
	got := call.Verdict()
	if slices.Contains(wanted, got.String()) {
		return nil
	}
	detail := ""
	if len(call.Answers) > 0 {
		detail = fmt.Sprintf("%+v", call.Answers[0].Answer)
	}
	return failureError{fmt.Errorf("call %s: got %s, want %s %s", name, got, strings.Join(wanted, " or "), detail), "an expected verdict"}
}

// hasFinalVerdict reports whether a call has a verdict other than Pending. A lost call
// has one without an answer.
func hasFinalVerdict(call *testcell.Call) bool { return call.Verdict() != verdict.Pending }
