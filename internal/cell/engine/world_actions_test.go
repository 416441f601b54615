package engine

import "time"

// execute carries out an action of the engine.
func (w *world) execute(action any) {
	e := w.engine
	w.callers.checkCommand(action)
	if w.net != nil && w.net.execute(e, action) {
		return
	}
	switch a := action.(type) {
	case *Append:
		w.appendRecords(e, a)
	case *Start:
		sent := w.now
		fn := func(s *simWorker) any { return w.handleStart(s, a, sent) }
		unanswered := &StartAnswered{Start: a, Outcome: NoAnswer}
		switch {
		case w.lostStarts > 0:
			w.lostStarts--
			w.deliver(e, a.Timeout, unanswered)
			w.after(5*time.Second, func() { fn(w.workers[a.Worker]) })
		case w.lostStartAnswers > 0:
			w.lostStartAnswers--
			w.deliver(e, a.Timeout, unanswered)
			w.after(simTick, func() { fn(w.workers[a.Worker]) })
		default:
			w.sendCommand(e, a.Worker, a.Timeout, fn, unanswered)
		}
	case *Stop:
		w.sendCommand(e, a.Worker, a.Timeout, func(s *simWorker) any { return w.handleStop(s, a) }, &StopAnswered{Stop: a, Outcome: NoAnswer})
	case *Renew:
		w.handleRenewal(e, a)
	case *AdviceCall:
		if w.adviceFails {
			w.deliver(e, simTick, &AdviceAnswered{Call: a})
			return
		}
		w.callAdviser(e, a)
	case *StepDown:
		w.t.Fatalf("the engine stepped down: %s", a.Reason)
	}
}

// appendRecords stores a batch as the platform does, which rejects a leader that a later
// one has fenced off.
func (w *world) appendRecords(e *Engine, a *Append) {
	retry := func() {
		w.after(50*time.Millisecond, func() {
			if w.engine == e {
				w.appendRecords(e, a)
			}
		})
	}
	switch {
	case w.storeRefuses && !w.uncertain[a]:
		w.deliver(e, simTick, &Appended{Append: a, Outcome: NotStored})
		return
	case w.storeRefuses:
		retry()
		return
	case w.storeHangs:
		w.uncertain[a] = true
		retry()
		return
	}
	w.after(2*simTick+w.storeDelay, func() {
		if w.engine != e {
			w.callers.refuseAppend(e, a) // a later leader has fenced this one off
			return
		}
		var rejected []Rejection
		for _, r := range a.Records {
			if w.maxRecordBytes > 0 && r.Size() > w.maxRecordBytes {
				w.t.Errorf("record %s has %d bytes, at most %d are allowed", r.Key, r.Size(), w.maxRecordBytes)
			}
			if w.rejectRecord != nil && w.rejectRecord(r.Key) {
				rejected = append(rejected, Rejection{Key: r.Key, Reason: "status 400"})
				continue
			}
			if len(r.Value) == 0 {
				delete(w.stored, r.Key)
				continue
			}
			w.stored[r.Key] = r.Value
		}
		w.deliver(e, w.storeDelay, &Appended{Append: a, Outcome: Stored, Rejected: rejected})
	})
}
