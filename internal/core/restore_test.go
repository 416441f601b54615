package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
	"pollenbend/internal/wire"
)

// drawRecord draws a change, a claim or a handover. Most of them take effect.
func drawRecord(t *rapid.T, c *cell, i int) wire.Record {
	owner := wire.InstanceRef{Instance: model.InstanceID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "owner")), Incarnation: 1}
	shard := model.Shard(rapid.IntRange(0, 3).Draw(t, "shard"))
	entry := c.table("full")[shard]
	moved := []wire.ShardTerm{{Shard: shard, Term: entry.Term * uint64(rapid.IntRange(0, 1).Draw(t, "current"))}}
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return wire.Claim{Owner: owner, Shards: moved}
	case 1:
		return wire.Handover{From: entry.Owner, To: owner, Shards: moved}
	}
	name := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
	_, version := c.config("full").Document()
	change := model.Change{ID: fmt.Sprint(rapid.IntRange(0, i).Draw(t, "id")), Base: version}
	if rapid.Bool().Draw(t, "delete") {
		change.Delete = []model.ObjectRef{{Kind: model.ObjectKey, Name: name}}
	} else {
		change.Put.Keys = []model.Key{{Name: name, Scope: model.ScopeOperator, SHA256: declare.HashSecret(fmt.Sprint(name, i))}}
	}
	return wire.ConfigChange{Change: change}
}

// appendRandomRecords appends drawn records and snapshots. A snapshot may be older
// than its position in the log.
func appendRandomRecords(t *rapid.T, c *cell) {
	var taken []wire.Snapshot
	for i := range rapid.IntRange(1, 40).Draw(t, "entries") {
		c.append(drawRecord(t, c, i))
		c.read("full")
		if rapid.IntRange(0, 3).Draw(t, "take") == 0 {
			taken = append(taken, c.cores["full"].reader.snapshots.TakeSnapshot())
		}
		if len(taken) > 0 && rapid.Bool().Draw(t, "append") {
			c.append(taken[0])
			c.read("full")
			taken = taken[1:]
		}
	}
}

// TestRestoreMatchesReplay compares an instance that applied every entry with one that
// stopped early and then reads a log that has dropped its oldest entries.
func TestRestoreMatchesReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCell(t, "full", "late")
		appendRandomRecords(rt, c)
		c.log = append(c.log[:0:0], c.log...)
		full := c.cores["full"]
		stop := rapid.Uint64Range(0, c.nextOffset()-1).Draw(rt, "followed until")
		c.cores["late"].reader.applyEntries(c.log[:stop])
		_, before := c.config("late").Document()
		tableBefore := c.table("late")

		c.oldest = rapid.Uint64Range(firstOffset, c.nextOffset()-1).Draw(rt, "oldest")
		usable := c.oldest <= stop+1
		for _, at := range c.snapshotOffsets {
			usable = usable || at >= c.oldest && c.snapshotApplied(at)+1 >= c.oldest
		}
		c.read("late")
		_, after := c.config("late").Document()
		require.GreaterOrEqual(rt, after, before)
		for i, entry := range c.table("late") {
			require.GreaterOrEqual(rt, entry.Term, tableBefore[i].Term)
		}
		if !usable {
			require.Equal(rt, stop+firstOffset, c.cores["late"].NextOffset(), "no entry is applied without a usable snapshot")
			require.False(rt, c.config("late").Fresh())
			c.cores["late"].reader.installSnapshot(full.reader.snapshots.TakeSnapshot())
		}
		require.Equal(rt, full.NextOffset(), c.cores["late"].NextOffset())
		require.Equal(rt, c.table("full"), c.table("late"))
		require.Equal(rt, c.config("full").Snapshot(), c.config("late").Snapshot())
	})
}

func (c *cell) snapshotApplied(offset uint64) uint64 {
	records, err := wire.DecodeEntry(c.log[offset-firstOffset].Data)
	require.NoError(c.t, err)
	return records[0].(wire.Snapshot).Applied
}

// TestSnapshotsPrecedeRetention checks that the log always contains a snapshot from
// which a new instance can start, although it keeps only the entries of 10 minutes.
func TestSnapshotsPrecedeRetention(t *testing.T) {
	const kept = 600 // entries; at one entry per second the log keeps 10 minutes
	c := newCell(t, "a", "b", "c")
	c.change("1", 0, teamAndKey("s"))
	start := c.now
	for range 45 * 60 {
		c.run(stepTime)
		c.now += time.Second - stepTime
		c.append(wire.JobCanceled{})
		c.oldest = max(c.oldest, c.nextOffset()-min(c.nextOffset(), kept))
	}
	require.NotEmpty(t, c.snapshotOffsets)
	require.Less(t, len(c.snapshotOffsets), int((c.now-start)/time.Minute))
	require.GreaterOrEqual(t, c.snapshotApplied(c.snapshotOffsets[len(c.snapshotOffsets)-1]), c.oldest)

	c.start("late")
	c.run(2 * stepTime)
	require.True(t, c.authorized("late", "s"))
	require.Equal(t, c.table("a"), c.table("late"))
}

func TestNewInstanceStartsFromPeerSnapshot(t *testing.T) {
	c := newCell(t, "a", "b")
	c.change("1", 0, teamAndKey("s"))
	for range 2 * maxMissingEntries {
		c.append(wire.JobCanceled{})
	}
	c.run(4 * time.Second)
	c.logUnreachable["late"] = true
	c.start("late")
	requests := 0
	c.dropped = func(m wire.Message) bool {
		if _, ok := m.(wire.FetchSnapshot); ok {
			requests++
		}
		return false
	}
	c.run(2 * time.Second)
	require.Equal(t, 1, requests)
	require.True(t, c.authorized("late", "s"))
	require.Equal(t, c.table("a"), c.table("late"))
	last := c.change("2", 1, model.Declarations{Queues: []model.Queue{{Name: "q", Team: "t"}}})
	c.run(2 * time.Second)
	_, version := c.config("late").Document()
	require.Equal(t, last, version)
}
