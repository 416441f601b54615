package declare

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenbend/internal/model"
)

func teamDeclaration(name string, share int64) model.Declarations {
	return model.Declarations{Teams: []model.Team{{Name: model.TeamID(name), Share: share}}}
}

func change(id string, base uint64, put model.Declarations, del ...model.ObjectRef) model.Change {
	return model.Change{ID: id, Base: base, Put: put, Delete: del}
}

func TestApplyOutcomes(t *testing.T) {
	s := NewState()
	north := model.ObjectRef{Kind: model.ObjectTeam, Name: "north"}
	key := model.Declarations{Keys: []model.Key{{Name: "k", Team: "north", Scope: model.ScopeTeam, SHA256: hashA}}}
	steps := []struct {
		name    string
		offset  uint64
		change  model.Change
		want    Outcome
		version uint64
	}{
		{"first", 5, change("1", 0, teamDeclaration("north", 1)), Accepted, 5},
		{"from an old base", 6, change("2", 4, teamDeclaration("north", 2)), Conflict, 5},
		{"other object, old base", 7, change("3", 0, teamDeclaration("south", 2)), Accepted, 7},
		{"from a future base", 8, change("4", 8, teamDeclaration("east", 2)), Invalid, 7},
		{"no share", 9, change("5", 7, teamDeclaration("east", 0)), Invalid, 7},
		{"no id", 10, change("", 7, teamDeclaration("east", 1)), Invalid, 7},
		{"empty", 11, change("6", 7, model.Declarations{}), Invalid, 7},
		{"put and delete", 12, change("7", 7, teamDeclaration("north", 2), north), Invalid, 7},
		{"key", 13, change("8", 7, key), Accepted, 13},
		{"team in use", 14, change("9", 13, model.Declarations{}, north), Invalid, 13},
		{"repeated after a lost answer", 15, change("8", 7, key), Accepted, 13},
		{"not declared", 16, change("10", 13, model.Declarations{}, model.ObjectRef{Kind: model.ObjectQueue, Name: "q"}), Conflict, 13},
		{"offset before the state", 2, change("11", 0, teamDeclaration("west", 1)), Forgotten, 13},
	}
	for _, st := range steps {
		r := s.Apply(st.offset, st.change)
		require.Equal(t, st.want, r.Outcome, "%s: %s", st.name, r.Message)
		require.Equal(t, st.version, s.Version(), st.name)
	}
	r, ok := s.Settled("8")
	require.True(t, ok)
	require.Equal(t, uint64(13), r.Offset)
}

func TestDeletedObjectsStillConflict(t *testing.T) {
	s := NewState()
	s.Apply(1, change("a", 0, teamDeclaration("north", 1)))
	s.Apply(2, change("b", 1, model.Declarations{}, model.ObjectRef{Kind: model.ObjectTeam, Name: "north"}))
	require.Equal(t, Conflict, s.Apply(3, change("c", 1, teamDeclaration("north", 9))).Outcome)

	var many model.Declarations
	for i := range maxDeleted + 1 {
		many.Teams = append(many.Teams, model.Team{Name: model.TeamID(fmt.Sprintf("t%d", i)), Share: 1})
	}
	require.Equal(t, Accepted, s.Apply(4, change("d", 2, many)).Outcome)
	require.Equal(t, Accepted, s.Apply(5, model.Change{ID: "e", Base: 4, Delete: Touched(model.Change{Put: many})}).Outcome)
	require.Len(t, s.modified, maxDeleted)
	require.Equal(t, Conflict, s.Apply(6, change("f", 1, teamDeclaration("north", 9))).Outcome, "the deletion is no longer tracked, but its version still bounds the base")
	require.Equal(t, Accepted, s.Apply(7, change("g", 5, teamDeclaration("north", 9))).Outcome)
}

func TestDeclaredAgainIsNotDropped(t *testing.T) {
	s := NewState()
	north := model.ObjectRef{Kind: model.ObjectTeam, Name: "north"}
	s.Apply(1, change("a", 0, teamDeclaration("north", 1)))
	s.Apply(2, change("b", 1, model.Declarations{}, north))
	s.Apply(3, change("c", 2, teamDeclaration("north", 2)))
	var many model.Declarations
	for i := range maxDeleted {
		many.Teams = append(many.Teams, model.Team{Name: model.TeamID(fmt.Sprintf("t%d", i)), Share: 1})
	}
	s.Apply(4, change("d", 3, many))
	s.Apply(5, model.Change{ID: "e", Base: 4, Delete: Touched(model.Change{Put: many})})
	require.Equal(t, uint64(3), s.Modified(north))
}

func TestReplacedSecretIsRefused(t *testing.T) {
	s := NewState()
	k := model.Key{Name: "k", Team: "north", Scope: model.ScopeTeam, SHA256: HashSecret("first")}
	put := teamDeclaration("north", 1)
	put.Keys = []model.Key{k}
	s.Apply(1, change("a", 0, put))
	works := func(secret string) bool { _, ok := s.Authenticate(secret); return ok }
	replace := func(offset uint64, secret string) {
		k.SHA256 = HashSecret(secret)
		r := s.Apply(offset, change(secret, offset-1, model.Declarations{Keys: []model.Key{k}}))
		require.Equal(t, Accepted, r.Outcome, r.Message)
	}
	replace(2, "second")
	require.False(t, works("first"))
	require.True(t, works("second"))
	s.Apply(3, change("gone", 2, model.Declarations{}, model.ObjectRef{Kind: model.ObjectKey, Name: "k"}))
	replace(4, "third")
	require.False(t, works("second"), "declaring the name again must not restore the deleted secret")
	require.True(t, works("third"))
}

func TestForgottenChangeHasNoSecondEffect(t *testing.T) {
	s := NewState()
	first := change("first", 0, teamDeclaration("north", 1))
	s.Apply(1, first)
	for i := uint64(2); i < maxSettled+3; i++ {
		s.Apply(i, change(fmt.Sprint(i), s.Version(), teamDeclaration("south", int64(i))))
	}
	_, ok := s.Settled("first")
	require.False(t, ok)
	require.Len(t, s.settled.results, maxSettled)
	require.Equal(t, Conflict, s.Apply(s.Applied()+1, first).Outcome)
}

func TestAuthenticateAndWithdraw(t *testing.T) {
	secret, hash, err := NewSecret(bytes.NewReader(bytes.Repeat([]byte{7}, secretBytes)))
	require.NoError(t, err)
	_, _, err = NewSecret(bytes.NewReader(nil))
	require.Error(t, err)

	k := model.Key{Name: "k", Team: "north", Scope: model.ScopeTeam, SHA256: hash}
	put := teamDeclaration("north", 1)
	put.Keys = []model.Key{k}
	s, peer := NewState(), NewState()
	s.Apply(1, change("a", 0, put))
	peer.Apply(1, change("a", 0, put))
	got, ok := s.Authenticate(secret)
	require.True(t, ok)
	require.Equal(t, k, got)
	_, ok = s.Authenticate(secret + "x")
	require.False(t, ok)

	remove := change("b", 1, model.Declarations{}, model.ObjectRef{Kind: model.ObjectKey, Name: "k"})
	r := peer.Apply(2, remove)
	require.Equal(t, []Withdrawal{{SHA256: hash, Offset: 2}}, r.Withdrawn)
	s.Withdraw(r.Withdrawn[0])
	_, ok = s.Authenticate(secret)
	require.False(t, ok, "a withdrawal from a peer takes effect before the log is applied")
	require.Equal(t, uint64(1), s.Version())

	s.Apply(2, remove)
	again := change("c", 2, model.Declarations{Keys: []model.Key{k}})
	s.Apply(3, again)
	_, ok = s.Authenticate(secret)
	require.True(t, ok, "the key is declared again after the withdrawal")
	s.Withdraw(r.Withdrawn[0])
	_, ok = s.Authenticate(secret)
	require.True(t, ok, "a late withdrawal has no effect")
}

func TestAnOperatorKeyRemains(t *testing.T) {
	s := NewState()
	operator := func(name, hash string) model.Declarations {
		return model.Declarations{Keys: []model.Key{{Name: name, Scope: model.ScopeOperator, SHA256: hash}}}
	}
	old := model.ObjectRef{Kind: model.ObjectKey, Name: "old"}
	require.False(t, s.HasOperatorKey())
	require.Equal(t, Accepted, s.Apply(1, change("a", 0, operator("old", hashA))).Outcome)
	require.Equal(t, Invalid, s.Apply(2, change("b", 1, model.Declarations{}, old)).Outcome)
	require.True(t, s.HasOperatorKey())
	require.Equal(t, Accepted, s.Apply(3, change("c", 1, operator("new", hashB), old)).Outcome)
}

func TestReplaceIfNewer(t *testing.T) {
	old, recent := NewState(), NewState()
	old.Apply(1, change("a", 0, teamDeclaration("north", 1)))
	recent.Apply(1, change("a", 0, teamDeclaration("north", 1)))
	recent.Apply(2, change("b", 1, teamDeclaration("north", 2)))
	require.False(t, recent.ReplaceIfNewer(old))
	require.True(t, old.ReplaceIfNewer(recent))
	require.Equal(t, recent.Snapshot(), old.Snapshot())
}

func TestRestoreRefusesOtherData(t *testing.T) {
	for _, data := range [][]byte{nil, {0xa0}, []byte("snapshot"), mustEncode(snapshot{Format: 2}), mustEncode(snapshot{Format: 1, Declarations: teamDeclaration("", 0)})} {
		_, err := Restore(data)
		require.Error(t, err)
	}
}

// drawChange draws a change of a few objects, so that changes conflict.
func drawChange(t *rapid.T, version uint64) model.Change {
	ids := rapid.IntRange(0, 40)
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	c := model.Change{
		ID:   fmt.Sprint(ids.Draw(t, "id")),
		Base: rapid.Uint64Range(0, version+1).Draw(t, "base"),
	}
	name := names.Draw(t, "name")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		c.Put = teamDeclaration(name, rapid.Int64Range(0, 3).Draw(t, "share"))
	case 1:
		c.Put.Keys = []model.Key{{Name: name, Team: "a", Scope: model.ScopeTeam, SHA256: rapid.SampledFrom([]string{hashA, hashB}).Draw(t, "hash")}}
	case 2:
		c.Delete = []model.ObjectRef{{Kind: model.ObjectTeam, Name: name}}
	case 3:
		c.Delete = []model.ObjectRef{{Kind: model.ObjectKey, Name: name}}
	case 4:
		c.Put = teamDeclaration(name, 1)
		c.Put.Queues = []model.Queue{{Name: name, Team: model.TeamID(name)}}
	}
	return c
}

type logEntry struct {
	offset uint64
	change model.Change
}

// TestReplicasAgree applies one log to three states: one in order, one with some
// entries applied repeatedly, one that is restored from snapshots in between.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []logEntry
		plain, rereading, restarted := NewState(), NewState(), NewState()
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			// Several changes may share a log entry and therefore its offset.
			offset := plain.Applied() + rapid.Uint64Range(0, 2).Draw(t, "step")
			e := logEntry{max(offset, 1), drawChange(t, plain.Version())}
			log = append(log, e)
			before := plain.Version()
			result := plain.Apply(e.offset, e.change)
			require.GreaterOrEqual(t, plain.Version(), before)
			require.Empty(t, Validate(plain.Declarations()))

			require.Equal(t, result, rereading.Apply(e.offset, e.change))
			if rapid.Bool().Draw(t, "read again") {
				again := rapid.SampledFrom(log).Draw(t, "entry")
				rereading.Apply(again.offset, again.change)
			}
			require.Equal(t, result, restarted.Apply(e.offset, e.change))
			if rapid.Bool().Draw(t, "restart") {
				var err error
				restarted, err = Restore(restarted.Snapshot())
				require.NoError(t, err)
			}
		}
		require.Equal(t, plain.Snapshot(), rereading.Snapshot())
		require.Equal(t, plain.Snapshot(), restarted.Snapshot())
	})
}

// TestOneOfTwoRacingChangesWins applies several changes of one object from the same
// base: only the first in the log may be accepted.
func TestOneOfTwoRacingChangesWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.Apply(1, change("first", 0, teamDeclaration("a", 1)))
		accepted := 0
		racers := rapid.IntRange(2, 5).Draw(t, "racers")
		for i := range racers {
			offset := s.Applied() + rapid.Uint64Range(0, 1).Draw(t, "step")
			if i == 0 {
				offset = 2
			}
			r := s.Apply(offset, change(fmt.Sprint(i), 1, teamDeclaration("a", int64(i+2))))
			if r.Outcome == Accepted {
				accepted++
			}
		}
		require.Equal(t, 1, accepted)
		got, _ := s.Team("a")
		require.Equal(t, int64(2), got.Share, "the first in the log wins")
	})
}
