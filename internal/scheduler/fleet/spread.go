package fleet

import "pollenbend/internal/model"

// Spread counts the tasks of one job by topology domain.
type Spread struct {
	Zones map[string]int
	Racks map[string]int
	Total int
}

// spreadKey names what is spread: a job, or a service of a team when its tasks
// belong to no job.
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

// SpreadOf returns the counts for a task's job, or nil when none of its tasks is
// committed.
func (f *Fleet) SpreadOf(t *model.Task) *Spread { return f.spread[spreadKeyOf(t)] }

// Domains returns the number of domains of a kind in the fleet: "rack" or "zone".
func (f *Fleet) Domains(by string) int {
	if by == "rack" {
		return len(f.racks)
	}
	return len(f.zones)
}

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
	addCount(s.Zones, a.Node.Zone(), delta)
	addCount(s.Racks, a.Node.rackKey, delta)
	if s.Total == 0 {
		delete(f.spread, key)
	}
}

func addCount(counts map[string]int, key string, delta int) {
	counts[key] += delta
	if counts[key] == 0 {
		delete(counts, key)
	}
}
