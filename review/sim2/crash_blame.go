package main

import "time"

// runCrashBlame crashes the worker of one task some seconds after each of its starts, one worker at a time,
// and checks that the submission is not shown as failed, as none of its runs has failed.
func runCrashBlame(p *play) int {
	const (
		workMS   = 10_000
		crashes  = 4
		worked   = 2 * time.Second // that the task has worked when its worker crashes
		downTime = 3 * time.Second
		length   = 90 * time.Second
	)
	p.next++
	id := p.nextID()
	p.next--
	starts := 0
	p.fleet.mu.Lock()
	p.fleet.onStart = func(w *worker, r *run) {
		if !p.trouble || jobOf(r.task) != id {
			return
		}
		if starts++; starts > crashes {
			return
		}
		time.Sleep(worked)
		old := w.id
		lost := w.crash()
		p.say("worker %s crashes with %v", old, lost)
		time.AfterFunc(downTime, func() {
			if err := w.start(); err != nil {
				p.rec.line("worker cannot start again: %v", err)
			}
		})
		time.AfterFunc(4500*time.Millisecond, func() { w.unlist(old) })
	}
	p.fleet.mu.Unlock()
	j := p.submit(0, 1, 2000, 1000, taskSpec{WorkMS: workMS}, "")
	if !j.accepted() {
		p.say("the submission was not accepted: %v", j.status)
		return cannotRun
	}
	state := ""
	for end := time.Now().Add(length); time.Now().Before(end); {
		if state = p.state(j); state == "completed" || state == "failed" || state == "cancelled" {
			break
		}
		time.Sleep(400 * time.Millisecond)
	}
	p.fleet.mu.Lock()
	failed := p.fleet.failed[j.id+".0.0.0"]
	p.fleet.mu.Unlock()
	p.say("%s is shown as %s; runs that ended failed: %d; starts: %d", j.id, state, failed, p.fleet.starts[j.id+".0.0.0"])
	if state == "failed" && failed < 2 {
		return broken
	}
	return held
}
