package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/verdict"
)

// exitOf returns the exit code for a verdict. Accepted work counts as done.
func exitOf(v verdict.Verdict, code verdict.Code) int {
	switch {
	case v == verdict.Done && code != verdict.CodeOK:
		return ExitFailed
	case v == verdict.Done, v == verdict.Pending:
		return ExitDone
	case v == verdict.NotRun && code == verdict.CodeBadRequest:
		return ExitUsage
	case v == verdict.NotRun:
		return ExitNotRun
	}
	return ExitMayHaveRun
}

// exitOfError returns the exit code for the error of a call with side effects.
func exitOfError(err error) int {
	var e *verdict.Error
	if errors.As(err, &e) {
		return exitOf(e.Verdict, e.Code)
	}
	return exitOf(verdict.Of(err), verdict.CodeOK)
}

// exitOfRead returns the exit code for the error of a call without side effects.
func exitOfRead(err error) int {
	if err == nil {
		return ExitDone
	}
	return ExitNotRun
}

// answerOf returns the answer, or one made from err if there is no answer.
func answerOf(id string, answer *wire.Answer, err error) *wire.Answer {
	if answer != nil || err == nil {
		return answer
	}
	var e *verdict.Error
	if !errors.As(err, &e) {
		return &wire.Answer{ID: id, Verdict: verdict.Of(err), Message: err.Error()}
	}
	return &wire.Answer{ID: id, Verdict: e.Verdict, Code: e.Code, Message: e.Message, RetryAfterMS: e.RetryAfter.Milliseconds()}
}

// printAnswer prints the answer about the request id.
func printAnswer(out io.Writer, asJSON bool, id string, a *wire.Answer) {
	if asJSON {
		printJSON(out, a)
		return
	}
	if a.ID != "" {
		id = a.ID
	}
	fmt.Fprintf(out, "%s: %s", id, a.Verdict)
	if a.Code != verdict.CodeOK {
		fmt.Fprintf(out, " (%s)", a.Code)
	}
	if a.Worker != "" {
		fmt.Fprintf(out, ", worker %s, waited %dms", a.Worker, a.WaitedMS)
	}
	if a.Message != "" {
		fmt.Fprintf(out, ": %s", a.Message)
	}
	fmt.Fprintln(out)
	if body := a.Body(); len(body) > 0 {
		fmt.Fprintf(out, "%s\n", body)
	}
}

// fail prints the error of an operation and returns code.
func fail(out, errOut io.Writer, asJSON bool, name string, answer *wire.Answer, err error, code int) int {
	if asJSON {
		printJSON(out, answerOf("", answer, err))
		return code
	}
	fmt.Fprintf(errOut, "%s: %v\n", name, err)
	return code
}

// usageError prints an error of the command line and returns the exit code.
func usageError(errOut io.Writer, name string, err error) int {
	fmt.Fprintf(errOut, "%s: %v\n", name, err)
	return ExitUsage
}

func printJSON(out io.Writer, v any) {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(v)
}
