package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/replay"
)

func replayCommand() command {
	var args []string
	var expect string
	sub := subcommand("replay", "Run a recorded trace again and compare its outcomes, or print them.")
	sub.String(&expect, "x", "expect", "file of expected outcomes; without it the outcomes are printed")
	return command{sub: sub, args: &args, run: func(_ context.Context, out, errOut io.Writer) int {
		if len(args) != 1 {
			fmt.Fprintln(errOut, "replay: expected one TRACE, a file that serve --record wrote")
			return ExitUsage
		}
		code, err := runReplay(args[0], expect, out)
		if err != nil {
			fmt.Fprintln(errOut, "replay:", err)
		}
		return code
	}}
}

// runReplay replays a trace and compares or prints its outcomes. It returns
// ExitDone if they are the expected ones, ExitNotRun if not, and ExitUsage with an
// error if a file cannot be read.
func runReplay(trace, expect string, out io.Writer) (int, error) {
	got, err := replayFile(trace)
	if err != nil {
		return ExitUsage, err
	}
	if expect == "" {
		data, err := got.Marshal()
		_, _ = out.Write(data)
		return ExitDone, err
	}
	data, err := os.ReadFile(expect)
	if err != nil {
		return ExitUsage, err
	}
	expected, err := replay.ParseExpectation(data)
	if err != nil {
		return ExitUsage, errors.Wrap(err, expect)
	}
	mismatches := expected.Compare(got)
	for _, m := range mismatches {
		fmt.Fprintln(out, m)
	}
	if len(mismatches) > 0 {
		fmt.Fprintf(out, "%d outcomes differ from %s\n", len(mismatches), expect)
		return ExitNotRun, nil
	}
	fmt.Fprintf(out, "all outcomes are those of %s\n", expect)
	return ExitDone, nil
}

func replayFile(path string) (replay.Outcomes, error) {
	f, err := os.Open(path)
	if err != nil {
		return replay.Outcomes{}, err
	}
	defer func() { _ = f.Close() }()
	t, err := replay.NewTrace(f)
	if err != nil {
		return replay.Outcomes{}, errors.Wrap(err, path)
	}
	got, err := replay.Run(t, nil)
	return got, errors.Wrap(err, path)
}
