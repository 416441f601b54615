package httpapi

import (
	"log/slog"
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/intake"
	"pollenbend/internal/metrics"
)

// maxHeldBytes is the maximum memory that an instance holds for callers, in bytes.
const maxHeldBytes = 32 << 20

// NewGuard returns the budget of the memory that callers make an instance hold. It counts in
// r what is refused because of it.
func NewGuard(r gometrics.Registry) *intake.Guard {
	counters := make(map[intake.Cause]gometrics.Counter)
	for _, c := range intake.Causes() {
		counters[c] = gometrics.NewRegisteredCounter(metrics.Name("http_intake_refused_total", metrics.Label{Name: "cause", Value: string(c)}), r)
	}
	return intake.New(intake.Limits{Bytes: maxHeldBytes}, func(c intake.Cause) { counters[c].Inc(1) })
}

// Defaults for the zero values of ServerConfig.
const (
	DefaultReadTimeout    = 15 * time.Second // for the headers and the body of one request
	DefaultHeaderTimeout  = 5 * time.Second  // for the headers alone, within the read timeout
	DefaultIdleTimeout    = 90 * time.Second // between two requests of a connection
	DefaultMaxHeaderBytes = 32 << 10         // bytes of the request headers
)

// ServerConfig holds the settings of the HTTP server. Zero values mean the
// defaults.
type ServerConfig struct {
	Addr           string // TCP address, host:port
	ReadTimeout    time.Duration
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	RequestTimeout time.Duration // as in Config
	MaxHeaderBytes int           // bytes
	Logger         *slog.Logger
}

// NewServer returns an HTTP server for the handler. Its timeouts and its header
// limit bound the time and memory that a slow caller can occupy. net/http starts the
// write timeout when the headers have been read, so it also covers reading the body
// and waiting for the core's answer.
func NewServer(cfg ServerConfig, handler http.Handler) *http.Server {
	read := orDefault(cfg.ReadTimeout, DefaultReadTimeout)
	request := orDefault(cfg.RequestTimeout, DefaultRequestTimeout)
	logger := cfg.Logger
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	return &http.Server{
		Addr:              cfg.Addr,
		Handler:           handler,
		ReadTimeout:       read,
		ReadHeaderTimeout: min(read, orDefault(cfg.HeaderTimeout, DefaultHeaderTimeout)),
		WriteTimeout:      read + request + answerMargin + writeTimeout,
		IdleTimeout:       orDefault(cfg.IdleTimeout, DefaultIdleTimeout),
		MaxHeaderBytes:    orDefault(cfg.MaxHeaderBytes, DefaultMaxHeaderBytes),
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelWarn),
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
