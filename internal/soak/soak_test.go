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

// cell is a running cell of real processes with the stand-ins that it uses.
type cell struct {
	t         *testing.T
	rng       *rand.Rand
	seed      uint64
	binary    string
	dir       string
	store     *store
	fleet     *fleet
	instances []*instance
	stop      chan struct{} // closed when the clients must stop
	group     sync.WaitGroup
}

// instance is one process of the program, with the proxy between it and the store.
type instance struct {
	name       string
	ip         string
	bootPath   string // file with the boot settings
	mu         sync.Mutex
	process    *os.Process
	stopped    bool // whether the supervisor stops restarting it
	storeProxy *proxy
	log        *os.File
}

// submittedJob is a job and what its client knows of it.
type submittedJob struct {
	mu           sync.Mutex
	id           string
	width        int
	steps        int
	cpu          int64
	openAttempts int  // attempts that have no outcome yet
	unknown      bool // whether the outcome of an attempt is not known
	refusals     int  // attempts that were certainly refused
	accepted     bool
}

// refused reports whether every attempt so far was certainly refused.
func (s *submittedJob) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals > 0 && s.openAttempts == 0 && !s.unknown && !s.accepted
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestSoak runs a cell of real processes under random faults, once for each seed. It
// fails if a task runs twice or after a refusal, a worker is overcommitted, or an
// accepted job does not complete after the faults end. Environment variables, with
// their defaults: SOAK_FIRST (1), the first seed; SOAK_SEEDS (1), the number of
// seeds; SOAK_INSTANCES (5); SOAK_SECONDS (6), the duration of the faults.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "pollenbend")
	out, err := exec.Command("go", "build", "-o", binary, "pollenbend/cmd/pollenbend").CombinedOutput()
	require.NoError(t, err, string(out))
	first := envInt("SOAK_FIRST", 1)
	for seed := first; seed < first+envInt("SOAK_SEEDS", 1); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, binary, uint64(seed)) })
	}
	for _, seed := range regressions {
		t.Run(fmt.Sprintf("regression %d", seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

// regressions are the seeds that have failed, with their causes.
var regressions = []uint64{}

func runSeed(t *testing.T, binary string, seed uint64) {
	c := &cell{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 3)), binary: binary, dir: t.TempDir(), store: newStore(seed),
		fleet: newFleet(6), stop: make(chan struct{})}
	c.start(envInt("SOAK_INSTANCES", 5))
	defer c.killAll()
	clients := 4
	for i := range clients {
		c.group.Add(1)
		go c.client(i)
	}
	end := time.Now().Add(time.Duration(envInt("SOAK_SECONDS", 6)) * time.Second)
	for time.Now().Before(end) {
		c.injectFault()
		time.Sleep(time.Duration(100+c.rng.IntN(900)) * time.Millisecond)
	}
	close(c.stop)
	c.endFaults()
	c.group.Wait()
	c.reportViolations()
}

// start starts the stand-ins and count instances.
func (c *cell) start(count int) {
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
	go func() { _ = server.Serve(l) }() // returns when the listener is closed
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
	in.storeProxy = newProxy(l, storeAddress)
	boot := map[string]any{
		"node": in.name, "zone": "z", "ip": in.ip,
		"listen":            map[string]string{"front": fmt.Sprintf("%s:%d", in.ip, port), "ready": fmt.Sprintf("%s:%d", in.ip, port+1)},
		"internalPortRange": []int{port + 2, port + 5}, "limits": map[string]any{"cpuShare": 0.4},
		"bounds":   map[string]any{"graceS": 2.0, "holdMaxMs": 4000, "stopMs": 200, "gangMs": 3000, "status_s": 120.0, "farX": 2.0},
		"platform": map[string]any{"address": l.Addr().String()}, "advice": "127.0.0.1:9",
	}
	data, err := json.Marshal(boot)
	require.NoError(c.t, err)
	in.bootPath = filepath.Join(c.dir, in.name+".json")
	require.NoError(c.t, os.WriteFile(in.bootPath, data, 0o600))
	in.log, err = os.Create(filepath.Join(c.dir, in.name+".log"))
	require.NoError(c.t, err)
	c.group.Add(1)
	go c.supervise(in)
	return in
}

// supervise runs the process of in and restarts it whenever it ends.
func (c *cell) supervise(in *instance) {
	defer c.group.Done()
	for {
		in.mu.Lock()
		if in.stopped {
			in.mu.Unlock()
			return
		}
		command := exec.Command(c.binary, "platform")
		command.Env = append(os.Environ(), "POLLENBEND_BOOT="+in.bootPath, "GOMAXPROCS=1")
		command.Stdout, command.Stderr = in.log, in.log
		err := command.Start()
		in.process = command.Process
		in.mu.Unlock()
		if err != nil {
			c.t.Errorf("start %s: %v", in.name, err)
			return
		}
		_ = command.Wait() // injected faults end it
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

// injectFault injects one random fault. Faults may overlap.
func (c *cell) injectFault() {
	in := c.instances[c.rng.IntN(len(c.instances))]
	afterDelay := func(f func()) { time.AfterFunc(time.Duration(200+c.rng.IntN(2500))*time.Millisecond, f) }
	switch c.rng.IntN(13) {
	case 0, 1:
		in.signal(syscall.SIGKILL)
	case 2:
		in.signal(syscall.SIGTERM)
	case 3:
		in.signal(syscall.SIGSTOP)
		afterDelay(func() { in.signal(syscall.SIGCONT) })
	case 4:
		in.signal(syscall.SIGHUP)
	case 5:
		for _, each := range c.instances {
			each.signal(syscall.SIGKILL)
		}
	case 6, 7:
		in.storeProxy.setMode([]string{"delay", "drop", "drop-answers"}[c.rng.IntN(3)])
		afterDelay(func() { in.storeProxy.setMode("") })
	case 8:
		in.storeProxy.reset()
	case 9, 10:
		c.store.setMode([]string{"refuse", "hang", "slow", "lose"}[c.rng.IntN(4)])
		afterDelay(func() { c.store.setMode("") })
	case 11:
		c.setHanging(fmt.Sprintf("w%02d", c.rng.IntN(len(c.fleet.workers))), true)
	case 12:
		for id := range c.fleet.workers {
			c.setHanging(id, false)
		}
	}
}

func (c *cell) setHanging(worker string, hanging bool) {
	c.fleet.mu.Lock()
	c.fleet.workers[worker].hanging = hanging
	c.fleet.mu.Unlock()
}

func (c *cell) endFaults() {
	c.store.setMode("")
	for id := range c.fleet.workers {
		c.setHanging(id, false)
	}
	for _, in := range c.instances {
		in.storeProxy.setMode("")
		in.storeProxy.reset()
		in.signal(syscall.SIGCONT)
	}
	// Instances run until all accepted jobs have completed: clients finish their last
	// submissions there, and the states of jobs are read from there.
	go func() {
		c.awaitCompletion()
		for _, in := range c.instances {
			in.mu.Lock()
			in.stopped = true
			in.mu.Unlock()
			in.signal(syscall.SIGKILL)
		}
	}()
}

// completionTimeout is the time after the last fault within which every accepted job
// must complete. It covers expiring leases, takeovers and a queue of a few seconds.
const completionTimeout = 40 * time.Second

// awaitCompletion waits until instances report every accepted job as completed.
func (c *cell) awaitCompletion() {
	for end := time.Now().Add(completionTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if len(c.unfinished()) == 0 {
			return
		}
	}
	for _, id := range c.unfinished() {
		c.fleet.mu.Lock()
		c.fleet.recordViolation("job %s was accepted, but is not completed %v after the last fault", id, completionTimeout)
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

// state returns the state of a job as the first instance that answers reports it.
// It checks that all tasks of a job that is reported as completed are done.
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
				c.fleet.recordViolation("job %s is reported as completed, but task %s is not done", id, task)
			}
		}
	}
}

// call sends one request to an instance. A status of zero means that no answer came.
func (c *cell) call(client *http.Client, in *instance, method, path string, body []byte) (int, []byte) {
	var boot struct {
		Listen struct{ Front string }
	}
	data, err := os.ReadFile(in.bootPath)
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
	defer func() { _ = resp.Body.Close() }() // the body has been read
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// client submits jobs over persistent connections until c.stop is closed.
func (c *cell) client(number int) {
	defer c.group.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	rng := rand.New(rand.NewPCG(c.seed, uint64(100+number)))
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		j := &submittedJob{id: fmt.Sprintf("%08x%08x", number, n), width: 1 + rng.IntN(4), steps: 1 + rng.IntN(2), cpu: int64(500 + rng.IntN(1500))}
		c.fleet.mu.Lock()
		c.fleet.jobs[j.id] = j
		c.fleet.mu.Unlock()
		c.submit(client, rng, j)
	}
}

// submit submits j, with up to three attempts until it is accepted.
func (c *cell) submit(client *http.Client, rng *rand.Rand, j *submittedJob) {
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
		in := c.instances[rng.IntN(len(c.instances))]
		j.mu.Lock()
		j.openAttempts++
		j.mu.Unlock()
		status, _ := c.call(client, in, http.MethodPost, "/q/"+j.id, body)
		j.mu.Lock()
		j.openAttempts--
		switch status {
		case http.StatusOK:
			j.accepted = true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			j.refusals++
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

// reportViolations logs a summary and fails the test for the recorded violations, of
// which it reports at most 10.
func (c *cell) reportViolations() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	accepted := 0
	for _, j := range c.fleet.jobs {
		if j.accepted {
			accepted++
		}
	}
	c.t.Logf("seed %d: %d jobs, %d accepted, %d starts", c.seed, len(c.fleet.jobs), accepted, c.fleet.starts)
	for i, v := range c.fleet.violations {
		if i < 10 {
			c.t.Error(v)
		}
	}
	if c.t.Failed() {
		c.copyLogs()
	}
}

// copyLogs copies the logs of a failed seed to the directory SOAK_LOGS, if it is set.
func (c *cell) copyLogs() {
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

// killAll ends all processes of the cell, also those that are stopped by a signal.
func (c *cell) killAll() {
	for _, in := range c.instances {
		in.mu.Lock()
		in.stopped = true
		in.mu.Unlock()
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
		_ = in.log.Close() // the process that wrote to it has ended
	}
}
