package node

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxRelayPayloads is the number of payloads that a relay keeps.
	maxRelayPayloads = 2048
	// maxSentPayloads is the number of payloads that a leader assumes a relay to have. A
	// relay may serve two leaders in quick succession, so it keeps twice as many.
	maxSentPayloads = maxRelayPayloads / 2
	// maxOwnPayloads is the number of payloads that an instance keeps of the jobs that it
	// took from callers. Most of them start within seconds.
	maxOwnPayloads = 256
	// payloadFetchTimeout bounds the call by which a relay gets a payload.
	payloadFetchTimeout = 300 * time.Millisecond
)

// payloadCache holds the payloads of jobs, so that a leader sends the payload of a job to
// each relay at most once.
type payloadCache struct {
	limit int // number of payloads

	mu    sync.Mutex
	byJob map[string]string
	order []string // the jobs in the order in which they were added
}

func newPayloadCache(limit int) *payloadCache {
	return &payloadCache{limit: limit, byJob: make(map[string]string)}
}

// add adds the payload of a job and drops the oldest one if there are too many.
func (c *payloadCache) add(job, payload string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.byJob[job]; !known {
		c.order = append(c.order, job)
	}
	c.byJob[job] = payload
	if len(c.order) > c.limit {
		delete(c.byJob, c.order[0])
		c.order = c.order[1:]
	}
}

// addFirst adds the payload of a job unless one is known. It reports whether it did.
func (c *payloadCache) addFirst(job, payload string) bool {
	if _, known := c.get(job); known {
		return false
	}
	c.add(job, payload)
	return true
}

// remove removes the payload of a job.
func (c *payloadCache) remove(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byJob, job)
	c.order = slices.DeleteFunc(c.order, func(other string) bool { return other == job })
}

// get returns the payload of a job and whether it is known.
func (c *payloadCache) get(job string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	payload, known := c.byJob[job]
	return payload, known
}

// PayloadArgs are the arguments of Payload: a job.
type PayloadArgs struct{ ID string }

// PayloadReply is the payload of a job, if it is known.
type PayloadReply struct {
	Payload string
	Known   bool
}

// Payload returns the payload of a job that a caller has submitted to this instance.
func (s *Service) Payload(args *PayloadArgs, reply *PayloadReply) error {
	reply.Payload, reply.Known = s.n.ownPayloads.get(args.ID)
	return nil
}

// payloadOf returns the payload of a job. If this instance does not have it as a relay, it
// asks the instance that took the job, unless that is not known. It reports false if
// there is no answer or that instance does not have it any more.
func (n *Node) payloadOf(id, entry string) (string, bool) {
	if payload, known := n.relayedPayloads.get(id); known || entry == "" {
		return payload, known
	}
	if entry == n.settings.Address {
		return n.ownPayloads.get(id)
	}
	reply, err, _ := n.payloadFetches.Do(id, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), payloadFetchTimeout)
		defer cancel()
		var reply PayloadReply
		err := n.peers.Get(entry).Call(ctx, serviceName+".Payload", &PayloadArgs{ID: id}, &reply)
		if err == nil && reply.Known {
			n.relayedPayloads.add(id, reply.Payload)
		}
		return reply, err
	})
	if err != nil {
		n.log.Warn("payload not fetched; the leader is asked to send it", "job", id, "entry", entry, "reason", err.Error())
		return "", false
	}
	payload := reply.(PayloadReply)
	return payload.Payload, payload.Known
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
