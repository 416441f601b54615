package admission

import "time"

// WaitParts tells what the expected time of a job in the queue consists of. The waits for cores
// and for the limit of the team overlap, so the longer one counts; that for the adviser follows.
type WaitParts struct {
	Cores    time.Duration // until the work ahead leaves enough cores
	Recent   time.Duration // what tasks had waited that started lately; counts in place of Cores if it is longer
	Limit    time.Duration // until the work of the job's team leaves enough of the team's limit
	Adviser  time.Duration // until the adviser has answered, if all delegates are busy
	Bearable time.Duration // up to which the job is accepted
	// Surplus is what counts in place of Cores and Recent for whether a job beyond its team's
	// entitlement is accepted: the wait behind other such work, by what lately started of it.
	Surplus time.Duration

	AheadCores, AheadWork float64 // cores and core-seconds of the waiting tasks that are placed before the job
}

// The causes of a wait.
const (
	CauseWorkAhead = "work ahead"
	CauseRecent    = "recent waits"
	CauseTeamLimit = "limit of the team"
	CauseAdviser   = "adviser"
)

// Total returns the expected time in the queue.
func (p *WaitParts) Total() time.Duration { return max(p.Cores, p.Recent, p.Limit) + p.Adviser }

// Cause returns the part that determines most of the wait, or "" if there is none.
func (p *WaitParts) Cause() string {
	switch most := max(p.Cores, p.Recent, p.Limit); {
	case p.Total() <= 0:
		return ""
	case p.Adviser > most:
		return CauseAdviser
	case p.Limit == most:
		return CauseTeamLimit
	case p.Recent > p.Cores:
		return CauseRecent
	}
	return CauseWorkAhead
}
