package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

const (
	// maxCut is the longest cut after a restart: longer than a lease.
	maxCut = 5 * time.Second
	// leaseOutlast is by how much a long task outlasts a lease at least.
	leaseOutlast = time.Second
	// maxHeld is how long after a cut a call that it held may still arrive.
	maxHeld = 6 * time.Second
)

// The modes of a cut that refuses no connections.
const (
	darkSilent  = "silent"  // no call arrives; some are carried out when the cut is over
	darkAnswers = "answers" // calls arrive, their answers are lost
)

// recutRandom restarts some workers under their ids and cuts them off soon after, with a probability of a
// third.
func (c *cell) recutRandom() {
	if c.recutRng.IntN(3) > 0 {
		return
	}
	zone, all := c.recutRng.IntN(3), c.recutRng.IntN(4) == 0
	one := fmt.Sprintf("w%02d", c.recutRng.IntN(len(c.fleet.workers)))
	mode := []string{darkSilent, darkAnswers, "refuse"}[c.recutRng.IntN(3)]
	rounds := 1 + c.recutRng.IntN(2)
	for n := range len(c.fleet.workers) {
		id := fmt.Sprintf("w%02d", n)
		if id == one || all && zoneOf(id) == fmt.Sprint("z", zone) {
			go c.recut(rand.New(rand.NewPCG(c.recutRng.Uint64(), 0)), id, mode, rounds)
		}
	}
}

// leaveRandom has one worker leave for good, once in a seed, and hits whoever leads after that.
func (c *cell) leaveRandom() {
	if c.left || c.leaveRng.IntN(8) > 0 {
		return
	}
	c.left = true
	id := fmt.Sprintf("w%02d", c.leaveRng.IntN(len(c.fleet.workers)))
	if !c.fleet.leave(id, c.leaveRng.IntN(2) == 0) {
		return
	}
	time.AfterFunc(3*heartbeat, func() { c.store.put("keyed.servers", id, "") })
	rng := rand.New(rand.NewPCG(c.leaveRng.Uint64(), 0))
	go func() {
		c.wait(time.Duration(rng.IntN(1500)) * time.Millisecond)
		c.hitLeader(rng)
	}()
}

// leave ends a worker for good, and reports whether it could. Its machine refuses connections or is silent.
func (f *fleet) leave(id string, refuses bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w.down || w.cut || w.dark != "" {
		return false
	}
	f.faulty[fmt.Sprint("worker left, refuses ", refuses)]++
	f.endLife(w)
	w.left = true
	if refuses {
		_ = w.server.Close() // its connections end with it
	}
	return true
}

// recut restarts a worker under its id and cuts it off 0.5 to 3 s later. Calls that a silent cut before the
// restart holds are carried out by the next life.
func (c *cell) recut(rng *rand.Rand, id, mode string, rounds int) {
	for range rounds {
		held := rng.IntN(2) == 0 && c.fleet.beginCut(id, darkSilent)
		if held {
			c.wait(time.Duration(200+rng.IntN(800)) * time.Millisecond)
		}
		downtime := time.Duration(rng.Int64N(int64(600 * time.Millisecond)))
		c.fleet.restart(id, downtime, time.Duration(rng.Int64N(int64(300*time.Millisecond))))
		c.wait(downtime)
		if held {
			c.fleet.endCut(id, darkSilent)
		}
		c.wait(500*time.Millisecond + time.Duration(rng.Int64N(int64(2500*time.Millisecond))))
		if c.stopped() || !c.fleet.beginCut(id, mode) {
			return
		}
		c.wait(time.Second + time.Duration(rng.Int64N(int64(maxCut-time.Second))))
		c.fleet.endCut(id, mode)
	}
}

func (c *cell) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// beginCut cuts a worker off, and reports whether it could.
func (f *fleet) beginCut(id, mode string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w.cut || w.left || w.dark != "" || mode == "refuse" && w.down {
		return false
	}
	f.faulty["cut "+mode]++
	if mode == "refuse" {
		f.refuseConnections(w)
	} else {
		w.dark, w.lightUp = mode, make(chan struct{})
	}
	return true
}

func (f *fleet) endCut(id, mode string) {
	w := f.workers[id]
	if mode == "refuse" {
		f.acceptConnections(w)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.dark, w.troubledAt = "", time.Now()
	close(w.lightUp)
}

// handleDark handles a call to a worker that is cut off. None is answered; one that does not arrive
// may be carried out after the cut, by the life that is then.
func (f *fleet) handleDark(r *http.Request, w *worker, called *life, req *workerRequest, mode string) {
	if mode == darkAnswers {
		f.carryOut(w, called, r.URL.Path, req, ", answer cut off")
		<-r.Context().Done()
		return
	}
	f.mu.Lock()
	longest := []time.Duration{200 * time.Millisecond, time.Second, maxHeld}[f.gangRng.IntN(3)]
	arrives, delay, lightUp := f.gangRng.IntN(2) == 0, time.Duration(f.gangRng.Int64N(int64(longest))), w.lightUp
	if arrives {
		f.pending.Add(1)
		f.faulty[r.URL.Path+" held by a cut"]++
		f.note(req.Task, "call for run %d to %s held by a cut", req.Run, w.name())
	}
	f.mu.Unlock()
	if arrives {
		go func() {
			<-lightUp
			time.Sleep(delay)
			f.carryOutLate(w, called, r.URL.Path, req)
		}()
	}
	<-r.Context().Done()
}

// series does something up to four times, with pauses of up to longest, but only until the clients must stop.
func (c *cell) series(rng *rand.Rand, longest time.Duration, do func()) {
	for n := 1 + rng.IntN(4); n > 0 && !c.stopped(); n-- {
		do()
		c.wait(50*time.Millisecond + time.Duration(rng.Int64N(int64(longest))))
	}
}

// hitLeadersRandom hits whoever leads in a series, with a probability of a fifth, and changes the config in
// one, with a probability of a tenth.
func (c *cell) hitLeadersRandom() {
	if c.leaderRng.IntN(5) == 0 {
		rng := rand.New(rand.NewPCG(c.leaderRng.Uint64(), 0))
		go c.series(rng, 2*time.Second, func() { c.hitLeader(rng) })
	}
	if c.leaderRng.IntN(10) == 0 {
		rng := rand.New(rand.NewPCG(c.leaderRng.Uint64(), 0))
		go c.series(rng, 800*time.Millisecond, func() {
			c.putConfig()
			if rng.IntN(2) == 0 {
				c.instances[rng.IntN(len(c.instances))].signal(syscall.SIGHUP)
			}
		})
	}
}

// hitLeaderBetweenEnds hits the leader after the first of several members of a gang's run has failed, before or
// after it has heard of that.
func (c *cell) hitLeaderBetweenEnds() {
	rng := rand.New(rand.NewPCG(c.seed, 14))
	for {
		select {
		case <-c.stop:
			return
		case <-c.fleet.gangFailures:
		}
		if rng.IntN(2) == 0 {
			c.wait(time.Duration(rng.IntN(400)) * time.Millisecond)
			c.hitLeader(rng)
		}
		c.wait(1500 * time.Millisecond)
	}
}

// hitLeader kills, ends or pauses the leader.
func (c *cell) hitLeader(rng *rand.Rand) {
	in := c.leader()
	if in == nil || c.stopped() {
		return
	}
	how := []syscall.Signal{syscall.SIGKILL, syscall.SIGKILL, syscall.SIGTERM, syscall.SIGSTOP}[rng.IntN(4)]
	c.fleet.mu.Lock()
	c.fleet.faulty[fmt.Sprint("leader ", how)]++
	c.fleet.mu.Unlock()
	if how == syscall.SIGTERM {
		c.clients.Add(1)
		go c.useUntilGone(in, rng.Uint64())
	}
	in.signal(how)
	if how == syscall.SIGSTOP {
		c.wait(time.Duration(300+rng.IntN(2200)) * time.Millisecond)
		in.signal(syscall.SIGCONT)
	}
}

// useUntilGone submits jobs over an open connection to a process that ends, until it is gone.
func (c *cell) useUntilGone(in *instance, seed uint64) {
	defer c.clients.Done()
	rng := rand.New(rand.NewPCG(seed, 0))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for n := 0; n < 30 && !c.stopped(); n++ {
		j := randomGang(rng, fmt.Sprintf("%08x%08x", 0xe0000000|uint32(seed), n))
		c.fleet.addJob(j)
		answered := false
		c.attempt(in, j, func() int {
			j.sendsWhole()
			status, _ := c.call(client, in, http.MethodPost, "/q/"+j.id, j.submission())
			answered = status != 0
			return status
		})
		if !answered {
			return
		}
		c.wait(50 * time.Millisecond)
	}
}

// addJob adds a job before its first submission.
func (f *fleet) addJob(j *submittedJob) {
	f.mu.Lock()
	f.jobs[j.id] = j
	f.mu.Unlock()
}

// gangClient submits gangs and long tasks until c.stop is closed, and asks for their states.
func (c *cell) gangClient(number int) {
	defer c.clients.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	rng := rand.New(rand.NewPCG(c.seed, uint64(30_000+number)))
	for n := 0; ; n++ {
		c.wait(time.Duration(150+rng.IntN(400)) * time.Millisecond)
		if c.stopped() {
			return
		}
		id := func(n int) string { return fmt.Sprintf("%08x%08x", 0xd0000000+number, n) }
		j := randomGang(rng, id(n))
		if rng.IntN(3) == 0 {
			j = &submittedJob{id: id(n), long: true, width: 1 + rng.IntN(2), steps: 1, cpu: 500, length: c.fleet.maxLease + leaseOutlast + time.Duration(rng.Int64N(int64(time.Second)))}
		}
		c.fleet.addJob(j)
		c.submit(client, rng, j)
		if n > 0 {
			c.stateAt(client, c.instances[rng.IntN(len(c.instances))], id(n-1-rng.IntN(min(n, 8))))
		}
	}
}

// putConfig writes the next version of the config. Versions differ in what no job of the soak depends on.
func (c *cell) putConfig() {
	c.configMu.Lock()
	defer c.configMu.Unlock()
	c.configVersion++
	extra, tenant := "", ""
	limits, _ := json.Marshal(c.callerLimits) // numbers only
	if c.configVersion%2 == 0 {
		extra = fmt.Sprintf(`,{"name":"x%d","host":"soak.example","pathPrefix":"/x%d/","service":"s","attempts":2,"stretch":4,"targetLatencyMs":60000,"timeoutMs":3000}`, c.configVersion, c.configVersion)
	}
	if c.configVersion%3 == 0 {
		tenant = `,{"name":"other","apiKeys":["other"],"weight":500,"cap":{}}`
	}
	c.store.put("keyed.op", "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":"soak.example","pathPrefix":"/q/","service":"s","attempts":%d,"stretch":4,"targetLatencyMs":60000,"timeoutMs":%d}%s],
		"services":[{"name":"s"}],"limits":%s,"tenants":[{"name":"t","apiKeys":["key"],"weight":1000,"cap":{}}%s]}`, c.configVersion, maxAttempts, 3000+100*(c.configVersion%7), extra, limits, tenant))
}
