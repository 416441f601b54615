package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/check"
)

func checkCommand() command {
	var files []string
	asJSON := false
	sub := subcommand("check", "Report every fault of settings or declarations files: check FILE…")
	sub.Bool(&asJSON, "", "json", "print JSON")
	return command{sub: sub, args: &files, run: func(_ context.Context, out, errOut io.Writer) int {
		return runCheck(files, asJSON, out, errOut)
	}}
}

// checkReport is the JSON output of the check command.
type checkReport struct {
	Files  int           `json:"files"`
	Faults []check.Fault `json:"faults"`
}

func runCheck(files []string, asJSON bool, out, errOut io.Writer) int {
	if len(files) == 0 {
		return usageError(errOut, "check", errors.New("no file given"))
	}
	faults := check.Files(files)
	switch {
	case asJSON:
		printJSON(out, checkReport{Files: len(files), Faults: append([]check.Fault{}, faults...)})
	case len(faults) == 0:
		fmt.Fprintln(out, "no faults")
	default:
		printFaults(errOut, faults)
	}
	if len(faults) > 0 {
		return ExitUsage
	}
	return ExitDone
}

func printFaults(w io.Writer, faults []check.Fault) {
	for _, f := range faults {
		fmt.Fprintln(w, f)
	}
}
