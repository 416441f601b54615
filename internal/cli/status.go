package cli

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/client"
	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

func statusCommand() command {
	var r remoteFlags
	var ids []string
	var job, why bool
	sub := subcommand("status", "Print the state of a request or job: status ID")
	r.register(sub)
	sub.Bool(&job, "", "job", "the id is a job's")
	sub.Bool(&why, "", "why", "tell what a waiting request waits for")
	return command{sub: sub, args: &ids, run: func(ctx context.Context, out, errOut io.Writer) int {
		send := func(c *client.Client, id string) (*wire.Answer, error) {
			if job {
				return c.JobStatus(ctx, model.JobID(id), why)
			}
			return c.Status(ctx, id, why)
		}
		return runOnRequest("status", &r, ids, send, exitOf, out, errOut)
	}}
}

func cancelCommand() command {
	var r remoteFlags
	var ids []string
	var job bool
	sub := subcommand("cancel", "Cancel a request or job: cancel ID")
	r.register(sub)
	sub.Bool(&job, "", "job", "the id is a job's")
	return command{sub: sub, args: &ids, run: func(ctx context.Context, out, errOut io.Writer) int {
		send := func(c *client.Client, id string) (*wire.Answer, error) {
			if job {
				return c.CancelJob(ctx, model.JobID(id))
			}
			return c.Cancel(ctx, id)
		}
		return runOnRequest("cancel", &r, ids, send, exitOfCancel, out, errOut)
	}}
}

// exitOfCancel returns the exit code of a cancellation for the verdict about the
// request.
func exitOfCancel(v verdict.Verdict, code verdict.Code) int {
	switch {
	case v == verdict.NotRun && code == verdict.CodeCanceled:
		return ExitDone
	case v == verdict.NotRun, v == verdict.Done:
		return ExitNotRun
	}
	return ExitMayHaveRun
}

// runOnRequest sends a call about the one request or job in ids and prints the
// answer.
func runOnRequest(
	name string, r *remoteFlags, ids []string, send func(*client.Client, string) (*wire.Answer, error),
	exitCode func(verdict.Verdict, verdict.Code) int, out, errOut io.Writer,
) int {
	if len(ids) != 1 {
		return usageError(errOut, name, errors.New("give one id"))
	}
	c, err := r.client()
	if err != nil {
		return usageError(errOut, name, err)
	}
	stop := showProgress(errOut, "waiting for the answer")
	answer, err := send(c, ids[0])
	stop()
	if err != nil {
		return failOnRequest(name, r.json, ids[0], answer, err, out, errOut)
	}
	printAnswer(out, r.json, ids[0], answer)
	return exitCode(answer.Verdict, answer.Code)
}

// failOnRequest prints the error of a call about a request. Unless the id is
// unknown, the error says nothing about the request's state.
func failOnRequest(name string, asJSON bool, id string, answer *wire.Answer, err error, out, errOut io.Writer) int {
	code := exitOfError(err)
	if asJSON {
		printJSON(out, answerOf(id, answer, err))
		return code
	}
	return fail(out, errOut, false, name, answer, err, code)
}
