package ownership

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// tableSnapshot is the encoded table, with one entry for each shard.
type tableSnapshot struct {
	Shards []shardSnapshot `cbor:"1,keyasint"`
}

type shardSnapshot struct {
	_     struct{} `cbor:",toarray"`
	Owner wire.InstanceRef
	Term  uint64
}

// SnapshotName implements service.Snapshotter.
func (s *Service) SnapshotName() string { return service.Ownership }

// Snapshot implements service.Snapshotter.
func (s *Service) Snapshot() []byte {
	var t tableSnapshot
	for _, entry := range s.table {
		t.Shards = append(t.Shards, shardSnapshot{Owner: entry.Owner, Term: entry.Term})
	}
	data, err := cbor.Marshal(t)
	if err != nil {
		panic(err) // the table can always be encoded
	}
	return data
}

// Restore implements service.Snapshotter. A shard moves when its term in the
// snapshot is higher than in the table. The moves in between are not known, so each
// such shard counts as one that had an owner before. It returns an error when data
// is malformed or has the wrong number of shards.
func (s *Service) Restore(data []byte) error {
	var t tableSnapshot
	if err := cbor.Unmarshal(data, &t); err != nil {
		return errors.Wrap(err, "decode shard table")
	}
	if len(t.Shards) != model.Shards {
		return errors.Newf("shard table has %d shards, expected %d", len(t.Shards), model.Shards)
	}
	for i, entry := range t.Shards {
		if before := s.table[i]; entry.Term > before.Term {
			s.setOwner(model.Shard(i), ShardOwner{Owner: entry.Owner, Term: entry.Term},
				service.ShardMove{OldTerm: max(before.Term, 1), ChangesMissed: true})
		}
	}
	return nil
}
