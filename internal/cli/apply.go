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
	var r remote
	var files []string
	var id string
	sub := subcommand("apply", "Make declarations files the configuration in force: apply FILE…")
	r.flags(sub)
	sub.String(&id, "", "change-id", "id of the change; that of an earlier attempt settles its lost answer")
	return command{sub: sub, args: &files, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runApply(ctx, &r, files, id, out, errOut)
	}}
}

const nothingToChange = "nothing to change"

func runApply(ctx context.Context, r *remote, files []string, id string, out, errOut io.Writer) int {
	wanted, ok := loadDeclarations("apply", files, errOut)
	if !ok {
		return ExitUsage
	}
	c, err := r.client()
	if err != nil {
		return usage(errOut, "apply", err)
	}
	now, err := fetchConfig(ctx, c)
	if err != nil {
		return fail(out, errOut, r.json, "apply", nil, err, exitOfFetch(id))
	}
	change := declare.Diff(now.declarations, wanted)
	change.Base, change.ID = now.version, id
	switch {
	case declare.IsEmpty(change) && r.json:
		printJSON(out, wire.Answer{ID: id, Verdict: verdict.Done, Version: now.version, Message: nothingToChange})
		return ExitDone
	case declare.IsEmpty(change):
		fmt.Fprintf(out, "%s, version %d\n", nothingToChange, now.version)
		return ExitDone
	case !r.json:
		fmt.Fprint(out, declare.Render(now.declarations, change))
	}
	return sendChange(ctx, c, "apply", change, r.json, out, errOut)
}

// exitOfFetch is the exit code when the configuration can't be read. A repeat
// then leaves the attempt before it in doubt.
func exitOfFetch(id string) int {
	if id != "" {
		return ExitMayHaveRun
	}
	return ExitNotRun
}

// sendChange applies a change and prints what came of it.
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
