package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"

	"pollenbend/examples"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/settings"
	"pollenbend/internal/standin"
)

// standinOptions holds the flags of the standin command.
type standinOptions struct {
	listen    string
	example   string
	instances int
	basePort  int
	dir       string
}

func standinCommand() command {
	o := standinOptions{listen: "127.0.0.1:7400", example: "guild", basePort: 7410}
	sub := subcommand("standin", "Run stand-ins for the platform: log service, instance list and workers.")
	sub.String(&o.listen, "l", "listen", "address of the stand-ins")
	sub.String(&o.example, "e", "example", "example whose workers are run: guild or styrkeled")
	sub.Int(&o.instances, "n", "instances", "instances to list; the example's number by default")
	sub.Int(&o.basePort, "p", "base-port", "first port given to instances")
	sub.String(&o.dir, "d", "settings-dir", "folder to write the instances' settings files to")
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		if err := runStandin(ctx, o, out); err != nil {
			fmt.Fprintln(errOut, "standin:", err)
			return ExitUsage
		}
		return ExitDone
	}}
}

func runStandin(ctx context.Context, o standinOptions, out io.Writer) error {
	ex, err := examples.Load(o.example)
	if err != nil {
		return err
	}
	if o.instances <= 0 {
		o.instances = ex.Platform.Instances
	}
	ca, err := newCA()
	if err != nil {
		return err
	}
	url := "http://" + o.listen
	var listed []platform.Instance
	for i := range o.instances {
		s, err := instanceSettings(ca, ex.Platform, i, url)
		if err != nil {
			return err
		}
		s.Listen.HTTP = loopbackAddr(o.basePort + 2*i)
		s.Listen.Peer = loopbackAddr(o.basePort + 2*i + 1)
		listed = append(listed, listedInstance(s))
		if o.dir == "" {
			continue
		}
		if err := writeSettings(o.dir, s); err != nil {
			return err
		}
	}
	base, err := standin.Serve(ctx, o.listen, standin.Config{Workers: ex.Platform.Workers(), Instances: listed})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "stand-ins at %s: %d workers, %d instances listed\n", base, len(ex.Platform.Workers()), o.instances)
	<-ctx.Done()
	return nil
}

func loopbackAddr(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// listedInstance returns the entry of the instance list for the settings.
func listedInstance(s settings.Settings) platform.Instance {
	return platform.Instance{
		ID: model.InstanceID(s.Instance.ID), HTTPAddr: s.Listen.HTTP, PeerAddr: s.Listen.Peer,
		Location: model.Location{Region: s.Instance.Region, Zone: s.Instance.Zone, Rack: s.Instance.Rack},
	}
}

// writeSettings writes an instance's settings file. Only its owner can read it: it
// contains the instance's private key.
func writeSettings(dir string, s settings.Settings) error {
	data, err := s.Marshal()
	if err != nil {
		return err
	}
	path := filepath.Join(dir, s.Instance.ID+".toml")
	return errors.Wrap(os.WriteFile(path, data, 0o600), "write settings")
}
