// Package httpapi is the HTTP side of an instance. It turns HTTP requests into
// model.Request values, hands them to the core, and writes the answers.
// docs/API.md describes every route.
package httpapi

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/metrics"
	"pollenbend/internal/model"
)

// Gateway carries requests to the core.
type Gateway interface {
	// Do returns the whole answer. It returns soon after ctx ends, with the
	// verdict as far as it is known then.
	Do(ctx context.Context, r model.Request) model.Answer
}

// Status tells how the instance is.
type Status interface {
	// Ready reports whether the instance takes work, and if not, why.
	Ready() (ok bool, reason string)
	// Draining reports whether a planned stop has begun.
	Draining() bool
}

// Defaults for the zero values of Config.
const (
	DefaultMaxBody        = 1 << 20  // bytes
	DefaultMaxHeld        = 64 << 20 // bytes
	DefaultRequestTimeout = 60 * time.Second
)

// Config configures the API.
type Config struct {
	Gateway        Gateway
	Status         Status
	MaxBody        int64         // bytes of a request's body
	MaxHeld        int64         // bytes of all bodies held at once
	RequestTimeout time.Duration // upper bound of what a caller may ask to wait
	Metrics        gometrics.Registry
	Logger         *slog.Logger
	InstanceID     model.InstanceID
}

type api struct {
	cfg    Config
	mux    *http.ServeMux
	held   atomic.Int64 // bytes of bodies that wait for an answer
	active atomic.Int64 // HTTP requests under way
}

// New returns the handler of all routes.
func New(cfg Config) http.Handler {
	if cfg.MaxBody <= 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	if cfg.MaxHeld <= 0 {
		cfg.MaxHeld = DefaultMaxHeld
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
	_ = cfg.Metrics.Register(metrics.Name("http_requests_active"), gometrics.NewFunctionalGauge(a.active.Load))
	_ = cfg.Metrics.Register(metrics.Name("http_body_bytes_held"), gometrics.NewFunctionalGauge(a.held.Load))
	return a
}
