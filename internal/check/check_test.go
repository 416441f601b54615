package check

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const brokenDir = "../../testdata/broken"

var broken = []struct {
	name    string
	line    int
	key     string
	message string // substring of the message
}{
	{"settings-unknown-key", 20, "limits.max_size", "unknown key"},
	{"settings-unknown-table", 19, "quotas", "unknown key"},
	{"settings-no-unit", 23, "timing.heartbeat", "a unit"},
	{"settings-bad-size", 20, "limits.max_body", "a unit"},
	{"settings-wrong-type", 2, "instance.id", "a string"},
	{"settings-missing-zone", 1, "instance.zone", "missing"},
	{"settings-host-name", 7, "listen.http", "IP:port"},
	{"settings-half-tls", 14, "tls.key", "missing"},
	{"settings-dead-too-soon", 24, "timing.dead_after", "3 times timing.heartbeat"},
	{"settings-not-toml", 8, "listen.peer", "TOML"},
	{"declarations-unknown-key", 9, "team.limits", "unknown key"},
	{"declarations-share-zero", 3, "team.share", "from 1"},
	{"declarations-negative-limit", 4, "team.limit", "from 0"},
	{"declarations-duplicate-team", 7, "team.name", "of each name"},
	{"declarations-undeclared-team", 17, "queue.team", "a declared team"},
	{"declarations-short-hash", 13, "key.sha256", "64"},
	{"declarations-bad-selector", 22, "service.require", "a selector"},
	{"declarations-bad-cpu", 21, "service.demand.cpu", "cores"},
	{"declarations-bad-time-zone", 28, "policy.time_zone", "IANA"},
	{"declarations-bad-hour", 29, "policy.from", "a time of day"},
	{"declarations-bad-class", 23, "service.class", "urgent"},
	{"declarations-twice-the-key", 32, "policy.share", "already defined"},
}

func TestBrokenFiles(t *testing.T) {
	for _, b := range broken {
		t.Run(b.name, func(t *testing.T) {
			path := filepath.Join(brokenDir, b.name+".toml")
			faults := Files([]string{path})
			require.Len(t, faults, 1)
			f := faults[0]
			require.Equal(t, path, f.File)
			require.Equal(t, b.line, f.Line, f)
			require.Equal(t, b.key, f.Key, f)
			require.Contains(t, f.Message, b.message)
			require.Contains(t, f.Message, "expected")
		})
	}
	paths, err := filepath.Glob(filepath.Join(brokenDir, "*.toml"))
	require.NoError(t, err)
	require.Len(t, paths, len(broken), "each file in testdata/broken must have a row in the table")
	require.Len(t, Files(paths), len(broken))
}

func TestValidFiles(t *testing.T) {
	for _, name := range []string{"guild", "styrkeled"} {
		require.Empty(t, Files([]string{"../../examples/" + name}))
	}
}

func TestKindByContent(t *testing.T) {
	for text, want := range map[string]Kind{
		"[instance]\nid = 1":     KindSettings,
		"timing.heartbeat = 1":   KindSettings,
		"tls = {}":               KindSettings,
		"[[log]]":                KindSettings,
		"[[workers]]":            KindPlatform,
		"[[request]]":            KindRequests,
		"# [instance]\n[[team]]": KindDeclarations,
		"":                       KindDeclarations,
	} {
		require.Equal(t, want, KindOf([]byte(text)), text)
	}
}

func TestUnreadablePaths(t *testing.T) {
	require.Len(t, Files([]string{t.TempDir(), "no-such-file.toml"}), 2)
}
