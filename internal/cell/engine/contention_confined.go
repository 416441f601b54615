package engine

import (
	"pollenbend/internal/cell/admission"
	"pollenbend/internal/cell/job"
)

// confinement tells which workers of a service a confined step may use, see Engine.isConfined, and how
// much of them. Its zero value stands for a step that is not confined.
type confinement struct {
	confinementKey
	need     job.Resources // of a task
	capacity float64       // cores of the workers
	atOnce   float64       // cores of the tasks that could run at the same time on idle workers
}

// confinementKey names the steps that compete with each other for the same part of the workers.
type confinementKey struct {
	label   string
	workers int64 // that could run a task if they were idle; of one label, as many workers are the same ones
	bound   taskBound
}

func (c *confinement) isZero() bool { return c.bound == 0 }

// taskBound is what bounds the tasks of a step that run on a worker.
type taskBound uint8

const (
	boundByCPU taskBound = iota + 1
	boundByMemory
	boundByCount // see job.Step.MaxPerWorker
)

// confinementOf returns how s is confined while the given number of its tasks wait.
func (e *Engine) confinementOf(s *stepState, service string, waiting int) confinement {
	p := e.measuredPool(service)
	if waiting == 0 || !e.isConfined(s, p, waiting) {
		return confinement{}
	}
	c := confinement{confinementKey: confinementKey{label: s.spec.Label, bound: boundByCPU}, need: s.charge}
	cpu, tasks := int64(0), int64(0)
	for capacity, workers := range e.roomOf(service).workersByCapacity(s.spec.Label, p, e.now) {
		perWorker := s.charge.CountIn(capacity, job.MaxTasks)
		if perWorker == 0 {
			continue
		}
		if s.charge.CPU*int64(perWorker) <= capacity.CPU/2 {
			c.bound = max(c.bound, boundByMemory)
		}
		if s.spec.MaxPerWorker > 0 && s.spec.MaxPerWorker < perWorker {
			perWorker, c.bound = s.spec.MaxPerWorker, boundByCount
		}
		c.workers += workers
		cpu += workers * capacity.CPU
		tasks += workers * int64(perWorker)
	}
	if c.bound == boundByCPU && p.allCanHold(s.spec) {
		return confinement{} // its maximum per worker is more than fits
	}
	c.capacity, c.atOnce = float64(cpu)/1000, float64(tasks*s.charge.CPU)/1000
	return c
}

// confinedLoad is the work of a class that is confined in the same way. cores count only tasks that can
// run at the same time.
type confinedLoad struct {
	confinement
	waitingLoad
	alone float64 // seconds that the waiting steps take one after the other
}

// confinedBy returns the load of a confinement and creates it on first use.
func (l *classLoad) confinedBy(c confinement) *confinedLoad {
	for _, known := range l.confined {
		if known.confinementKey == c.confinementKey {
			return known
		}
	}
	added := &confinedLoad{confinement: c}
	l.confined = append(l.confined, added)
	return added
}

// inUse returns the cores that the waiting tasks of g can use at the same time. Steps that memory
// limits share it. Those with a maximum count per worker have one each.
func (g *confinedLoad) inUse() float64 {
	cores := min(g.cores, g.capacity)
	if g.bound == boundByMemory && g.alone > 0 {
		cores = min(cores, g.work/g.alone)
	}
	return cores
}

// add adds work of the same confinement to g.
func (g *confinedLoad) add(o *confinedLoad) {
	g.cores += o.cores
	g.work += o.work
	g.alone += o.alone
	g.claimed += o.claimed
	g.claimedLater += o.claimedLater
	g.arriving += o.arriving
	g.oldest = max(g.oldest, o.oldest)
}

// addConfined adds loads to those of the same confinements, with or without what arrives.
func addConfined(sum, loads []*confinedLoad, withArriving bool) []*confinedLoad {
	for _, l := range loads {
		added := *l
		if !withArriving {
			added.arriving = 0
		}
		known := false
		for _, g := range sum {
			if g.confinementKey == l.confinementKey {
				g.add(&added)
				known = true
			}
		}
		if !known {
			sum = append(sum, &added)
		}
	}
	return sum
}

// addConfinedAhead adds the part of confined work that uses the workers of a new job, whose widest first
// step is first. Work that fills these workers is like any other to the job.
func (e *Engine) addConfinedAhead(l *admission.Contention, loads []*confinedLoad, first *job.Step, service string, longCall bool) {
	for _, g := range loads {
		part, free := e.overlap(g, first, service)
		if part <= 0 {
			continue
		}
		claimed := g.claimed
		if longCall {
			claimed += g.claimedLater
		}
		l.ClaimedCores += min(claimed*part, free)
		if g.fills(l, part) {
			l.AheadCores += g.cores * part
			l.AheadWork += g.work * part
			l.ArrivingCores += g.arrivingInUse() * part
			continue
		}
		l.Confined = append(l.Confined, admission.ConfinedWork{
			Cores: max(g.inUse(), g.arrivingInUse()) * part, Work: g.work * part, Arriving: g.arrivingInUse() * part,
		})
	}
}

// arrivingInUse returns the cores that arriving work of the confinement can use at the same time.
func (g *confinedLoad) arrivingInUse() float64 {
	if g.bound == boundByMemory {
		return min(g.arriving, g.atOnce)
	}
	return min(g.arriving, g.capacity)
}

// fills reports whether the given part of what the waiting tasks of g use leaves tasks like those of a
// job hardly anything of its workers.
func (g *confinedLoad) fills(l *admission.Contention, part float64) bool {
	return g.inUse()*part >= admission.PackingRatio*l.PackedCapacity
}

// overlap returns the part of the workers of g that could run a task of first, and what is free on
// these, in cores.
func (e *Engine) overlap(g *confinedLoad, first *job.Step, service string) (part, free float64) {
	shared, own, unused := int64(0), int64(0), int64(0)
	confined := job.Step{Label: g.label, Need: g.need}
	for _, w := range e.poolOf(service).workers {
		if !w.usable(e.now) || !w.canHold(&confined) {
			continue
		}
		own += w.capacity.CPU
		if w.canHold(first) {
			shared += w.capacity.CPU
			unused += max(0, w.free().CPU)
		}
	}
	if own == 0 {
		return 0, 0
	}
	return float64(shared) / float64(own), float64(unused) / 1000
}

// addConfinedSurplus adds the confined work beyond the entitlements that fills the workers of a new job,
// whose widest first step is first.
func (e *Engine) addConfinedSurplus(l *admission.Contention, class workClass, first *job.Step) {
	for _, load := range e.contention.classes {
		if !load.overEntitlement || load.service != class.service || load.priority > class.priority {
			continue
		}
		for _, g := range load.confined {
			if part, _ := e.overlap(g, first, class.service); part > 0 && g.fills(l, part) {
				l.Surplus.Waiting += g.cores * part
				l.Surplus.Oldest = max(l.Surplus.Oldest, g.oldest)
			}
		}
	}
}

// usableShare returns the part of a service's cores that are on workers which could run a task of
// first if they were idle. These have capacity cores.
func (e *Engine) usableShare(first *job.Step, service string, capacity float64) float64 {
	p := e.measuredPool(service)
	if p.allCanHold(first) {
		return 1
	}
	all, _ := e.roomOf(service).capacityFor(&job.Step{}, p, e.now)
	if all <= capacity {
		return 1
	}
	return capacity / all
}
