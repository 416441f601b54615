package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"pollenbend/internal/client"
	"pollenbend/internal/example"
	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// exampleResult is one request of an example with its answer or error.
type exampleResult struct {
	request example.Request
	answer  *wire.Answer
	err     error
}

const exampleCallTimeout = 20 * time.Second

// runExample sends the example's requests, prints the result of each and returns the
// exit code, which is ExitDone only if every answer is complete and agrees with the
// workers' records.
func (c *devCell) runExample(ctx context.Context, out io.Writer) (int, error) {
	results := make([]exampleResult, len(c.example.Requests))
	var group errgroup.Group
	for i, r := range c.example.Requests {
		group.Go(func() error {
			results[i] = c.send(ctx, r)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return ExitNotRun, err
	}
	c.printResults(out, results)
	c.printShares(out, results)
	code := ExitDone
	for _, r := range results {
		if reason := c.mismatch(r); reason != "" {
			fmt.Fprintf(out, "FAULT %s %s: %s\n", r.request.Queue, r.request.Service, reason)
			code = ExitMayHaveRun
		}
	}
	return code, nil
}

func (c *devCell) send(ctx context.Context, r example.Request) exampleResult {
	secret := ""
	if r.Key != "" {
		secret = c.example.Secret(r.Key)
	}
	cl, err := c.client(secret)
	if err != nil {
		return exampleResult{request: r, err: err}
	}
	payload, err := json.Marshal(r.Payload)
	if err != nil {
		return exampleResult{request: r, err: err}
	}
	call := wire.Call{Queue: r.Queue, Service: r.Service, Payload: payload, Timeout: exampleCallTimeout.String()}
	answer, err := cl.Call(ctx, call, client.Identity{})
	return exampleResult{request: r, answer: answer, err: err}
}

// mismatch returns why a result is not a complete answer of a task that, by the
// workers' history, was started exactly once. It returns an empty string if it is.
func (c *devCell) mismatch(r exampleResult) string {
	if r.err != nil {
		return r.err.Error()
	}
	if r.answer.Verdict != verdict.Done || len(r.answer.Answer) == 0 {
		return fmt.Sprintf("verdict %s, %d bytes of answer", r.answer.Verdict, len(r.answer.Answer))
	}
	team := c.teamOf(r.request.Queue)
	task := model.TaskIDOf(team, r.answer.ID, 0)
	starts := 0
	for _, e := range c.platform.History.Read(0).Events {
		if e.Kind == "start" && model.BaseTask(e.Task) == task {
			starts++
		}
	}
	if starts != 1 {
		return fmt.Sprintf("the workers started it %d times", starts)
	}
	return ""
}

func (c *devCell) teamOf(queue string) model.TeamID {
	for _, q := range c.example.Declarations.Queues {
		if q.Name == queue {
			return q.Team
		}
	}
	return ""
}

func (c *devCell) printResults(out io.Writer, results []exampleResult) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "QUEUE\tSERVICE\tVERDICT\tWORKER\tWAITED")
	for _, r := range results {
		if r.answer == nil {
			fmt.Fprintf(w, "%s\t%s\t%v\t\t\n", r.request.Queue, r.request.Service, r.err)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%dms\n", r.request.Queue, r.request.Service, r.answer.Verdict, r.answer.Worker, r.answer.WaitedMS)
	}
	_ = w.Flush()
}

// printShares prints each team's declared share and its number of served requests.
func (c *devCell) printShares(out io.Writer, results []exampleResult) {
	served := make(map[model.TeamID]int)
	total := 0
	for _, r := range results {
		if r.answer != nil && r.answer.Verdict == verdict.Done {
			served[c.teamOf(r.request.Queue)]++
			total++
		}
	}
	var shares int64
	for _, t := range c.example.Declarations.Teams {
		shares += t.Share
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tSHARE\tSERVED")
	for _, t := range c.example.Declarations.Teams {
		fmt.Fprintf(w, "%s\t%.0f%%\t%d of %d\n", t.Name, 100*float64(t.Share)/float64(shares), served[t.Name], total)
	}
	_ = w.Flush()
}
