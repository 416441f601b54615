// Package client calls the HTTP API. It maps every way in which a call can fail
// to a verdict, repeats a call only under the same id or after a refusal that
// had no effect, and bounds the repeats by a budget.
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
	DefaultMaxAttempts    = 5
	DefaultAttemptTimeout = 65 * time.Second
)

// dialTimeout bounds the time to open a connection.
const dialTimeout = 3 * time.Second

// Config configures a Client.
type Config struct {
	// Servers are base URLs such as "http://10.0.0.1:8080". Attempts take them
	// in turn.
	Servers []string
	// Key is the caller's secret; empty for open queues.
	Key string
	// MaxAttempts bounds the attempts of one call.
	MaxAttempts int
	// AttemptTimeout bounds one attempt, so that a silent connection is given
	// up. A call with a timeout of its own uses that instead.
	AttemptTimeout time.Duration
	// HTTP is the transport; nil for one with its own connections.
	HTTP http.RoundTripper
}

// Client calls the API. It is safe for concurrent use.
type Client struct {
	cfg    Config
	http   *http.Client
	next   atomic.Uint64 // index of the next server
	budget budget
	sleep  sleeper
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
		budget: newBudget(),
		sleep:  sleepFor,
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

func (c *Client) server() string {
	n := c.next.Add(1) - 1
	return c.cfg.Servers[n%uint64(len(c.cfg.Servers))]
}

// Identity is the id under which a call or a job is known. At most one field is
// set. With neither, the client mints an idempotency key.
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

func (i Identity) set(h http.Header) {
	if i.Ticket != "" {
		h.Set(wire.HeaderTicket, i.Ticket)
		return
	}
	h.Set(wire.HeaderIdempotencyKey, i.IdempotencyKey)
}
