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

// exchange gathers what the log line of one HTTP request says.
type exchange struct {
	http.ResponseWriter
	status  int
	bytes   int
	held    int64 // bytes of the body that count as held
	unread  bool  // a part of the body was not read
	id      string
	verdict verdict.Verdict
	code    verdict.Code
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
	e.bytes += n
	return n, err
}

// Unwrap lets http.ResponseController reach the connection.
func (e *exchange) Unwrap() http.ResponseWriter { return e.ResponseWriter }

type exchangeKey struct{}

// exchangeOf returns the exchange that ServeHTTP made for r.
func exchangeOf(r *http.Request) *exchange {
	e, _ := r.Context().Value(exchangeKey{}).(*exchange)
	return e
}

// record keeps an answer for the log line of r.
func record(r *http.Request, ans model.Answer) {
	e := exchangeOf(r)
	e.id, e.verdict, e.code = ans.ID, ans.Verdict, ans.Code
}

// serial numbers the HTTP requests of this process in its log.
var serial atomic.Uint64

// ServeHTTP implements http.Handler.
func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{ResponseWriter: w}
	r = r.WithContext(context.WithValue(r.Context(), exchangeKey{}, e))
	pattern := a.pattern(r)
	started := time.Now()
	a.active.Add(1)
	defer a.finish(e, r, pattern, serial.Add(1), started)
	if pattern == "" {
		a.serveUnknown(e, r)
		return
	}
	a.mux.ServeHTTP(e, r)
}

// pattern returns the route of r, empty when there is none. A path that the mux
// would redirect to its clean form has none.
func (a *api) pattern(r *http.Request) string {
	if escaped := r.URL.EscapedPath(); path.Clean(escaped) != escaped {
		return ""
	}
	_, pattern := a.mux.Handler(r)
	return pattern
}

// serveUnknown answers requests that match no route.
func (a *api) serveUnknown(w http.ResponseWriter, r *http.Request) {
	allowed := a.methods(r)
	if len(allowed) == 0 {
		a.refuse(w, r, verdict.Refuse(verdict.CodeNotFound, "no such path"))
		return
	}
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	ans := model.Refusal("", verdict.Refuse(verdict.CodeBadRequest, "method: want %s", strings.Join(allowed, " or ")))
	a.write(w, r, http.StatusMethodNotAllowed, ans)
}

// methods returns the methods that the path of r is served with.
func (a *api) methods(r *http.Request) []string {
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		probe := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if a.pattern(probe) != "" {
			allowed = append(allowed, method)
		}
	}
	return allowed
}

// finish logs and counts one HTTP request. After a panic in a handler it answers
// that the request may have run.
func (a *api) finish(e *exchange, r *http.Request, pattern string, number uint64, started time.Time) {
	failure := recover()
	a.held.Add(-e.held)
	a.active.Add(-1)
	if failure != nil && failure != http.ErrAbortHandler && e.status == 0 {
		a.cfg.Logger.Error("handler panicked", "request", number, "route", pattern, "panic", failure, "stack", string(debug.Stack()))
		ans := model.Answer{Verdict: verdict.MayHaveRun, Code: verdict.CodeInDoubt, Message: "internal error"}
		a.write(e, r, http.StatusInternalServerError, ans)
		failure = nil
	}
	took := time.Since(started)
	a.observe(pattern, e.status, took)
	level := slog.LevelDebug
	if e.status >= http.StatusBadRequest {
		level = slog.LevelInfo
	}
	a.cfg.Logger.Log(r.Context(), level, "http request",
		"request", number, "method", r.Method, "route", pattern, "status", e.status, "bytes", e.bytes,
		"id", e.id, "verdict", e.verdict.String(), "code", string(e.code), "took_ms", took.Milliseconds())
	if failure != nil {
		panic(failure)
	}
}

func (a *api) observe(pattern string, status int, took time.Duration) {
	route := metrics.Label{Name: "route", Value: pattern}
	code := metrics.Label{Name: "status", Value: strconv.Itoa(status)}
	gometrics.GetOrRegisterCounter(metrics.Name("http_requests_total", route, code), a.cfg.Metrics).Inc(1)
	gometrics.GetOrRegisterTimer(metrics.Name("http_request_seconds", route), a.cfg.Metrics).Update(took)
}

// count counts the core's answers by operation, verdict and code.
func (a *api) count(op model.Op, ans model.Answer) {
	name := metrics.Name("requests_total",
		metrics.Label{Name: "op", Value: string(op)},
		metrics.Label{Name: "verdict", Value: ans.Verdict.String()},
		metrics.Label{Name: "code", Value: string(ans.Code)})
	gometrics.GetOrRegisterCounter(name, a.cfg.Metrics).Inc(1)
}
