package node

import (
	"context"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// peerHandler turns what the transport delivers into events.
type peerHandler struct{ n *Node }

// PeerMessage implements transport.Handler.
func (h peerHandler) PeerMessage(from model.InstanceID, inc model.Incarnation, payload []byte) {
	m, err := wire.DecodeMessage(payload)
	if err != nil {
		h.n.cfg.Logger.Warn("drop message", "from", from, "error", err)
		return
	}
	h.n.post(event.PeerMessage{From: wire.Owner{Instance: from, Incarnation: inc}, Message: m})
}

// PeerUp implements transport.Handler.
func (h peerHandler) PeerUp(id model.InstanceID, inc model.Incarnation) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	h.n.up[id] = inc
}

// PeerDown implements transport.Handler.
func (h peerHandler) PeerDown(id model.InstanceID, inc model.Incarnation) {
	h.n.mu.Lock()
	delete(h.n.up, id)
	h.n.mu.Unlock()
	h.n.post(event.PeerDown{Peer: wire.Owner{Instance: id, Incarnation: inc}})
}

// readLog follows the log from the first entry that is not applied.
func (n *Node) readLog() {
	next := uint64(1)
	for n.ctx.Err() == nil {
		asked := n.now()
		ctx, cancel := context.WithTimeout(n.ctx, readWait+callTimeout)
		batch, err := n.cfg.Log.Read(ctx, n.cfg.Stream, next, readLimit, readWait)
		cancel()
		if err != nil {
			n.sleep(readRetry)
			continue
		}
		n.post(event.LogRead{Entries: batch.Entries, Oldest: batch.Oldest, Next: batch.Next, AskedAt: asked})
		if k := len(batch.Entries); k > 0 {
			next = batch.Entries[k-1].Offset + 1
		}
	}
}

func (n *Node) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.ctx.Done():
	}
}

// maxBatch bounds the records in one log entry.
const maxBatch = 1024

func (n *Node) queueAppend(a event.Append) {
	select {
	case n.appends <- a:
	default:
		n.later(event.AppendDone{ID: a.ID, Verdict: verdict.NotRun})
	}
}

// appendLog appends what the core asks for. Everything that has gathered while an
// append was under way goes into the next entry.
func (n *Node) appendLog() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case first := <-n.appends:
			n.appendBatch(n.gather(first))
		}
	}
}

func (n *Node) gather(first event.Append) []event.Append {
	batch := []event.Append{first}
	records := len(first.Records)
	for records < maxBatch {
		select {
		case a := <-n.appends:
			batch = append(batch, a)
			records += len(a.Records)
		default:
			return batch
		}
	}
	return batch
}

func (n *Node) appendBatch(batch []event.Append) {
	var records []wire.Record
	for _, a := range batch {
		records = append(records, a.Records...)
	}
	done := event.AppendDone{Verdict: verdict.NotRun}
	entry, err := wire.EncodeEntry(records)
	if err == nil {
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		done.Offset, err = n.cfg.Log.Append(ctx, n.cfg.Stream, entry)
		cancel()
		done.Verdict = verdict.Of(err)
	}
	if err != nil {
		n.cfg.Logger.Warn("append to log", "records", len(records), "verdict", done.Verdict, "error", err)
	}
	for _, a := range batch {
		done.ID = a.ID
		n.post(done)
	}
}

// watchList polls the instance list.
func (n *Node) watchList() {
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		listing, err := n.cfg.List.List(ctx)
		cancel()
		if err == nil {
			n.transport.SetPeers(listing.Instances)
			n.post(event.Listed{Listing: listing})
		}
		if n.now() < firstListTime {
			n.sleep(firstListInterval)
			continue
		}
		n.sleep(listInterval)
	}
}

func (n *Node) renew(a event.Renew) {
	sentAt := n.now()
	ctx, cancel := context.WithTimeout(n.ctx, a.Request.Wait+callTimeout)
	defer cancel()
	reply, err := n.cfg.Workers.Renew(ctx, a.Worker, a.Request)
	if a.Request.Release {
		return
	}
	n.post(event.RenewDone{
		Worker: a.Worker.ID, Lease: a.Request.Lease, Full: a.Request.Full,
		SentAt: sentAt, Reply: reply, Failed: err != nil,
	})
}

func (n *Node) start(a event.Start) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	err := n.cfg.Workers.Start(ctx, a.Worker, a.Request)
	done := event.StartDone{
		Worker: a.Worker.ID, Lease: a.Request.Lease, Seq: a.Request.Seq,
		Task: a.Request.Task.ID, Verdict: verdict.Of(err),
	}
	if err != nil {
		done.Reason = err.Error()
	}
	n.post(done)
}

func (n *Node) stopTask(a event.Stop) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	if err := n.cfg.Workers.Stop(ctx, a.Worker, a.Request); err != nil {
		n.cfg.Logger.Warn("stop task", "worker", a.Worker.ID, "task", a.Request.Task, "error", err)
	}
}
