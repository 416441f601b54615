package core

import (
	"pollenbend/internal/platform"
	"pollenbend/internal/wire"
)

// snapshotter takes and restores the state of all services.
type snapshotter interface {
	Take() wire.Snapshot
	Restore(wire.Snapshot) error
}

// seek looks for a snapshot among entries of a log that has dropped the next
// entry to apply. A snapshot is usable if every entry after its state is at hand.
// Until there is one nothing is applied, so this core does not count as caught up.
func (r *logReader) seek(entries []platform.Entry) {
	for _, e := range entries {
		if n := len(r.unread); n > 0 && e.Offset != r.unread[n-1].Offset+1 {
			r.unread = nil
		}
		r.unread = append(r.unread, e)
		if r.restoreFrom(e) {
			break
		}
	}
	r.take(entries)
	if len(r.unread) > 2*maxRecent {
		r.unread = append([]platform.Entry(nil), r.unread[len(r.unread)-maxRecent:]...)
	}
}

// restoreFrom restores a usable snapshot in e and applies the entries after it.
func (r *logReader) restoreFrom(e platform.Entry) bool {
	records, err := wire.DecodeEntry(e.Data)
	if err != nil {
		return false
	}
	for _, rec := range records {
		snap, ok := rec.(wire.Snapshot)
		if ok && snap.Applied+1 >= r.unread[0].Offset && r.adopt(snap) {
			return true
		}
	}
	return false
}

// adopt replaces the state by a snapshot of a later one and applies the entries
// at hand that follow it. It reports whether it did.
func (r *logReader) adopt(s wire.Snapshot) bool {
	if s.Applied < r.next {
		return false
	}
	if err := r.snapshots.Restore(s); err != nil {
		return false
	}
	r.next = s.Applied + 1
	r.recent = nil
	for _, h := range r.entries {
		h.OnEntry(s.Applied)
	}
	unread := r.unread
	r.unread = nil
	r.take(unread)
	return true
}

// adoptFrom takes a peer's state. When it is of no use, the next question waits.
func (r *logReader) adoptFrom(m wire.SnapshotState) {
	if !r.adopt(m.Snapshot) {
		r.nextFetch = r.env.Now() + snapshotInterval
	}
}

// sendSnapshot sends this core's state to a peer.
func (r *logReader) sendSnapshot(to wire.Owner) {
	r.env.Send(to.Instance, wire.SnapshotState{Snapshot: r.snapshots.Take()})
}
