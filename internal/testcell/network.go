package testcell

import (
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/wire"
)

// pair names two instances, the lower id first.
type pair struct{ a, b model.InstanceID }

func pairOf(a, b model.InstanceID) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// link is the connection of two instances. It carries messages in order. While
// it is cut, messages wait; they are lost with the connection.
type link struct {
	pair    pair
	up      bool
	epoch   uint64 // counts connections
	cut     bool
	silent  bool // of the present connection
	waiting []func()
	last    map[model.InstanceID]time.Duration // arrival of the last message by receiver
	ends    map[model.InstanceID]wire.Owner    // of the present connection
}

const reconnectInterval = 250 * time.Millisecond

func (c *Cell) linkOf(a, b model.InstanceID) *link {
	p := pairOf(a, b)
	l, ok := c.links[p]
	if !ok {
		l = &link{pair: p, last: make(map[model.InstanceID]time.Duration), ends: make(map[model.InstanceID]wire.Owner)}
		c.links[p] = l
	}
	return l
}

// linksOf returns the links of an instance in the order of the other ends.
func (c *Cell) linksOf(id model.InstanceID) []*link {
	var list []*link
	for _, other := range c.order {
		if other != id {
			list = append(list, c.linkOf(id, other))
		}
	}
	return list
}

// send carries a message. On a connection that is down it is dropped.
func (c *Cell) send(in *instance, a event.Send) {
	to, ok := c.instances[a.To]
	if !ok {
		return
	}
	l := c.linkOf(in.info.ID, a.To)
	if !l.up || l.silent {
		return
	}
	data, err := wire.EncodeMessage(a.Message)
	if err != nil {
		panic(err)
	}
	carry := func() { c.carry(l, in.owner(), to, data) }
	if l.cut {
		l.waiting = append(l.waiting, carry)
		return
	}
	carry()
}

func (c *Cell) carry(l *link, from wire.Owner, to *instance, data []byte) {
	at := max(c.now+c.latency(), l.last[to.info.ID])
	l.last[to.info.ID] = at
	epoch, life := l.epoch, to.info.Incarnation
	c.after(at-c.now, func() {
		if l.epoch != epoch || to.info.Incarnation != life || l.silent {
			return
		}
		m, err := wire.DecodeMessage(data)
		if err != nil {
			panic(err)
		}
		to.post(0, event.PeerMessage{From: from, Message: m})
	})
}

// lose ends the present connection of a link: both ends are told, and messages
// under way are lost.
func (c *Cell) lose(l *link) {
	if !l.up {
		return
	}
	l.up = false
	l.silent = false
	l.epoch++
	l.waiting = nil
	for _, p := range []pair{l.pair, {l.pair.b, l.pair.a}} {
		if in := c.instances[p.a]; in.alive && in.owner() == l.ends[p.a] {
			in.post(c.latency(), event.PeerDown{Peer: l.ends[p.b]})
		}
	}
	c.after(c.between(reconnectInterval, 2*reconnectInterval), func() { c.reconnect(l) })
}

// loseLater ends the present connection after d, if it still does not carry
// messages by then.
func (c *Cell) loseLater(l *link, d time.Duration) {
	epoch := l.epoch
	c.after(d, func() {
		if l.epoch == epoch && c.broken(l) {
			c.lose(l)
		}
	})
}

// broken reports whether the present connection carries nothing.
func (c *Cell) broken(l *link) bool {
	a, b := c.instances[l.pair.a], c.instances[l.pair.b]
	stale := a.owner() != l.ends[l.pair.a] || b.owner() != l.ends[l.pair.b]
	return l.cut || l.silent || stale || !a.running() || !b.running()
}

func (c *Cell) reconnectAll(in *instance) {
	for _, l := range c.linksOf(in.info.ID) {
		c.lose(l)
		c.after(c.latency(), func() { c.reconnect(l) })
	}
}

// reconnect connects a link, or tries again later.
func (c *Cell) reconnect(l *link) {
	if l.up {
		return
	}
	a, b := c.instances[l.pair.a], c.instances[l.pair.b]
	if !a.alive || !b.alive {
		return // a restart connects
	}
	if l.cut || a.paused || b.paused {
		epoch := l.epoch
		c.after(reconnectInterval, func() {
			if l.epoch == epoch {
				c.reconnect(l)
			}
		})
		return
	}
	l.up = true
	l.epoch++
	l.ends[l.pair.a], l.ends[l.pair.b] = a.owner(), b.owner()
}

// Cut breaks the network between two instances until Heal.
func (c *Cell) Cut(a, b model.InstanceID) {
	l := c.linkOf(a, b)
	l.cut = true
	c.loseLater(l, c.between(c.options.Timing.DeadAfter/2, c.options.Timing.DeadAfter))
}

// Silence makes the present connection of two instances swallow everything. A
// new one, which is made when the silence is noticed, works.
func (c *Cell) Silence(a, b model.InstanceID) {
	l := c.linkOf(a, b)
	l.silent = l.up
	c.loseLater(l, c.options.Timing.DeadAfter+c.between(0, time.Second))
}

// Heal ends every cut between instances, from the log and from workers.
func (c *Cell) Heal() {
	for i, a := range c.order {
		for _, b := range c.order[i+1:] {
			c.HealLink(a, b)
		}
	}
	for id := range c.noLog {
		c.instances[id].steadySince = c.now
	}
	clear(c.noLog)
	for _, w := range c.workers {
		clear(w.cutFrom)
	}
}

// HealLink ends the cut between two instances.
func (c *Cell) HealLink(a, b model.InstanceID) {
	l := c.linkOf(a, b)
	l.cut = false
	waiting := l.waiting
	l.waiting = nil
	for _, carry := range waiting {
		carry()
	}
}

// CutLog keeps an instance from the log until Heal.
func (c *Cell) CutLog(id model.InstanceID) { c.noLog[id] = true }
