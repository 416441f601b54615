// Command sim2 plays the cases of the second review: it starts the program's instances beside
// stand-ins for the platform's store and the workers, and checks a rule of the users' pages.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	since time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.since).Seconds(), fmt.Sprintf(format, args...))
}

// play is one run of a case.
type play struct {
	trouble bool
	rec     *recorder
	store   *store
	fleet   *fleet
	cell    *cell
	next    int // counts the ids of submissions
	version int
}

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the cases with the workers, their capacity and the instances of each.
var cases = map[string]struct {
	run                 func(p *play) int
	workers, cpu, memMB int
	instances           int
}{
	"wide-step":   {runWideStep, 48, 32000, 65536, 5},
	"large-burst": {runLargeBurst, 48, 32000, 65536, 5},
	"backlog":     {runBacklog, 48, 32000, 65536, 5},
	"late-hold":   {runLateHold, 8, 32000, 65536, 5},
	"long-tasks":  {runLongTasks, 8, 32000, 65536, 5},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: sim2 CASE RECORD")
		os.Exit(cannotRun)
	}
	signal.Ignore(syscall.SIGPIPE) // a reader that leaves must not end the case before its processes
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, recordPath string) int {
	chosen, known := cases[name]
	if !known {
		fmt.Println("no such case:", name)
		return cannotRun
	}
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer func() { _ = file.Close() }()
	p := &play{trouble: os.Getenv("TROUBLE") != "0", rec: &recorder{file: file, since: time.Now()}, store: newStore()}
	p.rec.line("case %s, trouble %t", name, p.trouble)
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	go func() { _ = http.Serve(listener, p.store) }() // until the process ends
	p.configure(defaultConfig())
	if p.fleet, err = newFleet(p.store, p.rec, chosen.workers, chosen.cpu, chosen.memMB); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	if p.cell, err = startCell(dir, p.rec, listener.Addr().String(), chosen.instances); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer p.cell.stop()
	go p.watchdog()
	if !p.waitReady(20 * time.Second) {
		p.say("the cell takes no work")
		return cannotRun
	}
	return chosen.run(p)
}

// maxLength is the longest time that a case may take.
const maxLength = 116 * time.Second

// watchdog ends the case, with all processes that it has started, when it takes too long or is told to end.
func (p *play) watchdog() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxLength - time.Since(p.rec.since)):
	}
	p.say("the case was ended before it was over")
	p.cell.stop()
	os.Exit(cannotRun)
}

// say writes a line to the record and to the terminal.
func (p *play) say(format string, args ...any) {
	p.rec.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// config is the operator's config.
type config map[string]any

func defaultConfig() config {
	return config{
		"routes": []any{map[string]any{"name": queueName, "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 3000,
			"priority": 0, "service": serviceName, "attempts": 2, "stretch": 4.0, "public": false}},
		"services": []any{map[string]any{"name": serviceName, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "spare": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "apiKeys": []string{apiKey}, "priority": 1, "weight": 31,
			"cap": map[string]int{"cpu": 0, "memMb": 0, "gpu": 0}}},
	}
}

// configure writes a config as the operator does.
func (p *play) configure(c config) {
	p.version += 3
	c["version"] = p.version
	data, _ := json.Marshal(c)
	p.store.put("keyed.op", "config", string(data))
	p.rec.line("operator writes config %d", p.version)
}

// waitReady waits until the cell runs a submission.
func (p *play) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if j := p.submit(0, 2, 100, 100, taskSpec{WorkMS: 100}, ""); j.accepted() {
			return p.waitState(j, "completed", 10*time.Second)
		}
	}
	return false
}

// submission is what a client has handed in.
type submission struct {
	id         string
	count, cpu int
	status     []int // answers to the attempts
	acceptedAt time.Time
}

func (j *submission) accepted() bool { return !j.acceptedAt.IsZero() }

// nextID returns the id of the submission that p.next counts.
func (p *play) nextID() string { return fmt.Sprintf("5c0e7a21%08x", p.next) }

// submit hands in a submission of one step at an instance, with up to four retries at others.
func (p *play) submit(at, count, cpu, memMB int, spec taskSpec, more string) *submission {
	p.next++
	text, _ := json.Marshal(spec)
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"memMb":%d,"estimateMs":%d%s}]}`, text, count, cpu, memMB, spec.WorkMS, more)
	return p.submitBody(at, count, cpu, body)
}

func (p *play) submitBody(at, count, cpu int, body string) *submission {
	j := &submission{id: p.nextID(), count: count, cpu: cpu}
	p.fleet.mu.Lock()
	p.fleet.need[j.id] = cpu
	p.fleet.quiet[j.id] = count > 100
	p.fleet.mu.Unlock()
	for attempt := range 5 {
		in := p.cell.instances[(at+attempt)%len(p.cell.instances)]
		status, text := p.cell.call(in, "POST", prefix+j.id, body)
		p.rec.line("POST %s (%d tasks) at %s: %d %s", j.id, count, in.name, status, text)
		j.status = append(j.status, status)
		if status/100 == 2 {
			j.acceptedAt = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return j
}

// state asks for the state of a submission, at several instances until one answers.
func (p *play) state(j *submission) string {
	for _, in := range p.cell.instances {
		status, text := p.cell.call(in, "GET", prefix+j.id, "")
		var answer struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
			return answer.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return "no answer"
}

func (p *play) waitState(j *submission, state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if p.state(j) == state {
			return true
		}
	}
	return false
}
