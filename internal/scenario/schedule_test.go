package scenario

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// schedule is a script, randomly generated or read from testdata. Both have the same
// form, so that a generated schedule that fails can be stored in testdata.
type schedule []string

func (s schedule) String() string { return strings.Join(s, "\n") + "\n" }

// failureError reports broken promises or an expectation that was not met. Its kind is
// the first broken promise, or a fixed text for an unmet expectation.
type failureError struct {
	error
	kind string
}

// run runs a schedule. It returns a failureError for a broken promise or an unmet
// expectation; any other error means that the schedule itself is invalid.
func (s schedule) run(newInjector injectorFunc) error {
	st := newState(scenarioSeed, newInjector)
	for _, line := range s {
		words := strings.Fields(line)
		command, ok := commands[words[0]]
		if !ok {
			return fmt.Errorf("unknown command %q", words[0])
		}
		if err := command(st, parse(words[1:])); err != nil {
			return err
		}
	}
	return nil
}

// failure runs a schedule and returns its failureError, or nil for any other outcome.
func (s schedule) failure(newInjector injectorFunc) error {
	err := s.run(newInjector)
	if kindOf(err) == "" {
		return nil
	}
	return err
}

// shrink removes lines between the start and the recovery for as long as the schedule
// still fails in the same way.
func (s schedule) shrink(newInjector injectorFunc) schedule {
	want := kindOf(s.failure(newInjector))
	for size := len(s) / 2; size > 0; {
		shorter := s.removeLines(size, want, newInjector)
		if len(shorter) == len(s) {
			size /= 2
		}
		s = shorter
	}
	return s
}

// removeLines removes each group of size lines without which the failure is still of
// kind want.
func (s schedule) removeLines(size int, want string, newInjector injectorFunc) schedule {
	for i := slices.Index(s, "start") + 1; i+size <= len(s)-recoveryLines; {
		shorter := slices.Concat(s[:i], s[i+size:])
		if kindOf(shorter.failure(newInjector)) == want {
			s = shorter
		} else {
			i += size
		}
	}
	return s
}

// kindOf returns the kind of a failureError, or an empty string for any other error.
func kindOf(err error) string {
	var b failureError
	if !errors.As(err, &b) {
		return ""
	}
	return b.kind
}

// generate returns the schedule of a seed.
func generate(seed uint64) schedule {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 2))}
	g.line("seed %d", seed)
	g.instances = 3 + g.rng.IntN(3)
	g.workers = 1 + g.rng.IntN(6)
	g.line("instances %d", g.instances)
	g.line("workers %d slots=%d", g.workers, 1+g.rng.IntN(4))
	g.line("declare team=a limit=%d", g.rng.IntN(6))
	g.line("declare team=b limit=%d", g.rng.IntN(6))
	g.line("start")
	for range 8 + g.rng.IntN(16) {
		g.load()
		for range g.rng.IntN(3) {
			g.fault()
		}
		g.line("advance %v", g.duration(50, 200, 1000, 3000, 6000))
	}
	g.recover()
	return g.lines
}

// generator generates the lines of a schedule.
type generator struct {
	rng       *rand.Rand
	lines     schedule
	instances int
	workers   int
	calls     int
	changes   int
}

func (g *generator) line(format string, args ...any) {
	g.lines = append(g.lines, fmt.Sprintf(format, args...))
}

// duration returns a random duration from 1 ms to twice the value that it chooses at
// random from ms, which are milliseconds.
func (g *generator) duration(ms ...int) time.Duration {
	return time.Duration(1+g.rng.IntN(2*ms[g.rng.IntN(len(ms))])) * time.Millisecond
}

func (g *generator) instance() string { return fmt.Sprintf("entry-%d", 1+g.rng.IntN(g.instances)) }
func (g *generator) worker() string   { return fmt.Sprintf("w%d", 1+g.rng.IntN(g.workers)) }
func (g *generator) choose(words ...string) string {
	return words[g.rng.IntN(len(words))]
}

// load adds calls, repeats of earlier ones, status requests and cancellations.
func (g *generator) load() {
	run, timeout := g.duration(20, 300, 3000), g.choose("1s", "5s", "15s", "25s")
	options := fmt.Sprintf("team=%s run=%v timeout=%s repeatable=%s", g.choose("a", "b"), run, timeout, g.choose("true", "false"))
	switch g.rng.IntN(6) {
	case 0:
		g.calls++
		g.line("call name=t%d-1 ticket=%s via=%s %s", g.calls, g.instance(), g.instance(), options)
	case 1:
		if g.calls > 0 {
			first := 1 + g.rng.IntN(g.calls)
			g.line("again c%d-1 via=%s timeout=%s", first, g.instance(), timeout)
		}
	case 2:
		if g.calls > 0 {
			g.line("%s c%d-1 via=%s", g.choose("cancel", "status"), 1+g.rng.IntN(g.calls), g.instance())
		}
	default:
		g.calls++
		g.line("calls %d c%d- %s", 1+g.rng.IntN(8), g.calls, options)
	}
}

// fault adds one failure, a line that ends failures, or a change of configuration.
func (g *generator) fault() {
	switch g.rng.IntN(16) {
	case 0:
		g.line("pause %s", g.instance())
	case 1:
		g.line("wake %s", g.instance())
	case 2:
		g.line("crash %s", g.instance())
	case 3:
		g.line("restart %s", g.instance())
	case 4:
		g.pairFault()
	case 5:
		g.line("heal")
	case 6:
		g.line("log %s", g.choose("down", "slow by=1s", "slow by=3s", "lose-answers"))
	case 7:
		g.line("log up")
	case 8:
		g.line("worker %s", g.workerFault())
	case 9:
		g.line("worker ok all")
	case 10:
		g.line("worker restart %s", g.worker())
	case 11:
		g.line("cut-worker %s %s", g.instance(), g.worker())
	case 12:
		g.line("list-lag %v", g.duration(1000, 30000))
	case 13, 14:
		g.changes++
		g.line("apply change=l%d team=%s limit=%d via=%s", g.changes, g.choose("a", "b"), g.rng.IntN(7), g.instance())
	case 15:
		g.changes++
		g.line("apply change=k%d team=b %s=b via=%s", g.changes, g.choose("give", "withdraw"), g.instance())
	}
}

func (g *generator) pairFault() {
	a, b := g.instance(), g.instance()
	switch {
	case g.rng.IntN(4) == 0:
		g.line("isolate %s", a)
	case g.rng.IntN(4) == 0:
		g.line("cut-log %s", a)
	case a != b:
		g.line("%s %s %s", g.choose("cut", "silence"), a, b)
	}
}

func (g *generator) workerFault() string {
	fault := g.choose("pause", "unreachable", "silent", "fail-everything", "cut-answers",
		"lose-start-answers", "lose-renewals", "late", "late-reports", "leave")
	if strings.HasPrefix(fault, "late") {
		return fmt.Sprintf("%s %s by=%v", fault, g.worker(), g.duration(500, 4000))
	}
	worker := g.worker()
	if fault == "leave" && worker == keptWorker {
		fault = "pause"
	}
	return fault + " " + worker
}

// keptWorker never leaves, so that a worker can run the calls after the recovery.
const keptWorker = "w1"

// recoveryLines is the number of lines that recover adds.
const recoveryLines = 13

// recover ends all failures, then expects that calls are done again.
func (g *generator) recover() {
	g.line("heal")
	g.line("log up")
	g.line("worker ok all")
	g.line("list-lag 0s")
	g.line("revive")
	g.line("advance 70s")
	g.line("calls 4 probe team=a timeout=15s mint=true")
	g.line("advance 20s")
	for i := range 4 {
		g.line("expect probe%d done", i+1)
	}
	g.line("check")
}
