package config

import (
	"pollenbend/internal/declare"
	"pollenbend/internal/wire"
)

// onWithdrawn refuses keys that a peer says are withdrawn, and passes on what is
// new, so that the word goes round broken links.
func (s *Service) onWithdrawn(m wire.KeysWithdrawn) {
	var fresh []wire.WithdrawnKey
	for _, k := range m.Keys {
		if s.state.Withdraw(declare.Withdrawal(k)) {
			s.heard[k] = true
			fresh = append(fresh, k)
		}
	}
	s.sendWithdrawn(fresh)
}

// tellWithdrawn tells peers of keys that a folded change withdrew, unless a peer
// told of them first.
func (s *Service) tellWithdrawn(list []declare.Withdrawal) {
	var keys []wire.WithdrawnKey
	for _, w := range list {
		k := wire.WithdrawnKey(w)
		if s.heard[k] {
			delete(s.heard, k)
			continue
		}
		keys = append(keys, k)
	}
	s.sendWithdrawn(keys)
}

// sendWithdrawn sends keys to the peers heard so far that have not applied the
// log up to them. An instance that reads old entries thus tells nobody.
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
