package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/client"
	"pollenbend/internal/declare"
	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

func applyCommand() command {
	var r remoteFlags
	var files []string
	var id string
	sub := subcommand("apply", "Make declarations files the configuration in force: apply FILE…")
	r.register(sub)
	sub.String(&id, "", "change-id", "id of the change; that of an earlier attempt settles its lost answer")
	return command{sub: sub, args: &files, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runApply(ctx, &r, files, id, out, errOut)
	}}
}

const nothingToChange = "nothing to change"

func runApply(ctx context.Context, r *remoteFlags, files []string, id string, out, errOut io.Writer) int {
	desired, ok := loadDeclarations("apply", files, errOut)
	if !ok {
		return ExitUsage
	}
	c, err := r.client()
	if err != nil {
		return usageError(errOut, "apply", err)
	}
	current, err := fetchConfig(ctx, c)
	if err != nil {
		return fail(out, errOut, r.json, "apply", nil, err, exitOfFailedFetch(id))
	}
	change := declare.Diff(current.declarations, desired)
	change.Base, change.ID = current.version, id
	switch {
	case declare.IsEmpty(change) && r.json:
		printJSON(out, wire.Answer{ID: id, Verdict: verdict.Done, Version: current.version, Message: nothingToChange})
		return ExitDone
	case declare.IsEmpty(change):
		fmt.Fprintf(out, "%s, version %d\n", nothingToChange, current.version)
		return ExitDone
	case !r.json:
		fmt.Fprint(out, declare.Render(current.declarations, change))
	}
	return sendChange(ctx, c, "apply", change, r.json, out, errOut)
}

// exitOfFailedFetch returns the exit code when the configuration can't be read. An
// id given by the caller means that this is a retry; the earlier attempt then
// remains in doubt.
func exitOfFailedFetch(id string) int {
	if id != "" {
		return ExitMayHaveRun
	}
	return ExitNotRun
}

// sendChange applies a change, prints the result and returns the exit code. It
// generates the change's id if there is none.
func sendChange(ctx context.Context, c *client.Client, name string, change model.Change, asJSON bool, out, errOut io.Writer) int {
	if change.ID == "" {
		change.ID = client.NewID()
	}
	stop := showProgress(errOut, "waiting for the change to be accepted")
	answer, err := c.Apply(ctx, change)
	stop()
	if err != nil {
		return reportFailedChange(name, change, answer, err, asJSON, out, errOut)
	}
	if asJSON {
		printJSON(out, answer)
		return ExitDone
	}
	fmt.Fprintf(out, "change %s accepted, version %d\n", change.ID, answer.Version)
	return ExitDone
}

// reportFailedChange prints the error of a change and returns the exit code.
func reportFailedChange(name string, change model.Change, answer *wire.Answer, err error, asJSON bool, out, errOut io.Writer) int {
	code := exitOfError(err)
	if asJSON {
		a := answerOf(change.ID, answer, err)
		a.ID = change.ID
		printJSON(out, a)
		return code
	}
	var e *verdict.Error
	switch {
	case code == ExitMayHaveRun:
		fmt.Fprintf(errOut, "%s: %v\nThe change may have taken effect. Its id is %s; apply takes it as --change-id\n", name, err, change.ID)
	case errors.As(err, &e) && e.Code == verdict.CodeConflict:
		fmt.Fprintf(errOut, "%s: another change came first, nothing of this one took effect: %s\n", name, e.Message)
	default:
		fmt.Fprintf(errOut, "%s: %v\n", name, err)
	}
	return code
}
