package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// check checks what must hold at any time.
func (g *Guard) check(t require.TestingT, all []*holder) {
	var used, large int64
	listed := 0
	for _, h := range all {
		used += h.held
		if isLarge(h.held) {
			large += h.held
		}
		if h.in != nil {
			listed++
		}
		require.False(t, h.phase == ended && (h.held > 0 || h.in != nil))
	}
	require.Equal(t, used, g.used)
	require.Equal(t, large, g.large)
	require.LessOrEqual(t, used, g.limits.Bytes)
	require.LessOrEqual(t, large, int64(largeRatio*float64(g.limits.Bytes)))
	require.LessOrEqual(t, g.connections, g.limits.Connections)
	inLists := g.idle.Len() + g.lingering.Len()
	for i := range g.incomplete {
		inLists += g.incomplete[i].Len()
	}
	require.Equal(t, listed, inLists)
}

// newHolder returns a holder that releases what it holds as soon as it is closed.
func (g *Guard) newHolder(closed func()) *holder {
	h := &holder{}
	h.close = func() {
		if closed != nil {
			closed()
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.release(h)
	}
	return h
}

// Whatever holders do, the budget holds, and it is all there when they have ended.
func TestBudgetIsNeitherExceededNorLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(Limits{Bytes: 1 << 20, Connections: 12}, func(Cause) {})
		var all []*holder
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			i := rapid.IntRange(-1, len(all)-1).Draw(t, "holder")
			held := rapid.Int64Range(0, 400<<10).Draw(t, "held")
			var answered []*holder
			for j, h := range all {
				if h.phase == answering && j != i {
					answered = append(answered, h)
				}
			}
			switch {
			case i < 0:
				h := g.newHolder(nil)
				if g.admit(h, min(held, 50<<10)) {
					all = append(all, h)
				}
			case rapid.IntRange(0, 9).Draw(t, "end") == 0:
				g.mu.Lock()
				g.end(all[i])
				g.mu.Unlock()
			default:
				g.change(all[i], held, phase(rapid.IntRange(int(idle), int(lingering)).Draw(t, "phase")))
			}
			for _, h := range answered {
				require.Equal(t, answering, h.phase, "a request that has been read is never closed")
			}
			g.check(t, all)
		}
		for _, h := range all {
			g.mu.Lock()
			g.release(h)
			g.mu.Unlock()
		}
		g.check(t, all)
		assert.Zero(t, g.used)
		assert.Zero(t, g.leaving)
		assert.Zero(t, g.connections)
	})
}

// row is a holder of a test, by name.
type row struct {
	name  string
	held  int64 // in kilobytes
	phase phase
}

func TestWhoIsClosedToMakeRoom(t *testing.T) {
	for _, test := range []struct {
		name    string
		holders []row
		held    int64 // in kilobytes, of the newcomer
		closed  []string
		refused bool
	}{
		{"enough room", []row{{"a", 500, readingBody}}, 200, nil, false},
		{"the largest goes first", []row{{"a", 100, readingBody}, {"b", 300, readingBody}, {"c", 260, readingBody}}, 100, []string{"b"}, false},
		{"among similar ones the oldest", []row{{"a", 200, readingHeader}, {"b", 250, readingBody}, {"c", 250, readingBody}}, 200, []string{"a"}, false},
		{"no request that has been read", []row{{"a", 700, answering}}, 100, nil, true},
		{"the newcomer is the largest", []row{{"a", 120, readingBody}, {"b", 120, readingBody}, {"c", 120, readingBody}, {"d", 120, readingBody}, {"e", 120, readingBody}, {"f", 120, readingBody}}, 300, nil, true},
		{"a small one beside large ones that are answered", []row{{"a", 750, answering}}, 60, nil, false},
		{"a small one closes large ones", []row{{"a", 750, readingBody}, {"b", 60, answering}, {"c", 60, answering}, {"d", 60, answering}, {"e", 60, readingBody}}, 60, []string{"a"}, false},
		{"one that lingers goes first", []row{{"a", 700, readingBody}, {"b", 50, lingering}, {"c", 60, idle}, {"d", 60, answering}, {"e", 60, answering}, {"f", 60, answering}}, 60, []string{"b"}, false},
		{"then an idle one", []row{{"a", 750, answering}, {"b", 60, readingHeader}, {"c", 60, idle}, {"d", 60, idle}, {"e", 60, idle}}, 60, []string{"c"}, false},
		{"then a small one", []row{{"a", 750, answering}, {"b", 60, readingHeader}, {"c", 60, readingBody}, {"d", 60, answering}, {"e", 60, answering}}, 60, []string{"b"}, false},
		{"a large one closes no small one", []row{{"a", 600, answering}, {"b", 60, readingHeader}, {"c", 60, readingHeader}, {"d", 60, readingBody}, {"e", 60, readingBody}, {"f", 60, readingBody}, {"g", 60, readingBody}}, 100, nil, true},
		{"all are answered", []row{{"a", 750, answering}, {"b", 60, answering}, {"c", 60, answering}, {"d", 60, answering}, {"e", 60, answering}}, 60, nil, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			t.Log(test.name)
			var closed []string
			g := New(Limits{Bytes: 1000 << 10}, func(Cause) {})
			for _, r := range test.holders {
				h := g.newHolder(func() { closed = append(closed, r.name) })
				require.True(t, g.admit(h, 0))
				require.True(t, g.change(h, r.held<<10, r.phase))
			}
			require.Empty(t, closed)
			newcomer := g.newHolder(nil)
			require.True(t, g.admit(newcomer, 0))
			if isLarge(test.held << 10) {
				assert.Equal(t, len(test.closed) == 0 && !test.refused, g.change(newcomer, test.held<<10, readingBody), "not at once")
			}
			time.Sleep(minIncompleteTime)
			assert.Equal(t, test.refused, !g.change(newcomer, test.held<<10, readingBody))
			assert.Equal(t, test.closed, closed)
		})
	}
}

// Guards against a crowd on which ordinary callers wait in the accept queue.
func TestNewConnectionReplacesAnIdleOrIncompleteOne(t *testing.T) {
	var closed []string
	var causes []Cause
	g := New(Limits{Bytes: 10 << 20, Connections: 4}, func(c Cause) { causes = append(causes, c) })
	for _, r := range []row{{"large", 300, readingBody}, {"small", 50, readingHeader}, {"idle", 40, idle}, {"answered", 40, answering}} {
		h := g.newHolder(func() { closed = append(closed, r.name) })
		require.True(t, g.admit(h, 0))
		require.True(t, g.change(h, r.held<<10, r.phase))
	}
	for range 3 {
		h := g.newHolder(nil)
		require.True(t, g.admit(h, 1))
		require.True(t, g.change(h, 1, answering))
	}
	assert.Equal(t, []string{"idle", "small", "large"}, closed)
	assert.Equal(t, []Cause{CauseIdle, CauseHeader, CauseBody}, causes)
	assert.False(t, g.admit(g.newHolder(nil), 1), "all are being answered")
}

func TestTakenBytesAreReturnedOnce(t *testing.T) {
	g := New(Limits{Bytes: 1000}, func(Cause) {})
	release, ok := g.Take(700, CauseForwarded)
	require.True(t, ok)
	_, ok = g.Take(700, CauseForwarded)
	assert.False(t, ok)
	release()
	release()
	held, _ := g.Used()
	assert.Zero(t, held)
}
