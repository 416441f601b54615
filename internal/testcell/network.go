package testcell

import (
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/wire"
)

// pair identifies two instances. The lower id comes first.
type pair struct{ a, b model.InstanceID }

func newPair(a, b model.InstanceID) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// link is the network path between two instances. Its connection delivers messages
// in order. While the link is partitioned, messages are buffered; they are lost
// when the connection ends.
type link struct {
	pair         pair
	up           bool
	connectionID uint64 // changes whenever a connection starts or ends
	partitioned  bool
	blackholed   bool // the current connection drops all messages
	buffered     []func()
	lastArrival  map[model.InstanceID]time.Duration    // arrival of the last message by receiver
	refs         map[model.InstanceID]wire.InstanceRef // of the current connection, by instance
}

const reconnectInterval = 250 * time.Millisecond

func (c *Cell) linkBetween(a, b model.InstanceID) *link {
	p := newPair(a, b)
	l, ok := c.links[p]
	if !ok {
		l = &link{pair: p, lastArrival: make(map[model.InstanceID]time.Duration), refs: make(map[model.InstanceID]wire.InstanceRef)}
		c.links[p] = l
	}
	return l
}

// linksOf returns the links of an instance in the order of the other instances.
func (c *Cell) linksOf(id model.InstanceID) []*link {
	var list []*link
	for _, other := range c.order {
		if other != id {
			list = append(list, c.linkBetween(id, other))
		}
	}
	return list
}

// send sends a message. It drops the message if there is no connection.
func (c *Cell) send(in *instance, a event.Send) {
	to, ok := c.instances[a.To]
	if !ok {
		return
	}
	l := c.linkBetween(in.info.ID, a.To)
	if !l.up || l.blackholed {
		return
	}
	data, err := wire.EncodeMessage(a.Message)
	if err != nil {
		panic(err)
	}
	transmit := func() { c.transmit(l, in.ref(), to, data) }
	if l.partitioned {
		l.buffered = append(l.buffered, transmit)
		return
	}
	transmit()
}

func (c *Cell) transmit(l *link, from wire.InstanceRef, to *instance, data []byte) {
	at := max(c.now+c.randomLatency(), l.lastArrival[to.info.ID])
	l.lastArrival[to.info.ID] = at
	connectionID, incarnation := l.connectionID, to.info.Incarnation
	c.runAfter(at-c.now, func() {
		if l.connectionID != connectionID || to.info.Incarnation != incarnation || l.blackholed {
			return
		}
		m, err := wire.DecodeMessage(data)
		if err != nil {
			panic(err)
		}
		to.deliverEvent(0, event.PeerMessage{From: from, Message: m})
	})
}

// disconnect ends the current connection of a link. Both ends get a PeerDown event,
// and messages in flight are lost.
func (c *Cell) disconnect(l *link) {
	if !l.up {
		return
	}
	l.up = false
	l.blackholed = false
	l.connectionID++
	l.buffered = nil
	for _, p := range []pair{l.pair, {l.pair.b, l.pair.a}} {
		if in := c.instances[p.a]; in.alive && in.ref() == l.refs[p.a] {
			in.deliverEvent(c.randomLatency(), event.PeerDown{Peer: l.refs[p.b]})
		}
	}
	c.runAfter(c.randomDuration(reconnectInterval, 2*reconnectInterval), func() { c.reconnect(l) })
}

// disconnectLater ends the current connection after d if it is still unusable then.
func (c *Cell) disconnectLater(l *link, d time.Duration) {
	connectionID := l.connectionID
	c.runAfter(d, func() {
		if l.connectionID == connectionID && c.unusable(l) {
			c.disconnect(l)
		}
	})
}

// unusable reports whether the current connection can't deliver messages.
func (c *Cell) unusable(l *link) bool {
	a, b := c.instances[l.pair.a], c.instances[l.pair.b]
	stale := a.ref() != l.refs[l.pair.a] || b.ref() != l.refs[l.pair.b]
	return l.partitioned || l.blackholed || stale || !a.running() || !b.running()
}

func (c *Cell) reconnectAll(in *instance) {
	for _, l := range c.linksOf(in.info.ID) {
		c.disconnect(l)
		c.runAfter(c.randomLatency(), func() { c.reconnect(l) })
	}
}

// reconnect starts a new connection, or retries later.
func (c *Cell) reconnect(l *link) {
	if l.up {
		return
	}
	a, b := c.instances[l.pair.a], c.instances[l.pair.b]
	if !a.alive || !b.alive {
		return // Restart reconnects the instance
	}
	if l.partitioned || a.paused || b.paused {
		connectionID := l.connectionID
		c.runAfter(reconnectInterval, func() {
			if l.connectionID == connectionID {
				c.reconnect(l)
			}
		})
		return
	}
	l.up = true
	l.connectionID++
	l.refs[l.pair.a], l.refs[l.pair.b] = a.ref(), b.ref()
}

// Partition partitions the network between two instances until EndPartition or
// EndPartitions.
func (c *Cell) Partition(a, b model.InstanceID) {
	l := c.linkBetween(a, b)
	l.partitioned = true
	c.disconnectLater(l, c.randomDuration(c.options.Timing.DeadAfter/2, c.options.Timing.DeadAfter))
}

// BlackholeConnection makes the current connection of two instances drop every
// message. The instances detect this after a while and start a new connection, which
// works.
func (c *Cell) BlackholeConnection(a, b model.InstanceID) {
	l := c.linkBetween(a, b)
	l.blackholed = l.up
	c.disconnectLater(l, c.options.Timing.DeadAfter+c.randomDuration(0, time.Second))
}

// EndPartitions ends all partitions: between instances, and of instances from the log and
// from workers.
func (c *Cell) EndPartitions() {
	for i, a := range c.order {
		for _, b := range c.order[i+1:] {
			c.EndPartition(a, b)
		}
	}
	for id := range c.logUnreachable {
		c.instances[id].availableSince = c.now
	}
	clear(c.logUnreachable)
	for _, w := range c.workers {
		clear(w.unreachableFrom)
	}
}

// EndPartition ends the partition between two instances and delivers the buffered
// messages.
func (c *Cell) EndPartition(a, b model.InstanceID) {
	l := c.linkBetween(a, b)
	l.partitioned = false
	buffered := l.buffered
	l.buffered = nil
	for _, transmit := range buffered {
		transmit()
	}
}

// PartitionFromLog makes the log unreachable from an instance until EndPartitions.
func (c *Cell) PartitionFromLog(id model.InstanceID) { c.logUnreachable[id] = true }
