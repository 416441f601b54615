package engine

import (
	"cmp"
	"slices"
	"time"

	"pollenbend/internal/cell/record"
)

// A cancellation of a job that is not known, or not stored, is stored as a withdrawal before it is
// acknowledged. A submission of the job that is still under way is then refused when it arrives, also by
// the next leaders, and a leader that was replaced can't acknowledge a cancellation: the store refuses the record.

const (
	// maxTeamWithdrawals bounds the withdrawals of a team, and maxWithdrawals those of all teams. At 300 bytes
	// each they take 20 MB.
	maxTeamWithdrawals = 4096
	maxWithdrawals     = 65_536
	// maxWithdrawalRetryAfter bounds the retry delay of a caller whose team has used up its bound.
	maxWithdrawalRetryAfter = 10 * time.Second
)

// canceledReason is the reason for refusing a job whose cancellation was acknowledged.
const canceledReason = "the job was canceled"

// Caller tells whom a request about a job comes from.
type Caller struct {
	Team   string // of the caller's key; empty without one
	Queue  string // that the request was sent to
	Public bool   // the queue takes requests without a key
}

// mayAccess reports whether c may see and cancel a job of the given team and queue. Requests to a public queue
// need no key, so they reach each of its jobs. No key tells a job that was submitted without one.
func (c Caller) mayAccess(team, queue string) bool {
	return c.Team == team || c.Queue == queue && (c.Public || team == "")
}

// withdrawals are the withdrawals of a cell.
type withdrawals struct {
	byJob  map[string][]*record.Withdrawal
	byAge  []*record.Withdrawal // the oldest first
	byTeam map[string]int       // number of them
}

func newWithdrawals() withdrawals {
	return withdrawals{byJob: make(map[string][]*record.Withdrawal), byTeam: make(map[string]int)}
}

// add adds w as the newest.
func (all *withdrawals) add(w *record.Withdrawal) {
	all.byJob[w.Job] = append(all.byJob[w.Job], w)
	all.byAge = append(all.byAge, w)
	all.byTeam[w.Team]++
}

// remove removes the withdrawals byAge[from:to].
func (all *withdrawals) remove(from, to int) {
	for _, w := range all.byAge[from:to] {
		all.forget(w)
	}
	all.byAge = slices.Delete(all.byAge, from, to)
}

// forget removes w from the maps.
func (all *withdrawals) forget(w *record.Withdrawal) {
	same := func(other *record.Withdrawal) bool { return other == w }
	if all.byJob[w.Job] = slices.DeleteFunc(all.byJob[w.Job], same); len(all.byJob[w.Job]) == 0 {
		delete(all.byJob, w.Job)
	}
	if all.byTeam[w.Team]--; all.byTeam[w.Team] == 0 {
		delete(all.byTeam, w.Team)
	}
}

// find returns the withdrawal of a job by c, or nil.
func (all *withdrawals) find(id string, c Caller) *record.Withdrawal {
	for _, w := range all.byJob[id] {
		if callerOf(w) == c {
			return w
		}
	}
	return nil
}

func callerOf(w *record.Withdrawal) Caller {
	return Caller{Team: w.Team, Queue: w.Queue, Public: w.Public}
}

// withdraw puts a withdrawal of a job by c into the next append. It returns the delay after which there is
// room for it, or zero.
func (e *Engine) withdraw(id string, c Caller) time.Duration {
	wall := e.wall()
	if w := e.withdrawals.find(id, c); w != nil {
		if wall-w.At < e.cfg.EndedJobRetention.Milliseconds()/2 {
			return 0 // its record is stored, or in an append before the answer
		}
		i := slices.Index(e.withdrawals.byAge, w)
		e.withdrawals.remove(i, i+1)
	}
	if len(e.withdrawals.byAge) >= maxWithdrawals || e.withdrawals.byTeam[c.Team] >= maxTeamWithdrawals {
		return maxWithdrawalRetryAfter
	}
	w := &record.Withdrawal{Job: id, Team: c.Team, Queue: c.Queue, Public: c.Public, At: wall}
	e.withdrawals.add(w)
	e.put(w.Key(), record.Encode(w))
	return 0
}

// withdrawn reports whether the cancellation of a job that is submitted was acknowledged.
func (e *Engine) withdrawn(ev *Submit) bool {
	return slices.ContainsFunc(e.withdrawals.byJob[ev.Spec.ID], func(w *record.Withdrawal) bool {
		return callerOf(w).mayAccess(ev.Spec.Team, ev.Spec.Queue)
	})
}

// dropExpiredWithdrawals drops withdrawals after EndedJobRetention, as jobs that were canceled.
func (e *Engine) dropExpiredWithdrawals(wall int64) {
	n := 0
	for _, w := range e.withdrawals.byAge {
		if wall-w.At < e.cfg.EndedJobRetention.Milliseconds() {
			break
		}
		e.put(w.Key(), nil)
		n++
	}
	e.withdrawals.remove(0, n)
}

// restoreWithdrawals restores the withdrawals that earlier leaders stored.
func (e *Engine) restoreWithdrawals(stored map[string]*record.Withdrawal) {
	all := make([]*record.Withdrawal, 0, len(stored))
	for _, w := range stored {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *record.Withdrawal) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Key(), b.Key()))
	})
	for _, w := range all {
		e.withdrawals.add(w)
	}
}
