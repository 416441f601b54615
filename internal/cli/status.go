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
	var r remote
	var ids []string
	var job, why bool
	sub := subcommand("status", "Print the state of a request or job: status ID")
	r.flags(sub)
	sub.Bool(&job, "", "job", "the id is a job's")
	sub.Bool(&why, "", "why", "tell what a waiting request waits for")
	return command{sub: sub, args: &ids, run: func(ctx context.Context, out, errOut io.Writer) int {
		ask := func(c *client.Client, id string) (*wire.Answer, error) {
			if job {
				return c.JobStatus(ctx, model.JobID(id), why)
			}
			return c.Status(ctx, id, why)
		}
		return runAbout("status", &r, ids, ask, exitOf, out, errOut)
	}}
}

func cancelCommand() command {
	var r remote
	var ids []string
	var job bool
	sub := subcommand("cancel", "Cancel a request or job: cancel ID")
	r.flags(sub)
	sub.Bool(&job, "", "job", "the id is a job's")
	return command{sub: sub, args: &ids, run: func(ctx context.Context, out, errOut io.Writer) int {
		ask := func(c *client.Client, id string) (*wire.Answer, error) {
			if job {
				return c.CancelJob(ctx, model.JobID(id))
			}
			return c.Cancel(ctx, id)
		}
		return runAbout("cancel", &r, ids, ask, exitOfCancel, out, errOut)
	}}
}

// exitOfCancel maps the verdict about a canceled request to the exit code of
// the cancellation.
func exitOfCancel(v verdict.Verdict, code verdict.Code) int {
	switch {
	case v == verdict.NotRun && code == verdict.CodeCanceled:
		return ExitDone
	case v == verdict.NotRun, v == verdict.Done:
		return ExitNotRun
	}
	return ExitMayHaveRun
}

// runAbout asks about the one request or job in ids and prints the answer.
func runAbout(
	name string, r *remote, ids []string, ask func(*client.Client, string) (*wire.Answer, error),
	exit func(verdict.Verdict, verdict.Code) int, out, errOut io.Writer,
) int {
	if len(ids) != 1 {
		return usage(errOut, name, errors.New("give one id"))
	}
	c, err := r.client()
	if err != nil {
		return usage(errOut, name, err)
	}
	stop := showProgress(errOut, "waiting for the answer")
	answer, err := ask(c, ids[0])
	stop()
	if err != nil {
		return failAbout(name, r.json, ids[0], answer, err, out, errOut)
	}
	printAnswer(out, r.json, ids[0], answer)
	return exit(answer.Verdict, answer.Code)
}

// failAbout reports a question that was not answered. Unless the id is unknown,
// nothing is known of the request.
func failAbout(name string, asJSON bool, id string, answer *wire.Answer, err error, out, errOut io.Writer) int {
	code := exitOfError(err)
	if asJSON {
		printJSON(out, answerOf(id, answer, err))
		return code
	}
	return fail(out, errOut, false, name, answer, err, code)
}
