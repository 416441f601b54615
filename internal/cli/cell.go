package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
)

func cellCommand() command {
	var r remoteFlags
	sub := subcommand("cell", "Print the instances, shards and workers as one instance sees them.")
	r.register(sub)
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runCell(ctx, &r, out, errOut)
	}}
}

func runCell(ctx context.Context, r *remoteFlags, out, errOut io.Writer) int {
	c, err := r.client()
	if err != nil {
		return usageError(errOut, "cell", err)
	}
	answer, err := c.Cell(ctx)
	if err != nil {
		return fail(out, errOut, r.json, "cell", answer, err, exitOfRead(err))
	}
	if r.json {
		printJSON(out, answer)
		return ExitDone
	}
	var text bytes.Buffer
	if err := json.Indent(&text, answer.Body(), "", "  "); err != nil {
		return fail(out, errOut, false, "cell", answer, err, ExitNotRun)
	}
	fmt.Fprintf(out, "configuration version %d\n%s\n", answer.Version, text.Bytes())
	return ExitDone
}
