package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
	"pollenbend/internal/platform/wire"
)

// headerTimeout is the timeout for reading a request's header.
const headerTimeout = 10 * time.Second

// Serve runs a platform on listenAddr until ctx is done. It returns the base
// URL once the platform accepts connections.
func Serve(ctx context.Context, listenAddr string, cfg Config) (baseURL string, err error) {
	_, baseURL, err = Start(ctx, listenAddr, cfg)
	return baseURL, err
}

// Start is like Serve and also returns the platform. It sets the workers'
// addresses below the base URL.
func Start(ctx context.Context, listenAddr string, cfg Config) (*Platform, string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", listenAddr)
	if err != nil {
		return nil, "", errors.Wrap(err, "listen for the stand-in platform")
	}
	baseURL := "http://" + l.Addr().String()
	cfg.Workers = withAddrs(baseURL, cfg.Workers)
	p := New(cfg)
	server := &http.Server{
		Handler:           p.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ConnContext:       withConn,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(faultListener{Listener: l, owner: p.conns}) }()
	return p, baseURL, nil
}

func withAddrs(baseURL string, workers []model.Worker) []model.Worker {
	out := make([]model.Worker, len(workers))
	for i, w := range workers {
		w.Addr = baseURL + wire.PathWorkers + string(w.ID)
		out[i] = w
	}
	return out
}
