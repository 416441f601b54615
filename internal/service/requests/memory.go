package requests

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// shardHistory describes how complete the records of a shard's requests are.
type shardHistory struct {
	exactFrom uint64        // all requests with tickets from this term on are recorded
	lostAt    time.Duration // when records were last lost, 0 if never
}

// pendingImport holds the records received for a shard that is not owned here yet.
// They are used only if the shard is handed over at the term they were sent for.
type pendingImport struct {
	shard      wire.ShardMemory
	entries    []wire.RequestMemory
	receivedAt time.Duration
}

// ExportRecords returns the records of the shards' requests, with times as ages.
func (s *Service) ExportRecords(shards []wire.ShardTerm) ([]wire.ShardMemory, []wire.RequestMemory) {
	var memory []wire.ShardMemory
	wanted := make(map[model.Shard]bool, len(shards))
	for _, st := range shards {
		wanted[st.Shard] = true
		history := s.history[st.Shard]
		m := wire.ShardMemory{ShardTerm: st, ExactFrom: history.exactFrom}
		if history.lostAt > 0 {
			m.PastAge = max(s.env.Now()-history.lostAt, 1)
		}
		if at, known := s.shardUnownedAt(st.Shard); known {
			m.UnownedAge = max(s.env.Now()-at, 1)
		}
		memory = append(memory, m)
	}
	var entries []wire.RequestMemory
	for _, id := range s.sortedEntryIDs() {
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
		LeaseHolder: e.holder, Attempt: e.attempt, Run: e.run, Canceled: e.canceled,
		CreatedAge: now - e.firstReceivedAt, QueuedAge: now - e.receivedAt, Remaining: e.deadline - now,
		Worker: e.worker, Answer: e.answer,
	}
	m.Task.ID = e.base
	if e.phase == phaseFinished {
		m.Task.Payload = nil
		m.EndAge = now - e.finishedAt
	}
	return m
}

// RecordCount returns the number of a shard's requests recorded here.
func (s *Service) RecordCount(shard model.Shard) int {
	n := 0
	for _, e := range s.entries {
		if e.shard == shard {
			n++
		}
	}
	return n
}

// ImportRecords keeps records received from a shard's owner until the log reports the
// handover of the shard.
func (s *Service) ImportRecords(m wire.Memory) {
	for _, shard := range m.Shards {
		s.imports[shard.ShardTerm.Shard] = &pendingImport{shard: shard, receivedAt: s.env.Now()}
	}
	for _, r := range m.Entries {
		if p, ok := s.imports[model.ShardOfTask(r.Task.ID)]; ok {
			p.entries = append(p.entries, r)
		}
	}
}

// OnShardMoved takes over or drops the records of a shard's requests.
func (s *Service) OnShardMoved(m service.ShardMove) {
	imported := s.imports[m.Shard]
	delete(s.imports, m.Shard)
	switch {
	case m.After == s.env.SelfRef() && m.Before == s.env.SelfRef() && !m.ChangesMissed:
		// A new term of the same owner: no records are lost.
	case m.After == s.env.SelfRef():
		s.gainShard(m, imported)
	case m.Before == s.env.SelfRef():
		s.loseShard(m.Shard)
	}
}

// gainShard starts to own a shard. It imports the previous owner's records if the
// handover was planned and they arrived; otherwise they count as lost.
func (s *Service) gainShard(m service.ShardMove, imported *pendingImport) {
	history := shardHistory{exactFrom: m.Term}
	if m.OldTerm != 0 {
		history.lostAt = max(s.env.Now(), 1)
	}
	complete := m.HandedOver && imported != nil && imported.shard.ShardTerm.Term == m.OldTerm
	if complete {
		history = shardHistory{exactFrom: imported.shard.ExactFrom}
		if imported.shard.PastAge > 0 {
			history.lostAt = max(imported.receivedAt-imported.shard.PastAge, 1)
		}
		if age := imported.shard.UnownedAge; age > 0 {
			s.unownedAt[m.Shard] = imported.receivedAt - service.MaxRecordsDelay - age
		}
	}
	s.history[m.Shard] = history
	if !complete {
		return
	}
	for _, r := range imported.entries {
		s.importEntry(m.Shard, r, imported.receivedAt)
	}
}

func (s *Service) importEntry(shard model.Shard, r wire.RequestMemory, importedAt time.Duration) {
	if _, known := s.entries[r.Task.ID]; known {
		return
	}
	e := &entry{
		id: r.ID, task: r.Task, base: r.Task.ID, shard: shard, fingerprint: r.Fingerprint,
		phase: phaseLocating, holder: r.LeaseHolder, attempt: r.Attempt, run: r.Run, canceled: r.Canceled,
		firstReceivedAt: importedAt - service.MaxRecordsDelay - r.CreatedAge, receivedAt: importedAt - r.QueuedAge, deadline: importedAt + r.Remaining, worker: r.Worker,
	}
	s.entries[e.base] = e
	if e.task.Kind == model.KindGang && phase(r.Phase) != phaseFinished {
		return // AddTask joins it to its gang and locates it
	}
	switch phase(r.Phase) {
	case phaseFinished:
		e.phase = phaseFinished
		e.answer, e.finishedAt = r.Answer, importedAt-r.EndAge
		s.finished = append(s.finished, e)
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

// shardUnownedAt returns the latest time known at which a shard had never had an owner,
// from the log or from a previous owner. Nothing of the shard was started before it. It
// is negative for a time before this instance started.
func (s *Service) shardUnownedAt(shard model.Shard) (at time.Duration, known bool) {
	at, known = s.ownership.UnownedAt(shard)
	if told, ok := s.unownedAt[shard]; ok && (!known || told > at) {
		return told, true
	}
	return at, known
}

// loseShard removes all entries of a shard that this instance no longer owns.
func (s *Service) loseShard(shard model.Shard) {
	s.dropGangs(shard)
	for id, e := range s.entries {
		if e.shard == shard {
			s.setPhase(e, phaseFinished)
			delete(s.entries, id)
		}
	}
}
