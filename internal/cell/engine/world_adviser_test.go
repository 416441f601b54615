package engine

import "time"

// simAdviceMargin is how much longer than expected a call to the adviser may take.
const simAdviceMargin = 600 * time.Millisecond

// simAdviser serves the calls of each delegate one at a time, in turn. It drops a waiting
// call whose caller has given up, but goes on with one that it has begun.
type simAdviser struct {
	queues   map[string][]*simAdviceCall // by delegate; the first call of each is being served
	delay    time.Duration               // how much longer than expected it serves each call
	timeouts int                         // number of calls without an answer in time
}

type simAdviceCall struct {
	*AdviceCall
	engine   *Engine
	answered bool
	gaveUp   bool
}

// callAdviser has a delegate of e call the adviser.
func (w *world) callAdviser(e *Engine, a *AdviceCall) {
	c := &simAdviceCall{AdviceCall: a, engine: e}
	queue := append(w.adviser.queues[a.Delegate], c)
	w.adviser.queues[a.Delegate] = queue
	if len(queue) == 1 {
		w.serveAdvice(a.Delegate)
	}
	w.after(a.ExpectedDuration+simAdviceMargin, func() {
		if c.answered {
			return
		}
		c.gaveUp = true
		if w.engine == e {
			w.adviser.timeouts++
			e.Handle(w.now, &AdviceAnswered{Call: a})
		}
	})
}

// serveAdvice serves the calls of a delegate, the first one that is still wanted now.
func (w *world) serveAdvice(delegate string) {
	queue := w.adviser.queues[delegate]
	for len(queue) > 0 && queue[0].gaveUp {
		queue = queue[1:]
	}
	w.adviser.queues[delegate] = queue
	if len(queue) == 0 {
		return
	}
	c := queue[0]
	w.after(c.ExpectedDuration+w.adviser.delay, func() {
		if !c.gaveUp {
			c.answered = true
			w.deliver(c.engine, 0, &AdviceAnswered{Call: c.AdviceCall, OK: true, TTL: 1500 * time.Millisecond, Tickets: w.answerAdvice(c.AdviceCall)})
		}
		w.adviser.queues[delegate] = w.adviser.queues[delegate][1:]
		w.serveAdvice(delegate)
	})
}
