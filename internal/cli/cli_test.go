package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

const declared = `
[[team]]
name = "a"
share = 1
`

// route is a method and the first part of a path after /v1/.
type route string

// fake is an instance that gives scripted answers. A route without an answer
// drops the connection.
type fake map[route]wire.Answer

func (f fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("Authorization") != "Bearer s3cret" {
		panic("the key did not come along")
	}
	parts := strings.Split(r.URL.Path, "/")
	answer, ok := f[route(r.Method+" "+parts[2])]
	if !ok {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func refusal(code verdict.Code) wire.Answer {
	return wire.Answer{Verdict: verdict.NotRun, Code: code, Message: `team "a"`}
}

func document(v any) wire.Answer {
	body, _ := json.Marshal(v)
	return wire.Answer{Verdict: verdict.Done, Version: 7, Answer: body}
}

func about(id string, v verdict.Verdict, code verdict.Code) wire.Answer {
	return wire.Answer{ID: id, Verdict: v, Code: code}
}

// run runs a command line and returns its exit code and both outputs.
func run(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := Run(context.Background(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "d.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestExitCodes covers each exit code that each command has.
func TestExitCodes(t *testing.T) {
	sound, broken := writeFile(t, declared), writeFile(t, "[[team]]\n")
	empty := document(model.Declarations{})
	inForce := document(model.Declarations{Teams: []model.Team{{Name: "a", Share: 1}}, Keys: []model.Key{{Name: "k"}}})
	doubt := func(id string) wire.Answer { return about(id, verdict.MayHaveRun, verdict.CodeInDoubt) }
	forbidden := refusal(verdict.CodeForbidden)
	timeline := document(json.RawMessage(`{"instance":"i","incarnation":1,"events":[]}`))
	tests := []struct {
		line string
		fake fake
		code int
	}{
		{"check " + sound, nil, ExitDone},
		{"check", nil, ExitUsage},
		{"check " + broken, nil, ExitUsage},
		{"diff " + sound, fake{"GET config": empty}, ExitDone},
		{"diff " + sound, fake{"GET config": inForce}, ExitDone},
		{"diff " + broken, nil, ExitUsage},
		{"diff", nil, ExitUsage},
		{"diff " + sound, fake{"GET config": forbidden}, ExitNotRun},
		{"apply " + sound, fake{"GET config": empty, "POST config": about("c", verdict.Done, "")}, ExitMayHaveRun}, // another id
		{"apply --change-id c " + sound, fake{"GET config": empty, "POST config": about("c", verdict.Done, "")}, ExitDone},
		{"apply --change-id c " + sound, fake{"GET config": document(model.Declarations{Teams: []model.Team{{Name: "a", Share: 1}}})}, ExitDone},
		{"apply " + broken, nil, ExitUsage},
		{"apply " + sound, fake{"GET config": empty, "POST config": refusal(verdict.CodeBadRequest)}, ExitUsage},
		{"apply " + sound, fake{"GET config": empty, "POST config": refusal(verdict.CodeConflict)}, ExitNotRun},
		{"apply " + sound, fake{"GET config": forbidden}, ExitNotRun},
		{"apply --change-id c " + sound, fake{"GET config": forbidden}, ExitMayHaveRun},
		{"apply --change-id c " + sound, fake{"GET config": empty, "POST config": doubt("c")}, ExitMayHaveRun},
		{"apply " + sound, fake{"GET config": empty}, ExitMayHaveRun},
		{"submit --queue q --id r", fake{"POST requests": about("r", verdict.Done, "")}, ExitDone},
		{"submit --queue q --id r", fake{"POST requests": about("r", verdict.Done, verdict.CodeTaskFailed)}, ExitFailed},
		{"submit --queue q --id r --payload {", nil, ExitUsage},
		{"submit --queue q --id r --ticket t", nil, ExitUsage},
		{"submit --id r", fake{"POST requests": about("r", verdict.Done, "")}, ExitDone},
		{"submit r", nil, ExitUsage},
		{"submit --queue q --id r", fake{"POST requests": refusal(verdict.CodeNeverFits)}, ExitNotRun},
		{"submit --queue q --id r", fake{"POST requests": doubt("r")}, ExitMayHaveRun},
		{"submit --queue q --id r --timeout 1s", fake{}, ExitMayHaveRun},
		{"submit --job --queue q --id j --count 2", fake{"POST jobs": about("j", verdict.Pending, "")}, ExitDone},
		{"submit --job --queue q --id j --count 0", nil, ExitUsage},
		{"submit --job --queue q --id j --timeout 1s", nil, ExitUsage},
		{"submit --job --queue q --id j", fake{"POST jobs": forbidden}, ExitNotRun},
		{"submit --job --queue q --id j", fake{"POST jobs": doubt("j")}, ExitMayHaveRun},
		{"status r", fake{"GET requests": about("r", verdict.Done, "")}, ExitDone},
		{"status --why r", fake{"GET requests": about("r", verdict.Pending, "")}, ExitDone},
		{"status --job j", fake{"GET jobs": about("j", verdict.Done, verdict.CodeTaskFailed)}, ExitFailed},
		{"status", nil, ExitUsage},
		{"status r s", nil, ExitUsage},
		{"status r", fake{"GET requests": about("r", verdict.NotRun, verdict.CodeCanceled)}, ExitNotRun},
		{"status r", fake{"GET requests": refusal(verdict.CodeNotFound)}, ExitMayHaveRun},
		{"status r", fake{"GET requests": about("r", verdict.NotRun, verdict.CodeNotFound)}, ExitNotRun},
		{"status r", fake{"GET requests": forbidden}, ExitMayHaveRun},
		{"cancel r", fake{"DELETE requests": about("r", verdict.NotRun, verdict.CodeCanceled)}, ExitDone},
		{"cancel --job j", fake{"DELETE jobs": about("j", verdict.NotRun, verdict.CodeCanceled)}, ExitDone},
		{"cancel", nil, ExitUsage},
		{"cancel r", fake{"DELETE requests": about("r", verdict.Done, "")}, ExitNotRun},
		{"cancel r", fake{"DELETE requests": about("r", verdict.Pending, "")}, ExitMayHaveRun},
		{"cancel r", fake{"DELETE requests": forbidden}, ExitMayHaveRun},
		{"cell", fake{"GET cell": document(1)}, ExitDone},
		{"cell x", nil, ExitUsage},
		{"cell", fake{"GET cell": forbidden}, ExitNotRun},
		{"drain", fake{"POST drain": document(1)}, ExitDone},
		{"drain --server a --server b", nil, ExitUsage},
		{"drain", fake{"POST drain": forbidden}, ExitNotRun},
		{"drain", fake{}, ExitMayHaveRun},
		{"timeline", fake{"GET timeline": timeline}, ExitDone},
		{"timeline --follow=x", nil, ExitUsage},
		{"timeline", fake{"GET timeline": forbidden}, ExitNotRun},
		{"keys", nil, ExitUsage},
		{"keys new k2 --team a", nil, ExitDone},
		{"keys new k2 --team a --operator", nil, ExitUsage},
		{"keys new k2 --team a --secret-file " + sound, nil, ExitUsage}, // it is there already
		{"keys new k --team a --apply", fake{"GET config": inForce}, ExitUsage},
		{"keys new k2 --team a --apply", fake{"GET config": forbidden}, ExitNotRun},
		{"keys new k2 --team a --apply", fake{"GET config": inForce}, ExitMayHaveRun},
		{"keys list", fake{"GET config": inForce}, ExitDone},
		{"keys list x", nil, ExitUsage},
		{"keys list", fake{"GET config": forbidden}, ExitNotRun},
		{"keys withdraw", nil, ExitUsage},
		{"keys withdraw other", fake{"GET config": inForce}, ExitUsage},
		{"keys withdraw k", fake{"GET config": inForce, "POST config": refusal(verdict.CodeConflict)}, ExitNotRun},
		{"keys withdraw k", fake{"GET config": inForce}, ExitMayHaveRun},
		{"version", nil, ExitDone},
		{"version x", nil, ExitUsage},
		{"serve", nil, ExitUsage},
		{"serve --settings " + broken, nil, ExitUsage},
		{"standin --example none", nil, ExitUsage},
		{"dev --example none", nil, ExitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			server := httptest.NewServer(tt.fake)
			defer server.Close()
			t.Setenv(envServers, server.URL)
			t.Setenv(envKey, "s3cret")
			code, out, errOut := run(t, strings.Fields(tt.line)...)
			require.Equal(t, tt.code, code, out+errOut)
			takesJSON := tt.fake != nil
			if takesJSON {
				code, out, errOut = run(t, append(strings.Fields(tt.line), "--json")...)
				require.Equal(t, tt.code, code, out+errOut)
				for line := range strings.Lines(out) {
					require.True(t, json.Valid([]byte(line)), line)
				}
			}
		})
	}
}

func TestCommandLine(t *testing.T) {
	tests := []struct {
		args []string
		code int
		text string // expected on either output
	}{
		{[]string{"--version"}, ExitDone, Version},
		{[]string{"version", "--json"}, ExitDone, `{"version":"` + Version + `"}`},
		{[]string{"--help"}, ExitDone, ""},
		{[]string{"keys", "new", "-h"}, ExitDone, ""},
		{nil, ExitUsage, ""},
		{[]string{"nope"}, ExitUsage, `unknown command "nope"`},
		{[]string{"keys", "nope"}, ExitUsage, ""},
		{[]string{"check", "--nope"}, ExitUsage, "unknown flag --nope"},
		{[]string{"submit", "--nope=1"}, ExitUsage, "unknown flag --nope=1"},
		{[]string{"--json", "check"}, ExitUsage, "unknown flag --json"},
		{[]string{"submit", "--queue"}, ExitUsage, "needs a value"},
		{[]string{"submit", "--count", "x"}, ExitUsage, "x"},
		{[]string{"cell"}, ExitUsage, envServers},
		{[]string{"cell", "--server", "u", "--key", "k", "--key-file", "f"}, ExitUsage, "not both"},
		{[]string{"cell", "--server", "u", "--key-file", "no-such-file"}, ExitUsage, "no-such-file"},
		{[]string{"check", "--", "--odd.toml"}, ExitUsage, "--odd.toml: expected a readable file"},
	}
	for _, tt := range tests {
		t.Run(strings.Join(tt.args, " "), func(t *testing.T) {
			code, out, errOut := run(t, tt.args...)
			require.Equal(t, tt.code, code)
			require.Contains(t, out+errOut, tt.text)
		})
	}
}

func TestEveryServerAndFileIsTaken(t *testing.T) {
	a := writeFile(t, declared)
	code, out, _ := run(t, "check", a, "--json", a)
	require.Equal(t, ExitDone, code)
	require.JSONEq(t, `{"files":2,"faults":[]}`, out)

	var servers []string
	for _, id := range []string{"a", "b"} {
		d := document(json.RawMessage(`{"instance":"` + id + `","incarnation":1,"events":[{"seq":1,"kind":"k"}]}`))
		server := httptest.NewServer(fake{"GET timeline": d})
		defer server.Close()
		servers = append(servers, "--server", server.URL)
	}
	key := writeFile(t, "s3cret\n")
	code, out, _ = run(t, append([]string{"timeline", "--key-file", key}, servers...)...)
	require.Equal(t, ExitDone, code)
	require.Equal(t, "a#1 +0.000s k \nb#1 +0.000s k \n", out)
}

func TestMessagesOfApply(t *testing.T) {
	file := writeFile(t, declared)
	f := fake{"GET config": document(model.Declarations{}), "POST config": refusal(verdict.CodeConflict)}
	server := httptest.NewServer(f)
	defer server.Close()
	args := []string{"apply", "--server", server.URL, "--key", "s3cret", "--change-id", "c7", file}
	_, _, errOut := run(t, args...)
	require.Contains(t, errOut, `another change came first, nothing of this one took effect: team "a"`)
	delete(f, "POST config")
	_, _, errOut = run(t, args...)
	require.Contains(t, errOut, "c7")
	require.Contains(t, errOut, "--change-id")
}

// TestFollow reads two servers again and again. The first event of a has its cause
// at b, which tells of it a round later; then a restarts and counts anew.
func TestFollow(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	rounds := map[string][]string{
		"a": {
			`{"instance":"a","incarnation":1,"events":[{"seq":1,"kind":"x","cause":{"instance":"b","seq":2}}]}`,
			`{"instance":"a","incarnation":1,"events":[]}`,
			`{"instance":"a","incarnation":2,"events":[]}`,
			`{"instance":"a","incarnation":2,"events":[{"seq":1,"kind":"y"}]}`,
		},
		"b": {
			`{"instance":"b","incarnation":1,"events":[{"seq":1,"kind":"x"}]}`,
			`{"instance":"b","incarnation":1,"events":[{"seq":2,"kind":"x"}]}`,
			`{"instance":"b","incarnation":1,"events":[]}`,
		},
	}
	wantSince := map[string][]string{"a": {"0", "1", "1", "0"}, "b": {"0", "1", "2"}}
	var r remote
	for _, id := range []string{"a", "b"} {
		round := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if round == len(rounds[id]) {
				stop()
				round--
			}
			if q.URL.Query().Get("since") != wantSince[id][round] {
				panic("round " + wantSince[id][round] + " asks since " + q.URL.Query().Get("since"))
			}
			_ = json.NewEncoder(w).Encode(document(json.RawMessage(rounds[id][round])))
			round++
		}))
		defer server.Close()
		r.servers = append(r.servers, server.URL)
	}
	var out, errOut bytes.Buffer
	require.Equal(t, ExitDone, followTimeline(ctx, &r, time.Millisecond, &out, &errOut), errOut.String())
	require.Equal(t, "b#1 +0.000s x \nb#2 +0.000s x \na#1 +0.000s x  (after b#2)\na#1 +0.000s y \n", out.String())
}
