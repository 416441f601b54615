package replay

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

var update = flag.Bool("update", false, "record the traces in testdata/replay again")

// workload is an example whose trace spans a change to or from summer time. A
// policy limits one team to one task at a time during hours that contain the
// change.
type workload struct {
	example, trace string
	keyName        string // name of a key of the capped team
	policy         model.Policy
	boundaries     []time.Time // when the limited hours begin or end, or the clocks change
	capped         []bool      // whether the limit applies before the first and after each boundary
}

func mustParseTime(text string) time.Time {
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		panic(err)
	}
	return t
}

var workloads = []workload{
	{
		example: "guild", trace: "guild-summer-time-ends", keyName: "waterford-desk",
		policy: model.Policy{
			Name: "waterford-night", Team: "waterford-salons", TimeZone: "Europe/Dublin",
			From: 90 * time.Minute, Until: 150 * time.Minute, Limit: 1,
		},
		// 01:30 summer time; 02:00, when the clocks go back to 01:00; 01:30 again; 02:30.
		boundaries: []time.Time{mustParseTime("2026-10-25T00:30:00Z"), mustParseTime("2026-10-25T01:00:00Z"), mustParseTime("2026-10-25T01:30:00Z"), mustParseTime("2026-10-25T02:30:00Z")},
		capped:     []bool{false, true, false, true, false},
	},
	{
		example: "styrkeled", trace: "styrkeled-summer-time-begins", keyName: "nykoebing-coach",
		policy: model.Policy{
			Name: "nykoebing-night", Team: "nykoebing-house", TimeZone: "Europe/Copenhagen",
			From: 150 * time.Minute, Until: 210 * time.Minute, Limit: 1,
		},
		// 02:00, when the clocks go forward to 03:00 within the limited hours; 03:30.
		boundaries: []time.Time{mustParseTime("2026-03-29T01:00:00Z"), mustParseTime("2026-03-29T01:30:00Z")},
		capped:     []bool{false, true, false},
	},
}

// record runs a core through the workload and returns the trace and the actions.
func (w workload) record(t *testing.T) (trace, actions []byte) {
	const before, after = 20 * time.Second, 15 * time.Second
	var out bytes.Buffer
	d := newDriver(t, w.example, w.boundaries[0].Add(-before), &out)
	put := d.example.Declarations
	put.Policies = append(put.Policies, w.policy)
	d.runUntil(w.boundaries[0].Add(3*time.Second - before))
	d.request(model.Request{Op: model.OpApply, Change: &model.Change{ID: "declare", Put: put}})
	for i, at := range w.boundaries {
		d.now = max(d.now, at.Add(-before).Sub(d.startTime))
		d.runUntil(at.Add(-10 * time.Second))
		d.sendCapped(at.Format("15:04")+"-before", d.example.Secret(w.keyName))
		d.runUntil(at.Add(tickInterval))
		d.sendCapped(at.Format("15:04")+"-after", d.example.Secret(w.keyName))
		d.sendExample(at.Format("15:04"))
		d.runUntil(at.Add(after))
		if i == 0 {
			d.request(model.Request{Op: model.OpCall, ID: "no-key", Key: "pb_no_key_of_ours", Service: d.example.Requests[0].Service})
		}
	}
	d.request(model.Request{Op: model.OpApply, Key: d.example.OperatorSecret(), Change: &model.Change{
		ID: "withdraw", Base: currentVersion(t, d), Delete: []model.ObjectRef{{Kind: model.ObjectKey, Name: w.keyName}},
	}})
	d.runUntil(d.wallTime().Add(time.Second))
	d.sendCapped("withdrawn", d.example.Secret(w.keyName))
	require.NoError(t, d.recorder.Flush())
	return out.Bytes(), d.actions.Bytes()
}

func currentVersion(t *testing.T, d *driver) uint64 {
	v, err := configVersion(d.core)
	require.NoError(t, err)
	return v
}

func replayTrace(t *testing.T, trace []byte) (Outcomes, []byte) {
	tr, err := NewTrace(bytes.NewReader(trace))
	require.NoError(t, err)
	var actions bytes.Buffer
	outcomes, err := Run(tr, &actions)
	require.NoError(t, err)
	return outcomes, actions.Bytes()
}

// firstDifference returns the first pair of lines that differ, or an empty string.
func firstDifference(a, b []byte) string {
	if bytes.Equal(a, b) {
		return ""
	}
	linesA, linesB := strings.Split(string(a), "\n"), strings.Split(string(b), "\n")
	for i := range min(len(linesA), len(linesB)) {
		if linesA[i] != linesB[i] {
			return linesA[i] + "\n" + linesB[i]
		}
	}
	return "one is longer than the other"
}

func (w workload) path(suffix string) string {
	return filepath.Join("..", "..", "testdata", "replay", w.trace+suffix)
}

func TestReplayGivesTheRecordedActions(t *testing.T) {
	for _, w := range workloads {
		t.Run(w.trace, func(t *testing.T) {
			trace, live := w.record(t)
			got, replayed := replayTrace(t, trace)
			require.Empty(t, firstDifference(live, replayed), "the replay returns the actions of the recorded core")
			w.checkHours(t, got)
			for _, k := range w.secrets(t) {
				require.NotContains(t, string(trace), k, "a trace contains no secret")
			}
			if *update {
				expected, err := got.Marshal()
				require.NoError(t, err)
				require.NoError(t, os.MkdirAll(filepath.Dir(w.path("")), 0o755))
				require.NoError(t, os.WriteFile(w.path(".jsonl"), trace, 0o644))
				require.NoError(t, os.WriteFile(w.path(".toml"), expected, 0o644))
			}
		})
	}
}

// secrets returns the secrets that callers present, including the unknown one.
func (w workload) secrets(t *testing.T) []string {
	d := newDriver(t, w.example, time.Time{}, &bytes.Buffer{})
	secrets := []string{"pb_no_key_of_ours"}
	for _, k := range d.example.Declarations.Keys {
		secrets = append(secrets, d.example.Secret(k.Name))
	}
	return secrets
}

// checkHours checks that the team's limit held exactly during the limited hours, and
// that requests with an unknown or withdrawn key were refused.
func (w workload) checkHours(t *testing.T, got Outcomes) {
	for i, at := range w.boundaries {
		for suffix, capped := range map[string]bool{"-before": w.capped[i], "-after": w.capped[i+1]} {
			done := 0
			for id, verdicts := range got.Answers {
				if strings.HasPrefix(id, at.Format("15:04")+suffix+"-capped") && verdicts[0] == "done" {
					done++
				}
			}
			require.Equal(t, capped, done == 1, "%s%s: %d of 3 done", at.Format("15:04"), suffix, done)
			require.Equal(t, capped, done != 3, "%s%s: %d of 3 done", at.Format("15:04"), suffix, done)
		}
	}
	require.Equal(t, []string{"not_run unauthorized"}, got.Answers["no-key"])
	require.Equal(t, []string{"not_run unauthorized"}, got.Answers["withdrawn-capped-0"])
	require.Equal(t, []string{"done"}, got.Answers["withdraw"])
}

func TestRecordedTracesOverClockChanges(t *testing.T) {
	const maxTrace = 300 << 10
	for _, w := range workloads {
		t.Run(w.trace, func(t *testing.T) {
			trace, err := os.ReadFile(w.path(".jsonl"))
			require.NoError(t, err)
			require.LessOrEqual(t, len(trace), maxTrace)
			expectedText, err := os.ReadFile(w.path(".toml"))
			require.NoError(t, err)
			expected, err := ParseExpectation(expectedText)
			require.NoError(t, err)
			got, actions := replayTrace(t, trace)
			require.Empty(t, expected.Compare(got))
			_, again := replayTrace(t, trace)
			require.Empty(t, firstDifference(actions, again), "the same trace gives the same actions")
		})
	}
}

func TestCompareNamesEachDifference(t *testing.T) {
	got := Outcomes{Version: 8, Actions: map[string]int{"append": 4}, Answers: map[string][]string{"r1": {"not_run unavailable"}}}
	tests := map[string][]string{
		"version = 8\n[actions]\nappend = 4\n[answers]\nr1 = ['not_run unavailable']": nil,
		"": nil,
		"version = 7\n[actions]\nappend = 3\n[answers]\nr1 = ['done']\nr2 = ['done']": {
			"version: expected 7, got 8",
			"actions.append: expected 3, got 4",
			"answers.r1: expected done, got not_run unavailable",
			"answers.r2: expected done, got none",
		},
	}
	for text, want := range tests {
		e, err := ParseExpectation([]byte(text))
		require.NoError(t, err)
		require.Equal(t, want, e.Compare(got), text)
	}
	_, err := ParseExpectation([]byte("versoin = 1"))
	require.ErrorContains(t, err, "versoin")
}

func TestTraceFaults(t *testing.T) {
	const headerLine = `{"format":1,"self":{"id":"a"}}` + "\n"
	for trace, wantError := range map[string]string{
		"":             "header",
		`{"format":9}`: "format 9",
		headerLine + `{"at_ns":1,"kind":"nonsense","event":{}}`:                                     "nonsense",
		headerLine + `{"at_ns":1,"kind":"tick","event":{"Wall":7}}`:                                 "trace event 1",
		headerLine + `{"at_ns":1,"kind":"peer_message","event":{"Message":"AA=="}}`:                 "trace event 1",
		headerLine + `{"at_ns":1,"kind":"tick","event":{}}` + "\n" + `{"at_ns":2,"kind":"tick","ev`: "",
	} {
		tr, err := NewTrace(strings.NewReader(trace))
		if err == nil {
			_, err = Run(tr, io.Discard)
		}
		if wantError == "" {
			require.NoError(t, err, trace)
			continue
		}
		require.ErrorContains(t, err, wantError, trace)
	}
}
