package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// longTaskTime is the length of the runs of some jobs that are canceled: those that nobody
// stops are seen to go on.
const longTaskTime = 8 * time.Second

// submitAndCancel submits j and cancels it: before, during or after its submission. Some time
// later it may cancel it again, submit it again or ask for its state.
func (c *cell) submitAndCancel(client *http.Client, rng *rand.Rand, j *submittedJob) {
	defer c.clients.Done()
	switch rng.IntN(6) {
	case 0: // before the submission
		c.cancel(client, rng, j)
		c.pause(rng, time.Second)
		c.submit(client, rng, j)
	case 1: // while it is under way
		submitted := make(chan struct{})
		submitting := rand.New(rand.NewPCG(rng.Uint64(), 0))
		go func() {
			defer close(submitted)
			c.submit(client, submitting, j)
		}()
		c.pause(rng, 40*time.Millisecond)
		c.cancel(client, rng, j)
		<-submitted
	case 2: // after half of it
		in := c.instances[rng.IntN(len(c.instances))]
		c.attempt(in, j, func() int {
			return c.submitInHalves(in, j, func() { c.cancel(client, rng, j) })
		})
	default:
		c.submit(client, rng, j)
		c.pause(rng, []time.Duration{200 * time.Millisecond, 2 * time.Second}[rng.IntN(2)])
		c.cancel(client, rng, j)
	}
	for range rng.IntN(4) {
		c.pause(rng, 3*time.Second)
		switch rng.IntN(3) {
		case 0:
			c.cancelOnce(client, rng, j)
		case 1:
			c.submit(client, rng, j)
		case 2:
			c.stateAt(client, c.instances[rng.IntN(len(c.instances))], j.id)
		}
	}
}

// pause waits for up to longest, but only until the clients must stop.
func (c *cell) pause(rng *rand.Rand, longest time.Duration) {
	c.wait(time.Duration(rng.Int64N(int64(longest))))
}

// cancel cancels j, again and again until it is acknowledged.
func (c *cell) cancel(client *http.Client, rng *rand.Rand, j *submittedJob) {
	var end time.Time // after the faults
	for !c.cancelOnce(client, rng, j) {
		select {
		case <-c.stop:
			if end.IsZero() {
				end = time.Now().Add(completionTimeout)
			}
			if time.Now().After(end) {
				c.fleet.mu.Lock()
				c.fleet.recordViolation(j.task(0, 0), "the cancellation of job %s is not acknowledged %v after the last fault", j.id, completionTimeout)
				c.fleet.mu.Unlock()
				return
			}
			time.Sleep(200 * time.Millisecond)
		case <-time.After(time.Duration(50+rng.IntN(200)) * time.Millisecond):
		}
	}
}

// cancelOnce sends one cancellation of j to any instance, more often to one that is frozen, and
// reports whether it is acknowledged.
func (c *cell) cancelOnce(client *http.Client, rng *rand.Rand, j *submittedJob) bool {
	in := c.instances[rng.IntN(len(c.instances))]
	if frozen := c.frozen.Load(); rng.IntN(2) == 0 && frozen != nil {
		in = frozen
	}
	j.mu.Lock()
	if j.canceledAt.IsZero() {
		j.canceledAt = time.Now()
	}
	j.mu.Unlock()
	sentAt := time.Now()
	status, _ := c.call(client, in, http.MethodDelete, "/q/"+j.id, nil)
	acked := status/100 == 2 || status == http.StatusGone
	j.mu.Lock()
	if acked && j.ackedAt.IsZero() {
		j.ackedAt = time.Now()
	}
	j.mu.Unlock()
	c.fleet.noteJob(j, "DELETE at %s, sent %v ago: %d", in.name, time.Since(sentAt).Round(time.Millisecond), status)
	c.fleet.checkCancelAnswer(in, j, status, sentAt)
	return acked
}

// submitInHalves submits j over a connection of its own, with a call of between after half of the
// body, and returns the status.
func (c *cell) submitInHalves(in *instance, j *submittedJob, between func()) int {
	body := j.submission()
	conn, err := net.DialTimeout("tcp", in.front, time.Second)
	if err != nil {
		between()
		return 0
	}
	defer func() { _ = conn.Close() }() // the answer has been read
	_, err = fmt.Fprintf(conn, "POST /q/%s HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token key\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", j.id, len(body), body[:len(body)/2])
	between()
	if err != nil {
		return 0
	}
	j.sendsWhole()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second)) // a failure shows with the next call
	if _, err = conn.Write(body[len(body)/2:]); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
