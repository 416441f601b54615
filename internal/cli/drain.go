package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

func drainCommand() command {
	var r remoteFlags
	sub := subcommand("drain", "Start the planned stop of one instance.")
	r.register(sub)
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runDrain(ctx, &r, out, errOut)
	}}
}

func runDrain(ctx context.Context, r *remoteFlags, out, errOut io.Writer) int {
	servers := r.allServers()
	if len(servers) != 1 {
		return usageError(errOut, "drain", errors.Newf("give the one server to drain; there are %d", len(servers)))
	}
	c, err := r.client()
	if err != nil {
		return usageError(errOut, "drain", err)
	}
	answer, err := c.Drain(ctx)
	if err != nil {
		return fail(out, errOut, r.json, "drain", answer, err, exitOfError(err))
	}
	if r.json {
		printJSON(out, answer)
		return ExitDone
	}
	fmt.Fprintf(out, "%s drains\n", servers[0])
	return ExitDone
}
