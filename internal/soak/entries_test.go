package soak

import (
	"bytes"
	"fmt"
	"math"
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
	entryOf("127.0.0.1:70000", "z1", 8000, "r1-9", 1),
	entryOf("worker.example:80", "z1", 8000, "r1-9", 1),
	entryOf("127.0.0.1:9", "z1", math.MaxInt64, "r1-9", 1),
	entryOf("127.0.0.1:9", "z1", -1, "r1-9", 1),
	strings.Replace(entryOf("127.0.0.1:9", "z1", 8000, "r1-9", 1), "8000", "1e400", 1),
	strings.Replace(entryOf("127.0.0.1:9", "z1", 8000, "r1-9", 1), `"born":1`, `"born":"now"`, 1),
}

// entryOf returns the entry of a worker as PROTOCOL.md has it.
func entryOf(address, zone string, cpu int64, rack string, born int64) string {
	return fmt.Sprintf(`{"service":"s","address":%q,"zone":%q,"version":"1","slots":8,"state":"ready","coldLeftMs":0,"capacity":{"cpu":%d,"memMb":1000},"labels":["a",%q],"born":%d,"seq":1}`,
		address, zone, cpu, rack, born)
}

// oddForms are changes by which the entry of a worker becomes one of another writer.
var oddForms = [][2]string{{`"slots":8,`, ""}, {`"version":"1",`, ""}, {`"seq":1`, `"seq":"none"`}, {`,"seq":1`, ""}, {`"version":"1"`, `"version":1`}, {`"slots":8`, `"slots":"8"`}}

// oddEntryOver returns an entry of another writer like that of w, with a later start or the address of another worker.
func (c *cell) oddEntryOver(w *worker) string {
	other := c.fleet.workers[fmt.Sprintf("w%02d", c.overRng.IntN(len(c.fleet.workers)))]
	c.fleet.mu.Lock()
	address, born := other.address, w.born
	if c.overRng.IntN(2) == 0 {
		address, born = w.address, w.born+1+c.overRng.Int64N(math.MaxInt64-w.born)
	}
	cpu := w.cpu
	c.fleet.mu.Unlock()
	form := oddForms[c.overRng.IntN(len(oddForms))]
	return strings.Replace(entryOf(address, zoneOf(w.id), cpu, "r1-1", born), form[0], form[1], 1)
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
		c.oddAddresses = append(c.oddAddresses, entryOf(address, "z1", 8000, "r1-9", 1))
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
	if c.overRng.IntN(2) == 0 {
		entry = c.oddEntryOver(w)
	}
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
