package engine

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"pollenbend/internal/cell/job"
)

// allFeatures turns on every feature.
var allFeatures = Features{LearnedRuntimes: true, Backfill: true, ContentionAdmission: true, Headroom: true, SpeedPlacement: true}

// BenchmarkRoundsBesideExplanations measures how much longer the longest placement rounds take
// beside two explanations per second, while 5,000 steps wait. Two equal cells take turns, so that
// other load of the machine delays both. Reported are the 99th percentiles of the duration of a
// round and of the processor time of its thread, with explanations relative to without, and the mean
// duration of an explanation.
func BenchmarkRoundsBesideExplanations(b *testing.B) {
	for _, workers := range []int{350, 12_000} {
		b.Run(fmt.Sprintf("%d-workers", workers), func(b *testing.B) {
			for b.Loop() {
				benchmarkBesideExplanations(b, workers)
			}
		})
	}
}

func benchmarkBesideExplanations(b *testing.B, workers int) {
	const (
		waitingSteps = 5000
		rounds       = 2000
		roundTime    = 10 * time.Millisecond
		pause        = explanationWindow / maxExplanations
	)
	runtime.LockOSThread() // its processor time is measured
	defer runtime.UnlockOSThread()
	plain, asked := newBusyCell(b, workers, waitingSteps), newBusyCell(b, workers, waitingSteps)
	spec := &job.Spec{ID: "00000000000000ff", Queue: "urgent", Team: "a", Steps: []job.Step{tasks(8, 7800, 640*time.Millisecond)}}
	explaining, explained := time.Duration(0), 0
	for n := range rounds {
		for _, c := range []*busyCell{plain, asked} {
			c.endSome(roundTime)
			if c == asked && n%int(pause/roundTime) == 0 {
				start := time.Now()
				if answer := c.explain(spec); answer.Outcome != OK {
					b.Fatal(answer.Why)
				}
				explaining, explained = explaining+time.Since(start), explained+1
			}
			c.round()
		}
	}
	for _, kind := range []struct {
		name string
		of   func(c *busyCell) []time.Duration
	}{{"wall", func(c *busyCell) []time.Duration { return c.took }}, {"cpu", func(c *busyCell) []time.Duration { return c.used }}} {
		without, with := percentile99(kind.of(plain)), percentile99(kind.of(asked))
		b.ReportMetric(float64(without.Microseconds()), kind.name+"-p99-us")
		b.ReportMetric(float64(with)/float64(without), kind.name+"-p99-ratio")
	}
	b.ReportMetric(float64(explaining.Microseconds())/float64(explained), "us/explanation")
}

// percentile99 returns the 99th percentile of durations.
func percentile99(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*99/100]
}

// busyCell is a full fleet with waiting steps.
type busyCell struct {
	*world
	running    []*run
	steps      int             // that wait
	took, used []time.Duration // of the rounds, and the processor time of their thread
}

// newBusyCell returns a cell with all features and 16 gangs among the waiting steps.
func newBusyCell(b *testing.B, workers, steps int) *busyCell {
	w := newLargeWorld(b, workers)
	w.features = allFeatures
	w.startLeader()
	w.run(time.Second)
	c := &busyCell{world: w, steps: steps, running: fillForRounds(w, steps)}
	for n := range 16 {
		s := w.addOpenJob("gangs", gang(48, 9000, 6*time.Second))
		for i := range 100 {
			good := w.engine.workerList[(n*37+i*11)%len(w.engine.workerList)]
			s.markGood(good, ticket{incarnation: good.incarnation})
		}
	}
	return c
}

// endSome moves the time on and ends about twenty runs. Steps arrive in place of those that were
// placed.
func (c *busyCell) endSome(elapsed time.Duration) {
	c.now = c.now.Add(elapsed)
	e := c.engine
	e.now = c.now
	for range 20 {
		i := c.rand.IntN(len(c.running))
		e.endRun(c.running[i], EndedDone, "", "benchmark")
		c.running[i] = c.running[len(c.running)-1]
		c.running = c.running[:len(c.running)-1]
	}
	for e.dropPlacedSteps(); len(e.openSteps) < c.steps; {
		c.addOpenJob("urgent", tasks(4, 7800, time.Second))
	}
}

func (c *busyCell) explain(spec *job.Spec) (answer Answer) {
	c.engine.Handle(c.now, &Explain{Spec: spec, Reply: func(a Answer) { answer = a }})
	return answer
}

// round measures a placement round and answers its calls to the adviser.
func (c *busyCell) round() {
	e := c.engine
	start, used := time.Now(), threadTime()
	e.place()
	e.contentionAfterRound()
	c.took, c.used = append(c.took, time.Since(start)), append(c.used, threadTime()-used)
	actions := e.actions
	e.actions = nil
	for _, action := range actions {
		if call, ok := action.(*AdviceCall); ok {
			e.Handle(c.now, &AdviceAnswered{Call: call, OK: true, TTL: time.Second, Tickets: c.answerAdvice(call)})
		}
	}
	for _, s := range e.dirtySteps {
		s.dirtySegments = 0
		for _, t := range s.tasks {
			if len(t.runs) > 0 && !t.runs[0].startSent {
				t.runs[0].startSent = true
				c.running = append(c.running, t.runs[0])
			}
		}
	}
	e.dirtySteps, e.batch = nil, &Append{}
}

// threadTime returns the processor time that the thread has used.
func threadTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
