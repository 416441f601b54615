// Package httpapi is the HTTP API of an instance. It parses HTTP requests into
// model.Request values, passes them to the core, and writes the answers.
// docs/API.md describes every route.
package httpapi

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/intake"
	"pollenbend/internal/metrics"
	"pollenbend/internal/model"
)

// Gateway passes requests to the core.
type Gateway interface {
	// Do returns the complete answer. When ctx ends first, it returns promptly
	// with the verdict as far as it is known.
	Do(ctx context.Context, r model.Request) model.Answer
}

// Status reports the readiness of the instance.
type Status interface {
	// Ready reports whether the instance accepts work, and the reason if it does
	// not.
	Ready() (ok bool, reason string)
	// Draining reports whether a graceful shutdown has begun.
	Draining() bool
}

// Defaults for the zero values of Config.
const (
	DefaultMaxBodyBytes   = 1 << 20 // bytes
	DefaultRequestTimeout = 60 * time.Second
)

// Config holds the settings and the dependencies of the API. Gateway and Status are
// required. Sizes and timeouts of zero get defaults, a nil Metrics an empty registry
// and a nil Logger discards its lines.
type Config struct {
	Gateway        Gateway
	Status         Status
	MaxBodyBytes   int64         // maximum bytes of one request's body
	Guard          *intake.Guard // bounds the memory held for callers; nil for no bound
	RequestTimeout time.Duration // default and maximum of a caller's timeout
	Metrics        gometrics.Registry
	Logger         *slog.Logger
	InstanceID     model.InstanceID
}

type api struct {
	cfg            Config
	mux            *http.ServeMux
	activeRequests atomic.Int64 // HTTP requests in progress
	decoders       intake.Decoders
}

// New returns the handler of all routes.
func New(cfg Config) http.Handler { return newHandler(cfg) }

func newHandler(cfg Config) *api {
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if cfg.RequestTimeout <= 0 {
		cfg.RequestTimeout = DefaultRequestTimeout
	}
	if cfg.Metrics == nil {
		cfg.Metrics = gometrics.NewRegistry()
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	a := &api{cfg: cfg, mux: http.NewServeMux()}
	for _, r := range Routes() {
		a.mux.HandleFunc(r.Pattern(), r.handle(a))
	}
	_ = cfg.Metrics.Register(metrics.Name("http_requests_active"), gometrics.NewFunctionalGauge(a.activeRequests.Load))
	if g := cfg.Guard; g != nil {
		held := func() int64 { bytes, _ := g.Used(); return bytes }
		_ = cfg.Metrics.Register(metrics.Name("http_body_bytes_held"), gometrics.NewFunctionalGauge(held))
	}
	return a
}
