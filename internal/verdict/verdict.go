// Package verdict defines verdicts, which state what is known about the effect of a
// request: it ran, it certainly did not run, or it may have run.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a request may have had an effect. Only a request with the
// verdict NotRun may be retried as a new request.
type Verdict uint8

const (
	// MayHaveRun means it is unknown whether the request ran. It is the zero
	// value, so that an unset verdict never claims more than is known.
	MayHaveRun Verdict = iota
	// Done means the request ran once. Its answer is complete if the code is CodeOK.
	Done
	// NotRun means the request had no effect and never will.
	NotRun
	// Pending means the request is accepted and its final verdict is not known
	// yet. It appears only in answers to status calls, cancellations and submissions
	// of jobs.
	Pending
)

var names = [...]string{MayHaveRun: "may_have_run", Done: "done", NotRun: "not_run", Pending: "pending"}

// String returns the name used in JSON answers and logs.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an
// unknown name.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, n := range names {
		if n == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return errors.Newf("unknown verdict %q", text)
}

// Code is a stable machine-readable reason. docs/API.md lists the codes.
type Code string

// Codes shared by the services.
const (
	CodeOK             Code = ""
	CodeBadRequest     Code = "bad_request"
	CodeUnauthorized   Code = "unauthorized"
	CodeForbidden      Code = "forbidden"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeTooLarge       Code = "too_large"
	CodeOverloaded     Code = "overloaded"
	CodeNeverFits      Code = "never_fits" // no listed worker could ever run it
	CodeDeadline       Code = "deadline_exceeded"
	CodeCanceled       Code = "canceled"
	CodeUnavailable    Code = "unavailable"
	CodeDraining       Code = "draining"
	CodeInDoubt        Code = "in_doubt" // it is unknown whether the request ran
	CodeTaskFailed     Code = "task_failed"
	CodeAnswerExpired  Code = "answer_expired"
	CodeStaleAuthority Code = "stale_authority" // the lease, fence or incarnation is not valid, or the shard has another owner
)

// Error is an error with a verdict. RetryAfter, if positive, is the time that the
// caller should wait before it retries.
type Error struct {
	Verdict    Verdict
	Code       Code
	Message    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message) }

// Refuse returns an Error with the verdict NotRun and a formatted message.
func Refuse(code Code, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Of returns the verdict carried by err: Done for nil, MayHaveRun for an error
// that carries none.
func Of(err error) Verdict {
	if err == nil {
		return Done
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
