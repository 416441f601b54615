package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/check"
	"pollenbend/internal/cli"
)

// command runs the program until it exits and returns its exit code and outputs.
func command(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), commandEnv+"=1")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	_ = cmd.Run()
	require.NotNil(t, cmd.ProcessState)
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

const brokenDir = "../../testdata/broken"

// brokenFiles lists the files of brokenDir, each with the line and key of its fault.
const brokenFiles = `
settings-unknown-key 20 limits.max_size
settings-unknown-table 19 quotas
settings-no-unit 23 timing.heartbeat
settings-bad-size 20 limits.max_body
settings-wrong-type 2 instance.id
settings-missing-zone 1 instance.zone
settings-host-name 7 listen.http
settings-half-tls 14 tls.key
settings-dead-too-soon 24 timing.dead_after
settings-not-toml 8 listen.peer
declarations-unknown-key 9 team.limits
declarations-share-zero 3 team.share
declarations-negative-limit 4 team.limit
declarations-duplicate-team 7 team.name
declarations-undeclared-team 17 queue.team
declarations-short-hash 13 key.sha256
declarations-bad-selector 22 service.require
declarations-bad-cpu 21 service.demand.cpu
declarations-bad-time-zone 28 policy.time_zone
declarations-bad-hour 29 policy.from
declarations-bad-class 23 service.class
declarations-twice-the-key 32 policy.share
`

func TestCheckNamesKeyAndLine(t *testing.T) {
	var paths, faults []string
	for _, line := range strings.Split(strings.TrimSpace(brokenFiles), "\n") {
		fields := strings.Fields(line)
		path := filepath.Join(brokenDir, fields[0]+".toml")
		want := fmt.Sprintf("%s:%s: %s: ", path, fields[1], fields[2])
		code, out, errOut := command(t, "check", path)
		require.Equal(t, cli.ExitUsage, code, path)
		require.Empty(t, out)
		require.True(t, strings.HasPrefix(errOut, want), "want %q, got %q", want, errOut)
		require.Equal(t, 1, strings.Count(errOut, "\n"), errOut)
		paths, faults = append(paths, path), append(faults, want)
	}
	all, err := filepath.Glob(filepath.Join(brokenDir, "*.toml"))
	require.NoError(t, err)
	require.ElementsMatch(t, all, paths)

	code, out, _ := command(t, append([]string{"check", "--json"}, paths...)...)
	require.Equal(t, cli.ExitUsage, code)
	var report struct{ Faults []check.Fault }
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Len(t, report.Faults, len(faults))
}

func TestHelpAndWrongFlags(t *testing.T) {
	for line, want := range map[string]int{
		"--help": cli.ExitDone, "submit --help": cli.ExitDone, "keys new --help": cli.ExitDone, "--version": cli.ExitDone,
		"": cli.ExitUsage, "keys": cli.ExitUsage, "submit --nope": cli.ExitUsage, "nope": cli.ExitUsage,
	} {
		code, _, _ := command(t, strings.Fields(line)...)
		require.Equal(t, want, code, line)
	}
}
