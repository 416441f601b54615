package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cell is a small deployment: the stand-ins, and instances of the program as processes of their own.
type cell struct {
	store     *store
	record    *record
	gangSize  map[string]int // tasks of the gang, by job
	dir       string
	binary    string
	maxLease  time.Duration
	memoryMB  int64
	instances []*instance
	mu        sync.Mutex
	workers   []*worker
	gangs     map[string]*gangRun // by step and run
	group     sync.WaitGroup
}

// instance is a machine of the system with one process of the program.
type instance struct {
	c        *cell
	name     string
	front    string
	ready    string
	boot     string
	log      *os.File
	mu       sync.Mutex
	process  *os.Process
	killed   bool // the process was ended by a signal of this test
	closed   bool // no further process is started
	starts   int
	ownEnds  int // processes that ended by themselves
	overruns int // processes that were killed for their memory
}

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
	ends  map[string]int // ends of each kind, by task and kind
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) runStarted(w *worker, started *taskRun, checkpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("worker %s starts run %d of %s, checkpoint %q", w.id, started.number, started.task, checkpoint)
	r.ends[started.task+" started"]++
}

func (r *record) runEnded(w *worker, ended *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("worker %s lists run %d of %s as %s", w.id, ended.number, ended.task, how)
	r.ends[ended.task+" "+how]++
}

// count returns how many runs of a task ended in a way, or started.
func (r *record) count(task, how string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[task+" "+how]
}

const key = "key-of-team"

// newCell starts the stand-ins and the instances.
func newCell(out io.Writer, binary string, instances int) (*cell, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	c := &cell{store: newStore(), dir: dir, binary: binary, maxLease: 10 * time.Second, memoryMB: 284,
		gangSize: make(map[string]int), gangs: make(map[string]*gangRun),
		record: &record{start: time.Now(), out: out, ends: make(map[string]int)}}
	storeAddress, err := serve("127.0.0.1:0", c.store)
	if err != nil {
		return nil, err
	}
	c.putConfig(1, key)
	port, err := freePorts()
	if err != nil {
		return nil, err
	}
	for i := range instances {
		if err := c.addInstance(i, port, storeAddress); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// putConfig writes the config as the operator does.
func (c *cell) putConfig(version int, keys ...string) {
	config := map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "q", "host": "q.example", "pathPrefix": "/q/", "service": "s", "priority": 1, "attempts": 4, "stretch": 2.2, "targetLatencyMs": 1000, "timeoutMs": 3000}},
		"services": []any{map[string]any{"name": "s"}},
		"tenants":  []any{map[string]any{"name": "t", "apiKeys": keys, "weight": 10}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	}
	data, _ := json.Marshal(config)
	c.store.put("keyed.op", "config", string(data))
}

// serve serves h at address until the process ends.
func serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // the process ends before it does
	return l.Addr().String(), nil
}

// freePorts returns the first of some ports that are free at the addresses of instances.
func freePorts() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (c *cell) addInstance(i, port int, storeAddress string) error {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%200, i+1)
	address := func(offset int) string { return fmt.Sprintf("%s:%d", ip, port+offset) }
	in := &instance{c: c, name: fmt.Sprintf("edge-z-%d", i+1), front: address(0), ready: address(1), boot: filepath.Join(c.dir, fmt.Sprintf("boot-%d.json", i))}
	settings := map[string]any{
		"node": in.name, "zone": "z", "ip": ip, "listen": map[string]string{"front": in.front, "ready": in.ready}, "internalPortRange": []int{port + 2, port + 9},
		"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": c.memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"heartbeatMs": 1500, "orders": "call", "advice": "127.0.0.1:9",
		"bounds": map[string]any{"graceS": 6.0, "holdMaxMs": c.maxLease.Milliseconds(), "stopMs": 200, "gangMs": 3000, "status_s": 120.0, "farX": 2.0},
		"platform": map[string]any{"address": storeAddress, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16, "appendMs": 3.0,
			"recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(in.boot, data, 0o600); err != nil {
		return err
	}
	if in.log, err = os.Create(filepath.Join(c.dir, in.name+".log")); err != nil {
		return err
	}
	c.instances = append(c.instances, in)
	c.group.Add(1)
	go in.supervise()
	return nil
}

// supervise runs the process of the machine and starts it again whenever it ends.
func (in *instance) supervise() {
	defer in.c.group.Done()
	for {
		in.mu.Lock()
		if in.closed {
			in.mu.Unlock()
			return
		}
		command := exec.Command(in.c.binary, "platform") // as in deploy/system.toml
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "POLLENBEND_BOOT=" + in.boot, "GOMAXPROCS=1",
			"POLLENBEND_FEATURES=learned-runtimes,speed-placement,backfill,contention-admission,headroom", "POLLENBEND_DIRECT_WORKERS=200"}
		command.Stdout, command.Stderr = in.log, in.log
		err := command.Start()
		in.process, in.killed = command.Process, false
		in.starts++
		in.mu.Unlock()
		if err != nil {
			in.c.record.note("%s cannot be started: %v", in.name, err)
			return
		}
		ended := make(chan struct{})
		go in.watchMemory(command.Process.Pid, ended)
		err = command.Wait()
		close(ended)
		in.mu.Lock()
		if !in.killed && !in.closed {
			in.ownEnds++
			in.c.record.note("the process of %s ended by itself: %v", in.name, err)
		}
		in.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// watchMemory kills the process if it exceeds memoryMb, as the platform does.
func (in *instance) watchMemory(pid int, ended chan struct{}) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ended:
			return
		case <-t.C:
		}
		if mb := residentMB(pid); mb > in.c.memoryMB {
			in.c.record.note("the process of %s has %d MB of memory, limit %d MB, and is killed", in.name, mb, in.c.memoryMB)
			in.mu.Lock()
			in.overruns++
			in.mu.Unlock()
			in.signal(syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the anonymous resident memory of a process in MB.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb >> 10
		}
	}
	return 0
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		in.killed = in.killed || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = in.process.Signal(s) // it may have ended
	}
}

// close ends all processes.
func (c *cell) close() {
	for _, in := range c.instances {
		in.mu.Lock()
		in.closed = true
		in.mu.Unlock()
		in.signal(syscall.SIGCONT)
		in.signal(syscall.SIGKILL)
	}
	c.group.Wait()
	_ = os.RemoveAll(c.dir)
}

// waitReady waits until all instances are ready.
func (c *cell) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, in := range c.instances {
		for {
			r, err := http.Get("http://" + in.ready + "/-/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// call sends a call of a client, which waits for 3 s, and returns the status, or 0 without an answer.
func (c *cell) call(in *instance, method, id, key string, body any) (int, map[string]any) {
	return c.callWithin(3*time.Second, in, method, id, key, body)
}

func (c *cell) callWithin(limit time.Duration, in *instance, method, id, key string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, "http://"+in.front+"/q/"+id, reader)
	if err != nil {
		return 0, nil
	}
	r.Host = "q.example"
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		c.record.note("%s %s at %s: no answer", method, id, in.name)
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	var out map[string]any
	_ = json.NewDecoder(answer.Body).Decode(&out) // an answer may have no body
	c.record.note("%s %s at %s: %d %v", method, id, in.name, answer.StatusCode, out)
	return answer.StatusCode, out
}

// submit hands a job in as a client does: up to five attempts, each at another instance. It reports whether the job
// was accepted.
func (c *cell) submit(id string, body any) bool {
	for attempt := range 5 {
		status, _ := c.call(c.instances[attempt%len(c.instances)], http.MethodPost, id, key, body)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state asks for the state of a job, at one instance after the other until one answers 200 or 410.
func (c *cell) state(id string) string {
	for _, in := range c.instances {
		status, out := c.call(in, http.MethodGet, id, key, nil)
		if status == http.StatusOK {
			s, _ := out["state"].(string)
			return s
		}
		if status == http.StatusGone {
			return "unknown"
		}
	}
	return "no answer"
}
