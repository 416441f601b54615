package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/client"
	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/scheduler"
	"pollenbend/internal/verdict"
)

// The instances of dev and serve have another scheduler than those on the users' platform. They
// explain only requests and jobs that they have accepted.

// noExplanations reports whether an answer is that of an instance of dev or serve to a path that it
// does not have.
func noExplanations(status int, data []byte) bool {
	var a wire.Answer
	return status == http.StatusNotFound && json.Unmarshal(data, &a) == nil && a.Verdict == verdict.NotRun && a.Code == verdict.CodeNotFound
}

// explainOnCell prints what a request or a job waits for on an instance of dev or serve.
func explainOnCell(ctx context.Context, o *explainOptions, servers []string, out, errOut io.Writer) int {
	c, err := (&remoteFlags{servers: servers, key: o.key, keyFile: o.keyFile}).client()
	if err != nil {
		return usageError(errOut, "explain", err)
	}
	answer, err := statusOf(ctx, c, o.id)
	if err != nil {
		return fail(out, errOut, o.output == "json", "explain", answer, err, ExitNotRun)
	}
	if o.output == "json" {
		printJSON(out, answer)
		return ExitDone
	}
	fmt.Fprintf(out, "%s: %s", o.id, answer.Verdict)
	if answer.Message != "" {
		fmt.Fprintf(out, ": %s", answer.Message)
	}
	fmt.Fprintln(out)
	printCellWait(out, answer.Answer)
	return ExitDone
}

// statusOf returns the state of the request with the id, or else of the job.
func statusOf(ctx context.Context, c *client.Client, id string) (*wire.Answer, error) {
	answer, err := c.Status(ctx, id, true)
	var e *verdict.Error
	if errors.As(err, &e) && e.Code == verdict.CodeNotFound || err == nil && answer.Code == verdict.CodeNotFound {
		return c.JobStatus(ctx, model.JobID(id), true)
	}
	return answer, err
}

// cellWait is what the answers of such an instance tell of the wait of a request. The document of a
// job has it in Why.
type cellWait struct {
	Phase       string                `json:"phase"`
	TeamWaiting int                   `json:"team_waiting"`
	TeamLevel   float64               `json:"team_level"`
	AtLimit     bool                  `json:"at_limit"`
	Here        scheduler.Explanation `json:"here"`
	GangHeld    int                   `json:"gang_held"`
	GangSize    int                   `json:"gang_size"`
	Count       int                   `json:"count"` // tasks of a job
	Running     int                   `json:"running"`
	Waiting     int                   `json:"waiting"`
	Why         *cellWait             `json:"why"`
}

// printCellWait prints the wait that document tells of, if any.
func printCellWait(out io.Writer, document json.RawMessage) {
	w := &cellWait{}
	if json.Unmarshal(document, w) != nil {
		return // the answer of a task
	}
	if w.Why != nil {
		fmt.Fprintf(out, "  of %d tasks, %d run and %d wait; of the first that waits:\n", w.Count, w.Running, w.Waiting)
		w = w.Why
	}
	if w.Phase == "" {
		return
	}
	fmt.Fprintf(out, "  phase %s; %d tasks of the team wait there, it uses %.2f of its share\n", w.Phase, w.TeamWaiting, w.TeamLevel)
	if w.AtLimit {
		fmt.Fprintln(out, "  the team is at its limit")
	}
	if w.GangSize > 0 {
		fmt.Fprintf(out, "  %d of %d tasks of the gang have a place\n", w.GangHeld, w.GangSize)
	}
	fmt.Fprintf(out, "  workers: %d of %d could take it now", w.Here.Fitting, w.Here.Workers)
	for _, r := range w.Here.Refusals {
		fmt.Fprintf(out, ", %d %s: %s", r.Workers, r.Plugin, r.Reason)
	}
	fmt.Fprintln(out)
	if w.Here.Feasible != "" {
		fmt.Fprintf(out, "  it could never run there: %s\n", w.Here.Feasible)
	}
}
