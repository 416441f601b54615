package main

import (
	"fmt"
	"time"
)

// runLongTasks hands in tasks that work for five minutes, with or, as the trouble, without an estimate,
// and checks that they and small submissions go on.
func runLongTasks(p *play) int {
	const (
		workMS    = 300_000
		count     = 7
		traffic   = 30 * time.Second
		finish    = 14 * time.Second // finish_s
		window    = 60 * time.Second // in which submissions are watched after that
		stuckTime = 3 * time.Second  // of the rule LOST
	)
	estimate := fmt.Sprintf(`"estimateMs":%d,`, workMS)
	if p.trouble {
		estimate = ""
	}
	var jobs, long []*submission
	for i := range count {
		p.next++
		j := p.submitBody(i, 1, 15000, fmt.Sprintf(`{"spec":"{\"workMs\":%d}","steps":[{%s"count":1,"cpu":15000,"memMb":33000}]}`, workMS, estimate))
		if !j.accepted() {
			p.say("a long submission was not accepted: %v", j.status)
			return cannotRun
		}
		long = append(long, j)
	}
	jobs = append(jobs, long...)
	start := time.Now()
	for i := 0; time.Since(start) < traffic; i++ {
		if j := p.submit(i, 2, 1000, 500, taskSpec{WorkMS: 800}, ""); j.accepted() {
			jobs = append(jobs, j)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finish)
	stuckSince, lost := make(map[string]time.Time), make(map[string]bool)
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		p.noteStuck(jobs, stuckSince, lost, stuckTime)
	}
	p.fleet.mu.Lock()
	starts, most := 0, 0
	for _, j := range long {
		n := p.fleet.starts[j.id+".0.0.0"]
		starts, most = starts+n, max(most, n)
	}
	p.fleet.mu.Unlock()
	p.say("%d tasks of %d s were started %d times, one of them %d times; state of the first: %s", count, workMS/1000, starts, most, p.state(long[0]))
	p.say("accepted submissions: %d; %d had nothing at work for 3 s, after finish_s, while less than half of the capacity was in use", len(jobs), len(lost))
	if len(lost) > 0 {
		return broken
	}
	return held
}
