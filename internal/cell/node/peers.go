package node

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// instanceList lists the addresses at which the live followers of the leader, without
// those that drain, listen for peers, as the leader last sent them. An instance that
// cannot reach the store uses it to learn from the others who leads.
type instanceList struct {
	Version   uint64 // hash of the addresses
	Addresses []string
	Strongest float64  // largest CPU share of these instances and the leader, in cores
	Standbys  []string // addresses of the standbys
}

// newInstanceList returns the list of the instances in live. ownShare is the CPU share of
// this instance.
func newInstanceList(live, standbys []*follower, ownShare float64) *instanceList {
	list := &instanceList{Strongest: maxCPUShare(live, ownShare)}
	hash := fnv.New64a()
	for _, f := range live {
		list.Addresses = append(list.Addresses, f.Address)
		_, _ = hash.Write([]byte(f.Address + "\n")) // a hash does not fail
	}
	for _, f := range standbys {
		list.Standbys = append(list.Standbys, f.Address)
		_, _ = hash.Write([]byte("standby " + f.Address + "\n"))
	}
	list.Version = hash.Sum64()
	return list
}

// WhoLeadsReply reports which leader an instance follows. Leader is nil if that leader
// has not answered it within maxLeaderAnswerAge.
type WhoLeadsReply struct{ Leader *Leadership }

// WhoLeads reports the leader that this instance follows, or itself if it leads.
func (s *Service) WhoLeads(_ *struct{}, reply *WhoLeadsReply) error {
	n := s.n
	if n.leading.Load() != nil || n.since(&n.leaderAnsweredAt) <= maxLeaderAnswerAge {
		reply.Leader = n.knownLeader.Load()
	}
	return nil
}

// maxPeersAsked is how many other instances are asked at a time who leads. With this many,
// one that reaches the store is likely among them when some instances cannot.
const maxPeersAsked = 3

// askPeers asks some of the other instances who leads and returns the leader with the
// latest term of those that they follow, or nil.
func (n *Node) askPeers(ctx context.Context) *Leadership {
	known := n.cellInstances.Load()
	if known == nil {
		return nil
	}
	addresses := slices.Clone(known.Addresses)
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == n.settings.Address })
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), maxPeersAsked)]
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answers := make(chan *Leadership, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply WhoLeadsReply
			if err := n.peers.Get(address).Call(ctx, serviceName+".WhoLeads", &struct{}{}, &reply); err != nil {
				n.log.Debug("cannot ask peer who leads", "peer", address, "reason", err.Error())
			}
			answers <- reply.Leader
		}()
	}
	var newest *Leadership
	for range addresses {
		if rec := <-answers; rec != nil && rec.Session != n.incarnation && (newest == nil || rec.Term > newest.Term) {
			newest = rec
		}
	}
	if newest != nil {
		n.log.Info("learned the leader from peers", "leader", newest.Instance, "term", newest.Term, "store_silent_ms", n.since(&n.storeAnsweredAt).Milliseconds())
	}
	return newest
}

// followPeers follows the leader without first reading the leadership record, if the
// leader answers this instance or another one that is asked. It reports whether it has
// followed a leader.
func (n *Node) followPeers(ctx context.Context) bool {
	rec := n.knownLeader.Load()
	if rec == nil || rec.Session == n.incarnation || n.ping(ctx, rec) != pingLeads {
		if rec = n.askPeers(ctx); rec == nil {
			return false
		}
		n.setLeader(rec)
	}
	n.follow(ctx, n.latestTermOf(rec))
	return true
}
