package main

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// born plays an odd entry whose `born` is too large.
func born(c *cell, trouble bool) (string, error) { return oddEntry(c, trouble, c.withLaterBorn) }

// address plays an odd entry with the address of another worker.
func address(c *cell, trouble bool) (string, error) { return oddEntry(c, trouble, c.withOtherAddress) }

// oddEntry plays one entry of another writer over that of a worker that runs a task. The worker writes its own entry again
// at its next heartbeat.
func oddEntry(c *cell, trouble bool, change func(*worker, map[string]any)) (string, error) {
	const id, task = "00000000000000d1", "00000000000000d1.0.0.0"
	for i := range 8 {
		w := c.newWorker(fmt.Sprintf("m%d", i), fmt.Sprintf("i-%d-0", i), fmt.Sprintf("r%d-1", i/4), 32000)
		if err := w.start("127.0.0.1:0"); err != nil {
			return "", err
		}
		c.workers = append(c.workers, w)
	}
	if err := c.waitReady(20 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if !c.submit(id, map[string]any{"spec": "work_ms=20000", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 20000, "savesProgress": true}}}) {
		return "", fmt.Errorf("the job was not accepted")
	}
	written := false
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		i := slices.IndexFunc(c.workers, func(w *worker) bool { return w.worksFor(task, 3*time.Second) })
		if trouble && !written && i >= 0 {
			written = true
			c.writeOddEntry(c.workers[i], change)
		}
		if running := c.running(task); len(running) > 1 {
			time.Sleep(time.Second)
			again := c.running(task)
			return fmt.Sprintf("the task runs on %v at the same time, a second later on %v", running, again), nil
		}
		if c.record.count(task, "done") > 0 {
			time.Sleep(3 * time.Second)
			if state := c.state(id); state != "completed" {
				return "", fmt.Errorf("the job is %s", state)
			}
			return "", nil
		}
	}
	return "", fmt.Errorf("the task did not end")
}

// writeOddEntry writes an entry over that of w: `slots` and `version` are missing, `seq` is a string, and change changes more.
func (c *cell) writeOddEntry(w *worker, change func(*worker, map[string]any)) {
	odd := w.entry()
	delete(odd, "slots")
	delete(odd, "version")
	odd["seq"] = "none"
	change(w, odd)
	data, _ := json.Marshal(odd)
	c.record.note("another writer writes over the entry of %s: %s", w.id, data)
	c.store.put("keyed.servers", w.id, string(data))
}

func (c *cell) withLaterBorn(_ *worker, odd map[string]any) { odd["born"] = int64(math.MaxInt64) }

func (c *cell) withOtherAddress(w *worker, odd map[string]any) {
	i := slices.Index(c.workers, w)
	odd["address"] = c.workers[(i+1)%len(c.workers)].address
}

// running returns the workers on which a task runs.
func (c *cell) running(task string) []string {
	var ids []string
	for _, w := range c.allWorkers() {
		if w.worksFor(task, 0) {
			ids = append(ids, w.id)
		}
	}
	return ids
}

// worksFor reports whether the worker has been at work on a task for a while.
func (w *worker) worksFor(task string, d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[task]
	return r != nil && w.clock()-r.started >= d.Milliseconds()
}

func (c *cell) allWorkers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.workers)
}

// label plays an odd entry over that of the only worker with a label, and a job that needs the label.
func label(c *cell, trouble bool) (string, error) {
	const id, task = "00000000000000e1", "00000000000000e1.0.0.0"
	for i := range 8 {
		w := c.newWorker(fmt.Sprintf("m%d", i), fmt.Sprintf("i-%d-0", i), fmt.Sprintf("r%d-1", i), 32000)
		if err := w.start("127.0.0.1:0"); err != nil {
			return "", err
		}
		c.workers = append(c.workers, w)
	}
	if err := c.waitReady(20 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.writeOddEntry(c.workers[7], c.withLaterBorn)
	}
	time.Sleep(2 * heartbeat)
	step := map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 1000, "requiredLabel": "r7-1"}
	if !c.submit(id, map[string]any{"spec": "work_ms=1000", "steps": []any{step}}) {
		return "", fmt.Errorf("the job was not accepted")
	}
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if state = c.state(id); state == "completed" {
			return "", nil
		}
	}
	return fmt.Sprintf("60 s after it was accepted the job is %s; its task was started %d times, and nothing else runs", state, c.record.count(task, "started")), nil
}
