package soak

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// callFaults are the faults of the calls to a worker, each with the probability with
// which it meets a call.
type callFaults struct {
	refuse float64 // the call is refused and does nothing
	lose   float64 // the call is carried out, its answer is lost
	late   float64 // the call gets no answer and is carried out seconds later
	delay  float64 // the call and its answer are delayed, so that others overtake them
}

// randomCallFaults returns faults for a worker that is grey. About half of the kinds
// of faults occur.
func randomCallFaults(rng *rand.Rand) callFaults {
	ratio := func(most float64) float64 {
		if rng.IntN(2) == 0 {
			return 0
		}
		return most * rng.Float64()
	}
	return callFaults{refuse: ratio(0.8), lose: ratio(0.6), late: ratio(0.3), delay: ratio(0.6)}
}

// The faults of a call.
const (
	refused     = "refused"
	lostHanging = "lost, connection open"
	lostReset   = "lost, connection reset"
	late        = "late"
	delayed     = "delayed"
)

// drawFault returns the fault of a call to w, or "". The caller holds f.mu.
func (f *fleet) drawFault(w *worker, path string) string {
	fault := ""
	switch c := &w.faults; {
	case f.rng.Float64() < c.refuse:
		fault = refused
	case f.rng.Float64() < c.lose:
		fault = []string{lostHanging, lostReset}[f.rng.IntN(2)]
	case f.rng.Float64() < c.late:
		fault = late
		f.pending.Add(1)
	case f.rng.Float64() < c.delay:
		fault = delayed
	default:
		return ""
	}
	f.faulty[path+" "+fault]++
	return fault
}

const (
	minLate  = 2 * time.Second
	maxLate  = 8 * time.Second
	maxDelay = 400 * time.Millisecond
)

// handle handles a call to a life of w under a fault.
func (f *fleet) handle(rw http.ResponseWriter, r *http.Request, w *worker, called *life, req *workerRequest, fault string) {
	path := r.URL.Path
	switch fault {
	case refused:
		f.send(rw, f.refuse(w, path, req))
	case lostHanging:
		f.carryOut(w, called, path, req, ", answer lost")
		<-r.Context().Done()
	case lostReset:
		f.carryOut(w, called, path, req, ", answer lost by a reset")
		abort(rw)
	case late:
		f.mu.Lock()
		f.note(req.Task, "call for run %d to %s held back", req.Run, w.name())
		delay := minLate + time.Duration(f.rng.Int64N(int64(maxLate-minLate)))
		f.mu.Unlock()
		time.AfterFunc(delay, func() { f.carryOutLate(w, called, path, req) })
		<-r.Context().Done()
	case delayed:
		f.sleep()
		a := f.carryOut(w, called, path, req, ", delayed")
		f.sleep()
		f.send(rw, a)
	default:
		f.answer(rw, r, w, called, req)
	}
}

// carryOutLate carries out a call that was received by an earlier or the same life of w.
// Calls name only the worker's id, so they reach a later life as well.
func (f *fleet) carryOutLate(w *worker, called *life, path string, req *workerRequest) {
	defer f.pending.Done()
	f.mu.Lock()
	now, fault, down := w.life, ", late", w.down
	if now != called {
		fault += " by a later life"
		f.faulty[path+" by a later life"]++
	}
	f.mu.Unlock()
	if !down {
		f.carryOut(w, now, path, req, fault)
	}
}

func (f *fleet) sleep() {
	f.mu.Lock()
	d := time.Duration(f.rng.Int64N(int64(maxDelay)))
	f.mu.Unlock()
	time.Sleep(d)
}

// answer carries out a call and answers it. The answer to a renewal waits for an end if
// the call asks for that.
func (f *fleet) answer(rw http.ResponseWriter, r *http.Request, w *worker, called *life, req *workerRequest) {
	a := f.carryOut(w, called, r.URL.Path, req, "")
	if r.URL.Path != renewalPath || a.status != http.StatusOK {
		f.send(rw, a)
		return
	}
	f.mu.Lock()
	end := time.Now().Add(time.Duration(req.WaitMS) * time.Millisecond)
	for w.life == called && len(w.ended) == 0 && time.Now().Before(end) && r.Context().Err() == nil {
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		f.endDueRuns(w)
	}
	if w.life != called || w.down {
		f.mu.Unlock()
		abort(rw)
		return
	}
	f.acknowledge(w, req.AckCursor) // an end that is listed meanwhile counts too
	a = w.report()
	f.mu.Unlock()
	f.send(rw, a)
}

// refuse returns the answer to a call that w refuses because it is grey.
func (f *fleet) refuse(w *worker, path string, req *workerRequest) workerAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest}
	a := workerAnswer{status: statuses[f.rng.IntN(len(statuses))]}
	if f.rng.IntN(2) == 0 {
		a.body = w.ok().body
	}
	if path == startPath && f.rng.IntN(2) == 0 {
		f.endDueRuns(w)
		a = w.conflict([]string{"room", "late", "ticket"}[f.rng.IntN(3)])
		switch {
		case req.Fence < w.fence:
			a = w.conflict("fence")
		case req.DeadlineMS < w.clock():
			a = w.conflict("late")
		case a.body["reason"] == "room":
			f.extendLease(w, req.DeadlineMS)
		}
		w.fence = max(w.fence, req.Fence)
	}
	f.note(req.Task, "call for run %d to %s refused: %v", req.Run, w.name(), a)
	return a
}

// send writes an answer, or resets the connection if there is none.
func (f *fleet) send(rw http.ResponseWriter, a workerAnswer) {
	if a.status == 0 {
		abort(rw)
		return
	}
	if a.body == nil {
		rw.WriteHeader(a.status)
		return
	}
	reply(rw, a.status, a.body)
}

// abort closes the connection of a call by a reset, without an answer.
func abort(rw http.ResponseWriter) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection as well
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send RST instead of FIN
	}
	_ = conn.Close()
}

// setFaults sets the faults of the calls to one worker, or to all if id is "".
func (f *fleet) setFaults(id string, faults callFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if id == "" || w.id == id {
			if faults != (callFaults{}) || w.faults != (callFaults{}) {
				w.troubledAt = time.Now()
			}
			w.faults = faults
		}
	}
}

// restart ends a worker, and starts it again under the same id after downtime. The
// directory lists the new life only some time later.
func (f *fleet) restart(id string, downtime, unlisted time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w.down {
		return
	}
	f.end(w, downtime, unlisted, nil)
}

// end ends a life of w. The next one begins after downtime, once before has succeeded unless it
// is nil. The caller holds f.mu.
func (f *fleet) end(w *worker, downtime, unlisted time.Duration, before func() error) {
	f.endLife(w)
	time.AfterFunc(downtime, func() {
		if before != nil {
			if err := before(); err != nil {
				f.mu.Lock()
				f.recordViolation("", "worker %s cannot listen again: %v", w.id, err)
				f.mu.Unlock()
			}
		}
		f.mu.Lock()
		w.down, w.life, w.troubledAt = false, f.newLife(), time.Now()
		f.mu.Unlock()
		time.AfterFunc(unlisted, func() { f.register(w) })
	})
}

// endLife ends a life of w with its runs. The caller holds f.mu.
func (f *fleet) endLife(w *worker) {
	f.endDueRuns(w)
	w.down = true
	for _, r := range w.runs {
		f.task(r.task).leave(w)
		f.leaveGang(r, "gone")
		f.note(r.task, "run %d on %s gone with its worker", r.run, w.name())
	}
	clear(w.runs)
}
