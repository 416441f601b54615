package main

import (
	"fmt"
	"slices"
	"time"
)

// maxCrashes is the most crashes that the case plays.
const maxCrashes = 5

// crashes plays up to five crashes of single workers, at least 4 s apart, beside one job with one long task: each of the worker
// that runs the task.
func crashes(c *cell, trouble bool) (string, error) {
	const id, task = "00000000000000a1", "00000000000000a1.0.0.0"
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
	body := map[string]any{"spec": "work_ms=30000", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 30000, "savesProgress": true}}}
	if !c.submit(id, body) {
		return "", fmt.Errorf("the job was not accepted")
	}
	crashed := 0
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		if trouble && crashed < maxCrashes {
			if i := slices.IndexFunc(c.allWorkers(), func(w *worker) bool { return w.worksFor(task, 3*time.Second) }); i >= 0 {
				crashed++
				c.restart(i, crashed)
			}
		}
		switch state := c.state(id); state {
		case "completed":
			return "", nil
		case "failed", "cancelled", "unknown":
			return fmt.Sprintf("the job is shown as %s; of %d runs of its task %d ended failed and %d workers crashed", state, c.record.count(task, "started"), c.record.count(task, "failed"), crashed), nil
		}
	}
	return "", fmt.Errorf("the job did not end")
}

// worksFor reports whether the worker has been at work on a task for a while.
func (w *worker) worksFor(task string, d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[task]
	return !w.dead && r != nil && w.clock()-r.started >= d.Milliseconds()
}

// restart crashes a worker. After a second the next life begins at its address.
func (c *cell) restart(i, life int) {
	old := c.allWorkers()[i]
	if old.dead {
		return
	}
	old.crash()
	time.AfterFunc(time.Second, func() {
		w := c.newWorker(old.name, fmt.Sprintf("i-%d-%d", i, life), old.rack, old.cpu)
		if err := w.start(old.address); err != nil {
			c.record.note("worker %s does not start again: %v", w.id, err)
			return
		}
		c.record.note("worker %s starts in place of %s", w.id, old.id)
		c.mu.Lock()
		c.workers[i] = w
		c.mu.Unlock()
	})
}

func (c *cell) allWorkers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.workers)
}
