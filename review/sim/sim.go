// Command review-sim plays one case of the review: it starts instances of the product as
// processes, with stand-ins for the store, the workers and the clients on loopback addresses,
// and checks one rule by what the stand-ins have seen.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxPlay ends a play that hangs.
const maxPlay = 115 * time.Second

// sim is one play.
type sim struct {
	begun     time.Time
	trouble   bool
	root, dir string // of the repository; of the case
	tmp       string
	features  string
	env       []string
	fdLimit   int // of an instance; zero leaves it as it is
	memoryMB  int // at which the platform kills an instance; zero for no limit
	store     *store
	workers   []*worker
	instances []*instance

	mu       sync.Mutex
	record   *os.File
	key      string                 // of the client's calls
	starts   map[string][]time.Time // of runs, by task
	running  map[string]int         // runs at work, by job
	cpu      map[string]int64       // of a task, by job
	ends     map[string]map[string]int
	noted    map[string]map[string]int
	broken   []string
	quietRun bool // starts and ends are not recorded one by one
}

// instance is one process of the product.
type instance struct {
	sim      *sim
	name, ip string
	boot     string
	front    string
	client   *http.Client
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}

	overLimit int // how often it was killed for its memory
	ending    bool
}

// skip is the panic of a case that couldn't run.
type skip struct{ error }

func (s *sim) must(err error) {
	if err != nil {
		panic(skip{err})
	}
}

func (s *sim) need(ok bool, format string, args ...any) {
	if !ok {
		panic(skip{fmt.Errorf(format, args...)})
	}
}

// note writes a line to record.txt.
func (s *sim) note(who, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteLocked(who, format, args...)
}

func (s *sim) noteLocked(who, format string, args ...any) {
	fmt.Fprintf(s.record, "%8.3f %-10s %s\n", time.Since(s.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

// breaks records that a rule is broken.
func (s *sim) breaks(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
	s.noteLocked("RULE", "broken: "+format, args...)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (s *sim) runStarted(w *worker, r *taskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts[r.task] = append(s.starts[r.task], time.Now())
	s.running[jobOf(r.task)]++
	if !s.quietRun {
		s.noteLocked(w.id, "starts %s, run %d", r.task, r.run)
	}
}

func (s *sim) runGone(w *worker, r *taskRun, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[jobOf(r.task)]--
	count(s.ends, r.task, how)
	if !s.quietRun {
		s.noteLocked(w.id, "%s, run %d ends: %s", r.task, r.run, how)
	}
}

// endNoted records that an end is taken note of.
func (s *sim) endNoted(e runEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count(s.noted, e.task, e.how)
}

func count(in map[string]map[string]int, task, how string) {
	if in[task] == nil {
		in[task] = make(map[string]int)
	}
	in[task][how]++
}

// runsOf returns how many runs of a job are at work, and the starts of all its tasks.
func (s *sim) runsOf(job string) (running int, starts []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for task, at := range s.starts {
		if jobOf(task) == job {
			starts = append(starts, at...)
		}
	}
	sort.Slice(starts, func(a, b int) bool { return starts[a].Before(starts[b]) })
	return s.running[job], starts
}

// endsOf returns how often runs of a job's tasks ended in a way.
func (s *sim) endsOf(job, how string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for task, ends := range s.ends {
		if jobOf(task) == job {
			n += ends[how]
		}
	}
	return n
}

// cpuInUse returns the CPU of all runs at work, in thousandths of a core.
func (s *sim) cpuInUse() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := int64(0)
	for job, n := range s.running {
		used += int64(n) * s.cpu[job]
	}
	return used
}

// addWorkers starts workers of a service.
func (s *sim) addWorkers(count int, cpu int64, labels func(i int) []string) {
	for i := range count {
		w := &worker{sim: s, id: fmt.Sprintf("w%02d", i+1), service: "svc", labels: labels(i), cpu: cpu, mem: 65536}
		s.workers = append(s.workers, w)
		w.start()
	}
}

// route is a queue of the config.
type route struct {
	Name          string  `json:"name"`
	Host          string  `json:"host"`
	PathPrefix    string  `json:"pathPrefix"`
	TimeoutMS     int     `json:"timeoutMs"`
	LatencyTarget int     `json:"targetLatencyMs"`
	Priority      int     `json:"priority"`
	Service       string  `json:"service"`
	Attempts      int     `json:"attempts"`
	Stretch       float64 `json:"stretch"`
}

// configure writes a version of the config, with two tenants without a limit.
func (s *sim) configure(version int, routes ...route) {
	s.store.put("keyed.op", "config", mustJSON(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "svc", "healthPath": "/health", "rejectsOverload": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 30000},
		"tenants": []map[string]any{{"name": "t1", "apiKeys": []string{"key-1"}, "weight": 1000, "cap": map[string]any{}},
			{"name": "t2", "apiKeys": []string{"key-2"}, "weight": 1000, "cap": map[string]any{}}},
	}))
	s.note("operator", "config %d is acknowledged, %d routes", version, len(routes))
}

// addInstances writes the settings of instances and starts them.
func (s *sim) addInstances(count int) {
	net2 := os.Getpid()%250 + 1
	for i := range count {
		in := &instance{sim: s, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("127.77.%d.%d", net2, i+1)}
		port := freePorts(in.ip, 8)
		s.need(port > 0, "no free ports at %s", in.ip)
		in.front = fmt.Sprintf("%s:%d", in.ip, port)
		boot := map[string]any{
			"node": in.name, "role": "instance", "machineClass": "edge", "serves": []string{"edge"}, "ip": in.ip, "zone": "z1", "region": "r1",
			"zones":  map[string]string{"z1": "r1"},
			"listen": map[string]string{"front": in.front, "ready": fmt.Sprintf("%s:%d", in.ip, port+1), "control": fmt.Sprintf("%s:%d", in.ip, port+2)},
			"seeds":  []string{}, "bootstrap": true, "internalPortRange": []int{port + 3, port + 7},
			"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}, "dataDir": nil,
			"discovery": "platform", "entry": "vip", "heartbeatMs": 1500, "orders": "call", "advice": "127.0.0.1:9",
			"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{"stableWindowMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6.0, "configApplyMs": 2000, "holdMaxMs": 10000, "stopMs": 200, "gangMs": 3000,
				"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14.0, "status_s": 120.0, "farX": 2.0, "checkpointS": 1.0, "restoreMs": 600, "leaseMs": 3000},
			"platform": map[string]any{"address": s.store.serveFor(in.name), "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16, "appendMs": 3.0, "partitionMbS": 20.0,
				"readMbS": 80.0, "recordBytes": recordBytes, "callBytes": callBytes, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
			"cloud": map[string]any{},
		}
		in.boot = filepath.Join(s.tmp, in.name+".json")
		s.must(os.WriteFile(in.boot, []byte(mustJSON(boot)), 0o600))
		in.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 20 * time.Second}}
		s.instances = append(s.instances, in)
		in.start()
	}
}

// freePorts returns the first of count free consecutive ports at ip, or zero.
func freePorts(ip string, count int) int {
	for base := 21000 + os.Getpid()%700*10; base < 40000; base += count {
		free := true
		for p := base; p < base+count && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return base
		}
	}
	return 0
}

// start starts the process with the command of the deploy file.
func (in *instance) start() {
	s := in.sim
	command := exec.Command(filepath.Join(s.root, "target", "pollenbend"), "platform")
	if s.fdLimit > 0 { // the platform's limit of descriptors
		command = exec.Command("bash", "-c", fmt.Sprintf("ulimit -Sn %d; ulimit -Hn %d; exec target/pollenbend platform", s.fdLimit, s.fdLimit))
	}
	command.Dir = s.root
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.tmp, "LANG=C.UTF-8", "GOMAXPROCS=1", // a machine has one core
		"POLLENBEND_FEATURES=learned-runtimes,speed-placement,backfill,contention-admission,headroom", "POLLENBEND_DIRECT_WORKERS=200",
		"POLLENBEND_BOOT=" + in.boot}, s.env...)
	log, err := os.OpenFile(filepath.Join(s.tmp, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	s.must(err)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.must(command.Start())
	in.mu.Lock()
	in.process, in.exited = command, make(chan struct{})
	exited := in.exited
	in.mu.Unlock()
	go func() {
		err := command.Wait()
		s.note(in.name, "process ended: %v", err)
		_ = log.Close()
		close(exited)
	}()
	if s.memoryMB > 0 {
		go in.limitMemory(command.Process, exited)
	}
	s.note(in.name, "process started, front %s", in.front)
}

// limitMemory kills a process whose memory is over the limit, as the platform does, and starts it
// again after a short delay.
func (in *instance) limitMemory(process *os.Process, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if residentMB(process.Pid) <= in.sim.memoryMB {
			continue
		}
		in.mu.Lock()
		in.overLimit++
		in.mu.Unlock()
		in.sim.note(in.name, "is over %d MB and killed", in.sim.memoryMB)
		_ = process.Kill()
		<-exited
		time.Sleep(500 * time.Millisecond)
		in.mu.Lock()
		ending := in.ending
		in.mu.Unlock()
		if !ending {
			in.start()
		}
		return
	}
}

// residentMB returns the memory of a process.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	_, _ = fmt.Sscan(string(data), &size, &resident)
	return resident * os.Getpagesize() >> 20
}

func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		_ = in.process.Process.Signal(sig)
	}
	in.sim.note(in.name, "gets signal %v", sig)
}

// end kills the processes of the play.
func (s *sim) end() {
	for _, in := range s.instances {
		in.mu.Lock()
		in.ending = true
		process, exited := in.process, in.exited
		in.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		select {
		case <-exited:
		case <-time.After(3 * time.Second):
		}
	}
}

// leader returns the instance that last wrote to the store under a condition.
func (s *sim) leader() *instance {
	name := s.store.conditionalWriter()
	for _, in := range s.instances {
		if in.name == name {
			return in
		}
	}
	return nil
}

// followers returns the instances other than in.
func (s *sim) followers(in *instance) []*instance {
	var out []*instance
	for _, other := range s.instances {
		if other != in {
			out = append(out, other)
		}
	}
	return out
}

// reply is the answer to a client's call. status is zero if there was none in time.
type reply struct {
	status int
	body   string
}

const timeLimit = 3 * time.Second // of a client's call, in Deadline-Ms

// call makes a client's call at an instance. It waits no longer than limit.
func (in *instance) call(method, path, body string, limit time.Duration) reply {
	return in.callWith(in.client, method, path, body, limit)
}

func (in *instance) callWith(client *http.Client, method, path, body string, limit time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, strings.NewReader(body))
	in.sim.must(err)
	req.Host = "svc.example"
	req.Header.Set("Authorization", "Token "+in.sim.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	in.sim.note("client", "%s %s to %s", method, path, in.name)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		in.sim.note("client", "%s %s to %s: no answer after %d ms (%v)", method, path, in.name, time.Since(start).Milliseconds(), errors.Unwrap(err))
		return reply{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	in.sim.note("client", "%s %s to %s: %d %.200s after %d ms", method, path, in.name, resp.StatusCode, strings.TrimSpace(string(data)), time.Since(start).Milliseconds())
	return reply{resp.StatusCode, string(data)}
}

// state returns the state in the answer to a GET, or "".
func (r reply) state() string {
	var out struct {
		State string `json:"state"`
	}
	if r.status != http.StatusOK || json.Unmarshal([]byte(r.body), &out) != nil {
		return ""
	}
	return out.State
}

// step is a step of a submission.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemMB         int64  `json:"memMb,omitempty"`
	EstimateMS    int64  `json:"estimateMs"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	SavesProgress bool   `json:"savesProgress,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	MaxPerServer  int    `json:"maxPerServer,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
}

// submission returns the body of a submission.
func submission(spec string, steps ...step) string {
	return mustJSON(map[string]any{"spec": spec, "steps": steps})
}

// timedSubmission returns the body of one that runs once, now.
func timedSubmission(spec string, steps ...step) string {
	return mustJSON(map[string]any{"spec": spec, "steps": steps, "times": 1, "firstMs": time.Now().UnixMilli(), "intervalMs": 1000})
}

// submit hands a submission in, again at the next of instances after an answer that allows it,
// and returns whether it was accepted.
func (s *sim) submit(instances []*instance, path, body string) bool {
	id := path[strings.LastIndexByte(path, '/')+1:]
	var in struct {
		Steps []step `json:"steps"`
	}
	s.must(json.Unmarshal([]byte(body), &in))
	s.mu.Lock()
	s.cpu[id] = in.Steps[0].CPU
	s.mu.Unlock()
	for i := range 12 {
		if r := instances[i%len(instances)].call(http.MethodPost, path, body, timeLimit); r.status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// ready waits until all instances answer 200 to the readiness check and a submission is run.
func (s *sim) ready(path string) {
	s.need(s.submit(s.instances, path, submission("work=200", step{Count: 1, CPU: 1000, EstimateMS: 200})), "the cell doesn't accept a first submission")
	s.until(15*time.Second, "a first submission is completed", func() bool {
		return s.instances[0].call(http.MethodGet, path, "", timeLimit).state() == "completed"
	})
}

// until waits for a condition and gives the case up if it does not come about.
func (s *sim) until(limit time.Duration, what string, ok func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	panic(skip{fmt.Errorf("not within %v: %s", limit, what)})
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-sim CASE FOLDER")
		return 2
	}
	dir, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	s := &sim{begun: time.Now(), key: "key-1", trouble: os.Getenv("TROUBLE") != "0", dir: dir, root: filepath.Dir(filepath.Dir(dir)),
		starts: make(map[string][]time.Time), running: make(map[string]int), cpu: make(map[string]int64), ends: make(map[string]map[string]int), noted: make(map[string]map[string]int)}
	if s.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		fmt.Println(err)
		return 2
	}
	if s.tmp, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Println(err)
		return 2
	}
	s.store = newStore(s)
	done := make(chan int, 1)
	go func() {
		defer func() {
			switch cause := recover().(type) {
			case nil:
				done <- 0
			case skip:
				s.note("case", "couldn't run: %v", cause.error)
				fmt.Println("couldn't run:", cause.error)
				done <- 2
			default:
				panic(cause)
			}
		}()
		cases[os.Args[1]](s)
	}()
	select {
	case code = <-done:
	case <-time.After(maxPlay):
		s.note("case", "couldn't run: it took too long")
		code = 2
	}
	s.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.broken {
		fmt.Println("broken:", b)
	}
	if len(s.broken) > 0 {
		code = 1
	}
	s.noteLocked("case", "exit %d, trouble %v", code, s.trouble)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(s.tmp, keep)
	} else {
		_ = os.RemoveAll(s.tmp)
	}
	return code
}
