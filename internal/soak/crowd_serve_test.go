package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/examples"
	"pollenbend/internal/client"
	"pollenbend/internal/declare"
	"pollenbend/internal/example"
	"pollenbend/internal/httpapi"
	apiwire "pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
)

// servedLimits are the limits of a process of the older cell, whose settings have none: those of
// the smallest machines.
var servedLimits = processLimits{memoryKB: maxMemoryKB, files: 4_100}

// servedClients is the size of a crowd at the older cell, whose settings allow no smaller one.
const servedClients = 5 * crowdClients

// servedKinds are the crowds at the HTTP API of the older cell.
func servedKinds() []crowdKind {
	const size = httpapi.DefaultMaxBodyBytes
	lines := oddLines(httpapi.DefaultMaxHeaderBytes - 256)
	begin := []byte("POST /v1/requests HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Bearer pb_wrong\r\n")
	length := []byte(lengthLine(size))
	body := []byte(`{"queue":"dublin","service":"refill-prompt",` + strings.Repeat(" ", size-100))
	required := listed(size, `{"queue":"dublin","service":"refill-prompt","require":[`, `{},`, `]}`)
	open := func(parts ...[]byte) func(v *visit) {
		return func(v *visit) {
			if v.send(parts...) {
				v.hold()
			}
		}
	}
	return []crowdKind{
		{name: "header-lines-then-body", clients: servedClients, do: open(begin, lines, length, blank)},
		{name: "endless-header", clients: servedClients, do: open(begin, lines)},
		{name: "stopped-body", clients: servedClients, do: open(begin, length, blank, body)},
		{name: "many-requirements", clients: crowdClients, do: func(v *visit) {
			v.repeat(begin, []byte(lengthLine(len(required))), blank, required)
		}},
	}
}

// TestCrowdServed lets crowds meet the HTTP API of an instance of the older cell.
func TestCrowdServed(t *testing.T) {
	binary := buildProgram(t)
	for _, k := range servedKinds() {
		t.Run(k.name, func(t *testing.T) {
			s := startServed(t, binary)
			w := watchProcess(s.in, servedLimits)
			k.crowd(s.in, time.Now().Add(crowdDuration))
			s.call(t)
			w.end()
			t.Logf("%s: %v", s.in.name, w)
			w.check(t)
		})
	}
}

// served is an instance of the older cell with its stand-ins.
type served struct {
	in      *instance
	example example.Example
}

// startServed starts stand-ins and one instance and declares the example guild there.
func startServed(t *testing.T, binary string) *served {
	const name = "entry-1"
	c := newCell(t, binary, crowdSeed, 0)
	ex, err := examples.Load("guild")
	require.NoError(t, err)
	platform, base := c.freePort(), c.freePort()
	c.run("standin", "--example", "guild", "--instances", "1", "--listen", fmt.Sprintf("127.0.0.1:%d", platform), "--base-port", fmt.Sprint(base), "--settings-dir", c.dir)
	path := filepath.Join(c.dir, name+".toml")
	var settings []byte
	require.Eventually(t, func() bool {
		settings, err = os.ReadFile(path)
		return err == nil && len(settings) > 0
	}, recoveryTimeout, returnDelay)
	ip := fmt.Sprintf("127.0.%d.1", 1+crowdSeed)
	in := &instance{name: name, ip: ip, front: fmt.Sprintf("%s:%d", ip, base)}
	settings = []byte(strings.Replace(string(settings), fmt.Sprintf("127.0.0.1:%d", base), in.front, 1))
	require.NoError(t, os.WriteFile(path, settings, 0o600))
	in.process = c.run("serve", "--settings", path)
	s := &served{in: in, example: ex}
	require.Eventually(t, func() bool {
		_, err := s.client(t, ex.OperatorSecret()).Apply(context.Background(), declare.Diff(model.Declarations{}, ex.Declarations))
		return err == nil
	}, recoveryTimeout, returnDelay)
	s.call(t)
	return s
}

// run starts the program, which is killed when the test ends.
func (c *cell) run(args ...string) *os.Process {
	command := exec.Command(c.binary, args...)
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	require.NoError(c.t, command.Start())
	c.t.Cleanup(func() {
		_ = command.Process.Kill() // it may have ended
		_ = command.Wait()
	})
	return command.Process
}

func (s *served) client(t *testing.T, key string) *client.Client {
	cl, err := client.New(client.Config{Servers: []string{"http://" + s.in.front}, Key: key})
	require.NoError(t, err)
	return cl
}

// call checks that an ordinary request is served within recoveryTimeout.
func (s *served) call(t *testing.T) {
	call := apiwire.Call{Queue: "dublin", Service: "refill-prompt", Payload: json.RawMessage(`"refill due"`), Timeout: "20s"}
	require.Eventually(t, func() bool {
		_, err := s.client(t, s.example.Secret("dublin-desk")).Call(context.Background(), call, client.Identity{})
		return err == nil
	}, recoveryTimeout, returnDelay)
}
