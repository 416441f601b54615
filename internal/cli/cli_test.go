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

const validDeclarations = `
[[team]]
name = "a"
share = 1
`

// route is a method and the first part of a path after /v1/.
type route string

// fakeInstance is an instance with scripted answers. A route without an answer
// drops the connection.
type fakeInstance map[route]wire.Answer

func (f fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Header.Get("Authorization") != "Bearer s3cret" {
		panic("the request lacks the key")
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

func answerAbout(id string, v verdict.Verdict, code verdict.Code) wire.Answer {
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

// TestExitCodes covers every exit code of every command.
func TestExitCodes(t *testing.T) {
	valid, invalid := writeFile(t, validDeclarations), writeFile(t, "[[team]]\n")
	empty := document(model.Declarations{})
	inForce := document(model.Declarations{Teams: []model.Team{{Name: "a", Share: 1}}, Keys: []model.Key{{Name: "k"}}})
	inDoubt := func(id string) wire.Answer { return answerAbout(id, verdict.MayHaveRun, verdict.CodeInDoubt) }
	forbidden := refusal(verdict.CodeForbidden)
	timeline := document(json.RawMessage(`{"instance":"i","incarnation":1,"events":[]}`))
	tests := []struct {
		line     string
		instance fakeInstance
		code     int
	}{
		{"check " + valid, nil, ExitDone},
		{"check", nil, ExitUsage},
		{"check " + invalid, nil, ExitUsage},
		{"diff " + valid, fakeInstance{"GET config": empty}, ExitDone},
		{"diff " + valid, fakeInstance{"GET config": inForce}, ExitDone},
		{"diff " + invalid, nil, ExitUsage},
		{"diff", nil, ExitUsage},
		{"diff " + valid, fakeInstance{"GET config": forbidden}, ExitNotRun},
		{"apply " + valid, fakeInstance{"GET config": empty, "POST config": answerAbout("c", verdict.Done, "")}, ExitMayHaveRun}, // the answer is about another id
		{"apply --change-id c " + valid, fakeInstance{"GET config": empty, "POST config": answerAbout("c", verdict.Done, "")}, ExitDone},
		{"apply --change-id c " + valid, fakeInstance{"GET config": document(model.Declarations{Teams: []model.Team{{Name: "a", Share: 1}}})}, ExitDone},
		{"apply " + invalid, nil, ExitUsage},
		{"apply " + valid, fakeInstance{"GET config": empty, "POST config": refusal(verdict.CodeBadRequest)}, ExitUsage},
		{"apply " + valid, fakeInstance{"GET config": empty, "POST config": refusal(verdict.CodeConflict)}, ExitNotRun},
		{"apply " + valid, fakeInstance{"GET config": forbidden}, ExitNotRun},
		{"apply --change-id c " + valid, fakeInstance{"GET config": forbidden}, ExitMayHaveRun},
		{"apply --change-id c " + valid, fakeInstance{"GET config": empty, "POST config": inDoubt("c")}, ExitMayHaveRun},
		{"apply " + valid, fakeInstance{"GET config": empty}, ExitMayHaveRun},
		{"submit --queue q --id r", fakeInstance{"POST requests": answerAbout("r", verdict.Done, "")}, ExitDone},
		{"submit --queue q --id r", fakeInstance{"POST requests": answerAbout("r", verdict.Done, verdict.CodeTaskFailed)}, ExitFailed},
		{"submit --queue q --id r --payload {", nil, ExitUsage},
		{"submit --queue q --id r --ticket t", nil, ExitUsage},
		{"submit --id r", fakeInstance{"POST requests": answerAbout("r", verdict.Done, "")}, ExitDone},
		{"submit r", nil, ExitUsage},
		{"submit --queue q --id r", fakeInstance{"POST requests": refusal(verdict.CodeNeverFits)}, ExitNotRun},
		{"submit --queue q --id r", fakeInstance{"POST requests": inDoubt("r")}, ExitMayHaveRun},
		{"submit --queue q --id r --timeout 1s", fakeInstance{}, ExitMayHaveRun},
		{"submit --job --queue q --id j --count 2", fakeInstance{"POST jobs": answerAbout("j", verdict.Pending, "")}, ExitDone},
		{"submit --job --queue q --id j --count 0", nil, ExitUsage},
		{"submit --job --queue q --id j --timeout 1s", nil, ExitUsage},
		{"submit --job --queue q --id j", fakeInstance{"POST jobs": forbidden}, ExitNotRun},
		{"submit --job --queue q --id j", fakeInstance{"POST jobs": inDoubt("j")}, ExitMayHaveRun},
		{"status r", fakeInstance{"GET requests": answerAbout("r", verdict.Done, "")}, ExitDone},
		{"status --why r", fakeInstance{"GET requests": answerAbout("r", verdict.Pending, "")}, ExitDone},
		{"status --job j", fakeInstance{"GET jobs": answerAbout("j", verdict.Done, verdict.CodeTaskFailed)}, ExitFailed},
		{"status", nil, ExitUsage},
		{"status r s", nil, ExitUsage},
		{"status r", fakeInstance{"GET requests": answerAbout("r", verdict.NotRun, verdict.CodeCanceled)}, ExitNotRun},
		{"status r", fakeInstance{"GET requests": refusal(verdict.CodeNotFound)}, ExitMayHaveRun},
		{"status r", fakeInstance{"GET requests": answerAbout("r", verdict.NotRun, verdict.CodeNotFound)}, ExitNotRun},
		{"status r", fakeInstance{"GET requests": forbidden}, ExitMayHaveRun},
		{"cancel r", fakeInstance{"DELETE requests": answerAbout("r", verdict.NotRun, verdict.CodeCanceled)}, ExitDone},
		{"cancel --job j", fakeInstance{"DELETE jobs": answerAbout("j", verdict.NotRun, verdict.CodeCanceled)}, ExitDone},
		{"cancel", nil, ExitUsage},
		{"cancel r", fakeInstance{"DELETE requests": answerAbout("r", verdict.Done, "")}, ExitNotRun},
		{"cancel r", fakeInstance{"DELETE requests": answerAbout("r", verdict.Pending, "")}, ExitMayHaveRun},
		{"cancel r", fakeInstance{"DELETE requests": forbidden}, ExitMayHaveRun},
		{"cell", fakeInstance{"GET cell": document(1)}, ExitDone},
		{"cell x", nil, ExitUsage},
		{"cell", fakeInstance{"GET cell": forbidden}, ExitNotRun},
		{"drain", fakeInstance{"POST drain": document(1)}, ExitDone},
		{"drain --server a --server b", nil, ExitUsage},
		{"drain", fakeInstance{"POST drain": forbidden}, ExitNotRun},
		{"drain", fakeInstance{}, ExitMayHaveRun},
		{"timeline", fakeInstance{"GET timeline": timeline}, ExitDone},
		{"timeline --follow=x", nil, ExitUsage},
		{"timeline", fakeInstance{"GET timeline": forbidden}, ExitNotRun},
		{"keys", nil, ExitUsage},
		{"keys new k2 --team a", nil, ExitDone},
		{"keys new k2 --team a --operator", nil, ExitUsage},
		{"keys new k2 --team a --secret-file " + valid, nil, ExitUsage}, // the file exists
		{"keys new k --team a --apply", fakeInstance{"GET config": inForce}, ExitUsage},
		{"keys new k2 --team a --apply", fakeInstance{"GET config": forbidden}, ExitNotRun},
		{"keys new k2 --team a --apply", fakeInstance{"GET config": inForce}, ExitMayHaveRun},
		{"keys list", fakeInstance{"GET config": inForce}, ExitDone},
		{"keys list x", nil, ExitUsage},
		{"keys list", fakeInstance{"GET config": forbidden}, ExitNotRun},
		{"keys withdraw", nil, ExitUsage},
		{"keys withdraw other", fakeInstance{"GET config": inForce}, ExitUsage},
		{"keys withdraw k", fakeInstance{"GET config": inForce, "POST config": refusal(verdict.CodeConflict)}, ExitNotRun},
		{"keys withdraw k", fakeInstance{"GET config": inForce}, ExitMayHaveRun},
		{"version", nil, ExitDone},
		{"version x", nil, ExitUsage},
		{"serve", nil, ExitUsage},
		{"serve --settings " + invalid, nil, ExitUsage},
		{"standin --example none", nil, ExitUsage},
		{"dev --example none", nil, ExitUsage},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			server := httptest.NewServer(tt.instance)
			defer server.Close()
			t.Setenv(envServers, server.URL)
			t.Setenv(envKey, "s3cret")
			code, out, errOut := run(t, strings.Fields(tt.line)...)
			require.Equal(t, tt.code, code, out+errOut)
			takesJSON := tt.instance != nil
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

func TestSeveralServersAndFiles(t *testing.T) {
	a := writeFile(t, validDeclarations)
	code, out, _ := run(t, "check", a, "--json", a)
	require.Equal(t, ExitDone, code)
	require.JSONEq(t, `{"files":2,"faults":[]}`, out)

	var servers []string
	for _, id := range []string{"a", "b"} {
		d := document(json.RawMessage(`{"instance":"` + id + `","incarnation":1,"events":[{"seq":1,"kind":"k"}]}`))
		server := httptest.NewServer(fakeInstance{"GET timeline": d})
		defer server.Close()
		servers = append(servers, "--server", server.URL)
	}
	key := writeFile(t, "s3cret\n")
	code, out, _ = run(t, append([]string{"timeline", "--key-file", key}, servers...)...)
	require.Equal(t, ExitDone, code)
	require.Equal(t, "a#1 +0.000s k \nb#1 +0.000s k \n", out)
}

func TestMessagesOfApply(t *testing.T) {
	file := writeFile(t, validDeclarations)
	f := fakeInstance{"GET config": document(model.Declarations{}), "POST config": refusal(verdict.CodeConflict)}
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

// TestFollow polls two servers. The first event of a has its cause at b, which
// returns it one round later; then a restarts and numbers its events from 1 again.
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
	var r remoteFlags
	for _, id := range []string{"a", "b"} {
		round := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if round == len(rounds[id]) {
				stop()
				round--
			}
			if q.URL.Query().Get("since") != wantSince[id][round] {
				panic(id + ": want since " + wantSince[id][round] + ", got " + q.URL.Query().Get("since"))
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
