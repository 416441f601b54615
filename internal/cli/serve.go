package cli

import (
	"context"
	"fmt"
	"io"

	"pollenbend/internal/instance"
	"pollenbend/internal/settings"
)

func serveCommand() command {
	var path string
	sub := subcommand("serve", "Run one instance.")
	sub.String(&path, "s", "settings", "settings file")
	return command{sub: sub, run: func(ctx context.Context, _, errOut io.Writer) int {
		return serve(ctx, path, errOut)
	}}
}

// serve runs an instance until ctx ends, then drains it.
func serve(ctx context.Context, path string, errOut io.Writer) int {
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
	i, err := instance.Start(s, newLogger(errOut, s.Log.SlogLevel()))
	if err != nil {
		fmt.Fprintln(errOut, "serve:", err)
		return ExitUsage
	}
	select {
	case <-ctx.Done():
		i.Shutdown()
		return ExitDone
	case <-i.DrainAsked():
		i.Shutdown()
		return ExitDone
	case err := <-i.Failed():
		fmt.Fprintln(errOut, "serve:", err)
		i.Kill()
		return ExitNotRun
	}
}
