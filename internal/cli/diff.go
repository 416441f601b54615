package cli

import (
	"context"
	"fmt"
	"io"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
)

func diffCommand() command {
	var r remoteFlags
	var files []string
	sub := subcommand("diff", "Print what apply would change: diff FILE…")
	r.register(sub)
	return command{sub: sub, args: &files, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runDiff(ctx, &r, files, out, errOut)
	}}
}

// diffReport is the JSON output of the diff command.
type diffReport struct {
	Version uint64       `json:"version"`
	Change  model.Change `json:"change"`
}

func runDiff(ctx context.Context, r *remoteFlags, files []string, out, errOut io.Writer) int {
	desired, ok := loadDeclarations("diff", files, errOut)
	if !ok {
		return ExitUsage
	}
	c, err := r.client()
	if err != nil {
		return usageError(errOut, "diff", err)
	}
	current, err := fetchConfig(ctx, c)
	if err != nil {
		return fail(out, errOut, r.json, "diff", nil, err, exitOfRead(err))
	}
	change := declare.Diff(current.declarations, desired)
	change.Base = current.version
	switch {
	case r.json:
		printJSON(out, diffReport{Version: current.version, Change: change})
	case declare.IsEmpty(change):
		fmt.Fprintf(out, "no difference from version %d\n", current.version)
	default:
		fmt.Fprint(out, declare.Render(current.declarations, change))
	}
	return ExitDone
}
