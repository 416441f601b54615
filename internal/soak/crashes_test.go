package soak

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// crashDelay is how long after its start a deadly task crashes its worker.
	crashDelay = 10 * time.Millisecond
	// crashedTime is the shortest time until a crashed worker is back.
	crashedTime = time.Second
	// shrinkageGrace is how long starts may use the capacity before a shrinkage: until the
	// directory tells, which faults of the store and of the links to it may delay.
	shrinkageGrace = 8 * time.Second
)

// pastCapacity is a capacity that a worker had until it was resized.
type pastCapacity struct {
	cpu int64
	at  time.Time
}

// listenAt serves the calls to w at an address.
func (c *cell) listenAt(w *worker, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: c.fleet.serve(w.id)}
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	w.server, w.address = server, l.Addr().String()
	if c.fleet.closed {
		return server.Close()
	}
	return nil
}

// closeFor closes the address of w for good, also if w comes back from a crash later.
func (f *fleet) closeFor(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	_ = w.server.Close()
}

// deadly reports whether a task crashes its workers.
func (f *fleet) deadly(task string) bool {
	j := f.jobOf(task)
	return j != nil && j.deadly && strings.HasSuffix(task, ".0.0.0")
}

// crashLater crashes w if it still runs a deadly task after crashDelay. The caller holds f.mu.
func (f *fleet) crashLater(w *worker, r *taskRun) {
	if !f.deadly(r.task) {
		return
	}
	at := w.life
	time.AfterFunc(crashDelay, func() {
		f.mu.Lock()
		crash := w.life == at && !w.down && w.runs[r.task] == r
		if crash {
			f.crash(w)
		}
		f.mu.Unlock()
	})
}

// crash ends the process of w, whose address refuses connections until it is back. The caller
// holds f.mu.
func (f *fleet) crash(w *worker) {
	f.countCrash(w)
	f.crashed++
	_ = w.server.Close() // its connections end with it
	downtime := crashedTime + time.Duration(f.crashRng.Int64N(int64(time.Second)))
	listen := func() error { return f.listen(w, w.address) }
	if w.cut {
		listen = nil // the end of the cut does it
	}
	f.end(w, downtime, time.Duration(f.crashRng.Int64N(int64(time.Second))), listen)
}

// countCrash counts a crash for the tasks that run on w.
func (f *fleet) countCrash(w *worker) {
	for _, r := range w.runs {
		f.task(r.task).crashes++
	}
}

// cutRandom parts some workers from all instances for up to 3 s by a cut that ends connections and
// refuses new ones. The workers work on; some restart behind the cut.
func (f *fleet) cutRandom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashRng.IntN(6) > 0 {
		return
	}
	for id := range f.crashRng.IntN(1 + len(f.workers)/2) {
		w := f.workers[fmt.Sprintf("w%02d", id)]
		if w.down || w.cut {
			continue
		}
		f.refuseConnections(w)
		length := time.Duration(f.crashRng.Int64N(int64(3 * time.Second)))
		if f.restarts && f.crashRng.IntN(3) == 0 {
			f.countCrash(w) // to the instances it looks as if it had crashed at once
			f.end(w, length/2, length/2, nil)
		}
		time.AfterFunc(length, func() { f.acceptConnections(w) })
	}
}

// refuseConnections parts w from all instances by a cut that ends and refuses connections. The caller
// holds f.mu.
func (f *fleet) refuseConnections(w *worker) {
	f.cuts++
	w.cut = true
	_ = w.server.Close() // its connections end with it
}

// acceptConnections ends such a cut.
func (f *fleet) acceptConnections(w *worker) {
	err := f.listen(w, w.address)
	f.mu.Lock()
	defer f.mu.Unlock()
	w.cut, w.troubledAt = false, time.Now()
	if err != nil && !f.closed {
		f.recordViolation("", "worker %s cannot listen again after a cut: %v", w.id, err)
	}
}

// checkCrashes checks that a deadly task is not started three times more after three workers
// have crashed under it. The caller holds f.mu.
func (f *fleet) checkCrashes(task string) {
	t := f.task(task)
	if !f.deadly(task) || t.crashes < 3 {
		return
	}
	if t.startsSinceThird++; t.startsSinceThird >= 3 {
		f.recordViolation(task, "task %s was started three times more after three workers had crashed under it", task)
	}
}

// resizeRandom resizes a worker, and gives it its full capacity back later.
func (f *fleet) resizeRandom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.crashes || f.crashRng.IntN(3) > 0 {
		return
	}
	w := f.workers[fmt.Sprintf("w%02d", f.crashRng.IntN(len(f.workers)))]
	f.resize(w, workerCPU*(2+f.crashRng.Int64N(6))/8)
	time.AfterFunc(time.Duration(f.crashRng.Int64N(int64(12*time.Second))), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.resize(w, workerCPU)
	})
}

// resize changes the capacity of w. The caller holds f.mu.
func (f *fleet) resize(w *worker, cpu int64) {
	w.past = append(w.past, pastCapacity{w.cpu, time.Now()})
	w.cpu = cpu
	if !w.down {
		go f.register(w)
	}
}

// capacityInForce returns the capacity that starts must respect. The caller holds f.mu.
func (w *worker) capacityInForce() int64 {
	cpu := w.cpu
	for _, old := range w.past {
		if time.Since(old.at) < shrinkageGrace {
			cpu = max(cpu, old.cpu)
		}
	}
	return cpu
}
