package soak

import (
	"fmt"
	"time"
)

// evacuationBound is how long after an evacuation tasks may still start in its zone: the time
// that the platform allows, and the longest fault of the store or of an instance.
const evacuationBound = 8 * time.Second

// zoneOf returns the availability zone of a worker, one of three.
func zoneOf(id string) string { return fmt.Sprintf("z%d", int(id[len(id)-1])%3) }

// evacuateRandom evacuates a zone for up to three times the bound, with a probability of a
// tenth. At most one zone is evacuated at a time, so that the others can do the work.
func (c *cell) evacuateRandom() {
	if c.evacuationRng.IntN(10) > 0 {
		return
	}
	zone := fmt.Sprintf("z%d", c.evacuationRng.IntN(3))
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if len(c.fleet.evacuated) > 0 {
		return
	}
	c.store.put("keyed.op", "evacuate/"+zone, "{}")
	c.fleet.evacuated[zone] = time.Now()
	time.AfterFunc(time.Duration(c.evacuationRng.Int64N(int64(3*evacuationBound))), c.takeBack)
}

// takeBack ends all evacuations.
func (c *cell) takeBack() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for zone := range c.fleet.evacuated {
		c.store.put("keyed.op", "evacuate/"+zone, "")
		delete(c.fleet.evacuated, zone)
	}
}

// checkZone checks that a start is not in a zone that has been evacuated for longer than the
// bound. A call that was held back is not checked. The caller holds f.mu.
func (f *fleet) checkZone(w *worker, req *workerRequest) {
	since, evacuated := f.evacuated[zoneOf(w.id)]
	if evacuated && time.Since(since) > evacuationBound && f.fault == "" {
		f.recordViolation(req.Task, "run %d started on %s %v after the evacuation of its zone", req.Run, w.id, time.Since(since))
	}
}
