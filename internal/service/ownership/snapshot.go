package ownership

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// tableSnapshot is the encoded table, one line for each shard.
type tableSnapshot struct {
	Slots []slotSnapshot `cbor:"1,keyasint"`
}

type slotSnapshot struct {
	_     struct{} `cbor:",toarray"`
	Owner wire.Owner
	Term  uint64
}

// SnapshotName implements service.Snapshotter.
func (s *Service) SnapshotName() string { return service.Ownership }

// Snapshot implements service.Snapshotter.
func (s *Service) Snapshot() []byte {
	var t tableSnapshot
	for _, slot := range s.slots {
		t.Slots = append(t.Slots, slotSnapshot{Owner: slot.Owner, Term: slot.Term})
	}
	data, err := cbor.Marshal(t)
	if err != nil {
		panic(err) // the table always has an encoding
	}
	return data
}

// Restore implements service.Snapshotter. Shards whose term is higher in the
// snapshot move; what happened to them in between is not known, so each counts
// as one that had an owner before.
func (s *Service) Restore(data []byte) error {
	var t tableSnapshot
	if err := cbor.Unmarshal(data, &t); err != nil {
		return errors.Wrap(err, "read the table of shards")
	}
	if len(t.Slots) != model.Shards {
		return errors.Newf("the table has %d shards, expected %d", len(t.Slots), model.Shards)
	}
	for i, slot := range t.Slots {
		if before := s.slots[i]; slot.Term > before.Term {
			s.moved(model.Shard(i), Slot{Owner: slot.Owner, Term: slot.Term},
				service.ShardMove{OldTerm: max(before.Term, 1), Gap: true})
		}
	}
	return nil
}
