package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// scriptedCore is a Gateway and a Status with scripted answers.
type scriptedCore struct {
	do       func(context.Context, model.Request) model.Answer
	last     model.Request
	calls    int
	notReady string
	draining bool
}

func (c *scriptedCore) Do(ctx context.Context, r model.Request) model.Answer {
	c.calls++
	c.last = r
	if c.do == nil {
		return model.Answer{ID: r.ID, Verdict: verdict.Done}
	}
	return c.do(ctx, r)
}

func (c *scriptedCore) Ready() (bool, string) { return c.notReady == "", c.notReady }
func (c *scriptedCore) Draining() bool        { return c.draining }

func coreAnswering(a model.Answer) *scriptedCore {
	return &scriptedCore{do: func(context.Context, model.Request) model.Answer { return a }}
}

func newAPI(c *scriptedCore) http.Handler {
	return New(Config{Gateway: c, Status: c, MaxBodyBytes: 1 << 10, InstanceID: "entry-1"})
}

func exchangeJSON(t *testing.T, h http.Handler, method, target, body string, headers ...string) (*httptest.ResponseRecorder, wire.Answer) {
	t.Helper()
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var doc wire.Answer
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &doc), w.Body.String())
	return w, doc
}

func TestRequestsReachTheCore(t *testing.T) {
	tests := []struct {
		method, target, body string
		headers              []string
		want                 model.Request
	}{
		{"POST", "/v1/requests", `{"queue":"desk","service":"remind","payload":{"a": 1},"class":"urgent","timeout":"5s","demand":{"slots":1},"require":[{"label":"zone","op":"in","values":["z1"]}]}`,
			[]string{"Authorization", "Bearer k", "Idempotency-Key", "i1"},
			model.Request{Op: model.OpCall, Key: "k", Queue: "desk", ID: "i1", Service: "remind", Timeout: 5 * time.Second,
				Task: model.Task{Kind: model.KindRequest, Class: model.ClassUrgent, Service: "remind", Payload: []byte(`{"a": 1}`),
					Demand: model.Resources{Slots: 1}, Require: model.Selector{{Label: "zone", Op: model.OpIn, Values: []string{"z1"}}}}}},
		{"POST", "/v1/requests", `{"timeout":"10h"}`, []string{"Pollenbend-Ticket", "t/1"},
			model.Request{Op: model.OpCall, ID: "t/1", Timeout: DefaultRequestTimeout, Task: model.Task{Kind: model.KindRequest}}},
		{"POST", "/v1/jobs", `{"queue":"plans","service":"build","kind":"gang","count":4,"run_time":"1m","spread_by":"rack","payload":[1]}`, nil,
			model.Request{Op: model.OpSubmit, Queue: "plans", Service: "build", Count: 4,
				Task: model.Task{Kind: model.KindGang, Service: "build", RunTime: time.Minute, SpreadBy: "rack", Payload: []byte(`[1]`)}}},
		{"GET", "/v1/requests/t%2F1?why=1", "", nil, model.Request{Op: model.OpStatus, ID: "t/1", Why: true}},
		{"DELETE", "/v1/requests/i1", "", nil, model.Request{Op: model.OpCancel, ID: "i1"}},
		{"GET", "/v1/jobs/j1", "", nil, model.Request{Op: model.OpStatus, ID: "j1"}},
		{"DELETE", "/v1/jobs/j1", "", nil, model.Request{Op: model.OpCancel, ID: "j1"}},
		{"POST", "/v1/tickets", `{"queue":"desk","count":3}`, nil, model.Request{Op: model.OpTicket, Queue: "desk", Count: 3}},
		{"GET", "/v1/config", "", nil, model.Request{Op: model.OpConfig}},
		{"POST", "/v1/config", `{"id":"c1","base":4,"put":{"teams":[{"name":"a","share":2}]}}`, nil,
			model.Request{Op: model.OpApply, ID: "c1", Change: &model.Change{ID: "c1", Base: 4, Put: model.Declarations{Teams: []model.Team{{Name: "a", Share: 2}}}}}},
		{"GET", "/v1/cell", "", nil, model.Request{Op: model.OpCell}},
		{"GET", "/v1/timeline?since=12", "", nil, model.Request{Op: model.OpTimeline, Since: 12}},
		{"POST", "/v1/drain", "", nil, model.Request{Op: model.OpDrainSelf}},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.target, func(t *testing.T) {
			c := &scriptedCore{}
			w, doc := exchangeJSON(t, newAPI(c), tt.method, tt.target, tt.body, tt.headers...)
			require.Equal(t, http.StatusOK, w.Code, w.Body.String())
			require.Equal(t, tt.want, c.last)
			require.Equal(t, tt.want.ID, doc.ID)
		})
	}
}

func TestBadRequestsNameTheField(t *testing.T) {
	tests := []struct {
		method, target, body string
		headers              []string
		status               int
		message              string
	}{
		{"POST", "/v1/requests", `{"servcie":"x"}`, nil, 400, `servcie: unknown field`},
		{"POST", "/v1/requests", `{"queue":3}`, nil, 400, "queue: want string"},
		{"POST", "/v1/requests", `[]`, nil, 400, "body: want"},
		{"POST", "/v1/requests", `{"demand":{"slots":"x"}}`, nil, 400, "demand.slots: want int64"},
		{"POST", "/v1/requests", `{"timeout":"soon"}`, nil, 400, "timeout"},
		{"POST", "/v1/requests", `{"class":"gold"}`, nil, 400, "class"},
		{"POST", "/v1/requests", `{"demand":{"slots":-1}}`, nil, 400, "demand"},
		{"POST", "/v1/requests", `{"require":[{"label":"a","op":"like"}]}`, nil, 400, "require"},
		{"POST", "/v1/requests", `{"queue":"a"`, nil, 400, "incomplete JSON"},
		{"POST", "/v1/requests", `{} {}`, nil, 400, "more than one"},
		{"POST", "/v1/requests", `{}`, []string{"Idempotency-Key", "a", "Pollenbend-Ticket", "b"}, 400, "Pollenbend-Ticket"},
		{"POST", "/v1/requests", `{}`, []string{"Idempotency-Key", "a b"}, 400, "Idempotency-Key"},
		{"POST", "/v1/requests", `{}`, []string{"Authorization", "Basic x"}, 401, "Authorization"},
		{"POST", "/v1/requests", strings.Repeat(" ", 1025), nil, 413, "longer than 1024"},
		{"POST", "/v1/jobs", `{"kind":"gang"}`, nil, 400, "count"},
		{"POST", "/v1/jobs", `{"kind":"request","count":1}`, nil, 400, "kind"},
		{"POST", "/v1/jobs", `{"kind":"batch","count":1,"spread_by":"row"}`, nil, 400, "spread_by"},
		{"POST", "/v1/jobs", `{"kind":"batch","count":1,"run_time":"-1s"}`, nil, 400, "run_time"},
		{"POST", "/v1/tickets", `{"count":0}`, nil, 400, "count"},
		{"POST", "/v1/config", `{"base":1}`, nil, 400, "id"},
		{"GET", "/v1/timeline?since=x", "", nil, 400, "since"},
		{"GET", "/v1/requests/a?why=x", "", nil, 400, "why"},
		{"PUT", "/v1/requests", `{}`, nil, 405, "POST"},
		{"POST", "/v1/requests/i1", `{}`, nil, 405, "GET or DELETE"},
		{"GET", "/v1/nothing", "", nil, 404, "path"},
		{"GET", "/v1//cell", "", nil, 404, "path"},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.target+" "+tt.message, func(t *testing.T) {
			c := &scriptedCore{}
			w, doc := exchangeJSON(t, newAPI(c), tt.method, tt.target, tt.body, tt.headers...)
			require.Equal(t, tt.status, w.Code)
			require.Contains(t, doc.Message, tt.message)
			require.Equal(t, verdict.NotRun, doc.Verdict)
			require.Empty(t, doc.ID)
			require.Zero(t, c.calls)
		})
	}
}

func TestAnswers(t *testing.T) {
	after := 1500 * time.Millisecond
	tests := []struct {
		name   string
		method string
		answer model.Answer
		status int
		want   wire.Answer
	}{
		{"JSON", "POST", model.Answer{ID: "i", Verdict: verdict.Done, Body: []byte(`{"n":12345678901234567890}`), Worker: "w1", Waited: 3 * time.Millisecond},
			200, wire.Answer{ID: "i", Verdict: verdict.Done, Answer: []byte(`{"n":12345678901234567890}`), Worker: "w1", WaitedMS: 3}},
		{"not JSON", "POST", model.Answer{ID: "i", Verdict: verdict.Done, Body: []byte{0xff}},
			200, wire.Answer{ID: "i", Verdict: verdict.Done, Answer: []byte("null"), AnswerBase64: []byte{0xff}}},
		{"overloaded", "POST", model.Answer{ID: "i", Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, RetryAfter: after},
			429, wire.Answer{ID: "i", Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, RetryAfterMS: 1500, Answer: []byte("null")}},
		{"status of a canceled request", "GET", model.Answer{ID: "i", Verdict: verdict.NotRun, Code: verdict.CodeCanceled},
			200, wire.Answer{ID: "i", Verdict: verdict.NotRun, Code: verdict.CodeCanceled, Answer: []byte("null")}},
		{"refused status call", "GET", model.Answer{ID: "i", Verdict: verdict.NotRun, Code: verdict.CodeUnavailable},
			503, wire.Answer{Verdict: verdict.NotRun, Code: verdict.CodeUnavailable, RetryAfterMS: 1000, Answer: []byte("null")}},
		{"status of an unknown request", "GET", model.Answer{ID: "i", Verdict: verdict.NotRun, Code: verdict.CodeNotFound},
			404, wire.Answer{ID: "i", Verdict: verdict.NotRun, Code: verdict.CodeNotFound, Answer: []byte("null")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			target := map[string]string{"POST": "/v1/requests", "GET": "/v1/requests/i"}[tt.method]
			w, doc := exchangeJSON(t, newAPI(coreAnswering(tt.answer)), tt.method, target, `{}`)
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, tt.want, doc)
			require.Equal(t, int64(w.Body.Len()), w.Result().ContentLength)
		})
	}
}
