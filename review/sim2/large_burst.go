package main

import "time"

// runLargeBurst hands in a few wide submissions, all at once or, without the trouble, each once the one
// before has completed, beside small ones. It checks that accepted submissions go on and are known.
func runLargeBurst(p *play) int {
	const (
		width     = 6000
		count     = 6
		workMS    = 3000
		traffic   = 50 * time.Second
		finish    = 14 * time.Second // finish_s
		stuckTime = 3 * time.Second  // of the rule LOST
	)
	start := time.Now()
	var jobs, large []*submission
	stuckSince, lost := make(map[string]time.Time), make(map[string]bool)
	accept := func(j *submission) {
		if j.accepted() {
			jobs = append(jobs, j)
		}
	}
	handIn := func(i int) {
		j := p.submit(i, width, 20, 20, taskSpec{WorkMS: workMS}, "")
		p.say("%.1f s: a submission of %d tasks: %v", time.Since(start).Seconds(), width, j.status)
		large = append(large, j)
		accept(j)
	}
	for i := 0; time.Since(start) < traffic; i++ {
		if time.Since(start) > 3*time.Second && len(large) < count {
			switch {
			case p.trouble:
				for len(large) < count {
					handIn(i)
				}
			case len(large) == 0 || !large[len(large)-1].accepted() || p.state(large[len(large)-1]) == "completed":
				handIn(i)
			}
		}
		accept(p.submit(i, 2, 1000, 500, taskSpec{WorkMS: 800}, ""))
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
		switch state := p.state(j); state {
		case "completed":
		case "no answer", "410":
			unknown++
			p.rec.line("%s: accepted %.1f s before, %s", j.id, time.Since(j.acceptedAt).Seconds(), state)
		default:
			open++
			p.rec.line("%s: accepted %.1f s before, state %s", j.id, time.Since(j.acceptedAt).Seconds(), state)
		}
	}
	p.say("processes that ended: %d; accepted submissions: %d; %d had nothing at work for 3 s while less than half of the capacity was in use", p.cell.ends, len(jobs), len(lost))
	p.say("asked for at the end: %d unknown or without an answer, %d not completed", unknown, open)
	if len(lost) > 0 || unknown > 0 {
		return broken
	}
	return held
}
