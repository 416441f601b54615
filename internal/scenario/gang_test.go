package scenario

import (
	"fmt"
	"strings"
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/standin"
	"pollenbend/internal/testcell"
)

// submitJob returns a command that submits a job of count tasks.
func submitJob(kind model.Kind) func(*state, *arguments) error {
	return func(s *state, a *arguments) error {
		r := request(a)
		r.Op, r.Count = model.OpSubmit, int(a.number(a.text("count", "1")))
		r.Task.Kind = kind
		via := model.InstanceID(a.text("via", "entry-1"))
		s.calls[r.ID] = s.cell.SendRequest(via, model.TeamID(a.text("team", "")), r)
		return a.err
	}
}

// expectTasks checks the number of tasks of a job that are running and the number of
// starts of its tasks so far.
func expectTasks(s *state, a *arguments) error {
	c, err := s.call(a.word(0))
	if err != nil {
		return err
	}
	running, starts := countTasks(s.cell, c)
	if want := a.text("running", fmt.Sprint(running)); want != fmt.Sprint(running) {
		return fmt.Errorf("job %s: %d tasks are running, want %s", a.word(0), running, want)
	}
	if want := a.text("starts", fmt.Sprint(starts)); want != fmt.Sprint(starts) {
		return fmt.Errorf("job %s: %d starts, want %s", a.word(0), starts, want)
	}
	return a.err
}

// countTasks returns the number of tasks of c that are running and the number of
// their starts so far.
func countTasks(cell *testcell.Cell, c *testcell.Call) (running, starts int) {
	member := make(map[model.TaskID]bool)
	for i := range c.Request.Count {
		member[model.TaskIDOf(c.Team, c.ID(), i)] = true
	}
	for _, e := range cell.History() {
		switch {
		case !member[model.BaseTask(e.Task)]:
		case e.Kind == standin.EventStart:
			running++
			starts++
		case e.Kind == standin.EventEnd:
			running--
		}
	}
	return running, starts
}

// expectWhy requires that the explanation why a job waits contains a text.
func expectWhy(s *state, a *arguments) error {
	first, err := s.call(a.word(0))
	if err != nil {
		return err
	}
	got := s.cell.SendRequest("entry-1", first.Team, model.Request{Op: model.OpStatus, Key: first.Request.Key, ID: first.ID(), Why: true})
	s.cell.Advance(100 * time.Millisecond)
	if len(got.Answers) == 0 || !strings.Contains(string(got.Answers[0].Answer.Body), a.word(1)) {
		return fmt.Errorf("job %s: %q is not in the explanation: %+v", a.word(0), a.word(1), got.Answers)
	}
	return a.err
}

// expectWhole requires that all tasks of a gang are running or none. If only some are,
// they may be starting or ending: then the check is repeated once after a second.
func expectWhole(s *state, a *arguments) error {
	c, err := s.call(a.word(0))
	if err != nil {
		return err
	}
	running, _ := countTasks(s.cell, c)
	if running == 0 || running == c.Request.Count {
		return a.err
	}
	s.cell.Advance(time.Second)
	if running, _ = countTasks(s.cell, c); running != 0 && running != c.Request.Count {
		return fmt.Errorf("gang %s: only %d of %d tasks are running", a.word(0), running, c.Request.Count)
	}
	return a.err
}
