// Package client calls the HTTP API. It maps every failure of a call to a verdict
// and, within a budget, retries a call after a lost answer or after a refusal without
// effect. All attempts at a request, job or change carry the same id; other calls
// have none.
package client

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/httpapi/wire"
)

// Defaults for the zero values of Config.
const (
	DefaultMaxAttempts    = 5                // of one call, including the first
	DefaultAttemptTimeout = 65 * time.Second // exceeds the server's default request timeout of 60 s
)

// dialTimeout is the maximum time to open a connection.
const dialTimeout = 3 * time.Second

// Config holds the settings of a Client.
type Config struct {
	// Servers are base URLs such as "http://10.0.0.1:8080". Attempts use them
	// round-robin.
	Servers []string
	// Key is the caller's secret; empty for open queues.
	Key string
	// MaxAttempts is the maximum number of attempts of one call.
	MaxAttempts int
	// AttemptTimeout is the maximum duration of one attempt, so that a connection
	// that does not respond is closed. A call with a timeout of its own uses that
	// instead.
	AttemptTimeout time.Duration
	// HTTP is the transport; nil creates one with a connection pool of its own.
	HTTP http.RoundTripper
}

// Client calls the API. It is safe for concurrent use.
type Client struct {
	cfg        Config
	http       *http.Client
	nextServer atomic.Uint64 // counts attempts; selects the next server
	budget     retryBudget
	sleep      sleepFunc
}

// New returns a client for at least one server.
func New(cfg Config) (*Client, error) {
	if len(cfg.Servers) == 0 {
		return nil, errors.New("no servers given")
	}
	servers := make([]string, len(cfg.Servers))
	for i, server := range cfg.Servers {
		if !strings.Contains(server, "://") {
			server = "http://" + server
		}
		servers[i] = strings.TrimRight(server, "/")
	}
	cfg.Servers = servers
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.AttemptTimeout <= 0 {
		cfg.AttemptTimeout = DefaultAttemptTimeout
	}
	if cfg.HTTP == nil {
		cfg.HTTP = newTransport()
	}
	return &Client{
		cfg:    cfg,
		http:   &http.Client{Transport: cfg.HTTP, CheckRedirect: noRedirect},
		budget: newRetryBudget(),
		sleep:  sleep,
	}, nil
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// chooseServer returns the base URL for the next attempt.
func (c *Client) chooseServer() string {
	n := c.nextServer.Add(1) - 1
	return c.cfg.Servers[n%uint64(len(c.cfg.Servers))]
}

// Identity is the id of a call or a job. At most one field is set. If both are
// empty, the client generates an idempotency key.
type Identity struct {
	IdempotencyKey string
	Ticket         string
}

func (i Identity) id() string {
	if i.Ticket != "" {
		return i.Ticket
	}
	return i.IdempotencyKey
}

func (i Identity) setHeader(h http.Header) {
	if i.Ticket != "" {
		h.Set(wire.HeaderTicket, i.Ticket)
		return
	}
	h.Set(wire.HeaderIdempotencyKey, i.IdempotencyKey)
}
