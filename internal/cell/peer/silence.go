package peer

import (
	"context"
	"net/rpc"
	"slices"
	"time"
)

const (
	// probeDelay is how long the calls on a connection must have waited without any reply
	// for a ping to probe the connection. On a connection that brings replies, probes would
	// only add load.
	probeDelay = 50 * time.Millisecond
	// silenceTimeout is how long after the answer to a ping a connection that was probed
	// before the ping may stay without a reply. A busy peer whose processor time is rationed
	// may pause for 100 ms between the two answers.
	silenceTimeout = 250 * time.Millisecond
	// probeService is the name of the net/rpc service that answers probes.
	probeService = "Peer"
)

// prober answers probes. A call to it tells a silent connection from a call whose handling
// takes long, such as one that waits for the store. A peer of an earlier version returns an
// error instead, which is a reply as well.
type prober struct{}

// Probe answers at once.
func (prober) Probe(*struct{}, *struct{}) error { return nil }

// Ping calls method on the connection for pings, as Call does on that for requests. If ctx
// ends and no reply has come since the ping was sent, the next ping opens another connection.
// If other calls wait without a reply when the ping is sent, their connections are probed. Of
// these Ping closes the ones that bring no reply within silenceTimeout after the ping was
// answered: the peer works, and these connections do not.
func (c *Client) Ping(ctx context.Context, method string, args, reply any) error {
	probed := c.probeWaiting()
	err := c.call(ctx, &c.pings, method, args, reply)
	if isReply(err) && len(probed) > 0 {
		time.AfterFunc(silenceTimeout, func() { c.closeSilent(probed) })
	}
	return err
}

// probeWaiting probes the connections on which requests wait without a reply, and returns
// them.
func (c *Client) probeWaiting() []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var probed []*connection
	now := time.Now()
	for _, conn := range append(slices.Clone(c.requests.retired), c.requests.conn) {
		if conn == nil || conn.pending == 0 || now.Sub(conn.waitingSince) < probeDelay {
			continue
		}
		probed = append(probed, conn)
		if !conn.probing {
			conn.probing, conn.probedAt, conn.sentAt = true, now, now
			go c.probe(conn)
		}
	}
	return probed
}

// probe sends a probe and waits for its answer or the end of the connection.
func (c *Client) probe(conn *connection) {
	call := <-conn.Go(probeService+".Probe", &struct{}{}, &struct{}{}, make(chan *rpc.Call, 1)).Done
	if isReply(call.Error) {
		c.mu.Lock()
		conn.probing, conn.waitingSince = false, time.Now()
		c.mu.Unlock()
	}
}

// closeSilent closes those of the probed connections that have brought no reply since their
// probes were sent and on which calls still wait.
func (c *Client) closeSilent(probed []*connection) {
	for _, conn := range probed {
		c.mu.Lock()
		silent := conn.pending > 0 && conn.waitingSince.Before(conn.probedAt)
		c.mu.Unlock()
		if silent {
			c.closeConn(&c.requests, conn)
		}
	}
}
