package jobs

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
)

// jobsSnapshot holds every job that is remembered, in the order accepted.
type jobsSnapshot struct {
	Jobs []jobSnapshot `cbor:"1,keyasint"`
}

type jobSnapshot struct {
	Spec     model.Job `cbor:"1,keyasint"`
	Done     []int     `cbor:"2,keyasint,omitempty"`
	Failed   []int     `cbor:"3,keyasint,omitempty"`
	Canceled bool      `cbor:"4,keyasint,omitempty"`
}

// SnapshotName implements service.Snapshotter.
func (s *Service) SnapshotName() string { return service.Jobs }

// Snapshot implements service.Snapshotter.
func (s *Service) Snapshot() []byte {
	var snap jobsSnapshot
	for _, k := range s.order {
		j := s.jobs[k]
		line := jobSnapshot{Spec: j.spec, Canceled: j.canceled}
		for _, i := range slices.Sorted(maps.Keys(j.done)) {
			if j.done[i] {
				line.Done = append(line.Done, i)
			} else {
				line.Failed = append(line.Failed, i)
			}
		}
		snap.Jobs = append(snap.Jobs, line)
	}
	data, err := cbor.Marshal(snap)
	if err != nil {
		panic(err) // jobs always have an encoding
	}
	return data
}

// Restore implements service.Snapshotter. A job that the later state lacks has
// ended and was forgotten. The tasks of others may have been started already.
func (s *Service) Restore(data []byte) error {
	var snap jobsSnapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "read the jobs")
	}
	kept := make(map[key]bool, len(snap.Jobs))
	for _, line := range snap.Jobs {
		kept[keyOf(line.Spec)] = true
	}
	s.order = slices.DeleteFunc(s.order, func(k key) bool {
		if !kept[k] {
			s.dropJob(k)
		}
		return !kept[k]
	})
	for _, line := range snap.Jobs {
		s.restore(line)
	}
	return nil
}

func (s *Service) dropJob(k key) {
	j := s.jobs[k]
	for i := range j.spec.Count {
		s.tasks.Forget(taskOf(j.spec, i))
	}
	delete(s.jobs, k)
}

// restore brings one job up to the later state.
func (s *Service) restore(line jobSnapshot) {
	k := keyOf(line.Spec)
	j, known := s.jobs[k]
	if !known {
		j = &job{spec: line.Spec, done: make(map[int]bool)}
		s.jobs[k] = j
		s.order = append(s.order, k)
	}
	for _, i := range line.Done {
		s.end(j, i, true)
	}
	for _, i := range line.Failed {
		s.end(j, i, false)
	}
	if len(j.done) == j.spec.Count && j.endedAt == 0 {
		j.endedAt = max(s.env.Now(), 1)
	}
	if _, mine := s.ownership.Mine(k.shard()); mine && !known && j.endedAt == 0 {
		s.run(j, true)
	}
	if line.Canceled {
		s.cancel(k)
	}
	s.settleWaiting(k, j)
}

// settleWaiting answers callers whose job the restored state has.
func (s *Service) settleWaiting(k key, j *job) {
	w, ok := s.waiting[k]
	if !ok {
		return
	}
	delete(s.waiting, k)
	for _, c := range w.callers {
		s.tasks.Reply(c, s.accepted(k, j, j.spec))
	}
}
