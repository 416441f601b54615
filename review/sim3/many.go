package main

import (
	"fmt"
	"time"
)

const (
	// ownEndsAllowed is how often the processes of a machine may end by themselves: the rule allows less than three times.
	ownEndsAllowed = 2
	// manyWatch is how long the machines are watched after the large job.
	manyWatch = 75 * time.Second
)

// many plays one job with many small tasks beside jobs of one task, a second apart.
func many(c *cell, trouble bool) (string, error) {
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
	if trouble {
		var steps []any
		for range 64 {
			steps = append(steps, map[string]any{"count": 10_000, "cpu": 10, "memMb": 1, "estimateMs": 100})
		}
		if !c.submit("00000000000000c1", map[string]any{"spec": "work_ms=100", "steps": steps}) {
			return "", fmt.Errorf("the large job was not accepted")
		}
	}
	small, accepted, machines := 0, 0, 0
	for end := time.Now().Add(manyWatch); time.Now().Before(end) && machines < 2; time.Sleep(time.Second) {
		small++
		if c.submitOnce(small, fmt.Sprintf("%016x", 0xc00+small), map[string]any{"spec": "work_ms=100", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 100}}}) {
			accepted++
		}
		machines = 0
		for _, in := range c.instances {
			if in.endsByItself() > ownEndsAllowed {
				machines++
			}
		}
	}
	ends := ""
	for _, in := range c.instances {
		in.mu.Lock()
		ends += fmt.Sprintf("; %s: %d killed for memory, %d ended", in.name, in.overruns, in.ownEnds)
		in.mu.Unlock()
	}
	c.record.note("%d of %d small jobs accepted%s", accepted, small, ends)
	fmt.Printf("%d of %d small jobs accepted%s\n", accepted, small, ends)
	if machines >= 2 {
		return fmt.Sprintf("on %d of 3 machines processes ended by themselves %d times or more", machines, ownEndsAllowed+1), nil
	}
	return "", nil
}

// submitOnce hands a job in at the n-th instance, round about, with one attempt.
func (c *cell) submitOnce(n int, id string, body any) bool {
	status, _ := c.call(c.instances[n%len(c.instances)], "POST", id, key, body)
	return status == 200
}

// endsByItself returns how often processes of the machine ended by themselves or exceeded their memory.
func (in *instance) endsByItself() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.ownEnds + in.overruns
}
