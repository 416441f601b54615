// Package snapshots keeps the log replayable from its oldest entry: well before the
// log drops entries, the owner of one shard appends a snapshot of the state after
// them.
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
	// writerShard is the shard whose owner appends snapshots.
	writerShard = model.Shard(0)
	// minInterval is the minimum time between two appends of a snapshot.
	minInterval = 90 * time.Second
	// maxInterval is the maximum time between two snapshots while the log grows.
	maxInterval = 15 * time.Minute
	// maxEntries is the number of entries after which a snapshot is due.
	maxEntries = 20_000
	// retentionDivisor limits the entries after the last snapshot to 1/retentionDivisor
	// of those that the log keeps.
	retentionDivisor = 2
)

// Ownership provides the owner of the writer shard and how far the log is applied.
type Ownership interface {
	OwnedTerm(model.Shard) (term uint64, ok bool)
	Applied() uint64
	CaughtUp() bool
}

// Service is the snapshot service.
type Service struct {
	env       *event.Env
	ownership Ownership
	sources   []service.Snapshotter

	oldest, next uint64        // offsets of the log, as of the last read
	lastOffset   uint64        // offset of the last snapshot in the log
	lastAt       time.Duration // when it was read, 0 before
	appendedAt   time.Duration // when this instance last appended a snapshot, 0 before
}

// New returns the snapshot service.
func New(env *event.Env) *Service { return &Service{env: env} }

// Name implements kernel.Service.
func (s *Service) Name() string { return service.Snapshots }

// Bind looks up the services that this one uses. It returns an error when one is missing.
func (s *Service) Bind(k *kernel.Kernel) (err error) {
	s.sources = kernel.All[service.Snapshotter](k)
	s.ownership, err = kernel.Find[Ownership](k, service.Ownership)
	return err
}

// OnLog stores which entries the log keeps.
func (s *Service) OnLog(l service.LogState) { s.oldest, s.next = l.Oldest, l.Next }

// OnRecord stores where the last snapshot is.
func (s *Service) OnRecord(offset uint64, r wire.Record) {
	if _, ok := r.(wire.Snapshot); ok {
		s.lastOffset, s.lastAt = offset, s.env.Now()
	}
}

// OnTick appends a snapshot when one is due.
func (s *Service) OnTick() {
	if _, owned := s.ownership.OwnedTerm(writerShard); !owned || !s.due() || !s.ownership.CaughtUp() {
		return
	}
	s.appendedAt = s.env.Now()
	s.env.Append(s.TakeSnapshot())
}

// due reports whether a snapshot is due: there are entries after the last one, and
// they are many or it is old.
func (s *Service) due() bool {
	since := s.next - min(s.lastOffset+1, s.next)
	age := s.env.Now() - s.lastAt
	if since == 0 || age < minInterval || s.env.Now()-s.appendedAt < minInterval {
		return false
	}
	trimmed := s.oldest > 1
	return age >= maxInterval || since >= maxEntries || trimmed && retentionDivisor*since >= s.next-s.oldest
}

// TakeSnapshot returns the state of all services after the last applied entry. It must not
// be called while an entry is being applied.
func (s *Service) TakeSnapshot() wire.Snapshot {
	snap := wire.Snapshot{Applied: s.ownership.Applied()}
	for _, src := range s.sources {
		snap.Parts = append(snap.Parts, wire.SnapshotPart{Name: src.SnapshotName(), Data: src.Snapshot()})
	}
	return snap
}

// Restore passes each service its part of a snapshot. It returns an error when a
// service has no part or cannot decode it; the services before it in the order of
// registration are then restored already.
func (s *Service) Restore(snap wire.Snapshot) error {
	parts := make(map[string][]byte, len(snap.Parts))
	for _, p := range snap.Parts {
		parts[p.Name] = p.Data
	}
	for _, src := range s.sources {
		data, ok := parts[src.SnapshotName()]
		if !ok {
			return errors.Newf("snapshot has no part %q", src.SnapshotName())
		}
		if err := src.Restore(data); err != nil {
			return errors.Wrapf(err, "restore %q", src.SnapshotName())
		}
	}
	return nil
}
