package httpapi

import (
	"context"
	"net/http"

	"pollenbend/internal/intake"
	"pollenbend/internal/metrics"
	"pollenbend/internal/model"
)

// Route is one method and path of the API.
type Route struct {
	Method string
	Path   string
	// parse returns the request for the core; nil for routes that are served
	// without the core.
	parse func(*api, *http.Request) (model.Request, error)
	// serve answers a route without the core.
	serve func(*api, http.ResponseWriter, *http.Request)
}

// Pattern returns the route in the syntax of http.ServeMux.
func (r Route) Pattern() string { return r.Method + " " + r.Path }

// Routes returns every route of the API.
func Routes() []Route {
	return []Route{
		{Method: http.MethodPost, Path: "/v1/requests", parse: (*api).parseCall},
		{Method: http.MethodGet, Path: "/v1/requests/{id}", parse: withoutBody((*api).parseStatus)},
		{Method: http.MethodDelete, Path: "/v1/requests/{id}", parse: withoutBody((*api).parseCancel)},
		{Method: http.MethodPost, Path: "/v1/jobs", parse: (*api).parseSubmit},
		{Method: http.MethodGet, Path: "/v1/jobs/{id}", parse: withoutBody((*api).parseStatus)},
		{Method: http.MethodDelete, Path: "/v1/jobs/{id}", parse: withoutBody((*api).parseCancel)},
		{Method: http.MethodPost, Path: "/v1/tickets", parse: (*api).parseTickets},
		{Method: http.MethodGet, Path: "/v1/config", parse: withoutBody(noParams(model.OpConfig))},
		{Method: http.MethodPost, Path: "/v1/config", parse: (*api).parseApply},
		{Method: http.MethodGet, Path: "/v1/cell", parse: withoutBody(noParams(model.OpCell))},
		{Method: http.MethodGet, Path: "/v1/timeline", parse: withoutBody((*api).parseTimeline)},
		{Method: http.MethodPost, Path: "/v1/drain", parse: withoutBody(noParams(model.OpDrainSelf))},
		{Method: http.MethodGet, Path: "/healthz", serve: (*api).serveHealth},
		{Method: http.MethodGet, Path: "/readyz", serve: (*api).serveReady},
		{Method: http.MethodGet, Path: "/metrics", serve: (*api).serveMetrics},
	}
}

func (r Route) handle(a *api) http.HandlerFunc {
	if r.serve != nil {
		return func(w http.ResponseWriter, req *http.Request) { r.serve(a, w, req) }
	}
	return func(w http.ResponseWriter, req *http.Request) { a.forward(w, req, r.parse) }
}

// noParams returns a parser for an operation without parameters.
func noParams(op model.Op) func(*api, *http.Request) (model.Request, error) {
	return func(*api, *http.Request) (model.Request, error) {
		return model.Request{Op: op}, nil
	}
}

// withoutBody returns a parser for a request whose body has no use. A small one is read all the same, as a
// request counts as incomplete until then, and its connection may be closed to make room.
func withoutBody(parse func(*api, *http.Request) (model.Request, error)) func(*api, *http.Request) (model.Request, error) {
	return func(a *api, r *http.Request) (model.Request, error) {
		if r.ContentLength > 0 && r.ContentLength <= intake.ReceiveBytes {
			if err := a.discardBody(r); err != nil {
				return model.Request{}, err
			}
		}
		return parse(a, r)
	}
}

// forward parses the request, passes it to the core and writes the answer.
func (a *api) forward(w http.ResponseWriter, r *http.Request, parse func(*api, *http.Request) (model.Request, error)) {
	key, err := bearerKey(r)
	if err != nil {
		a.writeRefusal(w, r, err)
		return
	}
	req, err := parse(a, r)
	if err != nil {
		a.writeRefusal(w, r, err)
		return
	}
	req.Key = key
	timeout := a.answerTimeout(req) - exchangeOf(r).decoderWait
	if timeout <= 0 {
		a.writeRefusal(w, r, errDecodersBusy)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout+answerMargin)
	defer cancel()
	a.writeCoreAnswer(w, r, req, a.cfg.Gateway.Do(ctx, req))
}

func (a *api) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (a *api) serveReady(w http.ResponseWriter, _ *http.Request) {
	if a.cfg.Status.Draining() {
		writeText(w, http.StatusServiceUnavailable, "draining\n")
		return
	}
	if ok, reason := a.cfg.Status.Ready(); !ok {
		writeText(w, http.StatusServiceUnavailable, reason+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (a *api) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", metrics.ContentType)
	if err := metrics.Render(w, a.cfg.Metrics); err != nil {
		a.cfg.Logger.Debug("failed to write the metrics", "error", err)
	}
}
