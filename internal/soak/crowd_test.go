package soak

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// The limits of the crowded processes are a fifth of those of the smallest machines, and
	// so is the crowd.
	crowdMemoryMB = 64
	crowdMaxFDs   = 820
	crowdClients  = 300
	crowdDuration = 4 * time.Second
	// returnDelay is the pause between two connections of a client.
	returnDelay = 50 * time.Millisecond
	// recoveryTimeout bounds the wait for the answer to an ordinary request after a crowd.
	recoveryTimeout = 60 * time.Second
	// The sizes of a request that the declarations allow.
	crowdHeaderBytes = 16_384
	crowdBodyBytes   = 262_144
	// crowdSeed selects the addresses of the processes.
	crowdSeed = 190
)

var crowdLimits = processLimits{memoryKB: crowdMemoryMB << 10, files: crowdMaxFDs}

// TestCrowd lets a crowd of clients send requests that are legal but odd, most of which
// never end, to a process with little memory: one process and one crowd for each kind.
func TestCrowd(t *testing.T) {
	binary := buildProgram(t)
	for _, k := range crowdKinds() {
		t.Run(k.name, func(t *testing.T) {
			c := startCrowded(t, binary, 1)
			c.meet(k, c.instances[0])
		})
	}
}

// TestCrowdForwarded lets the crowds whose bodies are forwarded to the leader meet a
// follower of a cell.
func TestCrowdForwarded(t *testing.T) {
	binary := buildProgram(t)
	for _, k := range forwardedKinds() {
		t.Run(k.name, func(t *testing.T) {
			c := startCrowded(t, binary, 3)
			leader := c.leader()
			require.NotNil(t, leader, "no instance leads")
			follower := c.instances[0]
			if follower == leader {
				follower = c.instances[1]
			}
			c.meet(k, follower)
		})
	}
}

// startCrowded starts a cell with the limits above and waits until it accepts jobs.
func startCrowded(t *testing.T, binary string, instances int) *cell {
	c := newCell(t, binary, crowdSeed, 2)
	c.limits["memoryMb"], c.limits["maxFds"] = crowdMemoryMB, crowdMaxFDs
	c.storeLimits = map[string]any{"recordBytes": 262_144, "callBytes": 2_097_152}
	c.callerLimits = map[string]any{"maxHeaderBytes": crowdHeaderBytes, "maxBodyBytes": crowdBodyBytes}
	c.start(instances)
	t.Cleanup(func() { c.killAll(); c.group.Wait() })
	for i, in := range c.instances {
		require.True(t, c.serves(in, 1+i), "%s serves no requests", in.name)
	}
	return c
}

// serves reports whether in answers a question and accepts a job within recoveryTimeout.
func (c *cell) serves(in *instance, number int) bool {
	job := []byte(`{"spec":"p","steps":[{"count":1,"cpu":100,"memMb":1,"estimateMs":100}]}`)
	asked := false
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !asked {
			status, _ := c.call(http.DefaultClient, in, http.MethodGet, "/q/", nil)
			asked = status == http.StatusOK
			continue
		}
		if status, _ := c.call(http.DefaultClient, in, http.MethodPost, fmt.Sprintf("/q/%016x", number), job); status == http.StatusOK {
			return true
		}
	}
	return false
}

// meet lets the crowd k meet target and checks that all processes of the cell stay alive and
// within their limits, and that target serves an ordinary caller afterwards.
func (c *cell) meet(k crowdKind, target *instance) {
	var watches []*watch
	for _, in := range c.instances {
		watches = append(watches, watchProcess(in, crowdLimits))
	}
	start := time.Now()
	k.crowd(target, start.Add(crowdDuration))
	served := c.serves(target, 1000)
	for _, w := range watches {
		w.end()
		c.t.Logf("%s: %v", w.in.name, w)
		w.check(c.t)
		checkLog(c.t, w.in, time.Since(start))
	}
	if !served {
		c.t.Errorf("%s serves no ordinary caller after the crowd", target.name)
	}
	if c.t.Failed() {
		c.copyLogs()
	}
}

// crowd runs the clients of k until end.
func (k *crowdKind) crowd(target *instance, end time.Time) {
	address := target.front
	if k.address != nil {
		address = k.address(target)
	}
	var group sync.WaitGroup
	for i := range k.clients {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(end) {
				v := visit{address: address, client: i, end: end}
				v.run(k)
				time.Sleep(min(returnDelay, time.Until(end)))
			}
		}()
	}
	group.Wait()
}

// The bounds on the lines of a log that docs/OPERATIONS.md promises: all classes together in
// one second, and the lines of a message in any case.
const (
	maxLinesPerSecond = 1500 + 500 + 200
	linesOfEach       = 100
	crowdMessages     = 10 // different messages about callers
)

// checkLog checks that in has not logged more lines since its start than the bounds allow.
func checkLog(t *testing.T, in *instance, crowded time.Duration) {
	data, err := os.ReadFile(in.log.Name())
	require.NoError(t, err)
	lines := 0
	for _, b := range data {
		if b == '\n' {
			lines++
		}
	}
	in.mu.Lock()
	seconds := int(time.Since(in.startedAt)/time.Second) + 1
	in.mu.Unlock()
	t.Logf("%s: %d lines, %d bytes of log in %d s, of them %v with the crowd", in.name, lines, len(data), seconds, crowded.Round(time.Millisecond))
	if bound := seconds * (maxLinesPerSecond + crowdMessages*linesOfEach); lines > bound {
		t.Errorf("%s has logged %d lines in %d s, at most %d are allowed", in.name, lines, seconds, bound)
	}
}
