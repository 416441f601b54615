package fleet

import "pollenbend/internal/model"

// Spread counts the committed tasks of one job by topology domain, or of one team's
// service for tasks without a job. Only tasks with a spread constraint count.
type Spread struct {
	Zones map[string]int
	Racks map[string]int
	Total int
}

// spreadKey identifies the tasks that are spread together: those of a job, or,
// without a job, those of a team's service.
type spreadKey struct {
	job     model.JobID
	team    model.TeamID
	service string
}

func spreadKeyOf(t *model.Task) spreadKey {
	if t.Job != "" {
		return spreadKey{job: t.Job}
	}
	return spreadKey{team: t.Team, service: t.Service}
}

// SpreadOf returns the counts for a task's job or service, or nil when none of its tasks
// is committed.
func (f *Fleet) SpreadOf(t *model.Task) *Spread { return f.spread[spreadKeyOf(t)] }

// Domains returns the number of racks in the fleet if by is "rack", else the number
// of availability zones.
func (f *Fleet) Domains(by string) int {
	if by == "rack" {
		return len(f.workersByRack)
	}
	return len(f.workersByZone)
}

// countSpread adds delta to the counts of an allocation's job or service, if its task
// has a spread constraint.
func (f *Fleet) countSpread(a *Allocation, delta int) {
	if a.Task.SpreadBy == "" {
		return
	}
	key := spreadKeyOf(a.Task)
	s := f.spread[key]
	if s == nil {
		s = &Spread{Zones: make(map[string]int), Racks: make(map[string]int)}
		f.spread[key] = s
	}
	s.Total += delta
	adjustCount(s.Zones, a.Node.Zone(), delta)
	adjustCount(s.Racks, a.Node.rackKey, delta)
	if s.Total == 0 {
		delete(f.spread, key)
	}
}

// adjustCount adds delta to the count of key and deletes counts of zero.
func adjustCount(counts map[string]int, key string, delta int) {
	counts[key] += delta
	if counts[key] == 0 {
		delete(counts, key)
	}
}
