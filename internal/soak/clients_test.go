package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// submittedJob is a job and what its client knows of it.
type submittedJob struct {
	mu           sync.Mutex
	id           string
	width        int
	steps        int
	cpu          int64
	hopeless     bool // whether its first task always fails
	deadly       bool // whether its first task crashes its workers
	gang         bool // whether its tasks are a gang
	long         bool // whether its tasks outlast a lease; they don't fail by chance, as completionTimeout covers one run
	misreported  bool // whether a violation by its state is recorded
	openAttempts int  // attempts that have no outcome yet
	unknown      bool // whether the outcome of an attempt is not known
	refusals     int  // attempts that were certainly refused
	accepted     bool
	length       time.Duration // of a run of its tasks
	posted       time.Time     // when the first whole submission was sent
	acceptedAt   time.Time     // when the first acceptance arrived
	canceledAt   time.Time     // when the first cancellation was sent
	ackedAt      time.Time     // when the first acknowledgement of a cancellation arrived
	runsOn       bool          // whether a violation by a run after that is recorded
	idleReported bool          // checkIdle has recorded a violation
	idleSince    time.Time     // when it was first seen without a run on an idle fleet, or zero
}

// task returns the name of a task.
func (s *submittedJob) task(step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", s.id, step, index)
}

// refused reports whether every attempt so far was certainly refused.
func (s *submittedJob) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals > 0 && s.openAttempts == 0 && !s.unknown && !s.accepted
}

// state returns the state of a job as the first instance that answers reports it.
func (c *cell) state(id string) string {
	for _, in := range c.instances {
		if state := c.stateAt(http.DefaultClient, in, id); state != "" {
			return state
		}
	}
	return ""
}

// stateGone stands for the answer that there is no such job.
const stateGone = "gone"

// stateAt returns the state of a job as an instance reports it, or "". It checks that
// the tasks of the job have ended accordingly.
func (c *cell) stateAt(client *http.Client, in *instance, id string) string {
	sentAt := time.Now()
	status, body := c.call(client, in, http.MethodGet, "/q/"+id, nil)
	if status == http.StatusGone {
		c.fleet.checkGone(in, id)
		return stateGone
	}
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return ""
	}
	c.fleet.checkState(id, answer.State)
	c.fleet.checkStateAfterCancel(in, id, answer.State, sentAt)
	return answer.State
}

// call sends one request to an instance. A status of zero means that no answer came.
func (c *cell) call(client *http.Client, in *instance, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "soak.example"
	req.Header.Set("Authorization", "Token key")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// client submits jobs over persistent connections until c.stop is closed.
func (c *cell) client(number int) {
	defer c.clients.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	rng := rand.New(rand.NewPCG(c.seed, uint64(100+number)))
	deadly := rand.New(rand.NewPCG(c.seed, uint64(10_000+number)))
	canceling := rand.New(rand.NewPCG(c.seed, uint64(20_000+number)))
	cancelingClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		j := &submittedJob{id: fmt.Sprintf("%08x%08x", number, n), width: 1 + rng.IntN(4), steps: 1 + rng.IntN(2), cpu: int64(500 + rng.IntN(1500)), hopeless: rng.IntN(25) == 0, length: taskTime}
		j.deadly = c.fleet.crashes && deadly.IntN(20) == 0
		canceled := canceling.IntN(5) == 0
		if canceled && canceling.IntN(2) == 0 {
			j.length, j.width, j.cpu = longTaskTime, 1, 500
		}
		c.fleet.addJob(j)
		if canceled {
			c.clients.Add(1)
			go c.submitAndCancel(cancelingClient, rand.New(rand.NewPCG(canceling.Uint64(), 0)), j)
		} else {
			c.submit(client, rng, j)
		}
		if n > 0 && rng.IntN(4) == 0 { // the state of a job is checked at any time
			c.stateAt(client, c.instances[rng.IntN(len(c.instances))], fmt.Sprintf("%08x%08x", number, n-1-rng.IntN(min(n, 40))))
		}
	}
}

// submission returns the body that submits j.
func (j *submittedJob) submission() []byte {
	steps := ""
	for i := range j.steps {
		after := ""
		if i > 0 {
			after = `,"dependsOn":[0]`
		}
		if j.gang {
			after += `,"gang":true`
		}
		steps += fmt.Sprintf(`{"count":%d,"cpu":%d,"memMb":1,"estimateMs":%d%s},`, j.width, j.cpu, j.length.Milliseconds(), after)
	}
	return []byte(`{"spec":"p","steps":[` + steps[:len(steps)-1] + `]}`)
}

// submit submits j, with up to three attempts until it is accepted.
func (c *cell) submit(client *http.Client, rng *rand.Rand, j *submittedJob) {
	body := j.submission()
	for range 3 {
		in := c.instances[rng.IntN(len(c.instances))]
		accepted := c.attempt(in, j, func() int {
			j.sendsWhole()
			status, _ := c.call(client, in, http.MethodPost, "/q/"+j.id, body)
			return status
		})
		if accepted {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// sendsWhole notes that a whole submission of j is about to be sent.
func (j *submittedJob) sendsWhole() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.posted.IsZero() {
		j.posted = time.Now()
	}
}

// attempt submits j once by send, which returns the status, and reports whether j is accepted.
func (c *cell) attempt(in *instance, j *submittedJob, send func() int) bool {
	j.mu.Lock()
	j.openAttempts++
	j.mu.Unlock()
	status := send()
	j.mu.Lock()
	j.openAttempts--
	switch status {
	case http.StatusOK:
		if !j.accepted {
			j.acceptedAt = time.Now()
		}
		j.accepted = true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		j.refusals++
	default:
		j.unknown = true
	}
	accepted := j.accepted
	j.mu.Unlock()
	c.fleet.noteJob(j, "POST at %s: %d", in.name, status)
	return accepted
}
