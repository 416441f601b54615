package httpapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/units"
	"pollenbend/internal/verdict"
)

// defaultRetryAfter is the Retry-After of status 429 and 503 when the core gives
// none.
const defaultRetryAfter = time.Second

// writeTimeout is the maximum time for the caller to read its answer.
const writeTimeout = 15 * time.Second

// notRunStatus maps the code of an answer with verdict not run to the HTTP status.
var notRunStatus = map[verdict.Code]int{
	verdict.CodeBadRequest:     http.StatusBadRequest,
	verdict.CodeUnauthorized:   http.StatusUnauthorized,
	verdict.CodeForbidden:      http.StatusForbidden,
	verdict.CodeNotFound:       http.StatusNotFound,
	verdict.CodeConflict:       http.StatusConflict,
	verdict.CodeCanceled:       http.StatusConflict,
	verdict.CodeAnswerExpired:  http.StatusGone,
	verdict.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	verdict.CodeNeverFits:      http.StatusUnprocessableEntity,
	verdict.CodeOverloaded:     http.StatusTooManyRequests,
	verdict.CodeUnavailable:    http.StatusServiceUnavailable,
	verdict.CodeDraining:       http.StatusServiceUnavailable,
	verdict.CodeStaleAuthority: http.StatusServiceUnavailable,
	verdict.CodeDeadline:       http.StatusGatewayTimeout,
}

// statusOf returns the HTTP status for an answer of the core.
func statusOf(a model.Answer) int {
	switch a.Verdict {
	case verdict.Pending:
		return http.StatusAccepted
	case verdict.Done:
		return doneStatus(a.Code)
	case verdict.NotRun:
		if status, ok := notRunStatus[a.Code]; ok {
			return status
		}
		return http.StatusInternalServerError
	}
	if a.Code == verdict.CodeAnswerExpired {
		return http.StatusGone
	}
	return http.StatusGatewayTimeout
}

// doneStatus returns the HTTP status for an answer with verdict done.
func doneStatus(code verdict.Code) int {
	switch code {
	case verdict.CodeTaskFailed:
		return http.StatusInternalServerError
	case verdict.CodeAnswerExpired:
		return http.StatusGone
	}
	return http.StatusOK
}

// targetsRequest reports whether the operation, a status or a cancellation, is about
// an earlier request.
func targetsRequest(op model.Op) bool { return op == model.OpStatus || op == model.OpCancel }

// isCallRefusal reports whether the code means that the status call or cancellation
// itself was refused. Such an answer says nothing about the earlier request.
func isCallRefusal(code verdict.Code) bool {
	switch code {
	case verdict.CodeBadRequest, verdict.CodeUnauthorized, verdict.CodeForbidden, verdict.CodeOverloaded,
		verdict.CodeUnavailable, verdict.CodeDraining, verdict.CodeStaleAuthority:
		return true
	}
	return false
}

// writeCoreAnswer writes the core's answer to req. The answer to a status call or a
// cancellation has status 200 whatever the outcome of the earlier request, unless
// that request is pending or unknown or the call itself was refused.
func (a *api) writeCoreAnswer(w http.ResponseWriter, r *http.Request, req model.Request, ans model.Answer) {
	a.countAnswer(req.Op, ans)
	status := statusOf(ans)
	switch {
	case !targetsRequest(req.Op) || ans.Verdict == verdict.Pending || ans.Code == verdict.CodeNotFound:
	case ans.Verdict == verdict.NotRun && isCallRefusal(ans.Code):
		ans.ID = ""
	case ans.ID == req.ID:
		status = http.StatusOK
	}
	a.writeAnswer(w, r, status, ans)
}

// writeRefusal writes a refusal that was decided without the core. It has no id,
// because its verdict is about this attempt and not about earlier ones with the
// same id. After an unread body it closes the connection, so that net/http does not
// read the rest of the body first.
func (a *api) writeRefusal(w http.ResponseWriter, r *http.Request, err error) {
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		refusal = verdict.Refuse(verdict.CodeBadRequest, "%s", err)
	}
	ans := model.Refusal("", refusal)
	status := statusOf(ans)
	if refusal == errBodyTimeout {
		status = http.StatusRequestTimeout
	}
	if exchangeOf(r).bodyUnread {
		w.Header().Set("Connection", "close")
	}
	a.writeAnswer(w, r, status, ans)
}

// writeAnswer writes an answer with its Content-Length, so that the caller detects
// a truncated one.
func (a *api) writeAnswer(w http.ResponseWriter, r *http.Request, status int, ans model.Answer) {
	if ans.RetryAfter <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		ans.RetryAfter = defaultRetryAfter
	}
	body, err := encodeAnswer(document(ans))
	if err != nil {
		a.cfg.Logger.Error("failed to encode an answer", "id", ans.ID, "error", err)
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	h.Set(wire.HeaderInstance, string(a.cfg.InstanceID))
	if ans.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(units.CeilSeconds(ans.RetryAfter), 10))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if a.cfg.Status.Draining() {
		h.Set("Connection", "close")
	}
	recordAnswer(r, ans)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// document converts an answer to its JSON document. A body that is not valid JSON
// in UTF-8 is sent in base64.
func document(ans model.Answer) wire.Answer {
	doc := wire.Answer{
		ID:           ans.ID,
		Verdict:      ans.Verdict,
		Code:         ans.Code,
		Message:      ans.Message,
		RetryAfterMS: ceilMillis(ans.RetryAfter),
		WaitedMS:     ans.Waited.Milliseconds(),
		Worker:       ans.Worker,
		Tickets:      ans.Tickets,
		Version:      ans.Version,
	}
	switch {
	case len(ans.Body) == 0:
	case json.Valid(ans.Body) && utf8.Valid(ans.Body):
		doc.Answer = ans.Body
	default:
		doc.AnswerBase64 = ans.Body
	}
	return doc
}

func encodeAnswer(doc wire.Answer) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(doc); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func ceilMillis(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
