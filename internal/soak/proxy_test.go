package soak

import (
	"net"
	"sync"
	"time"
)

// proxy passes connections on to a target and harms them on demand.
type proxy struct {
	target string
	mu     sync.Mutex
	mode   string // "", "delay", "silent", "oneway"
	conns  map[net.Conn]struct{}
}

// newProxy listens on address until l is closed.
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
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close() // there is nothing to pass on
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.copy(out, c, false)
	p.copy(c, out, true)
}

// copy passes on what comes from one side. A silenced connection stays open and
// nothing comes through, also later.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 32<<10)
	dead := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		mode := p.mode
		p.mu.Unlock()
		dead = dead || mode == "silent" || mode == "oneway" && answers
		if dead {
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

func (p *proxy) set(mode string) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
}

// reset ends all open connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an orderly end
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}
