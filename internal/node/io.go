package node

import (
	"context"
	"time"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
	"pollenbend/internal/wire"
)

// peerHandler converts the transport's callbacks to events of the core.
type peerHandler struct{ n *Node }

// PeerMessage implements transport.Handler.
func (h peerHandler) PeerMessage(from model.InstanceID, inc model.Incarnation, payload []byte) {
	m, err := wire.DecodeMessage(payload)
	if err != nil {
		h.n.cfg.Logger.Warn("dropped a peer message that could not be decoded", "from", from, "error", err)
		return
	}
	h.n.post(event.PeerMessage{From: wire.InstanceRef{Instance: from, Incarnation: inc}, Message: m})
}

// PeerUp implements transport.Handler.
func (h peerHandler) PeerUp(id model.InstanceID, inc model.Incarnation) {
	h.n.mu.Lock()
	h.n.connectedPeers[id] = inc
	unsent := h.n.unsentTo[id]
	delete(h.n.unsentTo, id)
	h.n.mu.Unlock()
	if unsent {
		h.n.post(event.PeerDown{Peer: wire.InstanceRef{Instance: id, Incarnation: inc}})
	}
}

// PeerDown implements transport.Handler.
func (h peerHandler) PeerDown(id model.InstanceID, inc model.Incarnation) {
	h.n.mu.Lock()
	delete(h.n.connectedPeers, id)
	h.n.mu.Unlock()
	h.n.post(event.PeerDown{Peer: wire.InstanceRef{Instance: id, Incarnation: inc}})
}

// PeerAccepted implements transport.Handler. The answers to messages of this instance may be
// among the payloads that are lost, so it is as if the messages had not arrived.
func (h peerHandler) PeerAccepted(id model.InstanceID, inc model.Incarnation) {
	h.n.post(event.PeerDown{Peer: wire.InstanceRef{Instance: id, Incarnation: inc}})
}

// readLog polls the log from its first entry on and posts each result, including an
// empty one, to the core.
func (n *Node) readLog() {
	next := uint64(firstOffset)
	for n.ctx.Err() == nil {
		readWait := logReadWait
		if next == firstOffset {
			readWait = emptyLogReadWait
		}
		askedAt := n.now()
		ctx, cancel := context.WithTimeout(n.ctx, readWait+callTimeout)
		batch, err := n.cfg.Log.Read(ctx, n.cfg.Stream, next, maxReadEntries, readWait)
		cancel()
		if err != nil {
			n.sleep(logRetryDelay)
			continue
		}
		n.post(event.LogRead{Entries: batch.Entries, Oldest: batch.Oldest, Next: batch.Next, AskedAt: askedAt})
		if k := len(batch.Entries); k > 0 {
			next = batch.Entries[k-1].Offset + 1
		}
	}
}

// sleep waits for d or until the node stops.
func (n *Node) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.ctx.Done():
	}
}

// maxEntryRecords is the number of records at which a log entry takes no further
// append.
const maxEntryRecords = 1024

func (n *Node) queueAppend(a event.Append) {
	select {
	case n.appends <- a:
	default:
		n.postAsync(event.AppendDone{ID: a.ID, Verdict: verdict.NotRun})
	}
}

// appendLog appends the records that the core asks for. Appends that queue up while
// another one is in progress are batched into the next entry.
func (n *Node) appendLog() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case first := <-n.appends:
			n.appendBatch(n.collectBatch(first))
		}
	}
}

func (n *Node) collectBatch(first event.Append) []event.Append {
	batch := []event.Append{first}
	records := len(first.Records)
	for records < maxEntryRecords {
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
	result := event.AppendDone{Verdict: verdict.NotRun}
	entry, err := wire.EncodeEntry(records)
	if err == nil {
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		result.Offset, err = n.cfg.Log.Append(ctx, n.cfg.Stream, entry)
		cancel()
		result.Verdict = verdict.Of(err)
	}
	if err != nil {
		n.cfg.Logger.Warn("append to the log failed", "records", len(records), "verdict", result.Verdict, "error", err)
	}
	for _, a := range batch {
		result.ID = a.ID
		n.post(result)
	}
}

// watchList polls the instance list and posts each listing to the core.
func (n *Node) watchList() {
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		listing, err := n.cfg.List.List(ctx)
		cancel()
		if err == nil {
			n.transport.SetPeers(listing.Instances)
			n.post(event.Listed{Listing: listing})
		}
		if n.now() < startupListWindow {
			n.sleep(startupListInterval)
			continue
		}
		n.sleep(listInterval)
	}
}

// renew sends a renewal to a worker and posts the result. A renewal that releases
// the lease has no result.
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
	result := event.StartDone{
		Worker: a.Worker.ID, Lease: a.Request.Lease, Seq: a.Request.Seq,
		Task: a.Request.Task.ID, Verdict: verdict.Of(err),
	}
	if err != nil {
		result.Reason = err.Error()
	}
	n.post(result)
}

func (n *Node) stopTask(a event.Stop) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	if err := n.cfg.Workers.Stop(ctx, a.Worker, a.Request); err != nil {
		n.cfg.Logger.Warn("stop command failed", "worker", a.Worker.ID, "task", a.Request.Task, "error", err)
	}
}
