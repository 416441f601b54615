package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"pollenbend/internal/logsink"
	"pollenbend/platform"
)

func platformCommand() command {
	sub := subcommand("platform", "Run one instance on the users' platform, by its settings file.")
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		sink := logsink.New(out)
		defer sink.Close()
		logger := slog.New(sink.Handler(slog.LevelInfo))
		if err := platform.Run(ctx, logger, sink); err != nil {
			logger.Error("instance failed", "reason", err.Error())
			fmt.Fprintln(errOut, "platform:", err)
			return ExitUsage
		}
		return ExitDone
	}}
}
