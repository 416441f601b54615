package node

import (
	"bytes"
	"context"
	"log/slog"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/transport"
	"pollenbend/internal/wire"
)

// listenAs starts a transport of instance id on loopback.
func listenAs(t *testing.T, ca *transport.DevCA, id model.InstanceID, handler transport.Handler) *transport.Transport {
	t.Helper()
	identity, err := ca.Issue(id)
	require.NoError(t, err)
	tr, err := transport.Listen(transport.Config{
		Self: id, Incarnation: 1, Listen: "127.0.0.1:0", TLS: identity, Handler: handler,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = tr.Close(ctx)
	})
	return tr
}

func testCA(t *testing.T) *transport.DevCA {
	t.Helper()
	ca, err := transport.NewDevCA(bytes.NewReader(bytes.Repeat([]byte("a"), 32)))
	require.NoError(t, err)
	return ca
}

// nodeWithPeers returns a node that has a transport but does not run its core.
func nodeWithPeers(t *testing.T, ca *transport.DevCA) *Node {
	t.Helper()
	n := &Node{
		cfg: Config{Logger: slog.New(slog.DiscardHandler)}, ctx: t.Context(),
		inbox:          make(chan event.Event, 100),
		connectedPeers: make(map[model.InstanceID]model.Incarnation),
		unsentTo:       make(map[model.InstanceID]bool),
		stats:          newStats(gometrics.NewRegistry()),
	}
	n.transport = listenAs(t, ca, "a", peerHandler{n})
	t.Cleanup(n.wg.Wait)
	return n
}

// A peer counts as live by the heartbeats that arrive over its own connection, also while
// this instance has none to it yet. A request that was forwarded to it then was lost
// without a PeerDown, and its caller waited until the deadline.
func TestMessageWithoutAConnectionIsReportedAsLost(t *testing.T) {
	lost := event.PeerDown{Peer: wire.InstanceRef{Instance: "b", Incarnation: 2}}
	for _, test := range []struct {
		name     string
		messages []wire.Message
		want     []event.Event
	}{
		{"forward", []wire.Message{wire.Forward{Handle: 1}, wire.Forward{Handle: 2}}, []event.Event{lost}},
		{"reply", []wire.Message{wire.Heartbeat{Seq: 1}, wire.Reply{Handle: 1}}, []event.Event{lost}},
		{"heartbeat", []wire.Message{wire.Heartbeat{Seq: 1}}, nil},
		{"none", nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := nodeWithPeers(t, testCA(t))
			for _, m := range test.messages {
				n.send(event.Send{To: "b", Message: m})
			}
			peerHandler{n}.PeerUp("b", 2)
			peerHandler{n}.PeerUp("b", 2)
			var events []event.Event
			for len(n.inbox) > 0 {
				events = append(events, <-n.inbox)
			}
			require.Equal(t, test.want, events)
		})
	}
}

// upHandler signals connections to peers and ignores everything else.
type upHandler chan struct{}

func (h upHandler) PeerMessage(model.InstanceID, model.Incarnation, []byte) {}
func (h upHandler) PeerUp(model.InstanceID, model.Incarnation)              { h <- struct{}{} }
func (h upHandler) PeerDown(model.InstanceID, model.Incarnation)            {}
func (h upHandler) PeerAccepted(model.InstanceID, model.Incarnation)        {}

// An owner that has no connection to the gateway, or loses it, loses its replies. The gateway's
// own connection to the owner stays, so it saw no PeerDown and its caller waited until the
// deadline.
func TestRepliesLostBeforeANewConnectionOfThePeerAreReported(t *testing.T) {
	ca := testCA(t)
	n := nodeWithPeers(t, ca)
	connected := make(upHandler, 1)
	b := listenAs(t, ca, "b", connected)
	payload, err := wire.EncodeMessage(wire.Reply{Handle: 1})
	require.NoError(t, err)
	ref := wire.InstanceRef{Instance: "b", Incarnation: 1}
	for range 2 {
		require.False(t, b.Send("a", payload), "there is no connection")
		b.SetPeers([]platform.Instance{{ID: "a", PeerAddr: n.PeerAddr()}})
		<-connected
		for range 2 {
			require.True(t, b.Send("a", payload))
		}
		require.Equal(t, event.PeerDown{Peer: ref}, <-n.inbox)
		for range 2 {
			require.Equal(t, event.PeerMessage{From: ref, Message: wire.Reply{Handle: 1}}, <-n.inbox)
		}
		b.SetPeers(nil)
	}
}
