package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// leader returns the instance that last appended records as the leader, or nil.
func (c *cell) leader() *instance {
	c.store.mu.Lock()
	address := c.store.leaderAddress
	c.store.mu.Unlock()
	for _, in := range c.instances {
		if in.storeProxy.dialed(address) {
			return in
		}
	}
	return nil
}

// freezeLeaders freezes whoever leads, up to three times in a row, with a probability of a tenth.
// Clients go on sending cancellations to it over their open connections.
func (c *cell) freezeLeaders() {
	if c.freezeRng.IntN(10) > 0 {
		return
	}
	seed := c.freezeRng.Uint64()
	go func() {
		rng := rand.New(rand.NewPCG(seed, 0))
		for range 1 + rng.IntN(3) {
			in := c.leader()
			if c.stopped() || in == nil || !c.frozen.CompareAndSwap(nil, in) {
				return // another series is under way
			}
			in.signal(syscall.SIGSTOP)
			c.wait(500*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second))))
			in.signal(syscall.SIGCONT)
			c.frozen.Store(nil)
			c.wait(time.Duration(rng.Int64N(int64(time.Second))))
		}
	}()
}

// wait waits for d, but only until the clients must stop.
func (c *cell) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.stop:
	}
}

// silenceRandom makes the open connections of one or of all instances to the store silent for good,
// with a probability of a tenth. New ones work.
func (c *cell) silenceRandom() {
	if c.freezeRng.IntN(10) > 0 {
		return
	}
	one, all := c.freezeRng.IntN(len(c.instances)), c.freezeRng.IntN(2) == 0
	for i, in := range c.instances {
		if all || i == one {
			in.storeProxy.silence()
		}
	}
}
