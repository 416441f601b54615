package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/examples"
	"pollenbend/internal/cli"
	"pollenbend/internal/client"
	"pollenbend/internal/declare"
	"pollenbend/internal/example"
	apiwire "pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/standin"
	"pollenbend/internal/verdict"
)

// commandEnv makes the test binary act as pollenbend, so that the processes under
// test are built with the race detector too.
const commandEnv = "POLLENBEND_E2E_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(commandEnv) != "" {
		os.Exit(runCommand())
	}
	os.Exit(m.Run())
}

// awaitTimeout limits how long await waits for another process. No verdict depends on
// it: if the condition doesn't become true, the test can't continue.
const awaitTimeout = 60 * time.Second

// cell is a cell of instances and stand-ins that run as separate processes.
type cell struct {
	t       testing.TB
	example example.Example
	dir     string
	url     string // address of the stand-ins
	procs   map[string]*exec.Cmd
	http    map[string]string // address by instance id
	record  bool              // whether instances record their events
}

// recorded is an option that makes the instances of a cell record their events.
func recorded(c *cell) { c.record = true }

func startCell(t testing.TB, name string, instances int, options ...func(*cell)) *cell {
	t.Helper()
	ex, err := examples.Load(name)
	require.NoError(t, err)
	base := freePorts(t, 1+2*instances)
	c := &cell{
		t: t, example: ex, dir: t.TempDir(), url: "http://" + loopback(base),
		procs: make(map[string]*exec.Cmd), http: make(map[string]string),
	}
	for _, o := range options {
		o(c)
	}
	c.start("standin", "standin", "--example", name, "--listen", loopback(base),
		"--base-port", fmt.Sprint(base+1), "--instances", fmt.Sprint(instances), "--settings-dir", c.dir)
	c.await("stand-ins", func() bool { return reachable(c.url + "/list") })
	for i := range instances {
		id := fmt.Sprintf("entry-%d", i+1)
		c.http[id] = "http://" + loopback(base+1+2*i)
		c.serve(id)
	}
	for id := range c.http {
		c.awaitReady(id)
	}
	return c
}

// serve starts the process of an instance.
func (c *cell) serve(id string) {
	args := []string{"serve", "--settings", filepath.Join(c.dir, id+".toml")}
	if c.record {
		args = append(args, "--record", c.tracePath(id))
	}
	c.start(id, args...)
}

func (c *cell) tracePath(id string) string { return filepath.Join(c.dir, id+".jsonl") }

// start starts a process that runs pollenbend with args. It is killed when the test
// ends.
func (c *cell) start(name string, args ...string) {
	c.t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), commandEnv+"=1")
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	require.NoError(c.t, cmd.Start())
	c.procs[name] = cmd
	c.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", name, tail(stderr.Bytes()))
		}
	})
}

func tail(b []byte) []byte {
	const keep = 4 << 10
	return b[max(0, len(b)-keep):]
}

func (c *cell) signal(name string, sig syscall.Signal) {
	c.t.Helper()
	require.NoError(c.t, c.procs[name].Process.Signal(sig))
}

// await waits until done returns true. It fails the test after awaitTimeout, with
// what in its message.
func (c *cell) await(what string, done func() bool) {
	c.t.Helper()
	deadline := time.NewTimer(awaitTimeout)
	defer deadline.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for !done() {
		select {
		case <-deadline.C:
			require.FailNow(c.t, "timed out waiting for "+what)
		case <-poll.C:
		}
	}
}

func (c *cell) awaitReady(id string) {
	c.t.Helper()
	c.await(id, func() bool { return reachable(c.http[id] + "/readyz") })
}

func (c *cell) ids() []string { return slices.Sorted(maps.Keys(c.http)) }

func reachable(url string) bool {
	res, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (c *cell) client(key string, ids ...string) *client.Client {
	c.t.Helper()
	var servers []string
	for id, url := range c.http {
		if len(ids) == 0 || slices.Contains(ids, id) {
			servers = append(servers, url)
		}
	}
	cl, err := client.New(client.Config{Servers: servers, Key: key})
	require.NoError(c.t, err)
	return cl
}

// apply applies the example's declarations and waits until all ready instances have
// the same configuration.
func (c *cell) apply() {
	c.t.Helper()
	change := declare.Diff(model.Declarations{}, c.example.Declarations)
	_, err := c.client(c.example.OperatorSecret()).Apply(context.Background(), change)
	require.NoError(c.t, err)
	c.awaitSameVersion(c.example.OperatorSecret())
}

// starts returns how often each task was started, according to the workers' history.
func (c *cell) starts() map[model.TaskID]int {
	c.t.Helper()
	counts := make(map[model.TaskID]int)
	for _, e := range c.history() {
		if e.Kind == standin.EventStart {
			counts[e.Task]++
		}
	}
	return counts
}

func (c *cell) history() []standin.Event {
	c.t.Helper()
	var all []standin.Event
	for from := 0; ; {
		res, err := http.Get(fmt.Sprintf("%s/history?from=%d", c.url, from))
		require.NoError(c.t, err)
		var page standin.HistoryPage
		err = json.NewDecoder(res.Body).Decode(&page)
		_ = res.Body.Close()
		require.NoError(c.t, err)
		if len(page.Events) == 0 {
			return all
		}
		all = append(all, page.Events...)
		from = page.Next
	}
}

// Ports in this range are below those that the system assigns to outgoing
// connections.
const (
	minPort = 20000
	maxPort = 32000
)

var nextPort = minPort + os.Getpid()%8000

// freePorts returns the first of n consecutive free ports.
func freePorts(t testing.TB, n int) int {
	t.Helper()
	for nextPort+n < maxPort {
		base := nextPort
		nextPort += n
		if allFree(base, n) {
			return base
		}
	}
	require.FailNow(t, "no free ports")
	return 0
}

func allFree(base, n int) bool {
	for port := base; port < base+n; port++ {
		l, err := net.Listen("tcp", loopback(port))
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", loopback(port))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func runCommand() int {
	ctx, stop := signalContext()
	defer stop()
	return cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

func TestRequestIsServedEndToEndByProcesses(t *testing.T) {
	c := startCell(t, "guild", 3)
	c.apply()
	desk := c.client(c.example.Secret("dublin-desk"))
	answer, err := desk.Call(context.Background(), apiwire.Call{
		Queue: "dublin", Service: "refill-prompt", Payload: json.RawMessage(`"refill due"`), Timeout: "20s",
	}, client.Identity{})
	require.NoError(t, err)
	require.Equal(t, verdict.Done, answer.Verdict)
	task := model.TaskIDOf("dublin-salons", answer.ID, 0)
	var echo struct {
		Echo []byte       `json:"echo"`
		Task model.TaskID `json:"task"`
	}
	require.NoError(t, json.Unmarshal(answer.Answer, &echo))
	require.Equal(t, `"refill due"`, string(echo.Echo))
	require.Equal(t, task, echo.Task)
	require.Equal(t, 1, c.starts()[task])

	_, err = c.client("wrong").Call(context.Background(), apiwire.Call{Queue: "dublin", Service: "refill-prompt"}, client.Identity{})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

// TestRepeatAfterKill guards against tasks that run again when a caller repeats a
// request after an instance was killed. Each repeat by id must return the first answer,
// and no task may start twice.
func TestRepeatAfterKill(t *testing.T) {
	const calls = 30
	c := startCell(t, "guild", 3)
	c.apply()
	desk := c.client(c.example.Secret("dublin-desk"))
	call := apiwire.Call{Queue: "dublin", Service: "refill-prompt", Payload: json.RawMessage(`"refill due"`), Timeout: "20s"}
	first := make(map[string]string)
	for i := range calls {
		id := fmt.Sprintf("refill-%d", i)
		answer, err := desk.Call(context.Background(), call, client.Identity{IdempotencyKey: id})
		require.NoError(t, err)
		first[id] = string(answer.Answer)
	}
	c.signal("entry-2", syscall.SIGKILL)
	remaining := c.client(c.example.Secret("dublin-desk"), "entry-1", "entry-3")
	for id, want := range first {
		c.await("an answer to "+id, func() bool {
			answer, err := remaining.Call(context.Background(), call, client.Identity{IdempotencyKey: id})
			if verdict.Of(err) == verdict.NotRun {
				return false
			}
			require.NoError(t, err)
			require.Equal(t, want, string(answer.Answer))
			return true
		})
	}
	starts := c.starts()
	require.Len(t, starts, calls)
	for task, n := range starts {
		require.Equal(t, 1, n, task)
	}
}

// TestDrainCutsOffNothing guards against requests that a planned stop aborts or repeats.
// It drains one instance after another under load: every request must be served exactly
// once.
func TestDrainCutsOffNothing(t *testing.T) {
	const callers = 8
	c := startCell(t, "guild", 3)
	c.apply()
	load := c.startLoad(callers, false)
	for _, id := range []string{"entry-1", "entry-3"} {
		before := load.served.Load()
		c.await("requests served", func() bool { return t.Failed() || load.served.Load() > before+100 })
		c.signal(id, syscall.SIGTERM)
		require.NoError(t, c.procs[id].Wait(), "exit of %s after its drain", id)
		if id == "entry-1" {
			c.serve(id)
			c.awaitReady(id)
		}
	}
	load.stop()
	starts := c.starts()
	require.Len(t, starts, int(load.served.Load()))
	for task, n := range starts {
		require.Equal(t, 1, n, task)
	}
}
