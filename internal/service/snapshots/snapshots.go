// Package snapshots keeps the log readable from its oldest entry: well before the
// log drops entries, the owner of one shard appends the state that they led to.
package snapshots

import (
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

const (
	// keeper is the shard whose owner appends snapshots.
	keeper = model.Shard(0)
	// minInterval is the shortest time between two appends of snapshots.
	minInterval = 90 * time.Second
	// maxInterval is the longest time between two snapshots while the log grows.
	maxInterval = 15 * time.Minute
	// maxEntries is the number of entries after which a snapshot is due.
	maxEntries = 20_000
	// keptShare is the part of the entries kept by the log, as 1/keptShare, that
	// may follow the last snapshot.
	keptShare = 2
)

// Ownership tells who appends, and how far the log is applied.
type Ownership interface {
	Mine(model.Shard) (term uint64, ok bool)
	Applied() uint64
	CaughtUp() bool
}

// Service is the snapshot service.
type Service struct {
	env       *event.Env
	ownership Ownership
	sources   []service.Snapshotter

	oldest, next uint64        // of the log, as last read
	last         uint64        // offset of the last snapshot in the log
	lastAt       time.Duration // when it was read, or 0
	triedAt      time.Duration // when this instance appended last, or 0
}

// New returns the snapshot service.
func New(env *event.Env) *Service { return &Service{env: env} }

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Snapshots }

// Bind finds the services that this one works with.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	s.sources = kernel.All[service.Snapshotter](k)
	s.ownership, err = kernel.Find[Ownership](k, service.Ownership)
	return err
}

// OnLog notes what the log keeps.
func (s *Service) OnLog(l service.LogState) { s.oldest, s.next = l.Oldest, l.Next }

// OnRecord notes where the last snapshot is.
func (s *Service) OnRecord(offset uint64, r wire.Record) {
	if _, ok := r.(wire.Snapshot); ok {
		s.last, s.lastAt = offset, s.env.Now()
	}
}

// OnTick appends a snapshot when one is due.
func (s *Service) OnTick() {
	if _, mine := s.ownership.Mine(keeper); !mine || !s.due() || !s.ownership.CaughtUp() {
		return
	}
	s.triedAt = s.env.Now()
	s.env.Append(s.Take())
}

// due reports whether entries followed the last snapshot, and enough of them or
// for long enough.
func (s *Service) due() bool {
	since := s.next - min(s.last+1, s.next)
	age := s.env.Now() - s.lastAt
	if since == 0 || age < minInterval || s.env.Now()-s.triedAt < minInterval {
		return false
	}
	trimmed := s.oldest > 1
	return age >= maxInterval || since >= maxEntries || trimmed && keptShare*since >= s.next-s.oldest
}

// Take returns the state of all services, after the last entry applied. It must
// be called between entries.
func (s *Service) Take() wire.Snapshot {
	snap := wire.Snapshot{Applied: s.ownership.Applied()}
	for _, src := range s.sources {
		snap.Parts = append(snap.Parts, wire.SnapshotPart{Name: src.SnapshotName(), Data: src.Snapshot()})
	}
	return snap
}

// Restore hands each service its part of a snapshot. It returns an error when a
// service cannot read its part or has none.
func (s *Service) Restore(snap wire.Snapshot) error {
	parts := make(map[string][]byte, len(snap.Parts))
	for _, p := range snap.Parts {
		parts[p.Name] = p.Data
	}
	for _, src := range s.sources {
		data, ok := parts[src.SnapshotName()]
		if !ok {
			return errors.Newf("the snapshot has no part %q", src.SnapshotName())
		}
		if err := src.Restore(data); err != nil {
			return errors.Wrapf(err, "restore %q", src.SnapshotName())
		}
	}
	return nil
}
