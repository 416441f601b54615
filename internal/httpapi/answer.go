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

// defaultRetryAfter is advised with 429 and 503 when the core names no time.
const defaultRetryAfter = time.Second

// writeTimeout bounds the time that a caller takes to read its answer.
const writeTimeout = 15 * time.Second

// notRunStatus maps the code of a refusal to the HTTP status.
var notRunStatus = map[verdict.Code]int{
	verdict.CodeBadRequest:     http.StatusBadRequest,
	verdict.CodeUnauthorized:   http.StatusUnauthorized,
	verdict.CodeForbidden:      http.StatusForbidden,
	verdict.CodeNotFound:       http.StatusNotFound,
	verdict.CodeConflict:       http.StatusConflict,
	verdict.CodeCanceled:       http.StatusConflict,
	verdict.CodeAnswerTooOld:   http.StatusGone,
	verdict.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	verdict.CodeNeverFits:      http.StatusUnprocessableEntity,
	verdict.CodeOverloaded:     http.StatusTooManyRequests,
	verdict.CodeUnavailable:    http.StatusServiceUnavailable,
	verdict.CodeDraining:       http.StatusServiceUnavailable,
	verdict.CodeStaleAuthority: http.StatusServiceUnavailable,
	verdict.CodeDeadline:       http.StatusGatewayTimeout,
}

// statusOf maps an answer to the HTTP status.
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
	if a.Code == verdict.CodeAnswerTooOld {
		return http.StatusGone
	}
	return http.StatusGatewayTimeout
}

func doneStatus(code verdict.Code) int {
	switch code {
	case verdict.CodeTaskFailed:
		return http.StatusInternalServerError
	case verdict.CodeAnswerTooOld:
		return http.StatusGone
	}
	return http.StatusOK
}

// reads reports whether the operation asks about another request.
func reads(op model.Op) bool { return op == model.OpStatus || op == model.OpCancel }

// refusesRead reports whether the code of an answer to a read says that the read
// itself was refused, which tells nothing of the request that was asked about.
func refusesRead(code verdict.Code) bool {
	switch code {
	case verdict.CodeBadRequest, verdict.CodeUnauthorized, verdict.CodeForbidden, verdict.CodeOverloaded,
		verdict.CodeUnavailable, verdict.CodeDraining, verdict.CodeStaleAuthority:
		return true
	}
	return false
}

// answer writes the core's answer to req. The answer to a read has status 200
// however the request that it tells of ended.
func (a *api) answer(w http.ResponseWriter, r *http.Request, req model.Request, ans model.Answer) {
	a.count(req.Op, ans)
	status := statusOf(ans)
	switch {
	case !reads(req.Op) || ans.Verdict == verdict.Pending || ans.Code == verdict.CodeNotFound:
	case ans.Verdict == verdict.NotRun && refusesRead(ans.Code):
		ans.ID = ""
	case ans.ID == req.ID:
		status = http.StatusOK
	}
	a.write(w, r, status, ans)
}

// refuse writes a refusal that the HTTP side decided alone. It has no id: its
// verdict is about this attempt, not about earlier ones with the same id.
func (a *api) refuse(w http.ResponseWriter, r *http.Request, err error) {
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		refusal = verdict.Refuse(verdict.CodeBadRequest, "%s", err)
	}
	ans := model.Refusal("", refusal)
	status := statusOf(ans)
	if refusal == errSlowBody {
		status = http.StatusRequestTimeout
	}
	if exchangeOf(r).unread {
		w.Header().Set("Connection", "close")
	}
	a.write(w, r, status, ans)
}

// write writes an answer with its length, so that a cut one is noticed.
func (a *api) write(w http.ResponseWriter, r *http.Request, status int, ans model.Answer) {
	if ans.RetryAfter <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		ans.RetryAfter = defaultRetryAfter
	}
	body, err := encode(document(ans))
	if err != nil {
		a.cfg.Logger.Error("answer not encoded", "id", ans.ID, "error", err)
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
	record(r, ans)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// document turns an answer into its JSON form.
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

func encode(doc wire.Answer) ([]byte, error) {
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
