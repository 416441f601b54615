package main

import (
	"fmt"
	"time"
)

// copies plays a gang with `speculative` whose estimate is too low, on a calm cell with too little room for a second run
// of the whole gang.
func copies(c *cell, trouble bool) (string, error) {
	const id, size, work = "00000000000000b1", 100, 20_000
	for i := range 10 {
		w := c.newWorker(fmt.Sprintf("m%d", i), fmt.Sprintf("i-%d-0", i), fmt.Sprintf("r%d-1", i/4), 16000)
		if err := w.start("127.0.0.1:0"); err != nil {
			return "", err
		}
		c.workers = append(c.workers, w)
	}
	if err := c.waitReady(20 * time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	estimate := work
	if trouble {
		estimate = work / 10
	}
	c.gangSize[id] = size
	step := map[string]any{"count": size, "cpu": 1000, "memMb": 100, "estimateMs": estimate, "gang": true, "speculative": true, "savesProgress": true}
	if !c.submit(id, map[string]any{"spec": fmt.Sprintf("work_ms=%d", work), "steps": []any{step}}) {
		return "", fmt.Errorf("the job was not accepted")
	}
	state := ""
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end) && state != "completed" && state != "failed"; time.Sleep(time.Second) {
		state = c.state(id)
	}
	alone, broken, starts := 0, 0, 0
	for i := range size {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		alone += c.record.count(task, "alone")
		broken += c.record.count(task, "broken")
		starts += c.record.count(task, "started")
	}
	c.record.note("%d starts, %d alone, %d broken; the job is %s", starts, alone, broken, state)
	fmt.Printf("%d starts, %d alone, %d broken; the job is %s\n", starts, alone, broken, state)
	if alone > 0 {
		return fmt.Sprintf("%d runs ended alone", alone), nil
	}
	return "", nil
}
