package merge

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenbend/internal/event"
	"pollenbend/internal/model"
)

// parseDocument parses a document of the form "instance events...". Each event is
// its number, followed by @offset for its log offset or <instance.number for its
// cause.
func parseDocument(text string) Document {
	fields := strings.Fields(text)
	d := Document{Instance: model.InstanceID(fields[0]), Incarnation: 1}
	for _, f := range fields[1:] {
		var e event.Note
		own, cause, caused := strings.Cut(f, "<")
		_, _ = fmt.Sscanf(own, "%d@%d", &e.Seq, &e.Offset)
		if caused {
			instance, seq, _ := strings.Cut(cause, ".")
			e.Cause = &event.Ref{Instance: model.InstanceID(instance)}
			_, _ = fmt.Sscan(seq, &e.Cause.Seq)
		}
		d.Events = append(d.Events, e)
	}
	return d
}

func format(events []Event) string {
	var list []string
	for _, e := range events {
		list = append(list, fmt.Sprintf("%s%d", e.Instance, e.Seq))
	}
	return strings.Join(list, " ")
}

func TestFlush(t *testing.T) {
	tests := []struct {
		name string
		docs []string
		want string
	}{
		{"nothing", nil, ""},
		{"one instance, unsorted", []string{"a 3 1 2"}, "a1 a2 a3"},
		{"no links", []string{"b 1 2", "a 1 2"}, "a1 b1 a2 b2"},
		{"log offsets", []string{"a 1 2@7 3", "b 1@5 2 3@7", "c 1@8"}, "a1 b1 b2 a2 a3 b3 c1"},
		{"a cause goes before an offset", []string{"a 1@9", "b 1<a.1 2@3"}, "a1 b1 b2"},
		{"a cause comes first", []string{"a 1<b.2 2", "b 1 2"}, "b1 b2 a1 a2"},
		{"a chain over three", []string{"a 1<b.1", "b 1<c.1", "c 1 2"}, "c1 b1 c2 a1"},
		{"a cause that is not there", []string{"a 1<z.9 2<b.9", "b 1"}, "a1 b1 a2"},
		{"a cause before the first event kept", []string{"a 1<b.2", "b 5"}, "a1 b5"},
		{"a cycle", []string{"a 1<b.1", "b 1<a.1"}, "a1 b1"},
		{"its own later event as cause", []string{"a 1<a.2 2"}, "a1 a2"},
		{"twice the same", []string{"a 1 2", "a 2 3"}, "a1 a2 a3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := New()
			for _, text := range tt.docs {
				m.Add(parseDocument(text))
			}
			require.Equal(t, tt.want, format(m.Flush()))
			require.Empty(t, m.Flush())
		})
	}
}

func TestReadyWaitsForACause(t *testing.T) {
	m := New()
	m.Add(parseDocument("a 1 2<b.2 3"))
	m.Add(parseDocument("b 1"))
	require.Equal(t, "a1 b1", format(m.Ready()))
	m.Add(parseDocument("b 2 3"))
	require.Equal(t, "b2 a2 b3 a3", format(m.Ready()))
}

func TestRestartFollowsTheEarlierIncarnation(t *testing.T) {
	m := New()
	second := parseDocument("a 1 2")
	second.Incarnation = 2
	m.Add(second)
	m.Add(parseDocument("a 1 2 3"))
	m.Add(parseDocument("b 1<a.3"))
	require.Equal(t, "a1 a2 a3 a1 b1 a2", format(m.Flush()))
}

// TestOrder merges random histories of instances that send each other messages.
// Each merge must keep every event, put it after its cause and after the earlier
// events of its instance, and not depend on the order or the parts in which the
// events are added.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []model.InstanceID{"a", "b", "c"}
		docs := map[model.InstanceID]*Document{}
		for _, id := range ids {
			docs[id] = &Document{Instance: id, Incarnation: 1}
		}
		total := rapid.IntRange(0, 40).Draw(t, "events")
		for range total {
			d := docs[rapid.SampledFrom(ids).Draw(t, "instance")]
			e := event.Note{Seq: uint64(len(d.Events) + 1), Offset: rapid.Uint64Range(0, 9).Draw(t, "offset")}
			from := docs[rapid.SampledFrom(ids).Draw(t, "sender")]
			if n := len(from.Events); n > 0 && from != d {
				e.Cause = &event.Ref{Instance: from.Instance, Seq: uint64(rapid.IntRange(1, n).Draw(t, "cause"))}
			}
			d.Events = append(d.Events, e)
		}
		whole, pieces := New(), New()
		var streamed []Event
		for _, id := range rapid.Permutation(ids).Draw(t, "order") {
			whole.Add(*docs[id])
		}
		for _, id := range rapid.Permutation(ids).Draw(t, "order of pieces") {
			d := *docs[id]
			cut := rapid.IntRange(0, len(d.Events)).Draw(t, "cut")
			first := d
			first.Events = d.Events[:cut]
			pieces.Add(first)
		}
		streamed = pieces.Ready()
		for _, id := range ids {
			pieces.Add(*docs[id])
		}
		streamed = append(streamed, pieces.Ready()...)
		merged := whole.Flush()
		again := New()
		for _, id := range ids {
			again.Add(*docs[id])
		}
		require.Equal(t, format(merged), format(again.Flush()))
		for _, order := range [][]Event{merged, streamed} {
			require.Len(t, order, total)
			requireCausal(t, order)
		}
	})
}

func requireCausal(t *rapid.T, order []Event) {
	at := func(id model.InstanceID, seq uint64) int {
		return slices.IndexFunc(order, func(e Event) bool { return e.Instance == id && e.Seq == seq })
	}
	for i, e := range order {
		if e.Seq > 1 {
			require.Less(t, at(e.Instance, e.Seq-1), i)
		}
		if e.Cause != nil {
			require.Less(t, at(e.Cause.Instance, e.Cause.Seq), i)
		}
	}
}
