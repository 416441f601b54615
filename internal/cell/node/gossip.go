package node

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// instances are the addresses at which the instances of the cell listen for peers,
// as the leader last told them. They let an instance that the store turns away
// learn from the others who leads.
type instances struct {
	Version   uint64
	Addresses []string
	Strongest float64 // largest share of a core
}

func instancesOf(live []*armState, own float64) *instances {
	o := &instances{Strongest: strongest(live, own)}
	hash := fnv.New64a()
	for _, a := range live {
		o.Addresses = append(o.Addresses, a.Address)
		_, _ = hash.Write([]byte(a.Address + "\n")) // a hash does not fail
	}
	o.Version = hash.Sum64()
	return o
}

// WhoLeadsReply tells whom an instance follows. Leader is nil if it has not heard
// its leader lately.
type WhoLeadsReply struct{ Leader *Leadership }

// WhoLeads implements the peer call of that name.
func (s *Service) WhoLeads(_ *struct{}, reply *WhoLeadsReply) error {
	n := s.n
	if n.leading.Load() != nil || n.since(&n.heard) <= leaderSilent {
		reply.Leader = n.known.Load()
	}
	return nil
}

const (
	// peersAsked is how many other instances are asked at a time who leads: enough
	// that one of them should reach the store when a part of them does not.
	peersAsked = 3
	// unknownPlace stands for the place of a leadership record that was learned from
	// another instance.
	unknownPlace = -1
)

// askPeers asks some of the other instances who leads and returns the newest leader
// that one of them hears, or nil.
func (n *Node) askPeers(ctx context.Context) *Leadership {
	known := n.others.Load()
	if known == nil {
		return nil
	}
	asked := slices.Clone(known.Addresses)
	asked = slices.DeleteFunc(asked, func(a string) bool { return a == n.set.Address })
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(len(asked), peersAsked)]
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answers := make(chan *Leadership, len(asked))
	for _, address := range asked {
		go func() {
			var reply WhoLeadsReply
			if err := n.peers.Get(address).Call(ctx, serviceName+".WhoLeads", &struct{}{}, &reply); err != nil {
				n.log.Debug("peer does not tell who leads", "peer", address, "reason", err.Error())
			}
			answers <- reply.Leader
		}()
	}
	var newest *Leadership
	for range asked {
		if rec := <-answers; rec != nil && rec.Session != n.session && (newest == nil || rec.Term > newest.Term) {
			newest = rec
		}
	}
	if newest != nil {
		n.log.Info("peers tell who leads", "leader", newest.Instance, "term", newest.Term, "store_silent_ms", n.since(&n.storeSeen).Milliseconds())
	}
	return newest
}

// followPeers follows the leader without the store, if this instance or one of the
// others hears it. It reports whether it did.
func (n *Node) followPeers(ctx context.Context) bool {
	rec := n.known.Load()
	if rec == nil || rec.Session == n.session || n.ping(ctx, rec) != pingLeads {
		if rec = n.askPeers(ctx); rec == nil {
			return false
		}
		n.setLeader(rec)
	}
	n.follow(ctx, rec, unknownPlace)
	return true
}
