// Package cli implements the command line of pollenbend.
package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"

	"github.com/integrii/flaggy"
)

// Exit codes. docs/CLI.md describes the meaning of each for each command.
const (
	ExitDone       = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitNotRun     = 3
	ExitMayHaveRun = 4
)

// Version is the version of the program.
const Version = "0.1.0"

// command is one command with its flags. A command that groups other commands has
// no run function.
type command struct {
	sub      *flaggy.Subcommand
	args     *[]string // receives the positional arguments; nil if the command takes none
	commands []command
	run      func(ctx context.Context, out, errOut io.Writer) int
}

func commands() []command {
	return []command{
		serveCommand(), platformCommand(), standinCommand(), devCommand(),
		checkCommand(), diffCommand(), applyCommand(), keysCommand(),
		submitCommand(), statusCommand(), cancelCommand(),
		explainCommand(), runtimesCommand(),
		cellCommand(), drainCommand(), timelineCommand(), replayCommand(),
		versionCommand(),
	}
}

// Run parses args, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	parser := flaggy.NewParser("pollenbend")
	parser.Description = "a cluster scheduler for unlike workloads"
	parser.Version = Version
	// Help, the version and invalid flags are handled here, because flaggy exits
	// the process on each of them.
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	parser.ShowHelpOnUnexpected = false
	parser.ShowCompletion = false
	all := commands()
	for _, c := range all {
		parser.AttachSubcommand(c.sub, 1)
	}
	found, remaining := findCommand(all, args)
	line, err := scanArgs(found.sub, remaining)
	if err != nil {
		fmt.Fprintln(errOut, "pollenbend:", err)
		return ExitUsage
	}
	if line.version && found.sub == nil {
		fmt.Fprintln(out, Version)
		return ExitDone
	}
	if err := parser.ParseArgs(slices.Concat(args[:len(args)-len(remaining)], line.parsed)); err != nil {
		fmt.Fprintln(errOut, "pollenbend:", err)
		return ExitUsage
	}
	switch {
	case line.help:
		parser.ShowHelp()
		return ExitDone
	case found.run == nil:
		parser.ShowHelp()
		return ExitUsage
	case found.args != nil:
		*found.args = line.args
	case len(line.args) > 0:
		fmt.Fprintf(errOut, "pollenbend: unexpected argument %q\n", line.args[0])
		return ExitUsage
	}
	return found.run(ctx, out, errOut)
}

func versionCommand() command {
	asJSON := false
	sub := subcommand("version", "Print the version.")
	sub.Bool(&asJSON, "", "json", "print JSON")
	return command{sub: sub, run: func(_ context.Context, out, _ io.Writer) int {
		if asJSON {
			printJSON(out, struct {
				Version string `json:"version"`
			}{Version})
			return ExitDone
		}
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
