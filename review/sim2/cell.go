package main

import (
	"bytes"
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
	"strings"
	"sync"
	"syscall"
	"time"
)

// The words of the configuration that the operator writes.
const (
	serviceName = "sender"
	queueName   = "r-batch"
	host        = "batch.example"
	prefix      = "/batch/"
	apiKey      = "6x73d3zji9n73hh2b9wu"
	holdMaxMS   = 10000
	memoryMB    = 284
)

// cell is the program's instances, each a process that is started again when it ends.
type cell struct {
	dir       string
	rec       *recorder
	store     string // address
	instances []*instance

	mu     sync.Mutex
	ending bool
	ends   int // processes that ended by themselves or were killed for their memory
	wait   sync.WaitGroup
}

type instance struct {
	name  string
	front string
	boot  string
	pid   int
}

// firstPort and lastPort bound the ports of the instances. They are below those that the kernel gives to
// outgoing connections, one of which could take the port of a process that starts again.
const (
	firstPort       = 12_000
	lastPort        = 30_000
	portsOfInstance = 5
)

// freePorts returns a port of the loopback interface from which count ports are free.
func freePorts(count int) (int, error) {
	for range 200 {
		port, free := firstPort+rand.IntN(lastPort-firstPort), true
		for i := port; free && i < port+count; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", i))
			if free = err == nil; free {
				_ = l.Close() // it only found the port
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", count)
}

// startCell starts count instances with the command of the deploy file.
func startCell(dir string, rec *recorder, storeAddress string, count int) (*cell, error) {
	c := &cell{dir: dir, rec: rec, store: storeAddress}
	base, err := freePorts(count * portsOfInstance)
	if err != nil {
		return nil, err
	}
	for i := range count {
		port := base + i*portsOfInstance
		in := &instance{name: fmt.Sprintf("edge-z1-%d", i+1), front: fmt.Sprintf("127.0.0.1:%d", port), boot: filepath.Join(dir, fmt.Sprintf("boot-%d.json", i+1))}
		boot := map[string]any{
			"node": in.name, "role": "instance", "machineClass": "edge", "serves": []string{"edge"}, "ip": "127.0.0.1", "zone": "z1", "region": "r",
			"zones": map[string]string{"z1": "r"}, "listen": map[string]string{"front": in.front, "ready": fmt.Sprintf("127.0.0.1:%d", port+1)},
			"internalPortRange": []int{port + 2, port + 4}, "seeds": []string{}, "bootstrap": true, "tolerated": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1500,
			"contracts":      []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "platform"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{"stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
				"configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoveryS": 12, "holdMaxMs": holdMaxMS, "stopMs": 200, "gangMs": 3000,
				"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "farX": 2, "checkpointS": 1, "restoreMs": 600, "noticeMs": 4500},
			"orders": "call", "advice": "127.0.0.1:1",
			"platform": map[string]any{"address": storeAddress, "form": "log", "writesPerS": 800, "readsPerS": 2000, "parts": 16, "appendMs": 3.0,
				"partitionMbS": 20.0, "readMbS": 80.0, "recordBytes": recordBytes, "callBytes": callBytes, "keep_s": keepS, "partMb": 200, "ttlMinMs": 1000},
		}
		data, err := json.Marshal(boot)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(in.boot, data, 0o600); err != nil {
			return nil, err
		}
		c.instances = append(c.instances, in)
	}
	for _, in := range c.instances {
		c.wait.Add(1)
		go c.supervise(in)
	}
	return c, nil
}

// deployEnv returns the variables that the deploy file gives to the role.
func deployEnv() []string {
	return []string{"POLLENBEND_FEATURES=learned-runtimes,speed-placement,backfill,contention-admission,headroom", "POLLENBEND_DIRECT_WORKERS=200"}
}

// supervise keeps the process of an instance running, as the platform does.
func (c *cell) supervise(in *instance) {
	defer c.wait.Done()
	log, err := os.Create(filepath.Join(c.dir, in.name+".log"))
	if err != nil {
		c.rec.line("no log for %s: %v", in.name, err)
		return
	}
	defer func() { _ = log.Close() }()
	for {
		cmd := exec.Command("target/pollenbend", "platform")
		cmd.Stdout, cmd.Stderr = log, log
		cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "POLLENBEND_BOOT=" + in.boot}, deployEnv()...)
		c.mu.Lock()
		if c.ending {
			c.mu.Unlock()
			return
		}
		err := cmd.Start()
		if err == nil {
			in.pid = cmd.Process.Pid
		}
		c.mu.Unlock()
		if err != nil {
			c.rec.line("cannot start %s: %v", in.name, err)
			return
		}
		stop := make(chan struct{})
		go c.limitMemory(in, cmd.Process, stop)
		err = cmd.Wait()
		close(stop)
		c.mu.Lock()
		in.pid = 0
		ending := c.ending
		if !ending {
			c.ends++
		}
		c.mu.Unlock()
		if ending {
			return
		}
		c.rec.line("process of %s ended: %v", in.name, err)
		time.Sleep(500 * time.Millisecond)
	}
}

// limitMemory kills a process that uses more memory than its machine has, as the platform does.
func (c *cell) limitMemory(in *instance, p *os.Process, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if rss := residentMB(p.Pid); rss > memoryMB {
			c.rec.line("%s uses %d MB of %d MB and is killed", in.name, rss, memoryMB)
			_ = p.Kill()
			return
		}
	}
}

// residentMB returns the resident memory of a process of this test.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// stop ends all processes.
func (c *cell) stop() {
	c.mu.Lock()
	c.ending = true
	for _, in := range c.instances {
		if in.pid != 0 {
			_ = syscall.Kill(in.pid, syscall.SIGKILL)
		}
	}
	c.mu.Unlock()
	c.wait.Wait()
}

// signal sends a signal to the process of an instance.
func (c *cell) signal(in *instance, s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.pid != 0 {
		_ = syscall.Kill(in.pid, s)
	}
}

// callers are the connections of the clients.
var callers = &http.Client{Timeout: 3200 * time.Millisecond}

// call makes a client's call and returns the status, zero without an answer.
func (c *cell) call(in *instance, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+in.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("Deadline-Ms", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := callers.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}
