package httpapi

import (
	"context"
	"log/slog"
	"net/http"
	"path"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/metrics"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// exchange is the http.ResponseWriter of one HTTP request. It collects the values
// for the request's log line.
type exchange struct {
	http.ResponseWriter
	status       int
	bytesWritten int
	bodyUnread   bool          // the body was not read to its end
	decoderWait  time.Duration // for other large bodies to be decoded
	id           string
	verdict      verdict.Verdict
	code         verdict.Code
}

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	e.status = status
	e.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (e *exchange) Write(p []byte) (int, error) {
	if e.status == 0 {
		e.status = http.StatusOK
	}
	n, err := e.ResponseWriter.Write(p)
	e.bytesWritten += n
	return n, err
}

// Unwrap lets http.ResponseController reach the connection.
func (e *exchange) Unwrap() http.ResponseWriter { return e.ResponseWriter }

type exchangeKey struct{}

// exchangeOf returns the exchange that ServeHTTP created for r.
func exchangeOf(r *http.Request) *exchange {
	e, _ := r.Context().Value(exchangeKey{}).(*exchange)
	return e
}

// recordAnswer stores the values of an answer for the log line of r.
func recordAnswer(r *http.Request, ans model.Answer) {
	e := exchangeOf(r)
	e.id, e.verdict, e.code = ans.ID, ans.Verdict, ans.Code
}

// requestCount counts the HTTP requests of this process; its value identifies a
// request in the log.
var requestCount atomic.Uint64

// ServeHTTP implements http.Handler.
func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{ResponseWriter: w}
	r = r.WithContext(context.WithValue(r.Context(), exchangeKey{}, e))
	pattern := a.routePattern(r)
	started := time.Now()
	a.activeRequests.Add(1)
	defer a.finish(e, r, pattern, requestCount.Add(1), started)
	if pattern == "" {
		a.serveUnknown(e, r)
		return
	}
	a.mux.ServeHTTP(e, r)
}

// routePattern returns the pattern of the route that matches r, or an empty string
// if none does. A path that the mux would redirect to its clean form matches none.
func (a *api) routePattern(r *http.Request) string {
	if escaped := r.URL.EscapedPath(); path.Clean(escaped) != escaped {
		return ""
	}
	_, pattern := a.mux.Handler(r)
	return pattern
}

// serveUnknown answers requests that match no route.
func (a *api) serveUnknown(w http.ResponseWriter, r *http.Request) {
	allowed := a.allowedMethods(r)
	if len(allowed) == 0 {
		a.writeRefusal(w, r, verdict.Refuse(verdict.CodeNotFound, "no such path"))
		return
	}
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	ans := model.Refusal("", verdict.Refuse(verdict.CodeBadRequest, "method: want %s", strings.Join(allowed, " or ")))
	a.writeAnswer(w, r, http.StatusMethodNotAllowed, ans)
}

// allowedMethods returns the methods that the path of r supports.
func (a *api) allowedMethods(r *http.Request) []string {
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		candidate := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if a.routePattern(candidate) != "" {
			allowed = append(allowed, method)
		}
	}
	return allowed
}

// finish logs one HTTP request and records its metrics. After a panic in a handler
// that has not begun its answer, it answers that the request may have run. It
// propagates any other panic, including http.ErrAbortHandler.
func (a *api) finish(e *exchange, r *http.Request, pattern string, requestNumber uint64, started time.Time) {
	panicValue := recover()
	a.activeRequests.Add(-1)
	if panicValue != nil && panicValue != http.ErrAbortHandler && e.status == 0 {
		a.cfg.Logger.Error("handler panicked", "request", requestNumber, "route", pattern, "panic", panicValue, "stack", string(debug.Stack()))
		ans := model.Answer{Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt, Message: "internal error"}
		a.writeAnswer(e, r, http.StatusInternalServerError, ans)
		panicValue = nil
	}
	duration := time.Since(started)
	a.recordMetrics(pattern, e.status, duration)
	level := slog.LevelDebug
	if e.status >= http.StatusBadRequest {
		level = slog.LevelInfo
	}
	a.cfg.Logger.Log(r.Context(), level, "http request",
		"request", requestNumber, "method", r.Method, "route", pattern, "status", e.status, "bytes", e.bytesWritten,
		"id", e.id, "verdict", e.verdict.String(), "code", string(e.code), "took_ms", duration.Milliseconds())
	if panicValue != nil {
		panic(panicValue)
	}
}

// recordMetrics counts one HTTP request and records its duration.
func (a *api) recordMetrics(pattern string, status int, duration time.Duration) {
	routeLabel := metrics.Label{Name: "route", Value: pattern}
	statusLabel := metrics.Label{Name: "status", Value: strconv.Itoa(status)}
	gometrics.GetOrRegisterCounter(metrics.Name("http_requests_total", routeLabel, statusLabel), a.cfg.Metrics).Inc(1)
	gometrics.GetOrRegisterTimer(metrics.Name("http_request_seconds", routeLabel), a.cfg.Metrics).Update(duration)
}

// countAnswer counts an answer of the core by operation, verdict and code.
func (a *api) countAnswer(op model.Op, ans model.Answer) {
	name := metrics.Name("requests_total",
		metrics.Label{Name: "op", Value: string(op)},
		metrics.Label{Name: "verdict", Value: ans.Verdict.String()},
		metrics.Label{Name: "code", Value: string(ans.Code)})
	gometrics.GetOrRegisterCounter(name, a.cfg.Metrics).Inc(1)
}
