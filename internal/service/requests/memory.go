package requests

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// shardPast tells what is remembered of a shard.
type shardPast struct {
	exactFrom uint64        // tickets from this term on are remembered completely
	lostAt    time.Duration // when memory was lost last, 0 when never
}

// heldMemory is memory received for a shard that is not owned yet. It counts only
// when the shard is handed over at the very term it was sent for.
type heldMemory struct {
	shard   wire.ShardMemory
	entries []wire.RequestMemory
	at      time.Duration
}

// Export returns what is remembered of the shards' requests.
func (s *Service) Export(shards []wire.ShardTerm) ([]wire.ShardMemory, []wire.RequestMemory) {
	var memory []wire.ShardMemory
	wanted := make(map[model.Shard]bool, len(shards))
	for _, st := range shards {
		wanted[st.Shard] = true
		past := s.past[st.Shard]
		m := wire.ShardMemory{ShardTerm: st, ExactFrom: past.exactFrom}
		if past.lostAt > 0 {
			m.PastAge = max(s.env.Now()-past.lostAt, 1)
		}
		memory = append(memory, m)
	}
	var entries []wire.RequestMemory
	for _, id := range s.sortedEntries() {
		if e := s.entries[id]; wanted[e.shard] {
			entries = append(entries, s.exportEntry(e))
		}
	}
	return memory, entries
}

func (s *Service) exportEntry(e *entry) wire.RequestMemory {
	now := s.env.Now()
	m := wire.RequestMemory{
		ID: e.id, Task: e.task, Fingerprint: e.fingerprint, Phase: uint8(e.phase),
		Holder: e.holder, Attempt: e.attempt, Run: e.run, Canceled: e.canceled,
		BornAge: now - e.born, WaitAge: now - e.receivedAt, Remaining: e.deadline - now,
		Worker: e.worker, Answer: e.answer,
	}
	m.Task.ID = e.base
	if e.phase == phaseFinished {
		m.Task.Payload = nil
		m.EndAge = now - e.finishedAt
	}
	return m
}

// Remembered returns how many requests of a shard are remembered here.
func (s *Service) Remembered(shard model.Shard) int {
	n := 0
	for _, e := range s.entries {
		if e.shard == shard {
			n++
		}
	}
	return n
}

// Import keeps memory until the log hands its shards over.
func (s *Service) Import(m wire.Memory) {
	for _, shard := range m.Shards {
		s.held[shard.ShardTerm.Shard] = &heldMemory{shard: shard, at: s.env.Now()}
	}
	for _, r := range m.Entries {
		if h, ok := s.held[model.ShardOfTask(r.Task.ID)]; ok {
			h.entries = append(h.entries, r)
		}
	}
}

// OnShardMoved takes over or lets go the memory of a shard's requests.
func (s *Service) OnShardMoved(m service.ShardMove) {
	held := s.held[m.Shard]
	delete(s.held, m.Shard)
	switch {
	case m.After == s.env.Owner() && m.Before == s.env.Owner() && !m.Gap:
		// A new term of the same owner: nothing is lost.
	case m.After == s.env.Owner():
		s.gain(m, held)
	case m.Before == s.env.Owner():
		s.lose(m.Shard)
	}
}

func (s *Service) gain(m service.ShardMove, held *heldMemory) {
	past := shardPast{exactFrom: m.Term}
	if m.OldTerm != 0 {
		past.lostAt = max(s.env.Now(), 1)
	}
	complete := m.Planned && held != nil && held.shard.ShardTerm.Term == m.OldTerm
	if complete {
		past = shardPast{exactFrom: held.shard.ExactFrom}
		if held.shard.PastAge > 0 {
			past.lostAt = max(held.at-held.shard.PastAge, 1)
		}
	}
	s.past[m.Shard] = past
	if !complete {
		return
	}
	for _, r := range held.entries {
		s.importEntry(m.Shard, r, held.at)
	}
}

func (s *Service) importEntry(shard model.Shard, r wire.RequestMemory, at time.Duration) {
	if _, known := s.entries[r.Task.ID]; known {
		return
	}
	e := &entry{
		id: r.ID, task: r.Task, base: r.Task.ID, shard: shard, fingerprint: r.Fingerprint,
		phase: phaseLocating, holder: r.Holder, attempt: r.Attempt, run: r.Run, canceled: r.Canceled,
		born: at - r.BornAge, receivedAt: at - r.WaitAge, deadline: at + r.Remaining, worker: r.Worker,
	}
	s.entries[e.base] = e
	if e.task.Kind == model.KindGang && phase(r.Phase) != phaseFinished {
		return // its job joins it to its gang, which finds it again
	}
	switch phase(r.Phase) {
	case phaseFinished:
		e.phase = phaseFinished
		e.answer, e.finishedAt = r.Answer, at-r.EndAge
		s.ended = append(s.ended, e)
		if e.task.Job != "" && e.task.Kind != model.KindGang {
			s.jobs.TaskEnded(e.task, e.answer)
		}
	case phaseWaiting, phaseBackoff:
		s.enqueue(e)
	case phaseLocating:
		s.startLocate(e)
	default:
		s.setPhase(e, phase(r.Phase))
		e.dispatchedAt = s.env.Now()
		if !s.members.IsLive(e.holder) {
			s.startLocate(e)
		}
	}
}

func (s *Service) lose(shard model.Shard) {
	s.loseGangs(shard)
	for id, e := range s.entries {
		if e.shard == shard {
			s.setPhase(e, phaseFinished)
			delete(s.entries, id)
		}
	}
}
