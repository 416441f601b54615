package config

import (
	"pollenbend/internal/declare"
	"pollenbend/internal/wire"
)

// onWithdrawn refuses keys that a peer reports as withdrawn, and forwards those that
// are new, so that the report also reaches peers behind broken links.
func (s *Service) onWithdrawn(m wire.KeysWithdrawn) {
	var added []wire.WithdrawnKey
	for _, k := range m.Keys {
		if s.state.Withdraw(declare.Withdrawal(k)) {
			s.peerWithdrawals[k] = true
			added = append(added, k)
		}
	}
	s.sendWithdrawn(added)
}

// announceWithdrawn sends the keys that an applied change withdrew to the peers,
// except those already received from a peer.
func (s *Service) announceWithdrawn(list []declare.Withdrawal) {
	var keys []wire.WithdrawnKey
	for _, w := range list {
		k := wire.WithdrawnKey(w)
		if s.peerWithdrawals[k] {
			delete(s.peerWithdrawals, k)
			continue
		}
		keys = append(keys, k)
	}
	s.sendWithdrawn(keys)
}

// sendWithdrawn sends keys to the known peers that have not applied the log up to
// them. An instance that replays old entries therefore sends nothing.
func (s *Service) sendWithdrawn(keys []wire.WithdrawnKey) {
	if len(keys) == 0 {
		return
	}
	newest := keys[0].Offset
	for _, k := range keys {
		newest = max(newest, k.Offset)
	}
	for _, id := range s.members.Peers() {
		if p, ok := s.peers[id]; ok && p.applied < newest {
			s.env.Send(id, wire.KeysWithdrawn{Keys: keys})
		}
	}
}
