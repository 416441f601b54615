package httpapi

import (
	"log/slog"
	"net/http"
	"time"
)

// Bounds of one HTTP connection.
const (
	DefaultReadTimeout   = 15 * time.Second // headers and body of one request
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 90 * time.Second // between requests
	DefaultMaxHeader     = 32 << 10         // bytes
)

// ServerConfig configures the HTTP server around the API. Zero values take the
// defaults.
type ServerConfig struct {
	Addr           string // TCP address, host:port
	ReadTimeout    time.Duration
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	RequestTimeout time.Duration // as in Config
	MaxHeader      int           // bytes
	Logger         *slog.Logger
}

// NewServer returns a server that bounds what slow callers hold.
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
		WriteTimeout:      read + request + answerGrace + writeTimeout,
		IdleTimeout:       orDefault(cfg.IdleTimeout, DefaultIdleTimeout),
		MaxHeaderBytes:    orDefault(cfg.MaxHeader, DefaultMaxHeader),
		ErrorLog:          slog.NewLogLogger(logger.Handler(), slog.LevelWarn),
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
