package soak

import (
	"fmt"
	"syscall"
	"time"
)

// injectFault injects one random fault. Faults may overlap.
func (c *cell) injectFault() {
	in := c.instances[c.rng.IntN(len(c.instances))]
	afterDelay := func(f func()) { time.AfterFunc(time.Duration(200+c.rng.IntN(2500))*time.Millisecond, f) }
	switch c.rng.IntN(21) {
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
		c.setHanging(c.randomWorker(), true)
	case 12:
		for id := range c.fleet.workers {
			c.setHanging(id, false)
		}
	case 13, 14, 15, 16:
		c.greyWorkers(c.randomWorker())
	case 17, 18:
		c.greyWorkers("")
	default:
		if !c.fleet.restarts {
			c.greyWorkers(c.randomWorker())
			return
		}
		c.fleet.restart(c.randomWorker(), time.Duration(c.rng.IntN(800))*time.Millisecond, time.Duration(c.rng.IntN(800))*time.Millisecond)
	}
}

// greyWorkers puts faults on the calls to a worker for some time, or to all if it is "".
func (c *cell) greyWorkers(id string) {
	c.fleet.setFaults(id, randomCallFaults(c.rng))
	time.AfterFunc(time.Duration(500+c.rng.IntN(3000))*time.Millisecond, func() { c.fleet.setFaults(id, callFaults{}) })
}

func (c *cell) randomWorker() string { return fmt.Sprintf("w%02d", c.rng.IntN(len(c.fleet.workers))) }

func (c *cell) setHanging(worker string, hanging bool) {
	c.fleet.mu.Lock()
	w := c.fleet.workers[worker]
	if hanging || w.hanging {
		w.troubledAt = time.Now()
	}
	w.hanging = hanging
	c.fleet.mu.Unlock()
}

func (c *cell) endFaults() {
	c.store.setMode("")
	c.fleet.mu.Lock()
	c.fleet.calmSince = time.Now()
	c.fleet.mu.Unlock()
	c.fleet.setFaults("", callFaults{})
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
		c.clients.Wait()
		c.fleet.pending.Wait() // calls that are held back still count
		c.checkMemory()
		for _, in := range c.instances {
			in.mu.Lock()
			in.stopped = true
			in.mu.Unlock()
			in.signal(syscall.SIGKILL)
		}
	}()
}

// completionTimeout is the time after the last fault within which every accepted job
// must complete or fail. It covers expiring leases, takeovers and a queue of a few seconds.
const completionTimeout = 40 * time.Second

// awaitCompletion waits until instances report every accepted job as completed or failed.
func (c *cell) awaitCompletion() {
	var last []string
	begin := time.Now()
	for time.Since(begin) < completionTimeout {
		open := c.unfinished()
		if len(open) == 0 {
			waited := time.Since(begin).Round(time.Millisecond)
			c.keepLogs = waited > completionTimeout/2
			c.t.Logf("seed %d: waited %v after the last fault, last for %v, the longest without a run %v", c.seed, waited, last[:min(5, len(last))], c.fleet.longestIdle.Round(time.Millisecond))
			return
		}
		last = open
		c.fleet.checkIdle(open)
		time.Sleep(200 * time.Millisecond)
	}
	for _, id := range c.unfinished() {
		c.fleet.mu.Lock()
		c.fleet.recordViolation("", "job %s was accepted, but is not completed %v after the last fault", id, completionTimeout)
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
		switch state := c.state(id); {
		case state == "completed" || state == "failed":
		case c.fleet.isCanceled(id, state):
		default:
			open = append(open, id)
		}
	}
	return open
}
