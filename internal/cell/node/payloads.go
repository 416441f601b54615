package node

import (
	"strings"
	"sync"
)

const (
	// maxRelayPayloads is the number of payloads that a relay keeps.
	maxRelayPayloads = 2048
	// maxSentPayloads is the number of payloads that a leader assumes a relay to have. A
	// relay may serve two leaders in quick succession, so it keeps twice as many.
	maxSentPayloads = maxRelayPayloads / 2
)

// payloadCache holds the payloads of the jobs whose tasks an instance has started as a
// relay, so that a leader sends the payload of a job to each relay only once.
type payloadCache struct {
	mu    sync.Mutex
	byJob map[string]string
	order []string // the jobs in the order in which they were added
}

// add adds the payload of a job and drops the oldest one if there are too many.
func (c *payloadCache) add(job, payload string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byJob == nil {
		c.byJob = make(map[string]string)
	}
	if _, known := c.byJob[job]; !known {
		c.order = append(c.order, job)
	}
	c.byJob[job] = payload
	if len(c.order) > maxRelayPayloads {
		delete(c.byJob, c.order[0])
		c.order = c.order[1:]
	}
}

// get returns the payload of a job and whether it is known.
func (c *payloadCache) get(job string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	payload, known := c.byJob[job]
	return payload, known
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
