package engine

import (
	"maps"
	"slices"
	"time"

	"pollenbend/internal/cell/record"
)

// A withdrawal is the cancellation of a job that the leader doesn't know, or that may be forgotten before a late
// copy of its submission arrives. It is stored before the cancellation is acknowledged: a submission of the job
// is refused from then on, by the next leaders too, and the store refuses the record of a leader that was replaced.

const (
	// maxTeamWithdrawals bounds the withdrawals of a team, and maxWithdrawals those of all teams. A new leader
	// reads them 500 at a time.
	maxTeamWithdrawals = 2048
	maxWithdrawals     = 16_384
	// withdrawalRetryAfter is the retry delay of a caller whose team has used up its bound.
	withdrawalRetryAfter = 10 * time.Second
)

// canceledReason is the reason for refusing a job whose cancellation was acknowledged.
const canceledReason = "the job was canceled"

// Caller tells whom a request about a job comes from.
type Caller struct {
	Team   string // of the caller's key; empty without one
	Queue  string // that the request was sent to; empty from instances of earlier versions
	Public bool   // the queue takes requests without a key
}

// mayAccess reports whether c may see and cancel a job of the given team and queue. On a public queue no key is
// needed, so a caller without one reaches each job of the queue; a job that was submitted without a key is open to all
// callers of its queue.
func (c Caller) mayAccess(team, queue string) bool {
	if c.Team != "" && c.Team == team || c.Queue == "" && c.Team == team {
		return true
	}
	return c.Queue == queue && (team == "" || c.Public && c.Team == "")
}

// countKey returns the name under which the withdrawals of c are counted: its team or, without one, its queue.
func (c Caller) countKey() string {
	if c.Team != "" {
		return "team " + c.Team
	}
	return "queue " + c.Queue
}

// withdrawal is a withdrawal in force. Its age is counted by the clock of this engine, since it was acknowledged
// or the term began, so that no jump of the time of day ends it.
type withdrawal struct {
	*record.Withdrawal
	caller Caller
	since  time.Time
}

// withdrawals are the withdrawals of a cell.
type withdrawals struct {
	byJob map[string][]*withdrawal
	byAge []*withdrawal  // the oldest first
	count map[string]int // see Caller.countKey
}

func newWithdrawals() withdrawals {
	return withdrawals{byJob: make(map[string][]*withdrawal), count: make(map[string]int)}
}

// add adds a withdrawal as the newest.
func (all *withdrawals) add(rec *record.Withdrawal, now time.Time) {
	w := &withdrawal{Withdrawal: rec, caller: Caller{Team: rec.Team, Queue: rec.Queue, Public: rec.Public}, since: now}
	all.byJob[rec.Job] = append(all.byJob[rec.Job], w)
	all.byAge = append(all.byAge, w)
	all.count[w.caller.countKey()]++
}

// renew makes w the newest.
func (all *withdrawals) renew(w *withdrawal, now time.Time) {
	w.since = now
	i := slices.Index(all.byAge, w)
	all.byAge = append(slices.Delete(all.byAge, i, i+1), w)
}

// removeOldest removes the n oldest withdrawals.
func (all *withdrawals) removeOldest(n int) {
	for _, w := range all.byAge[:n] {
		same := func(other *withdrawal) bool { return other == w }
		if all.byJob[w.Job] = slices.DeleteFunc(all.byJob[w.Job], same); len(all.byJob[w.Job]) == 0 {
			delete(all.byJob, w.Job)
		}
		if all.count[w.caller.countKey()]--; all.count[w.caller.countKey()] == 0 {
			delete(all.count, w.caller.countKey())
		}
	}
	all.byAge = slices.Delete(all.byAge, 0, n)
}

// find returns the withdrawal of a job by c, or nil.
func (all *withdrawals) find(id string, c Caller) *withdrawal {
	for _, w := range all.byJob[id] {
		if w.caller == c {
			return w
		}
	}
	return nil
}

// hasRoom reports whether one more withdrawal by c is within the bounds.
func (all *withdrawals) hasRoom(c Caller) bool {
	return len(all.byAge) < maxWithdrawals && all.count[c.countKey()] < maxTeamWithdrawals
}

// withdraw has a withdrawal of a job by c stored with the next append, unless there is one.
func (e *Engine) withdraw(id string, c Caller) {
	if w := e.withdrawals.find(id, c); w != nil {
		if e.now.Sub(w.since) >= e.cfg.EndedJobRetention/2 {
			e.withdrawals.renew(w, e.now)
		}
		return
	}
	rec := &record.Withdrawal{Job: id, Team: c.Team, Queue: c.Queue, Public: c.Public}
	e.withdrawals.add(rec, e.now)
	e.put(rec.Key(), record.Encode(rec))
}

// withdrawn reports whether the cancellation of a job that is submitted was acknowledged.
func (e *Engine) withdrawn(ev *Submit) bool {
	return slices.ContainsFunc(e.withdrawals.byJob[ev.Spec.ID], func(w *withdrawal) bool {
		return w.caller.mayAccess(ev.Spec.Team, ev.Spec.Queue)
	})
}

// dropExpiredWithdrawals drops withdrawals that are older than EndedJobRetention, from the store as well.
func (e *Engine) dropExpiredWithdrawals() {
	n := 0
	for _, w := range e.withdrawals.byAge {
		if e.now.Sub(w.since) < e.cfg.EndedJobRetention {
			break
		}
		e.put(w.Key(), nil)
		n++
	}
	e.withdrawals.removeOldest(n)
}

// restoreWithdrawals restores the withdrawals that earlier leaders stored, by key.
func (e *Engine) restoreWithdrawals(stored map[string]*record.Withdrawal) {
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		e.withdrawals.add(stored[key], e.now)
	}
}
