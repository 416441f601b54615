package admission

import (
	"hash/fnv"
	"math"
	"time"
)

// Contention describes the work that competes with a new job: what the fleet has left
// for it, and what is placed before it.
type Contention struct {
	Capacity       float64 // cores of the usable workers that can hold one of the job's tasks
	PackedCapacity float64 // part of Capacity that tasks like the job's would use if nothing else ran
	// Room is the number of cores that tasks like the job's can use at once, whether or not
	// the adviser finds their workers good, without what is held or reserved for others.
	// ClaimedCores is the part of AheadCores that will use that room before the job: tasks
	// that no placement round has tried and tasks that wait for the adviser. The other tasks
	// ahead could not use it.
	Room, ClaimedCores    float64
	AheadCores, AheadWork float64        // cores and core-seconds of the waiting tasks that are placed before the job on any of its workers
	Confined              []ConfinedWork // the other work that is placed before the job
	ArrivingCores         float64        // expected number of cores that newly arriving work which is placed before the job occupies
	BlockedCores          float64        // cores that teams at their limits keep, as more of their work waits
	GoodRatio             float64        // part of the workers that the adviser finds good for the job; 1 without an adviser
	// AdviceWait is the time that the adviser needs for the job if all delegates are busy.
	AdviceWait time.Duration
	// RecentWait is the time that tasks of the job's priority which started lately had
	// waited for other reasons than their team's limit.
	RecentWait time.Duration
	// TeamWait is the time until the work of the job's team that is placed before it leaves
	// enough of the team's limit, see LimitSchedule.
	TeamWait time.Duration
	// OwedCores are the cores of the smallest job that was lately refused to a team which is
	// further below its share than the job's team; zero if there is none.
	OwedCores float64
	Surplus   Surplus // counts for a job beyond its team's entitlement
	// HeadroomCores are the cores of Room that stay free for urgent work that will arrive. A job
	// beyond its team's entitlement gets only what is left beside them.
	HeadroomCores float64
}

// Surplus describes the accepted work beyond the entitlements that is placed before a job or
// together with it.
type Surplus struct {
	Waiting   float64       // cores of the waiting tasks
	Oldest    time.Duration // how long the oldest of them has waited
	StartRate float64       // cores of the tasks that have started lately, per second
}

// Contender is the job to decide on.
type Contender struct {
	ID              string
	Cores           float64       // cores of its first tasks
	Work            float64       // core-seconds of these
	TypicalWork     float64       // core-seconds of the first tasks of an average job of its queue; zero if unknown
	TimeToEnd       time.Duration // from its placement on an idle fleet until its end
	Objective       time.Duration // target time from its arrival to its end
	OverEntitlement bool          // exceeds the entitlement of its team
	Gang            bool          // its first tasks start together
}

// The reasons for which Contend refuses a job.
const (
	ReasonNoWorker    = "no worker is usable"
	ReasonEntitlement = "the team is beyond its allowance and the fleet is full"
	ReasonTooLate     = "it would end too late"
	ReasonTeamLimit   = "the work of its team fills the team's limit for too long"
)

const (
	// minSizeRatio is the part of its slack that the largest job may wait. Jobs above the
	// typical size of their queue are refused earlier, as each displaces several others.
	minSizeRatio = 0.5
	// waitRatio is the part of its slack that a job may be expected to wait. A step that
	// misses its latest start comes after all others, so an error of the expectation is
	// worse than a refusal.
	waitRatio = 0.9
	// minStartRatio is the part of the fleet's cores on which work beyond the entitlements is
	// assumed to start per second, until some has waited too long. A few jobs at a time show
	// whether it does.
	minStartRatio = 0.04
	// retrySpread is the part by which retry delays differ in both directions.
	retrySpread = 0.25
)

// Contend decides whether job j is accepted beside the work that competes with it.
func Contend(j Contender, l Contention) Decision {
	if l.Capacity <= 0 {
		return Decision{Reason: ReasonNoWorker, RetryAfter: RetryDelay(j.ID, 0)}
	}
	parts := WaitParts{Limit: l.TeamWait, Adviser: l.AdviceWait, Bearable: bearableWait(j), AheadCores: l.AheadCores, AheadWork: l.AheadWork}
	parts.Cores, parts.Recent, parts.Surplus = fleetWait(j, l)
	d := Decision{Wait: parts.Total(), Parts: parts}
	fleet, bearable := max(parts.Cores, parts.Recent), parts.Bearable
	fleetBound := fleet
	if j.OverEntitlement {
		fleetBound = parts.Surplus
	}
	switch {
	case j.OverEntitlement && (owesRoom(j, l) || l.HeadroomCores > 0 && j.Cores+l.HeadroomCores > l.left()):
		d.Reason = ReasonEntitlement
	case max(fleetBound, l.TeamWait)+l.AdviceWait <= bearable:
		d.Accept = true
		return d
	case l.TeamWait > fleet:
		d.Reason = ReasonTeamLimit
	case j.OverEntitlement:
		d.Reason = ReasonEntitlement
	default:
		d.Reason = ReasonTooLate
	}
	d.RetryAfter = RetryDelay(j.ID, d.Wait-bearable)
	return d
}

// owesRoom reports whether j would take the room for a job of a team that is further below
// its share. Without that, what is left beyond the entitlements would go to the team that
// sends the most jobs.
func owesRoom(j Contender, l Contention) bool {
	left := l.left()
	useless := j.Cores <= left && left < l.OwedCores // the room is too small for the other job
	return l.OwedCores > 0 && left-j.Cores < l.OwedCores && !useless
}

// left returns the cores that tasks like the job's can use at once.
func (l *Contention) left() float64 { return max(0, l.Room-l.ClaimedCores) * l.GoodRatio }

// Scale leaves only a part of the work that any worker of the service may run: what falls to the
// workers of the job, if these are a part of all.
func (l *Contention) Scale(part float64) {
	for _, x := range []*float64{&l.AheadCores, &l.AheadWork, &l.ClaimedCores, &l.ArrivingCores, &l.BlockedCores} {
		*x *= part
	}
}

// limitedByMemory reports whether tasks like the job's leave at least half of the cores of their
// workers to others, as memory or GPUs limit them.
func (l *Contention) limitedByMemory() bool { return 2*l.PackedCapacity <= l.Capacity }

// bearableWait returns how long j may wait in the queue.
func bearableWait(j Contender) time.Duration {
	slack := max(0, j.Objective-j.TimeToEnd)
	if j.OverEntitlement {
		return min(slack, overEntitlementMaxWait)
	}
	ratio := 1.0
	if j.TypicalWork > 0 && j.Work > j.TypicalWork {
		ratio = max(minSizeRatio, math.Sqrt(j.TypicalWork/j.Work))
	}
	return time.Duration(waitRatio * ratio * float64(slack))
}

// fleetWait returns how long j is expected to wait for cores, by the work ahead and by what
// tasks had waited that started lately. For a job beyond its team's entitlement, surplus decides
// whether it is accepted: what the work before it leaves depends on the sizes of its tasks.
func fleetWait(j Contender, l Contention) (byWork, recent, surplus time.Duration) {
	left := l.left()
	if j.Cores <= left {
		return 0, 0, 0
	}
	work := j.Work * (1 - left/j.Cores) / max(0.01, l.GoodRatio)
	minRate := l.Capacity * minCapacityRatio
	rate := max(l.Capacity*PackingRatio-l.ArrivingCores-l.BlockedCores, minRate)
	if j.Gang || l.limitedByMemory() {
		rate = min(rate, l.PackedCapacity)
	}
	switch {
	case j.Gang:
		// It waits until tasks that start now have ended too, on the cores that it can use.
		work += l.AheadWork
	case l.AheadCores > 0:
		work += l.AheadWork * (1 - min(l.Room, l.ClaimedCores)/l.AheadCores)
	}
	byWork = drainTime(work, rate, min(rate, minRate), l.Confined)
	if l.AheadCores > 0 {
		recent = l.RecentWait
	}
	if j.OverEntitlement {
		surplus = surplusWait(j, l)
	}
	return byWork, recent, surplus
}

// surplusWait returns how long j waits behind other work beyond the entitlements, by what has
// lately started of it. It is zero if none waits: the job then shows whether such work starts.
func surplusWait(j Contender, l Contention) time.Duration {
	s := l.Surplus
	if s.Waiting <= 0 {
		return 0
	}
	return max(s.Oldest, seconds((s.Waiting+j.Cores)/max(s.StartRate, minStartRatio*l.Capacity)))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// RetryDelay returns the delay for a job that would wait for excess longer than it can.
// The bounds hold with the spread, so that the delays differ at the bounds too.
func RetryDelay(id string, excess time.Duration) time.Duration {
	lowest := minRetryDelay.Seconds() / (1 - retrySpread)
	highest := maxRetryDelay.Seconds() / (1 + retrySpread)
	d := Spread(id, seconds(min(highest, max(lowest, excess.Seconds()))))
	return min(maxRetryDelay, max(minRetryDelay, d)) // rounding may pass the bounds
}

// Spread changes a delay by up to retrySpread in both directions. The change depends only
// on the job's id, so that callers which are refused together come back at different times.
func Spread(id string, d time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 32 // consecutive ids differ in the low bits alone
	x *= 0x9e3779b97f4a7c15
	part := float64(x>>11) / (1 << 53)
	return time.Duration(float64(d) * (1 - retrySpread + 2*retrySpread*part))
}
