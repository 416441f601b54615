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
		s.calls[r.ID] = s.cell.Do(via, model.TeamID(a.text("team", "")), r)
		return a.err
	}
}

// expectGang compares how many tasks of a gang run now, and how often any of them
// was started, with what is wanted.
func expectGang(s *state, a *arguments) error {
	c, err := s.call(a.word(0))
	if err != nil {
		return err
	}
	running, starts := gangHistory(s.cell, c)
	if want := a.text("running", fmt.Sprint(running)); want != fmt.Sprint(running) {
		return fmt.Errorf("gang %s: %d tasks run, want %s", a.word(0), running, want)
	}
	if want := a.text("starts", fmt.Sprint(starts)); want != fmt.Sprint(starts) {
		return fmt.Errorf("gang %s: %d starts, want %s", a.word(0), starts, want)
	}
	return a.err
}

func gangHistory(cell *testcell.Cell, c *testcell.Call) (running, starts int) {
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

// expectWhy wants a text in the explanation why a job waits.
func expectWhy(s *state, a *arguments) error {
	first, err := s.call(a.word(0))
	if err != nil {
		return err
	}
	got := s.cell.Do("entry-1", first.Team, model.Request{Op: model.OpStatus, Key: first.Request.Key, ID: first.ID(), Why: true})
	s.cell.Advance(100 * time.Millisecond)
	if len(got.Answers) == 0 || !strings.Contains(string(got.Answers[0].Answer.Body), a.word(1)) {
		return fmt.Errorf("gang %s: no %s in %+v", a.word(0), a.word(1), got.Answers)
	}
	return a.err
}

// expectWhole wants all tasks of a gang to run, none, or, after a second in which
// some may have come or gone, again all or none.
func expectWhole(s *state, a *arguments) error {
	c, err := s.call(a.word(0))
	if err != nil {
		return err
	}
	running, _ := gangHistory(s.cell, c)
	if running == 0 || running == c.Request.Count {
		return a.err
	}
	s.cell.Advance(time.Second)
	if running, _ = gangHistory(s.cell, c); running != 0 && running != c.Request.Count {
		return fmt.Errorf("gang %s: %d of %d tasks run", a.word(0), running, c.Request.Count)
	}
	return a.err
}
