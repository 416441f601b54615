package cli

import (
	"context"
	"fmt"
	"io"

	"pollenbend/internal/instance"
	"pollenbend/internal/settings"
)

func serveCommand() command {
	var path, traceFile string
	sub := subcommand("serve", "Run one instance.")
	sub.String(&path, "s", "settings", "settings file")
	sub.String(&traceFile, "r", "record", "file for the event trace, in place of record.file")
	return command{sub: sub, run: func(ctx context.Context, _, errOut io.Writer) int {
		return runServe(ctx, path, traceFile, errOut)
	}}
}

// runServe runs an instance until ctx ends or an operator requests a drain, then
// drains it. A traceFile replaces the setting record.file.
func runServe(ctx context.Context, path, traceFile string, errOut io.Writer) int {
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
	if traceFile != "" {
		s.Record.File = traceFile
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
