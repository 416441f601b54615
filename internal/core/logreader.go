package core

import (
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/kernel"
	"pollenbend/internal/platform"
	"pollenbend/internal/service"
	"pollenbend/internal/wire"
)

// logReader applies log entries in order, whether they come from the log or from a
// peer, and retains the latest ones for peers that cannot reach the log.
type logReader struct {
	env            *event.Env
	entryHandlers  []service.EntryHandler
	recordHandlers []service.RecordHandler
	logHandlers    []service.LogHandler

	snapshots snapshotter

	next     uint64           // offset of the next entry to apply
	recent   []platform.Entry // latest applied entries, retained for peers
	buffered []platform.Entry // entries read while the log has dropped the next one to apply
	trimmed  bool             // whether the log has dropped the next entry to apply

	ahead     aheadPeer
	nextFetch time.Duration
	logAt     time.Duration // when the log last answered
}

const (
	firstOffset      = 1    // offset of the log's first entry
	maxRecentEntries = 4096 // entries retained for peers; trimmed once there are twice as many
	maxServedEntries = 256  // entries in one message to a peer
)

func newLogReader(env *event.Env, k *kernel.Kernel) (*logReader, error) {
	snaps, err := kernel.Find[snapshotter](k, service.Snapshots)
	return &logReader{
		env:            env,
		entryHandlers:  kernel.All[service.EntryHandler](k),
		recordHandlers: kernel.All[service.RecordHandler](k),
		logHandlers:    kernel.All[service.LogHandler](k),
		next:           firstOffset,

		snapshots: snaps,
	}, err
}

// onLogRead applies the entries of a log read. If the log has dropped the next entry to
// apply, it looks for a snapshot among them.
func (r *logReader) onLogRead(e event.LogRead) {
	r.logAt = r.env.Now()
	if e.Oldest > r.next {
		r.findSnapshot(e.Entries)
	} else {
		r.buffered = nil
		r.applyEntries(e.Entries)
	}
	r.trimmed = e.Oldest > r.next
	for _, h := range r.logHandlers {
		h.OnLog(service.LogState{Oldest: e.Oldest, Next: e.Next, AskedAt: e.AskedAt})
	}
}

// applyEntries applies the entries that follow the last applied one. It skips those
// that are already applied and stops at a gap.
func (r *logReader) applyEntries(entries []platform.Entry) {
	for _, e := range entries {
		if e.Offset < r.next {
			continue
		}
		if e.Offset > r.next {
			return
		}
		r.apply(e)
	}
}

// apply passes the records of an entry to the services. An entry that cannot be decoded
// counts as applied without records.
func (r *logReader) apply(e platform.Entry) {
	r.next = e.Offset + 1
	r.retain(e)
	records, err := wire.DecodeEntry(e.Data)
	if err == nil {
		for _, rec := range records {
			for _, h := range r.recordHandlers {
				h.OnRecord(e.Offset, rec)
			}
		}
	}
	for _, h := range r.entryHandlers {
		h.OnEntry(e.Offset)
	}
}

func (r *logReader) retain(e platform.Entry) {
	r.recent = append(r.recent, e)
	if len(r.recent) > 2*maxRecentEntries {
		r.recent = append([]platform.Entry(nil), r.recent[len(r.recent)-maxRecentEntries:]...)
	}
}

// serveEntries sends entries to a peer that requests them, or the state if the first
// one is no longer retained.
func (r *logReader) serveEntries(to wire.InstanceRef, m wire.FetchLog) {
	if m.From < r.next && (len(r.recent) == 0 || m.From < r.recent[0].Offset) {
		r.sendSnapshot(to)
		return
	}
	var out []platform.Entry
	for _, e := range r.recent {
		if e.Offset >= m.From && len(out) < maxServedEntries {
			out = append(out, e)
		}
	}
	if len(out) > 0 && out[0].Offset == m.From {
		r.env.Send(to.Instance, wire.LogEntries{Entries: out})
	}
}
