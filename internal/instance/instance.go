// Package instance runs one instance of the scheduler from its settings: the node,
// its connections to the platform and its HTTP server.
package instance

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	gometrics "github.com/rcrowley/go-metrics"

	"pollenbend/internal/event"
	"pollenbend/internal/httpapi"
	"pollenbend/internal/intake"
	"pollenbend/internal/model"
	"pollenbend/internal/node"
	"pollenbend/internal/platform"
	"pollenbend/internal/platform/httpclient"
	"pollenbend/internal/settings"
	"pollenbend/internal/transport"
)

// Instance is a running instance.
type Instance struct {
	node      *node.Node
	server    *http.Server
	guard     *intake.Guard
	info      platform.Instance
	logger    *slog.Logger
	failed    chan error
	traceFile *os.File // event trace, or nil
}

const (
	// drainTimeout is the maximum duration of a drain.
	drainTimeout = 30 * time.Second
	// readinessGracePeriod is how long a draining instance still accepts requests,
	// so that the load balancer sees /readyz fail before connections are refused.
	readinessGracePeriod = 2 * time.Second
	// httpCloseTimeout is the maximum wait for open HTTP requests after a drain.
	httpCloseTimeout = 5 * time.Second
)

// Start starts an instance. Its listen addresses may have port 0; Info returns the
// addresses in use.
func Start(s settings.Settings, logger *slog.Logger) (*Instance, error) {
	identity, err := loadIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	traceFile, err := openTraceFile(s.Record.File)
	if err != nil {
		return nil, err
	}
	listener, err := intake.Listen(context.Background(), s.Listen.HTTP)
	if err != nil {
		closeTraceFile(traceFile)
		return nil, errors.Wrapf(err, "listen on %q", s.Listen.HTTP)
	}
	logger = logger.With("instance", s.Instance.ID)
	registry := gometrics.NewRegistry()
	self := instanceInfo(s)
	config := node.Config{
		Self: self, Timing: eventTiming(s), Listen: s.Listen.Peer, Identity: identity,
		Log: httpclient.NewLog(s.Platform.LogURL), Stream: s.Platform.Stream,
		List: httpclient.NewInstanceList(s.Platform.ListURL), Workers: httpclient.NewWorkers(),
		Logger: logger, Metrics: registry,
	}
	if traceFile != nil {
		config.Record = traceFile
	}
	n, err := node.Start(config)
	if err != nil {
		_ = listener.Close()
		closeTraceFile(traceFile)
		return nil, err
	}
	i := &Instance{node: n, info: self, logger: logger, failed: make(chan error, 1), traceFile: traceFile}
	i.info.HTTPAddr, i.info.PeerAddr = listener.Addr().String(), n.PeerAddr()
	i.guard = httpapi.NewGuard(registry)
	i.server = httpapi.NewServer(
		httpapi.ServerConfig{RequestTimeout: s.Limits.RequestTimeout.Duration, Logger: logger},
		httpapi.New(httpapi.Config{
			Gateway: n, Status: n, MaxBodyBytes: s.Limits.MaxBody.Bytes,
			RequestTimeout: s.Limits.RequestTimeout.Duration,
			Metrics:        registry, Logger: logger, InstanceID: self.ID, Guard: i.guard,
		}))
	go i.serve(listener)
	logger.Info("instance started", "http", i.info.HTTPAddr, "peer", i.info.PeerAddr)
	return i, nil
}

func (i *Instance) serve(l net.Listener) {
	if err := i.guard.Serve(i.server, l, httpapi.DefaultReadTimeout); !errors.Is(err, http.ErrServerClosed) {
		i.failed <- err
	}
}

// Info returns the instance's description with the addresses in use.
func (i *Instance) Info() platform.Instance { return i.info }

// Failed returns a channel that receives the error with which the HTTP server
// failed.
func (i *Instance) Failed() <-chan error { return i.failed }

// DrainRequested returns a channel that receives a value when an operator has
// requested a graceful shutdown.
func (i *Instance) DrainRequested() <-chan struct{} { return i.node.DrainRequested() }

// Ready reports whether the instance accepts work, and the reason if it does not.
func (i *Instance) Ready() (bool, string) { return i.node.Ready() }

// Shutdown drains the instance, closes its HTTP server and stops its node.
func (i *Instance) Shutdown() {
	readinessTimer := time.NewTimer(readinessGracePeriod)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	i.node.Drain(ctx)
	<-readinessTimer.C
	i.node.Drain(ctx) // finishes requests accepted since the first drain
	cancel()
	ctx, cancel = context.WithTimeout(context.Background(), httpCloseTimeout)
	defer cancel()
	if err := i.server.Shutdown(ctx); err != nil {
		i.logger.Warn("failed to close the HTTP server", "error", err)
	}
	i.node.Stop()
	closeTraceFile(i.traceFile)
	i.logger.Info("instance stopped")
}

// Kill stops the instance immediately, without a drain.
func (i *Instance) Kill() {
	_ = i.server.Close()
	i.node.Stop()
	closeTraceFile(i.traceFile)
}

func instanceInfo(s settings.Settings) platform.Instance {
	return platform.Instance{
		ID:          model.InstanceID(s.Instance.ID),
		Incarnation: model.Incarnation(time.Now().UnixNano()),
		HTTPAddr:    s.Listen.HTTP, PeerAddr: s.Listen.Peer,
		Location: model.Location{Region: s.Instance.Region, Zone: s.Instance.Zone, Rack: s.Instance.Rack},
	}
}

func eventTiming(s settings.Settings) event.Timing {
	return event.Timing{
		Heartbeat:       s.Timing.Heartbeat.Duration,
		DeadAfter:       s.Timing.DeadAfter.Duration,
		WorkerLease:     s.Timing.WorkerLease.Duration,
		TaskLease:       s.Timing.TaskLease.Duration,
		ConfigFreshness: s.Timing.ConfigFreshness.Duration,
		Retention:       s.Limits.Retention.Duration,
		RequestTimeout:  s.Limits.RequestTimeout.Duration,
	}
}

func loadIdentity(t settings.TLS) (transport.Identity, error) {
	if t.CAPEM != "" {
		return transport.Identity{CAPEM: []byte(t.CAPEM), CertPEM: []byte(t.CertPEM), KeyPEM: []byte(t.KeyPEM)}, nil
	}
	var id transport.Identity
	for path, target := range map[string]*[]byte{t.CA: &id.CAPEM, t.Cert: &id.CertPEM, t.Key: &id.KeyPEM} {
		data, err := os.ReadFile(path)
		if err != nil {
			return id, errors.Wrap(err, "read TLS file")
		}
		*target = data
	}
	return id, nil
}
