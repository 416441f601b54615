package declare

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenbend/internal/model"
)

// encoding is deterministic CBOR, so that equal states have equal snapshots.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustEncode encodes a value of the model. It panics on an error, which no type of
// the model can cause.
func mustEncode[T any](v T) []byte {
	data, err := encoding.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// snapshotFormat is the version of the snapshot's layout.
const snapshotFormat = 1

type snapshot struct {
	Format       int                `cbor:"1,keyasint"`
	Version      uint64             `cbor:"2,keyasint"`
	Applied      uint64             `cbor:"3,keyasint"`
	Floor        uint64             `cbor:"4,keyasint"`
	Declarations model.Declarations `cbor:"5,keyasint"`
	Modified     []modifiedObject   `cbor:"6,keyasint"`
	Deleted      []model.ObjectRef  `cbor:"7,keyasint"`
	Settled      []settledChange    `cbor:"8,keyasint"`
}

type modifiedObject struct {
	Ref     model.ObjectRef `cbor:"1,keyasint"`
	Version uint64          `cbor:"2,keyasint"`
}

type settledChange struct {
	ID      string  `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Offset  uint64  `cbor:"3,keyasint"`
	Message string  `cbor:"4,keyasint,omitempty"`
}

// Snapshot encodes the state. States that applied the same log entries have the
// same snapshot.
func (s *State) Snapshot() []byte {
	snap := snapshot{
		Format:       snapshotFormat,
		Version:      s.version,
		Applied:      s.applied,
		Floor:        s.floor,
		Declarations: s.Declarations(),
		Deleted:      s.deleted,
	}
	for ref, version := range s.modified {
		snap.Modified = append(snap.Modified, modifiedObject{ref, version})
	}
	slices.SortFunc(snap.Modified, func(a, b modifiedObject) int {
		return cmp.Or(cmp.Compare(a.Ref.Kind, b.Ref.Kind), cmp.Compare(a.Ref.Name, b.Ref.Name))
	})
	for _, id := range s.settled.order {
		r := s.settled.results[id]
		snap.Settled = append(snap.Settled, settledChange{id, r.Outcome, r.Offset, r.Message})
	}
	return mustEncode(snap)
}

// Restore decodes a snapshot. It returns an error if data is not a snapshot or the
// declarations in it are invalid.
func Restore(data []byte) (*State, error) {
	var snap snapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return nil, errors.Wrap(err, "read a snapshot of the declarations")
	}
	if snap.Format != snapshotFormat {
		return nil, errors.Newf("snapshot of the declarations has format %d, expected %d", snap.Format, snapshotFormat)
	}
	if problems := Validate(snap.Declarations); len(problems) > 0 {
		return nil, errors.Newf("snapshot of the declarations is not valid: %s", problems[0])
	}
	s := NewState()
	s.version, s.applied, s.floor = snap.Version, snap.Applied, snap.Floor
	s.deleted = snap.Deleted
	s.put(snap.Declarations)
	s.indexPolicies()
	for _, m := range snap.Modified {
		s.modified[m.Ref] = m.Version
	}
	for _, c := range snap.Settled {
		s.settled.add(c.ID, Result{Outcome: c.Outcome, Offset: c.Offset, Message: c.Message})
	}
	return s, nil
}

// ReplaceIfNewer replaces the state with a newer one, such as a peer's. It returns false
// and changes nothing if other has not applied more of the log than s.
// Withdrawals received from peers are kept until the log is applied up to them.
func (s *State) ReplaceIfNewer(other *State) bool {
	if other.applied <= s.applied {
		return false
	}
	withdrawn := s.secrets.withdrawn
	*s = *other
	s.secrets.withdrawn = withdrawn
	s.secrets.dropAppliedWithdrawals(s.applied)
	return true
}
