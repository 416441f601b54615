package engine

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pollenbend/internal/cell/policy"
)

// simZones are the availability zones of the workers, which they take in turn.
var simZones = []string{"z0", "z1", "z2"}

// zoneOf returns the availability zone of a worker.
func zoneOf(id string) string { return simZones[int(id[len(id)-1])%len(simZones)] }

// evacuate evacuates a zone.
func (w *world) evacuate(zone string) {
	if _, already := w.evacuatedSince[zone]; !already {
		w.evacuatedSince[zone] = w.now
		w.publishEvacuations()
	}
}

// takeBack ends the evacuation of a zone.
func (w *world) takeBack(zone string) {
	delete(w.evacuatedSince, zone)
	w.publishEvacuations()
}

func (w *world) takeBackAll() {
	for _, zone := range sortedKeys(w.evacuatedSince) {
		w.takeBack(zone)
	}
}

// publishEvacuations tells the engine which zones are evacuated, and each leader that follows.
func (w *world) publishEvacuations() {
	changed := *w.policy
	changed.Evacuations = policy.Evacuations{Revision: changed.Evacuations.Revision + 1, Zones: slices.Sorted(maps.Keys(w.evacuatedSince))}
	if w.net != nil && w.net.planted.ignoresEvacuations {
		return
	}
	w.policy = &changed
	w.engine.Handle(w.now, &PolicyChanged{Policy: w.policy})
}

// evacuated reports whether a worker's zone is evacuated.
func (w *world) evacuated(id string) bool { return !w.evacuatedSince[zoneOf(id)].IsZero() }

// checkEvacuation checks that no start command was sent to a worker after the engine had been
// told that its zone is evacuated.
func (w *world) checkEvacuation(s *simWorker, a *Start, sent time.Time) {
	since := w.evacuatedSince[zoneOf(s.id)]
	if !since.IsZero() && sent.After(since) {
		w.t.Errorf("%v: %s was started on %s %v after its zone was evacuated", w.now.Sub(w.startTime), a.Task, s.id, sent.Sub(since))
	}
}

// injectEvacuation evacuates a zone, or all of them, with a probability of a seventh, and
// takes it back after up to eight seconds.
func (n *network) injectEvacuation(r *rand.Rand) {
	var zones []string
	switch r.IntN(14) {
	case 0:
		zones = simZones
	case 1:
		zones = simZones[r.IntN(len(simZones)):][:1]
	}
	for _, zone := range zones {
		n.w.evacuate(zone)
		n.w.after(time.Duration(r.Int64N(int64(8*time.Second))), func() { n.w.takeBack(zone) })
	}
}
