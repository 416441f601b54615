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
	p.mu.Unlock()
	go p.copy(upstream, c, false)
	p.copy(c, upstream, true)
}

// copy forwards what it reads from one side. Once a connection has read data in a
// mode that drops, it stays open and drops all data in this direction, also after
// the mode has changed back.
func (p *proxy) copy(to, from net.Conn, answers bool) {
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
