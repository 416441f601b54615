package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/examples"
	"pollenbend/internal/client"
	"pollenbend/internal/declare"
	"pollenbend/internal/example"
	"pollenbend/internal/instance"
	"pollenbend/internal/model"
	"pollenbend/internal/settings"
	"pollenbend/internal/standin"
	"pollenbend/internal/transport"
)

const (
	devInstances    = 3
	devReadyTimeout = 30 * time.Second
	devPollInterval = 50 * time.Millisecond
)

func devCommand() command {
	var name string
	var verbose bool
	sub := subcommand("dev", "Run the stand-ins and three instances in one process on loopback.")
	sub.String(&name, "e", "example", "apply this example's declarations, send its requests and end: guild or styrkeled")
	sub.Bool(&verbose, "v", "verbose", "write log lines to standard error")
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		logger := slog.New(slog.DiscardHandler)
		if verbose {
			logger = newLogger(errOut, slog.LevelInfo)
		}
		code, err := runDev(ctx, name, out, logger)
		if err != nil {
			fmt.Fprintln(errOut, "dev:", err)
		}
		return code
	}}
}

// devCell is a complete cell in one process: the stand-ins for the platform and
// all instances.
type devCell struct {
	example   example.Example
	platform  *standin.Platform
	instances []*instance.Instance
}

func runDev(ctx context.Context, name string, out io.Writer, logger *slog.Logger) (int, error) {
	exampleName := name
	if exampleName == "" {
		exampleName = examples.Names()[0]
	}
	ex, err := examples.Load(exampleName)
	if err != nil {
		return ExitUsage, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	cell, err := startCell(ctx, ex, logger)
	defer cell.shutdown()
	if err != nil {
		return ExitNotRun, err
	}
	fmt.Fprintf(out, "%d workers, %d instances:\n", len(ex.Platform.Workers()), len(cell.instances))
	for _, i := range cell.instances {
		fmt.Fprintf(out, "  %s  http://%s\n", i.Info().ID, i.Info().HTTPAddr)
	}
	if err := cell.waitReady(ctx); err != nil {
		return ExitNotRun, err
	}
	version, err := cell.apply(ctx)
	if err != nil {
		return ExitNotRun, err
	}
	if err := cell.waitVersion(ctx, version); err != nil {
		return ExitNotRun, err
	}
	fmt.Fprintf(out, "declarations of %q applied, version %d\n", ex.Name, version)
	if name == "" {
		fmt.Fprintln(out, "running until interrupted")
		<-ctx.Done()
		return ExitDone, nil
	}
	return cell.runExample(ctx, out)
}

func startCell(ctx context.Context, ex example.Example, logger *slog.Logger) (*devCell, error) {
	cell := &devCell{example: ex}
	p, url, err := standin.Start(ctx, "127.0.0.1:0", standin.Config{Workers: ex.Platform.Workers()})
	if err != nil {
		return cell, err
	}
	cell.platform = p
	ca, err := newCA()
	if err != nil {
		return cell, err
	}
	for i := range devInstances {
		s, err := instanceSettings(ca, ex.Platform, i, url)
		if err != nil {
			return cell, err
		}
		s.Timing.DeadAfter.Duration = devDeadAfter
		s.Timing.Heartbeat.Duration = devHeartbeat
		s.Listen.HTTP, s.Listen.Peer = "127.0.0.1:0", "127.0.0.1:0"
		inst, err := instance.Start(s, logger)
		if err != nil {
			return cell, err
		}
		cell.instances = append(cell.instances, inst)
		p.List.Do(func(now time.Time, c *standin.ListCore) { c.PutInstance(now, inst.Info()) })
	}
	return cell, nil
}

// Timing of the dev command's instances, shorter than the defaults so that the cell
// is ready quickly.
const (
	devHeartbeat = 200 * time.Millisecond
	devDeadAfter = time.Second
)

func newCA() (*transport.DevCA, error) { return transport.NewDevCA(rand.Reader) }

// instanceSettings returns the settings of instance i, counted from 0, of an
// example.
func instanceSettings(ca *transport.DevCA, p example.Platform, i int, url string) (settings.Settings, error) {
	s := settings.Default()
	zone := p.Zones[i%len(p.Zones)]
	s.Instance = settings.Instance{
		ID: fmt.Sprintf("entry-%d", i+1), Region: p.Region, Zone: zone, Rack: fmt.Sprintf("%s-entry", zone),
	}
	s.Platform.LogURL, s.Platform.ListURL = url, url
	identity, err := ca.Issue(model.InstanceID(s.Instance.ID))
	if err != nil {
		return s, err
	}
	s.TLS = settings.TLS{
		CAPEM: string(identity.CAPEM), CertPEM: string(identity.CertPEM), KeyPEM: string(identity.KeyPEM),
	}
	return s, nil
}

func (c *devCell) shutdown() {
	for _, i := range c.instances {
		i.Kill()
	}
}

func (c *devCell) waitReady(ctx context.Context) error {
	return c.waitAll(ctx, func(i *instance.Instance) (bool, string) { return i.Ready() })
}

// waitVersion waits until every instance has the configuration of that version or a
// later one.
func (c *devCell) waitVersion(ctx context.Context, version uint64) error {
	return c.waitAll(ctx, func(i *instance.Instance) (bool, string) {
		cl, err := client.New(client.Config{Servers: []string{i.Info().HTTPAddr}, Key: c.example.OperatorSecret()})
		if err != nil {
			return false, err.Error()
		}
		answer, err := cl.Config(ctx)
		if err != nil {
			return false, err.Error()
		}
		return answer.Version >= version, fmt.Sprintf("has version %d", answer.Version)
	})
}

// waitAll polls until check returns true for every instance, at most
// devReadyTimeout.
func (c *devCell) waitAll(ctx context.Context, check func(*instance.Instance) (ok bool, state string)) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	ticker := time.NewTicker(devPollInterval)
	defer ticker.Stop()
	for {
		notReady := ""
		for _, i := range c.instances {
			if ok, state := check(i); !ok {
				notReady = fmt.Sprintf("%s: %s", i.Info().ID, state)
			}
		}
		if notReady == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("not ready in %s: %s", devReadyTimeout, notReady)
		case <-ticker.C:
		}
	}
}

func (c *devCell) client(key string) (*client.Client, error) {
	var servers []string
	for _, i := range c.instances {
		servers = append(servers, i.Info().HTTPAddr)
	}
	return client.New(client.Config{Servers: servers, Key: key})
}

func (c *devCell) apply(ctx context.Context) (uint64, error) {
	cl, err := c.client(c.example.OperatorSecret())
	if err != nil {
		return 0, err
	}
	answer, err := cl.Apply(ctx, declare.Diff(model.Declarations{}, c.example.Declarations))
	if err != nil {
		return 0, errors.Wrap(err, "apply declarations")
	}
	return answer.Version, nil
}
