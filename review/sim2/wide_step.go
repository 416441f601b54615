package main

import "time"

// runWideStep hands in one wide submission whose tasks save their progress, beside small ones, and
// checks that accepted submissions go on.
func runWideStep(p *play) int {
	const (
		small     = 250 * time.Millisecond // between two small submissions
		workMS    = 30_000
		width     = 10_000
		length    = 75 * time.Second
		crashAt   = 15 * time.Second
		crashes   = 2               // workers of 48
		downTime  = 3 * time.Second // of the crashed workers
		stuckTime = 3 * time.Second // of the rule LOST
	)
	start := time.Now()
	var jobs []*submission
	var wide *submission
	crashed := false
	stuckSince := make(map[string]time.Time)
	lost := make(map[string]bool)
	for i := 0; time.Since(start) < length; i++ {
		if wide == nil && time.Since(start) > 3*time.Second {
			wide = p.submit(i, width, 60, 120, taskSpec{WorkMS: workMS, Saves: true}, `,"savesProgress":true`)
			if !wide.accepted() {
				p.say("the wide submission was not accepted: %v", wide.status)
				return cannotRun
			}
			p.say("%.1f s: a submission of %d tasks is accepted", time.Since(start).Seconds(), width)
			jobs = append(jobs, wide)
		}
		if p.trouble && !crashed && time.Since(start) > crashAt {
			crashed = true
			p.crashWorkers(crashes, downTime)
		}
		if time.Since(start) < 55*time.Second {
			if j := p.submit(i, 2, 1000, 500, taskSpec{WorkMS: 800}, ""); j.accepted() {
				jobs = append(jobs, j)
			}
		}
		p.noteStuck(jobs, stuckSince, lost, stuckTime)
		time.Sleep(small)
	}
	p.say("largest record %d bytes, at most %d are allowed; calls refused for it: %d %v", p.store.largest, recordBytes, p.store.oversized, p.store.refused)
	open := 0
	for _, j := range jobs {
		if state := p.state(j); state != "completed" {
			open++
			p.rec.line("%s: accepted %.1f s before, state %s", j.id, time.Since(j.acceptedAt).Seconds(), state)
		}
	}
	p.say("accepted submissions: %d; at the end %d are not completed; %d had nothing at work for 3 s while less than half of the capacity was in use", len(jobs), open, len(lost))
	if len(lost) > 0 {
		return broken
	}
	return held
}

// noteStuck notes submissions that have nothing at work for the given time though under half of
// the capacity is in use.
func (p *play) noteStuck(jobs []*submission, since map[string]time.Time, lost map[string]bool, limit time.Duration) {
	capacity := p.fleet.capacity()
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for _, j := range jobs {
		idle := p.fleet.running[j.id] == 0 && p.fleet.done[j.id] < j.count && 2*p.fleet.used < capacity
		at, known := since[j.id]
		switch {
		case !idle:
			delete(since, j.id)
		case !known:
			since[j.id] = time.Now()
		case time.Since(at) > limit && !lost[j.id]:
			lost[j.id] = true
			p.rec.line("%s has had nothing at work for %.1f s; %d of %d thousandths of a core are in use", j.id, time.Since(at).Seconds(), p.fleet.used, capacity)
		}
	}
}

// crashWorkers crashes the count workers with the most tasks and starts them again in a new lifetime.
func (p *play) crashWorkers(count int, down time.Duration) {
	for _, w := range p.fleet.busiest(count) {
		id := w.id
		lost := w.crash()
		p.say("worker %s crashes with %d tasks", id, len(lost))
		time.AfterFunc(down, func() {
			if err := w.start(); err != nil {
				p.rec.line("worker cannot start again: %v", err)
			}
		})
		time.AfterFunc(3*1500*time.Millisecond, func() { w.unlist(id) })
	}
}
