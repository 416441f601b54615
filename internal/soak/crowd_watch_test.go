package soak

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// sampleInterval is the interval at which a watch reads the use of resources.
const sampleInterval = 50 * time.Millisecond

// processLimits are the bounds of a process.
type processLimits struct {
	memoryKB int
	files    int
}

// watch observes what a process uses.
type watch struct {
	in      *instance
	pid     int
	limits  processLimits
	baseKB  int // resident at the beginning
	peakKB  int // resident
	heldKB  int // highest sum of what was resident and received but not read
	files   int // highest number of open descriptors
	gone    bool
	stop    chan struct{}
	stopped chan struct{}
}

func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.process.Pid
}

// watchProcess observes the process of in until end is called.
func watchProcess(in *instance, limits processLimits) *watch {
	w := &watch{in: in, pid: in.pid(), limits: limits, stop: make(chan struct{}), stopped: make(chan struct{})}
	w.baseKB = w.memoryKB("VmRSS:")
	go func() {
		defer close(w.stopped)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			w.sample()
			select {
			case <-ticker.C:
			case <-w.stop:
				w.sample()
				w.gone = in.pid() != w.pid
				return
			}
		}
	}()
	return w
}

func (w *watch) end() {
	close(w.stop)
	<-w.stopped
}

func (w *watch) sample() {
	w.peakKB = max(w.peakKB, w.memoryKB("VmHWM:"))
	w.heldKB = max(w.heldKB, w.memoryKB("VmRSS:")+unreadBytes(w.in)>>10)
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid)); err == nil {
		w.files = max(w.files, len(entries))
	}
}

// memoryKB returns a line of the status of the process, or zero if it has ended.
func (w *watch) memoryKB(name string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); fields[0] == name {
			kb, err := strconv.Atoi(fields[1])
			if err == nil {
				return kb
			}
		}
	}
	return 0
}

// unreadBytes returns how many bytes the kernel has received for connections to the addresses of in
// that have not been read, including connections that have not been accepted.
func unreadBytes(in *instance) int {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	own := map[string]bool{kernelAddress(in.front): true, kernelAddress(in.ready): true, kernelAddress(in.metrics): true, kernelAddress(in.peers): true}
	total := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		const stateListen = "0A" // its queue has connections, not bytes
		if len(fields) < 5 || !own[fields[1]] || fields[3] == stateListen {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			total += int(n)
		}
	}
	return total
}

// kernelAddress returns address as the kernel's table of connections writes it, or "".
func kernelAddress(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "" // the process has no such address
	}
	ip := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}

func (w *watch) String() string {
	return fmt.Sprintf("memory at first %d MB, at most %d MB, with unread bytes %d MB, %d descriptors", w.baseKB>>10, w.peakKB>>10, w.heldKB>>10, w.files)
}

// check checks that the process is alive and has stayed within its limits.
func (w *watch) check(t *testing.T) {
	if w.gone {
		t.Errorf("process %d of %s has ended", w.pid, w.in.name)
	}
	if limit := w.limits.memoryKB; w.peakKB > limit {
		t.Errorf("%s has used %d kB of memory, its limit is %d kB", w.in.name, w.peakKB, limit)
	}
	if limit := w.limits.memoryKB; w.heldKB > limit {
		t.Errorf("%s has used %d kB of memory together with unread bytes, its limit is %d kB", w.in.name, w.heldKB, limit)
	}
	if limit := w.limits.files; w.files > limit {
		t.Errorf("%s has had %d open descriptors, its limit is %d", w.in.name, w.files, limit)
	}
}
