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

// Outcomes is what came of a trace.
type Outcomes struct {
	// Version is that of the configuration at the end.
	Version uint64 `toml:"version" comment:"Version of the configuration at the end."`
	// Actions counts the actions by kind.
	Actions map[string]int `toml:"actions" comment:"Actions by kind."`
	// Answers holds each request's verdict, with its code if it has one, by
	// request id. Several answers under one id stand in their order.
	Answers map[string][]string `toml:"answers" comment:"Verdicts, each with its code, by request id."`
}

// Run replays a trace and returns what came of it. It writes each action to
// actions as a line of JSON, unless actions is nil. It returns an error when the
// trace cannot be read.
func Run(t *Trace, actions io.Writer) (Outcomes, error) {
	c, err := core.New(t.Options)
	if err != nil {
		return Outcomes{}, err
	}
	out := newOutcomes()
	for {
		at, e, err := t.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return out, err
		}
		for _, a := range c.Step(at, e) {
			out.note(a)
			if err := writeAction(actions, a); err != nil {
				return out, err
			}
		}
	}
	out.Version, err = versionOf(c)
	return out, err
}

func versionOf(c *core.Core) (uint64, error) {
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

func (o *Outcomes) note(a event.Action) {
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
