package main

import "time"

// runLateHold lets a worker answer one hold not at all and carry it out seconds later, after it has
// crashed and started again under its id, and checks that no task is started after an end that the worker was told is noted.
func runLateHold(p *play) int {
	const (
		settle = 3 * time.Second
		down   = 2 * time.Second
		length = 40 * time.Second
	)
	w := p.fleet.workers[0]
	// Ends on the first lifetime make the leader's ackCursor rise.
	for i := range 6 {
		if j := p.submit(i, 8, 17000, 500, taskSpec{WorkMS: 300}, ""); !p.waitState(j, "completed", 10*time.Second) {
			p.say("a submission before the trouble did not complete")
			return cannotRun
		}
	}
	time.Sleep(settle)
	if p.trouble {
		w.mu.Lock()
		w.lateHold = true // the next hold with an ackCursor gets no answer
		w.mu.Unlock()
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			w.mu.Lock()
			kept := w.kept
			w.mu.Unlock()
			if kept != nil {
				break
			}
		}
		w.mu.Lock()
		cursor := int64(0)
		if w.kept != nil {
			cursor = w.kept.AckCursor
		}
		w.mu.Unlock()
		if cursor == 0 {
			p.say("no hold with an ackCursor came")
			return cannotRun
		}
		p.say("worker %s leaves a hold with ackCursor %d unanswered and crashes", w.id, cursor)
		w.crash()
		time.Sleep(down)
		if err := w.startAgain(); err != nil {
			p.say("the worker cannot start again: %v", err)
			return cannotRun
		}
		p.say("worker %s starts again under its id", w.id)
	}
	jobs := []*submission{}
	for start := time.Now(); time.Since(start) < length; time.Sleep(700 * time.Millisecond) {
		if time.Since(start) < 15*time.Second {
			jobs = append(jobs, p.submit(len(jobs), 8, 17000, 500, taskSpec{WorkMS: 500}, ""))
		}
	}
	p.fleet.mu.Lock()
	again := p.fleet.again
	p.fleet.mu.Unlock()
	for _, line := range again {
		p.say("%s", line)
	}
	p.say("submissions: %d; starts after an end that was taken note of: %d", len(jobs), len(again))
	if len(again) > 0 {
		return broken
	}
	return held
}
