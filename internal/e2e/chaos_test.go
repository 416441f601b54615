package e2e

import (
	"flag"
	"fmt"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
	"pollenbend/internal/standin"
)

var chaosRequests = flag.Int("requests", 600, "requests served in TestChaos")

// TestChaos stops, kills and drains instances of a cell of nine under load. No
// request may be lost or doubled, and no answer may be false.
func TestChaos(t *testing.T) {
	const instances, callers = 9, 24
	c := startCell(t, "guild", instances)
	c.apply()
	load := c.startLoad(callers, true)
	steps := []struct {
		name string
		do   func()
	}{
		{"SIGSTOP entry-2", func() { c.signal("entry-2", syscall.SIGSTOP) }},
		{"SIGKILL entry-5", func() { c.kill("entry-5") }},
		{"SIGCONT entry-2", func() { c.signal("entry-2", syscall.SIGCONT) }},
		{"SIGTERM entry-7", func() { c.signal("entry-7", syscall.SIGTERM) }},
		{"restart entry-5", func() { c.serve("entry-5") }},
		{"SIGKILL entry-1 and entry-2", func() { c.kill("entry-1"); c.kill("entry-2") }},
		{"restart entry-1", func() { c.serve("entry-1") }},
		{"SIGSTOP entry-9", func() { c.signal("entry-9", syscall.SIGSTOP) }},
		{"SIGCONT entry-9", func() { c.signal("entry-9", syscall.SIGCONT) }},
	}
	for i, step := range steps {
		goal := int64(*chaosRequests * (i + 1) / (len(steps) + 1))
		c.await("load before "+step.name, func() bool { return t.Failed() || load.answered() >= goal })
		step.do()
		t.Logf("after %d answers: %s", load.answered(), step.name)
	}
	c.await("the rest of the load", func() bool { return t.Failed() || load.answered() >= int64(*chaosRequests) })
	load.stop()
	t.Logf("done %d, may have run %d, refusals \"not run\" %d (each asked again)",
		load.served.Load(), load.inDoubt.Load(), load.refused.Load())
	c.checkHistory(load)
}

// kill ends a process at once.
func (c *cell) kill(name string) {
	c.signal(name, syscall.SIGKILL)
	_ = c.procs[name].Wait()
}

// checkHistory compares the answers with what the workers recorded: a request
// that is done ran once, one that may have run at most once, and no worker was
// ever asked for more than it has.
func (c *cell) checkHistory(l *load) {
	c.t.Helper()
	starts := c.starts()
	for id, v := range l.verdicts() {
		task := model.TaskIDOf("cork-salons", id, 0)
		if v.done {
			require.Equal(c.t, 1, starts[task], "request %s is done", id)
		}
		require.LessOrEqual(c.t, starts[task], 1, "request %s", id)
	}
	for _, e := range c.history() {
		require.NotEqual(c.t, standin.EventOvercommit, e.Kind, fmt.Sprintf("%+v", e))
	}
}
