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
	env     *event.Env
	entries []service.EntryHandler
	records []service.RecordHandler
	logs    []service.LogHandler

	snapshots snapshotter

	next     uint64 // offset of the next entry to apply
	recent   []platform.Entry
	buffered []platform.Entry // entries read while the log has dropped the next one to apply
	trimmed  bool             // whether the log has dropped the next entry to apply

	ahead     aheadPeer
	nextFetch time.Duration
	logAt     time.Duration // when the log last answered
}

const (
	firstOffset      = 1
	maxRecentEntries = 4096
	maxServedEntries = 256
)

func newLogReader(env *event.Env, k *kernel.Kernel) (*logReader, error) {
	snaps, err := kernel.Find[snapshotter](k, service.Snapshots)
	return &logReader{
		env:     env,
		entries: kernel.All[service.EntryHandler](k),
		records: kernel.All[service.RecordHandler](k),
		logs:    kernel.All[service.LogHandler](k),
		next:    firstOffset,

		snapshots: snaps,
	}, err
}

func (r *logReader) read(e event.LogRead) {
	r.logAt = r.env.Now()
	if e.Oldest > r.next {
		r.findSnapshot(e.Entries)
	} else {
		r.buffered = nil
		r.applyEntries(e.Entries)
	}
	r.trimmed = e.Oldest > r.next
	for _, h := range r.logs {
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

func (r *logReader) apply(e platform.Entry) {
	r.next = e.Offset + 1
	r.retain(e)
	records, err := wire.DecodeEntry(e.Data)
	if err == nil {
		for _, rec := range records {
			for _, h := range r.records {
				h.OnRecord(e.Offset, rec)
			}
		}
	}
	for _, h := range r.entries {
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
func (r *logReader) serveEntries(to wire.Owner, m wire.FetchLog) {
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
