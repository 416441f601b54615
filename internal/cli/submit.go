package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/client"
	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
)

// submitOptions holds the flags of the submit command.
type submitOptions struct {
	remoteFlags
	queue   string
	service string
	payload string
	class   string
	id      string
	ticket  string
	timeout time.Duration
	job     bool
	count   int
	kind    string
	runTime time.Duration
}

func submitCommand() command {
	o := submitOptions{count: 1, kind: string(model.KindBatch)}
	sub := subcommand("submit", "Send a request and wait for its answer, or hand over a job for later with --job.")
	o.register(sub)
	sub.String(&o.queue, "q", "queue", "queue that takes the work; without one the work is charged to the key's team")
	sub.String(&o.service, "", "service", "declared service")
	sub.String(&o.payload, "p", "payload", "JSON, or @FILE to read it from a file")
	sub.String(&o.class, "", "class", "urgent, normal or low")
	sub.String(&o.id, "", "id", "id of the request or job; drawn by default")
	sub.String(&o.ticket, "", "ticket", "ticket in place of --id")
	sub.Duration(&o.timeout, "t", "timeout", "longest wait for the answer, such as 5s")
	sub.Bool(&o.job, "", "job", "hand over a job and do not wait for its tasks")
	sub.Int(&o.count, "", "count", "tasks of the job")
	sub.String(&o.kind, "", "kind", "kind of the job: batch, gang or service")
	sub.Duration(&o.runTime, "", "run-time", "expected run time of one task of the job")
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runSubmit(ctx, &o, out, errOut)
	}}
}

func runSubmit(ctx context.Context, o *submitOptions, out, errOut io.Writer) int {
	payload, err := o.check()
	if err != nil {
		return usageError(errOut, "submit", err)
	}
	c, err := o.client()
	if err != nil {
		return usageError(errOut, "submit", err)
	}
	identity := client.Identity{IdempotencyKey: o.id, Ticket: o.ticket}
	if o.id == "" && o.ticket == "" {
		identity.IdempotencyKey = client.NewID()
	}
	stop := showProgress(errOut, "waiting for the answer")
	answer, err := o.send(ctx, c, payload, identity)
	stop()
	id := identity.IdempotencyKey + identity.Ticket // one of them is empty
	printAnswer(out, o.json, id, answerOf(id, answer, err))
	if err != nil {
		return exitOfError(err)
	}
	return exitOf(answer.Verdict, answer.Code)
}

// check validates the options and returns the payload.
func (o *submitOptions) check() (json.RawMessage, error) {
	switch {
	case o.id != "" && o.ticket != "":
		return nil, errors.New("give --id or --ticket, not both")
	case o.timeout < 0 || o.runTime < 0:
		return nil, errors.New("durations must be positive")
	case o.job && o.count < 1:
		return nil, errors.New("--count must be 1 or more")
	case o.job && o.timeout > 0:
		return nil, errors.New("--timeout is for requests; a job is not waited for")
	}
	text := []byte(o.payload)
	if path, isFile := strings.CutPrefix(o.payload, "@"); isFile {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read the payload")
		}
		text = data
	}
	if len(text) > 0 && !json.Valid(text) {
		return nil, errors.New("--payload is not JSON")
	}
	return text, nil
}

func (o *submitOptions) send(ctx context.Context, c *client.Client, payload json.RawMessage, identity client.Identity) (*wire.Answer, error) {
	if !o.job {
		return c.Call(ctx, wire.Call{
			Queue: o.queue, Service: o.service, Payload: payload, Class: model.Class(o.class), Timeout: duration(o.timeout),
		}, identity)
	}
	return c.Submit(ctx, wire.Job{
		Queue: o.queue, Service: o.service, Payload: payload, Class: model.Class(o.class),
		Kind: model.Kind(o.kind), Count: o.count, RunTime: duration(o.runTime),
	}, identity)
}

// duration formats d for the API; zero gives an empty string.
func duration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
