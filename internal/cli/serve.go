package cli

import (
	"context"
	"fmt"
	"io"

	"pollenbend/internal/instance"
	"pollenbend/internal/settings"
)

func serveCommand() command {
	var path, record string
	sub := subcommand("serve", "Run one instance.")
	sub.String(&path, "s", "settings", "settings file")
	sub.String(&record, "r", "record", "file for the event trace, in place of record.file")
	return command{sub: sub, run: func(ctx context.Context, _, errOut io.Writer) int {
		return serve(ctx, path, record, errOut)
	}}
}

// serve runs an instance until ctx ends, then drains it. A record names the file
// for the event trace.
func serve(ctx context.Context, path, record string, errOut io.Writer) int {
	if path == "" {
		fmt.Fprintln(errOut, "serve: --settings is required")
		return ExitUsage
	}
	s, faults := settings.Load(path)
	for _, f := range faults {
		fmt.Fprintln(errOut, f)
	}
	if len(faults) > 0 {
		return ExitUsage
	}
	if record != "" {
		s.Record.File = record
	}
	i, err := instance.Start(s, newLogger(errOut, s.Log.SlogLevel()))
	if err != nil {
		fmt.Fprintln(errOut, "serve:", err)
		return ExitUsage
	}
	select {
	case <-ctx.Done():
		i.Shutdown()
		return ExitDone
	case <-i.DrainRequested():
		i.Shutdown()
		return ExitDone
	case err := <-i.Failed():
		fmt.Fprintln(errOut, "serve:", err)
		i.Kill()
		return ExitNotRun
	}
}
