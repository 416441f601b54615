package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/core"
	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
)

// Outcomes summarizes the replay of a trace.
type Outcomes struct {
	// Version is the version of the configuration at the end.
	Version uint64 `toml:"version" comment:"Version of the configuration at the end."`
	// Actions counts the actions by kind.
	Actions map[string]int `toml:"actions" comment:"Actions by kind."`
	// Answers holds the verdicts of each request by request id, each followed by
	// its code if it has one, in the order of the answers.
	Answers map[string][]string `toml:"answers" comment:"Verdicts, each with its code, by request id."`
}

// Run replays a trace and returns its outcomes. Unless actions is nil, it writes
// each action to it as a line with the action's kind and its JSON. It returns an
// error when the trace cannot be read or an action cannot be written.
func Run(t *Trace, actions io.Writer) (Outcomes, error) {
	c, err := core.New(t.Options)
	if err != nil {
		return Outcomes{}, err
	}
	outcomes := newOutcomes()
	for {
		at, e, err := t.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return outcomes, err
		}
		for _, a := range c.Step(at, e) {
			outcomes.record(a)
			if err := writeAction(actions, a); err != nil {
				return outcomes, err
			}
		}
	}
	outcomes.Version, err = configVersion(c)
	return outcomes, err
}

func configVersion(c *core.Core) (uint64, error) {
	config, err := kernel.Find[interface {
		Document() (model.Declarations, uint64)
	}](c.Kernel(), service.Config)
	if err != nil {
		return 0, err
	}
	_, version := config.Document()
	return version, nil
}

func newOutcomes() Outcomes {
	return Outcomes{Actions: map[string]int{}, Answers: map[string][]string{}}
}

func (o *Outcomes) record(a event.Action) {
	o.Actions[kindOf(a)]++
	if r, ok := a.(event.Respond); ok && r.Answer.ID != "" {
		o.Answers[r.Answer.ID] = append(o.Answers[r.Answer.ID], verdictOf(r.Answer))
	}
}

func verdictOf(a model.Answer) string {
	return strings.TrimSpace(a.Verdict.String() + " " + string(a.Code))
}

func kindOf(a event.Action) string { return strings.ToLower(reflect.TypeOf(a).Name()) }

func writeAction(w io.Writer, a event.Action) error {
	if w == nil {
		return nil
	}
	data, err := json.Marshal(a)
	if err != nil {
		return errors.Wrapf(err, "encode %s", kindOf(a))
	}
	_, err = fmt.Fprintf(w, "%s %s\n", kindOf(a), data)
	return errors.Wrap(err, "write actions")
}
