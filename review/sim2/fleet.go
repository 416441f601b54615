package main

import (
	"fmt"
	"slices"
	"sync"
)

// fleet is all workers and what they have seen.
type fleet struct {
	store      *store
	rec        *recorder
	cpu, memMB int // capacity of each worker
	workers    []*worker
	lives      int // lifetimes so far

	mu      sync.Mutex
	running map[string]int    // runs at work, by submission
	used    int               // CPU in use, in thousandths of a core
	need    map[string]int    // CPU of a task, by submission
	starts  map[string]int    // by task
	failed  map[string]int    // runs that ended failed, by task
	done    map[string]int    // tasks that ended done, by submission
	quiet   map[string]bool   // submissions whose starts and ends are only counted
	noted   map[string]string // ends done that were taken note of, by task
	again   []string          // starts after such an end
}

func newFleet(s *store, rec *recorder, count, cpu, memMB int) (*fleet, error) {
	f := &fleet{store: s, rec: rec, cpu: cpu, memMB: memMB, running: make(map[string]int), need: make(map[string]int), starts: make(map[string]int),
		failed: make(map[string]int), done: make(map[string]int), quiet: make(map[string]bool), noted: make(map[string]string)}
	for i := range count {
		w := &worker{fleet: f, address: "127.0.0.1:0", rack: fmt.Sprintf("r1-%d", i/6)}
		f.workers = append(f.workers, w)
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) noteStart(w *worker, r *run) {
	id := jobOf(r.task)
	f.mu.Lock()
	f.starts[r.task]++
	f.running[id]++
	f.used += f.need[id]
	if end, noted := f.noted[r.task]; noted {
		f.again = append(f.again, fmt.Sprintf("%s run %d starts on %s after %s", r.task, r.number, w.id, end))
	}
	quiet := f.quiet[id]
	f.mu.Unlock()
	if !quiet {
		f.rec.line("worker %s starts %s run %d", w.id, r.task, r.number)
	}
}

// noteGone counts a run as ended.
func (f *fleet) noteGone(r *run) {
	id := jobOf(r.task)
	f.running[id]--
	f.used -= f.need[id]
}

func (f *fleet) noteEnd(r *run, how string) {
	id := jobOf(r.task)
	f.mu.Lock()
	f.noteGone(r)
	switch how {
	case "done":
		f.done[id]++
	case "failed":
		f.failed[r.task]++
	}
	quiet := f.quiet[id]
	f.mu.Unlock()
	if !quiet {
		f.rec.line("%s run %d ends %s", r.task, r.number, how)
	}
}

func (f *fleet) noteLost(r *run) {
	f.mu.Lock()
	f.noteGone(r)
	quiet := f.quiet[jobOf(r.task)]
	f.mu.Unlock()
	if !quiet {
		f.rec.line("%s run %d is lost with its worker", r.task, r.number)
	}
}

// busiest returns the count workers with the most tasks at work.
func (f *fleet) busiest(count int) []*worker {
	tasks := make(map[*worker]int, len(f.workers))
	for _, w := range f.workers {
		w.mu.Lock()
		tasks[w] = len(w.runs)
		w.mu.Unlock()
	}
	sorted := slices.Clone(f.workers)
	slices.SortStableFunc(sorted, func(a, b *worker) int { return tasks[b] - tasks[a] })
	return sorted[:count]
}

// noteAcknowledged records that an end is taken note of.
func (f *fleet) noteAcknowledged(w *worker, e endRow) {
	if e.how != "done" {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noted[e.task] = fmt.Sprintf("the end done of run %d on %s was taken note of", e.run, w.id)
}

// capacity returns the CPU of all workers that are up, in thousandths of a core.
func (f *fleet) capacity() int {
	total := 0
	for _, w := range f.workers {
		w.mu.Lock()
		if w.up {
			total += f.cpu
		}
		w.mu.Unlock()
	}
	return total
}
