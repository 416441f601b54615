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

var chaosRequests = flag.Int("requests", 600, "number of answers after which TestChaos ends its load")

// TestChaos guards against lost or repeated requests and false answers while instances
// fail. It pauses, kills, drains and restarts instances of a cell of nine under load,
// and compares the answers with the workers' history.
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
		c.await("the load before "+step.name, func() bool { return t.Failed() || load.answered() >= goal })
		step.do()
		t.Logf("after %d answers: %s", load.answered(), step.name)
	}
	c.await("the remaining load", func() bool { return t.Failed() || load.answered() >= int64(*chaosRequests) })
	load.stop()
	t.Logf("done %d, may have run %d, refusals \"not run\" %d (each request sent again)",
		load.served.Load(), load.uncertain.Load(), load.refused.Load())
	c.checkHistory(load)
}

// kill sends SIGKILL to a process and waits until it has ended.
func (c *cell) kill(name string) {
	c.signal(name, syscall.SIGKILL)
	_ = c.procs[name].Wait()
}

// checkHistory compares the answers with what the workers recorded: a request that is
// done ran once, any other ran at most once, and no worker received a start that
// exceeded its capacity.
func (c *cell) checkHistory(l *load) {
	c.t.Helper()
	starts := c.starts()
	for id, v := range l.resultsByID() {
		task := model.TaskIDOf("cork-salons", id, 0)
		if v.done {
			require.Equal(c.t, 1, starts[task], "starts of request %s, which is done", id)
		}
		require.LessOrEqual(c.t, starts[task], 1, "starts of request %s", id)
	}
	for _, e := range c.history() {
		require.NotEqual(c.t, standin.EventOvercommit, e.Kind, fmt.Sprintf("%+v", e))
	}
}
