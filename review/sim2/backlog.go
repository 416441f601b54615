package main

import (
	"fmt"
	"time"
)

// runBacklog hands in a timed submission with 10,000 times, a minute apart, all or, without the trouble,
// 100 of which have come, beside small submissions. It checks that accepted submissions go on.
func runBacklog(p *play) int {
	const (
		times     = 10_000
		width     = 60
		come      = 100 // times that have come without the trouble
		traffic   = 45 * time.Second
		finish    = 14 * time.Second // finish_s
		stuckTime = 3 * time.Second  // of the rule LOST
	)
	first := time.Now().Add(-come * time.Minute)
	if p.trouble {
		first = time.Now().Add(-times * time.Minute)
	}
	body := fmt.Sprintf(`{"spec":"{\"workMs\":1000}","times":%d,"firstMs":%d,"intervalMs":60000,"steps":[{"count":%d,"cpu":50,"memMb":50,"estimateMs":1000}]}`, times, first.UnixMilli(), width)
	start := time.Now()
	var jobs []*submission
	stuckSince, lost := make(map[string]time.Time), make(map[string]bool)
	handedIn := false
	for i := 0; time.Since(start) < traffic; i++ {
		if !handedIn && time.Since(start) > 3*time.Second {
			handedIn = true
			p.next++
			j := p.submitBody(i, times*width, 50, body)
			p.say("%.1f s: a timed submission, first due at %s: %v", time.Since(start).Seconds(), first.UTC().Format(time.DateTime), j.status)
			if !j.accepted() {
				return cannotRun
			}
		}
		if j := p.submit(i, 2, 1000, 500, taskSpec{WorkMS: 800}, ""); j.accepted() {
			jobs = append(jobs, j)
		}
		p.noteStuck(jobs, stuckSince, lost, stuckTime)
		time.Sleep(250 * time.Millisecond)
	}
	for end := time.Now().Add(finish); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		p.noteStuck(jobs, stuckSince, lost, stuckTime)
	}
	unknown, open := 0, 0
	asked := time.Now()
	for _, j := range jobs {
		if time.Since(asked) > 15*time.Second {
			break
		}
		switch p.state(j) {
		case "completed":
		case "no answer", "410":
			unknown++
		default:
			open++
		}
	}
	p.say("processes that ended: %d; small submissions accepted: %d; %d had nothing at work for 3 s while less than half of the capacity was in use", p.cell.ends, len(jobs), len(lost))
	p.say("asked for at the end: %d unknown or without an answer, %d not completed", unknown, open)
	if len(lost) > 0 || unknown > 0 {
		return broken
	}
	return held
}
