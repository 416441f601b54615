package cli

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/engine"
)

// operatorServer answers every request with a status and a body, and keeps the last request.
type operatorServer struct {
	status       int
	body         string
	target, sent string
}

func (s *operatorServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sent, _ := io.ReadAll(r.Body)
	s.target, s.sent = r.Method+" "+r.URL.String(), string(sent)
	w.WriteHeader(s.status)
	_, _ = io.WriteString(w, s.body)
}

func newOperatorServer(t *testing.T, status int, body any) (*operatorServer, string) {
	t.Helper()
	text, err := json.Marshal(body)
	require.NoError(t, err)
	s := &operatorServer{status: status, body: string(text)}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server.URL
}

func sampleExplanation() *engine.Explanation {
	return &engine.Explanation{Queue: "batch", Team: "a", Service: "s", Verdict: engine.VerdictAccepted, WaitMS: 120, WorkersOfService: 40, ObjectiveMS: 11_000,
		Wait: &engine.WaitExplanation{DecidedBy: "work ahead", WorkMS: 120, RecentMS: 40, BearableMS: 8200, AheadCores: 31.5, AheadWork: 80.25},
		Steps: []engine.StepExplanation{{Tasks: 3, Waiting: 3, Open: true, Place: 4, OpenSteps: 9, TasksBefore: 31, Timeliness: "in time", MedianMS: 1900, P90MS: 2800, Samples: 212,
			LimitAllows: 3, Excluded: []engine.ExclusionCount{{Reason: "draining", Workers: 2}}, Left: 38, Placed: 2, ChosenCount: 1, WaitsBecause: "no free capacity for the other tasks",
			Chosen:      []engine.ChosenWorker{{Worker: "w07", Zone: "z1", Tasks: 2, Slowness: 1.6, FreeCPU: 14_500, FreeMemMB: 900}},
			Reservation: &engine.ReservationExplanation{StartMS: 2100, PromisedMS: -300, BoundMS: 1000, Tasks: 3, CPU: 24_000, WorkerCount: 25, Workers: []engine.ReservedWorker{{Worker: "w09", Tasks: 2}}}}}}
}

func TestExplainPrintsText(t *testing.T) {
	s, url := newOperatorServer(t, http.StatusOK, sampleExplanation())
	file := writeFile(t, `{"steps": []}`)
	code, out, errOut := run(t, "explain", "--server", url, "--queue", "batch", "--team", "a", file)
	require.Equal(t, ExitDone, code, errOut)
	assert.Equal(t, "POST /explain?queue=batch&team=a", s.target)
	assert.Equal(t, `{"steps": []}`, s.sent)
	for _, line := range []string{
		"the job, queue batch, team a: accepted", "admission expects a wait of 120 ms and accepts up to 8200 ms", "objective 11.0 s",
		"step 0: 3 tasks, 3 waiting; run time median 1900 ms, 0.9 quantile 2800 ms, 212 samples",
		"order: 4 of 9 open steps of service s, 31 tasks before it, in time",
		"workers: 38 of 40 left, 2 draining", "w07, zone z1: 2 tasks, slowness 1.60, free 14.5 cores, 900 MB",
		"decided by: work ahead; work ahead 120 ms (31.5 cores, 80.2 core-seconds), recent waits 40 ms, limit of the team 0 ms, adviser 0 ms",
		"reservation: start in 2100 ms, promised 300 ms ago, strict if later by 1000 ms; 3 tasks, 24.0 cores on 25 workers: w09 (2)", "and 24 more",
		"1 tasks wait: no free capacity for the other tasks",
	} {
		assert.Contains(t, out, line)
	}
}

func TestExplainPrintsJSONAndReadsStandardInput(t *testing.T) {
	s, url := newOperatorServer(t, http.StatusOK, sampleExplanation())
	code, out, errOut := run(t, "explain", "--server", url, "--id", "5c0e7a21d94b36f8", "--output", "json")
	require.Equal(t, ExitDone, code, errOut)
	assert.Equal(t, "GET /explain?id=5c0e7a21d94b36f8", s.target)
	var x engine.Explanation
	require.NoError(t, json.Unmarshal([]byte(out), &x))
	assert.Equal(t, sampleExplanation(), &x)
	code, _, errOut = run(t, "explain", "--server", url, "--json", "-") // the input of the test process is empty
	require.Equal(t, ExitDone, code, errOut)
	assert.Equal(t, "POST /explain?queue=&team=", s.target)
}

func TestRuntimesPrintsWhatIsLearned(t *testing.T) {
	s, url := newOperatorServer(t, http.StatusOK, &engine.RuntimeSummary{Calibration: 0.9, QueueCount: 1, Workers: 1,
		Queues:   []engine.QueueRuntimes{{Queue: "batch", Samples: 40, Median: 1.1, P90: 2.25, Calibration: 0.88}},
		Slowness: engine.SlownessRange{Minimum: 0.6, Median: 1, Maximum: 1.62}, Classes: []engine.SpeedClass{{Service: "s", Slowness: 1.6, Workers: 12}},
		Reservations: &engine.ReservationSummary{Steps: 3, CPU: 288_000, Strict: 1, Slipped: 4},
		Slowest:      []engine.WorkerSpeed{{Worker: "w1", Slowness: 1.62, Samples: 9}}})
	code, out, errOut := run(t, "runtimes", "--server", url)
	require.Equal(t, ExitDone, code, errOut)
	assert.Equal(t, "GET /runtimes", s.target)
	assert.Contains(t, out, "queue batch: 40 samples, run time by estimate: median 1.10, 0.9 quantile 2.25, within it 0.88")
	assert.Contains(t, out, "w1: slowness 1.62, 9 samples")
	assert.Contains(t, out, "slowness of the workers: minimum 0.60, median 1.00, maximum 1.62")
	assert.Contains(t, out, "speed class of service s: slowness 1.60, 12 workers")
	assert.Contains(t, out, "reservations: 3 steps, 288.0 cores, 1 strict; 4 slipped since the leader began")
}

// A script tells by the exit code whether its input is wrong or the cell is busy.
func TestExplainErrors(t *testing.T) {
	file := writeFile(t, "{")
	_, bad := newOperatorServer(t, http.StatusBadRequest, map[string]any{"error": "cpus: unknown field", "line": 3, "column": 7})
	_, busy := newOperatorServer(t, http.StatusTooManyRequests, map[string]any{"error": "busy with other explanations"})
	_, gone := newOperatorServer(t, http.StatusNotFound, map[string]any{"error": "no such job"})
	_, cell := newOperatorServer(t, http.StatusNotFound, map[string]any{"verdict": "not_run", "code": "not_found", "message": "no such path"})
	_, other := newOperatorServer(t, http.StatusNotFound, "404 page not found")
	for _, test := range []struct {
		args    []string
		code    int
		message string
	}{
		{[]string{"--server", bad, file}, ExitUsage, file + ":3:7: cpus: unknown field"},
		{[]string{"--server", busy, file}, ExitNotRun, "busy with other explanations"},
		{[]string{"--server", gone, "--id", "5c0e7a21d94b36f8"}, ExitNotRun, "no such job"},
		{[]string{"--server", other, "--id", "5c0e7a21d94b36f8"}, ExitNotRun, "address that serves the metrics"},
		{[]string{"--server", cell, file}, ExitNotRun, "they explain what they have accepted"},
		{[]string{"--server", cell, "--id", "x"}, ExitNotRun, "no such path"},
		{[]string{"--server", "http://127.0.0.1:1", file}, ExitNotRun, "refused"},
		{[]string{"--server", busy}, ExitUsage, "give one file"},
		{[]string{"--server", busy, file, file}, ExitUsage, "give one file"},
		{[]string{"--server", busy, "--id", "x", file}, ExitUsage, "--id alone"},
		{[]string{"--server", busy, "--output", "xml", file}, ExitUsage, "expected text or json"},
		{[]string{"--server", busy, file + ".missing"}, ExitUsage, "no such file"},
		{[]string{file}, ExitUsage, "no server given"},
	} {
		code, _, errOut := run(t, append([]string{"explain"}, test.args...)...)
		assert.Equal(t, test.code, code, "%v: %s", test.args, errOut)
		assert.Contains(t, errOut, test.message)
	}
}

// The same command has to tell what a request waits for on a cell of another kind.
func TestExplainOnAnInstanceOfDev(t *testing.T) {
	here := `{"workers": 24, "fitting": 2, "refusals": [{"plugin": "fit", "reason": "not enough CPU", "workers": 22}]}`
	why := `{"phase": "waiting", "team_waiting": 3, "team_level": 1.2, "at_limit": true, "here": ` + here + `, "gang_held": 2, "gang_size": 4}`
	mux := http.NewServeMux()
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	notFound := `{"verdict": "not_run", "code": "not_found", "message": "unknown"}`
	mux.HandleFunc("/", answer(http.StatusNotFound, notFound))
	mux.HandleFunc("GET /v1/requests/r1", answer(http.StatusAccepted, `{"id": "r1", "verdict": "pending", "answer": `+why+`}`))
	mux.HandleFunc("GET /v1/jobs/j1", answer(http.StatusAccepted, `{"id": "j1", "verdict": "pending", "answer": {"count": 9, "running": 2, "waiting": 7, "why": `+why+`}}`))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	code, out, errOut := run(t, "explain", "--server", server.URL, "--id", "r1")
	require.Equal(t, ExitDone, code, errOut)
	assert.Equal(t, "r1: pending\n  phase waiting; 3 tasks of the team wait there, it uses 1.20 of its share\n  the team is at its limit\n"+
		"  2 of 4 tasks of the gang have a place\n  workers: 2 of 24 could take it now, 22 fit: not enough CPU\n", out)
	code, out, errOut = run(t, "explain", "--server", server.URL, "--id", "j1")
	require.Equal(t, ExitDone, code, errOut)
	assert.Contains(t, out, "j1: pending\n  of 9 tasks, 2 run and 7 wait; of the first that waits:\n  phase waiting")
	code, _, errOut = run(t, "explain", "--server", server.URL, "--id", "none")
	assert.Equal(t, ExitNotRun, code)
	assert.Contains(t, errOut, "unknown")
}
