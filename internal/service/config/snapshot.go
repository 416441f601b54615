package config

import (
	"maps"
	"slices"

	"pollenbend/internal/declare"
	"pollenbend/internal/service"
)

// SnapshotName implements service.Snapshotter.
func (s *Service) SnapshotName() string { return service.Config }

// Snapshot implements service.Snapshotter.
func (s *Service) Snapshot() []byte { return s.state.Snapshot() }

// Restore implements service.Snapshotter. A state that has applied more changes is
// kept. Changes that the snapshot contains are answered. It returns an error when
// data is malformed.
func (s *Service) Restore(data []byte) error {
	other, err := declare.Restore(data)
	if err != nil {
		return err
	}
	s.state.ReplaceIfNewer(other)
	for _, id := range slices.Sorted(maps.Keys(s.pending)) {
		if r, ok := s.state.Settled(id); ok {
			s.answerChange(id, s.pending[id], answerOf(id, r))
		}
	}
	return nil
}
