package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// endlessBytes is the size of an answer that stands for one without an end: more than maxMemoryKB.
	endlessBytes = 512 << 20
	// maxMemoryKB is the memory of the smallest machines that run an instance.
	maxMemoryKB = 284 << 10
	// heartbeat is the time after which a worker writes its own entry again.
	heartbeat = 1500 * time.Millisecond
)

// oddEntries are entries of another writer, who may write anything among those of the workers.
var oddEntries = []string{
	"\x00\xff", "null", "[]", `{"service":"s"}`,
	strings.Repeat(`{"service":`, 50_000), strings.Repeat("[", 200_000),
	`{"service":"s","address":"127.0.0.1:70000","zone":"z1","state":"ready","capacity":{"cpu":8000},"born":1}`,
	`{"service":"s","address":"worker.example:80","zone":"z1","state":"ready","capacity":{"cpu":8000},"born":1}`,
	`{"service":"s","address":"127.0.0.1:9","zone":"z1","state":"ready","capacity":{"cpu":9223372036854775807},"born":1}`,
	`{"service":"s","address":"127.0.0.1:9","zone":"z1","state":"ready","capacity":{"cpu":-1},"born":1}`,
	`{"service":"s","address":"127.0.0.1:9","zone":"z1","state":"ready","capacity":{"cpu":1e400},"born":1}`,
	`{"service":"s","address":"127.0.0.1:9","zone":"z1","state":"ready","capacity":{"cpu":8000},"born":"now"}`,
}

// startOddServers serves the addresses that entries of another writer name: one whose answers have no
// end, and one that refuses each call as if it had seen a newer leader.
func (c *cell) startOddServers() {
	endless := c.listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := bytes.Repeat([]byte(`,["t",1,"",1,0]`), 4000)
		_, err := w.Write([]byte(`{"clockMs":1,"running":[["t",1,"",1,0]`))
		for sent := 0; err == nil && sent < endlessBytes; sent += len(part) {
			_, err = w.Write(part)
		}
	}))
	fencing := c.listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"clockMs":1,"reason":"fence"}`)) // a failure is one more odd answer
	}))
	for _, address := range []string{endless, fencing} {
		c.oddAddresses = append(c.oddAddresses, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z1","state":"ready","capacity":{"cpu":8000,"memMb":1000},"labels":["a","r1-9"],"born":1}`, address))
	}
}

// writeOddEntry writes an entry of another writer with a probability of a third: under a key of its
// own, or over that of a worker until its next heartbeat.
func (c *cell) writeOddEntry() {
	if c.entryRng.IntN(3) > 0 {
		return
	}
	entry := oddEntries[c.entryRng.IntN(len(oddEntries))]
	if c.entryRng.IntN(2) == 0 {
		entry = c.oddAddresses[c.entryRng.IntN(len(c.oddAddresses))]
	}
	if c.entryRng.IntN(2) == 0 {
		c.store.put("keyed.servers", fmt.Sprint("odd-", c.entryRng.IntN(5)), entry)
		return
	}
	id := fmt.Sprintf("w%02d", c.entryRng.IntN(len(c.fleet.workers)))
	w := c.fleet.workers[id]
	c.store.put("keyed.servers", id, entry)
	time.AfterFunc(heartbeat, func() { c.fleet.register(w) })
}

// checkMemory checks that no process has used more memory than a machine has.
func (c *cell) checkMemory() {
	for _, in := range c.instances {
		in.mu.Lock()
		pid := in.process.Pid
		in.mu.Unlock()
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue // it has just ended, or the system has no such file
		}
		for line := range strings.Lines(string(status)) {
			fields := strings.Fields(line)
			if fields[0] != "VmHWM:" {
				continue
			}
			if kb, err := strconv.Atoi(fields[1]); err != nil || kb > maxMemoryKB {
				c.t.Errorf("%s has used %s kB of memory, a machine has %d", in.name, fields[1], maxMemoryKB)
			}
		}
	}
}
