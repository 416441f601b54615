package soak

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a target and injects network faults.
type proxy struct {
	target string
	mu     sync.Mutex
	mode   string // "" (no fault), "delay", "drop" or "drop-answers"
	conns  map[net.Conn]struct{}
	// silences counts how often the connections open at the time went silent for good.
	silences int
}

// newProxy returns a proxy that accepts connections from l until l is closed.
func newProxy(l net.Listener, target string) *proxy {
	p := &proxy{target: target, conns: make(map[net.Conn]struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(c net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close() // the target is unreachable
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[upstream] = struct{}{}, struct{}{}
	opened := p.silences
	p.mu.Unlock()
	go p.copy(upstream, c, false, opened)
	p.copy(c, upstream, true, opened)
}

// copy forwards what it reads from one side. Once a connection has read data in a
// mode that drops, it stays open and drops all data in this direction, also after
// the mode has changed back. opened is the number of silences at the time at which it was opened.
func (p *proxy) copy(to, from net.Conn, answers bool, opened int) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	dropping := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		mode := p.mode
		dropping = dropping || p.silences > opened
		p.mu.Unlock()
		dropping = dropping || mode == "drop" || mode == "drop-answers" && answers
		if dropping {
			continue
		}
		if mode == "delay" {
			time.Sleep(100 * time.Millisecond)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) setMode(mode string) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
}

// silence makes all open connections carry nothing any more, without an end. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	p.silences++
	p.mu.Unlock()
}

// dialed reports whether a connection to the target comes from an address.
func (p *proxy) dialed(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.LocalAddr().String() == address {
			return true
		}
	}
	return false
}

// reset closes all open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send RST instead of FIN
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}
