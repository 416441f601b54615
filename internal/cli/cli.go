// Package cli is the command line of pollenbend.
package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	ExitDone       = 0
	ExitUsage      = 2
	ExitNotRun     = 3
	ExitMayHaveRun = 4
)

// Version is the version of the program.
const Version = "0.1.0"

// command is one subcommand: its flags and what it does.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, out, errOut io.Writer) int
}

// Run parses args, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	parser := flaggy.NewParser("pollenbend")
	parser.Description = "a cluster scheduler for unlike workloads"
	parser.Version = Version
	parser.ShowVersionWithVersionFlag = true
	commands := []command{serveCommand(), standinCommand(), devCommand(), replayCommand(), versionCommand()}
	for _, c := range commands {
		parser.AttachSubcommand(c.sub, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx, out, errOut)
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func versionCommand() command {
	return command{sub: subcommand("version", "Print the version."), run: func(_ context.Context, out, _ io.Writer) int {
		fmt.Fprintln(out, Version)
		return ExitDone
	}}
}

func subcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}

func newLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
