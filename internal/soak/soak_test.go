package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cell is a running cell of real processes with everything around it.
type cell struct {
	t         *testing.T
	rand      *rand.Rand
	seed      uint64
	binary    string
	dir       string
	store     *store
	fleet     *fleet
	instances []*instance
	stop      chan struct{}
	wait      sync.WaitGroup
}

// instance is one process of the program and its link to the store.
type instance struct {
	name    string
	ip      string
	boot    string
	mu      sync.Mutex
	process *os.Process
	over    bool
	link    *proxy
	log     *os.File
}

// submitted is a job as its client knows it.
type submitted struct {
	mu       sync.Mutex
	id       string
	width    int
	steps    int
	cpu      int64
	open     int  // attempts under way
	unknown  bool // an attempt had no certain outcome
	rejected int
	accepted bool
}

// refused reports whether every attempt so far was refused for certain.
func (s *submitted) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected > 0 && s.open == 0 && !s.unknown && !s.accepted
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// TestSoak runs SOAK_SEEDS cells (1) of SOAK_INSTANCES processes (5) for
// SOAK_SECONDS (6) each, from SOAK_FIRST (1) on.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "pollenbend")
	out, err := exec.Command("go", "build", "-o", binary, "pollenbend/cmd/pollenbend").CombinedOutput()
	require.NoError(t, err, string(out))
	first := envInt("SOAK_FIRST", 1)
	for seed := first; seed < first+envInt("SOAK_SEEDS", 1); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, binary, uint64(seed)) })
	}
	for _, seed := range regressions {
		t.Run(fmt.Sprintf("regression %d", seed), func(t *testing.T) { soak(t, binary, seed) })
	}
}

// regressions are the seeds that ever failed, with their causes.
var regressions = []uint64{}

func soak(t *testing.T, binary string, seed uint64) {
	c := &cell{t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 3)), binary: binary, dir: t.TempDir(), store: newStore(seed),
		fleet: newFleet(6), stop: make(chan struct{})}
	c.begin(envInt("SOAK_INSTANCES", 5))
	defer c.end()
	clients := 4
	for i := range clients {
		c.wait.Add(1)
		go c.client(i)
	}
	end := time.Now().Add(time.Duration(envInt("SOAK_SECONDS", 6)) * time.Second)
	for time.Now().Before(end) {
		c.strike()
		time.Sleep(time.Duration(100+c.rand.IntN(900)) * time.Millisecond)
	}
	close(c.stop)
	c.heal()
	c.wait.Wait()
	c.checkEnd()
}

// begin starts the stand-ins and the processes.
func (c *cell) begin(count int) {
	storeAddress := c.listen("127.0.0.1:0", c.store)
	var list []string
	for id := range c.fleet.workers {
		address := c.listen("127.0.0.1:0", c.fleet.serve(id))
		list = append(list, id)
		c.store.put("keyed.servers", id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","state":"ready","capacity":{"cpu":%d,"memMb":1000},"labels":["a","r1-1"],"born":1}`, address, workerCPU))
	}
	c.store.put("keyed.op", "config", `{"version":1,"routes":[{"name":"q","host":"soak.example","pathPrefix":"/q/","service":"s","attempts":3,"stretch":4,"targetLatencyMs":60000,"timeoutMs":3000}],
		"services":[{"name":"s"}],"limits":{"maxBodyBytes":100000},"tenants":[{"name":"t","apiKeys":["key"],"weight":1000,"cap":{}}]}`)
	_ = list
	port := c.freePort()
	for i := range count {
		c.instances = append(c.instances, c.newInstance(i, port, storeAddress))
	}
}

// listen serves h until the test ends.
func (c *cell) listen(address string, h http.Handler) string {
	l, err := net.Listen("tcp", address)
	require.NoError(c.t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // ends with the listener
	c.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

func (c *cell) freePort() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func (c *cell) newInstance(i, port int, storeAddress string) *instance {
	in := &instance{name: fmt.Sprintf("i%d", i), ip: fmt.Sprintf("127.0.%d.%d", 1+c.seed%200, i+1)}
	l, err := net.Listen("tcp", in.ip+":0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = l.Close() })
	in.link = newProxy(l, storeAddress)
	boot := map[string]any{
		"node": in.name, "zone": "z", "ip": in.ip,
		"listen":            map[string]string{"front": fmt.Sprintf("%s:%d", in.ip, port), "ready": fmt.Sprintf("%s:%d", in.ip, port+1)},
		"internalPortRange": []int{port + 2, port + 5}, "limits": map[string]any{"cpuShare": 0.4},
		"bounds":   map[string]any{"graceS": 2.0, "holdMaxMs": 4000, "stopMs": 200, "gangMs": 3000, "status_s": 120.0, "farX": 2.0},
		"platform": map[string]any{"address": l.Addr().String()}, "advice": "127.0.0.1:9",
	}
	data, err := json.Marshal(boot)
	require.NoError(c.t, err)
	in.boot = filepath.Join(c.dir, in.name+".json")
	require.NoError(c.t, os.WriteFile(in.boot, data, 0o600))
	in.log, err = os.Create(filepath.Join(c.dir, in.name+".log"))
	require.NoError(c.t, err)
	c.wait.Add(1)
	go c.keep(in)
	return in
}

// keep runs the process of in and starts it again whenever it ends.
func (c *cell) keep(in *instance) {
	defer c.wait.Done()
	for {
		in.mu.Lock()
		if in.over {
			in.mu.Unlock()
			return
		}
		command := exec.Command(c.binary, "platform")
		command.Env = append(os.Environ(), "POLLENBEND_BOOT="+in.boot, "GOMAXPROCS=1")
		command.Stdout, command.Stderr = in.log, in.log
		err := command.Start()
		in.process = command.Process
		in.mu.Unlock()
		if err != nil {
			c.t.Errorf("start %s: %v", in.name, err)
			return
		}
		_ = command.Wait() // it ends by the faults of the soak
		time.Sleep(100 * time.Millisecond)
	}
}

func (in *instance) signal(s os.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		_ = in.process.Signal(s) // it may have ended already
	}
}

// strike injects one fault. Faults overlap.
func (c *cell) strike() {
	in := c.instances[c.rand.IntN(len(c.instances))]
	later := func(f func()) { time.AfterFunc(time.Duration(200+c.rand.IntN(2500))*time.Millisecond, f) }
	switch c.rand.IntN(13) {
	case 0, 1:
		in.signal(syscall.SIGKILL)
	case 2:
		in.signal(syscall.SIGTERM)
	case 3:
		in.signal(syscall.SIGSTOP)
		later(func() { in.signal(syscall.SIGCONT) })
	case 4:
		in.signal(syscall.SIGHUP)
	case 5:
		for _, every := range c.instances {
			every.signal(syscall.SIGKILL)
		}
	case 6, 7:
		in.link.set([]string{"delay", "silent", "oneway"}[c.rand.IntN(3)])
		later(func() { in.link.set("") })
	case 8:
		in.link.reset()
	case 9, 10:
		c.store.setMode([]string{"refuse", "silent", "slow", "lose"}[c.rand.IntN(4)])
		later(func() { c.store.setMode("") })
	case 11:
		c.silence(fmt.Sprintf("w%02d", c.rand.IntN(len(c.fleet.workers))), true)
	case 12:
		for id := range c.fleet.workers {
			c.silence(id, false)
		}
	}
}

func (c *cell) silence(worker string, silent bool) {
	c.fleet.mu.Lock()
	c.fleet.workers[worker].silent = silent
	c.fleet.mu.Unlock()
}

func (c *cell) heal() {
	c.store.setMode("")
	for id := range c.fleet.workers {
		c.silence(id, false)
	}
	for _, in := range c.instances {
		in.link.set("")
		in.link.reset()
		in.signal(syscall.SIGCONT)
	}
	// Processes keep running until the jobs are over; clients wait for these.
	go func() {
		c.settle()
		for _, in := range c.instances {
			in.mu.Lock()
			in.over = true
			in.mu.Unlock()
			in.signal(syscall.SIGKILL)
		}
	}()
}

// settleTime is how long after the last fault every accepted job has to be over:
// leases, takeovers and a queue of a few seconds.
const settleTime = 40 * time.Second

// settle waits until every accepted job is shown as completed.
func (c *cell) settle() {
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if len(c.unfinished()) == 0 {
			return
		}
	}
	for _, id := range c.unfinished() {
		c.fleet.mu.Lock()
		c.fleet.fault("job %s was accepted and is not completed %v after the last fault", id, settleTime)
		c.fleet.mu.Unlock()
	}
}

func (c *cell) unfinished() []string {
	c.fleet.mu.Lock()
	var ids []string
	for id, j := range c.fleet.jobs {
		j.mu.Lock()
		if j.accepted {
			ids = append(ids, id)
		}
		j.mu.Unlock()
	}
	c.fleet.mu.Unlock()
	var open []string
	for _, id := range ids {
		if c.state(id) != "completed" {
			open = append(open, id)
		}
	}
	return open
}

// state asks an instance how a job stands, and checks that a job that is shown as
// completed is.
func (c *cell) state(id string) string {
	for _, in := range c.instances {
		status, body := c.call(http.DefaultClient, in, http.MethodGet, "/q/"+id, nil)
		if status != http.StatusOK {
			continue
		}
		var answer struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(body, &answer); err != nil {
			continue
		}
		if answer.State == "completed" {
			c.checkCompleted(id)
		}
		return answer.State
	}
	return ""
}

func (c *cell) checkCompleted(id string) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	j := c.fleet.jobs[id]
	for step := range j.steps {
		for i := range j.width {
			if task := fmt.Sprintf("%s.0.%d.%d", id, step, i); !c.fleet.done[task] {
				c.fleet.fault("%s is shown as completed, but %s is not done", id, task)
			}
		}
	}
}

// call sends one request to an instance. Status zero means that there was no answer.
func (c *cell) call(client *http.Client, in *instance, method, path string, body []byte) (int, []byte) {
	var boot struct {
		Listen struct{ Front string }
	}
	data, err := os.ReadFile(in.boot)
	if err != nil || json.Unmarshal(data, &boot) != nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+boot.Listen.Front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "soak.example"
	req.Header.Set("Authorization", "Token key")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // the answer has been read
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// client hands in jobs over connections that it keeps open.
func (c *cell) client(number int) {
	defer c.wait.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	random := rand.New(rand.NewPCG(c.seed, uint64(100+number)))
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(20+random.IntN(60)) * time.Millisecond):
		}
		j := &submitted{id: fmt.Sprintf("%08x%08x", number, n), width: 1 + random.IntN(4), steps: 1 + random.IntN(2), cpu: int64(500 + random.IntN(1500))}
		c.fleet.mu.Lock()
		c.fleet.jobs[j.id] = j
		c.fleet.mu.Unlock()
		c.submit(client, random, j)
	}
}

// submit hands j in, again and again while it is not accepted.
func (c *cell) submit(client *http.Client, random *rand.Rand, j *submitted) {
	steps := ""
	for i := range j.steps {
		after := ""
		if i > 0 {
			after = `,"dependsOn":[0]`
		}
		steps += fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":1,"estimateMs":%d%s},`, j.width, j.cpu, taskTime.Milliseconds(), after)
	}
	body := []byte(`{"spec":"p","steps":[` + steps[:len(steps)-1] + `]}`)
	for range 3 {
		in := c.instances[random.IntN(len(c.instances))]
		j.mu.Lock()
		j.open++
		j.mu.Unlock()
		status, _ := c.call(client, in, http.MethodPost, "/q/"+j.id, body)
		j.mu.Lock()
		j.open--
		switch status {
		case http.StatusOK:
			j.accepted = true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			j.rejected++
		default:
			j.unknown = true
		}
		accepted := j.accepted
		j.mu.Unlock()
		if accepted {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *cell) checkEnd() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	accepted := 0
	for _, j := range c.fleet.jobs {
		if j.accepted {
			accepted++
		}
	}
	c.t.Logf("seed %d: %d jobs, %d accepted, %d starts", c.seed, len(c.fleet.jobs), accepted, c.fleet.starts)
	for i, f := range c.fleet.faults {
		if i < 10 {
			c.t.Error(f)
		}
	}
	if c.t.Failed() {
		c.keepLogs()
	}
}

// keepLogs copies the logs of a failed seed to SOAK_LOGS, if that is set.
func (c *cell) keepLogs() {
	to := os.Getenv("SOAK_LOGS")
	if to == "" {
		return
	}
	for _, in := range c.instances {
		data, err := os.ReadFile(in.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(to, fmt.Sprintf("seed-%d-%s.log", c.seed, in.name)), data, 0o600)
		}
		if err != nil {
			c.t.Log(err)
		}
	}
}

// end makes sure that no process of this cell is left.
func (c *cell) end() {
	for _, in := range c.instances {
		in.mu.Lock()
		in.over = true
		in.mu.Unlock()
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		_ = in.log.Close() // the process that wrote to it has ended
	}
}
