package core

import (
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

// snapshotter saves and restores the state of all services.
type snapshotter interface {
	TakeSnapshot() wire.Snapshot
	Restore(wire.Snapshot) error
}

// findSnapshot looks for a usable snapshot among entries of a log that has dropped
// the next entry to apply. A snapshot is usable if every entry after its state has
// been read. Until one is found nothing is applied, so this core does not count as
// caught up.
func (r *logReader) findSnapshot(entries []platform.Entry) {
	for _, e := range entries {
		if n := len(r.buffered); n > 0 && e.Offset != r.buffered[n-1].Offset+1 {
			r.buffered = nil
		}
		r.buffered = append(r.buffered, e)
		if r.restoreFrom(e) {
			break
		}
	}
	r.applyEntries(entries) // those after the snapshot, if one was restored
	if len(r.buffered) > 2*maxRecentEntries {
		r.buffered = append([]platform.Entry(nil), r.buffered[len(r.buffered)-maxRecentEntries:]...)
	}
}

// restoreFrom restores a usable snapshot in e and applies the entries after it. It
// reports whether e contains one.
func (r *logReader) restoreFrom(e platform.Entry) bool {
	records, err := wire.DecodeEntry(e.Data)
	if err != nil {
		return false
	}
	for _, rec := range records {
		snap, ok := rec.(wire.Snapshot)
		if ok && snap.Applied+1 >= r.buffered[0].Offset && r.installSnapshot(snap) {
			return true
		}
	}
	return false
}

// installSnapshot replaces the state with a later one from a snapshot and applies the
// buffered entries after it. It returns false when the snapshot is not later than the
// state or cannot be restored.
func (r *logReader) installSnapshot(s wire.Snapshot) bool {
	if s.Applied < r.next {
		return false
	}
	if err := r.snapshots.Restore(s); err != nil {
		return false
	}
	r.next = s.Applied + 1
	r.recent = nil
	for _, h := range r.entryHandlers {
		h.OnEntry(s.Applied)
	}
	buffered := r.buffered
	r.buffered = nil
	r.applyEntries(buffered)
	return true
}

// onSnapshotState installs a peer's state. When that fails, the next request is
// delayed.
func (r *logReader) onSnapshotState(m wire.SnapshotState) {
	if !r.installSnapshot(m.Snapshot) {
		r.nextFetch = r.env.Now() + snapshotInterval
	}
}

// sendSnapshot sends this core's state to a peer.
func (r *logReader) sendSnapshot(to wire.InstanceRef) {
	r.env.Send(to.Instance, wire.SnapshotState{Snapshot: r.snapshots.TakeSnapshot()})
}
