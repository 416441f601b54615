package jobs

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
)

// jobsSnapshot contains every remembered job, in order of acceptance.
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
		entry := jobSnapshot{Spec: j.spec, Canceled: j.canceled}
		for _, i := range slices.Sorted(maps.Keys(j.ended)) {
			if j.ended[i] {
				entry.Done = append(entry.Done, i)
			} else {
				entry.Failed = append(entry.Failed, i)
			}
		}
		snap.Jobs = append(snap.Jobs, entry)
	}
	data, err := cbor.Marshal(snap)
	if err != nil {
		panic(err) // jobs can always be encoded
	}
	return data
}

// Restore implements service.Snapshotter. A job that is missing from the snapshot has
// ended and was removed. Other instances may have started tasks of the restored jobs
// already. It returns an error when data is malformed.
func (s *Service) Restore(data []byte) error {
	var snap jobsSnapshot
	if err := cbor.Unmarshal(data, &snap); err != nil {
		return errors.Wrap(err, "decode jobs snapshot")
	}
	kept := make(map[key]bool, len(snap.Jobs))
	for _, entry := range snap.Jobs {
		kept[keyOf(entry.Spec)] = true
	}
	s.order = slices.DeleteFunc(s.order, func(k key) bool {
		if !kept[k] {
			s.dropJob(k)
		}
		return !kept[k]
	})
	for _, entry := range snap.Jobs {
		s.restore(entry)
	}
	return nil
}

func (s *Service) dropJob(k key) {
	j := s.jobs[k]
	for i := range j.spec.Count {
		s.tasks.RemoveTask(taskOf(j.spec, i))
	}
	delete(s.jobs, k)
}

// restore updates one job to its state in the snapshot.
func (s *Service) restore(entry jobSnapshot) {
	k := keyOf(entry.Spec)
	j, known := s.jobs[k]
	if !known {
		j = &job{spec: entry.Spec, ended: make(map[int]bool)}
		s.jobs[k] = j
		s.order = append(s.order, k)
	}
	for _, i := range entry.Done {
		s.endTask(j, i, true)
	}
	for _, i := range entry.Failed {
		s.endTask(j, i, false)
	}
	if len(j.ended) == j.spec.Count && j.endedAt == 0 {
		j.endedAt = max(s.env.Now(), 1)
	}
	if _, owned := s.ownership.OwnedTerm(k.shard()); owned && !known && j.endedAt == 0 {
		s.addTasks(j, true)
	}
	if entry.Canceled {
		s.cancel(k)
	}
	s.answerPending(k, j)
}

// answerPending answers the callers that wait for a job in the restored state.
func (s *Service) answerPending(k key, j *job) {
	p, ok := s.pending[k]
	if !ok {
		return
	}
	delete(s.pending, k)
	for _, c := range p.callers {
		s.tasks.Reply(c, s.submissionAnswer(k, j, j.spec))
	}
}
