package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pollenbend/internal/httpapi/wire"
	"pollenbend/internal/intake"
	"pollenbend/internal/model"
	"pollenbend/internal/verdict"
)

// answerMargin is added to the caller's timeout so that the core can still report
// the outcome of a request that timed out.
const answerMargin = 500 * time.Millisecond

// maxTickets is the maximum number of tickets in one answer.
const maxTickets = 1000

// maxIDBytes is the maximum length of the id of a request, job or change.
const maxIDBytes = 200

// bearerKey returns the key of the Authorization header, or an empty string if the
// request has no such header.
func bearerKey(r *http.Request) (string, error) {
	header := r.Header.Get("Authorization")
	if header == "" {
		return "", nil
	}
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || strings.TrimSpace(key) == "" {
		return "", verdict.Refuse(verdict.CodeUnauthorized, "Authorization: want \"Bearer KEY\"")
	}
	return strings.TrimSpace(key), nil
}

// answerTimeout returns how long the caller of req waits for the answer.
func (a *api) answerTimeout(req model.Request) time.Duration {
	if req.Timeout > 0 {
		return req.Timeout
	}
	return a.cfg.RequestTimeout
}

func (a *api) parseCall(r *http.Request) (model.Request, error) {
	var body wire.Call
	if err := a.decode(r, &body); err != nil {
		return model.Request{}, err
	}
	id, err := callerID(r)
	if err != nil {
		return model.Request{}, err
	}
	timeout, err := parseDuration("timeout", body.Timeout)
	if err != nil {
		return model.Request{}, err
	}
	task := model.Task{
		Kind:    model.KindRequest,
		Class:   body.Class,
		Service: body.Service,
		Demand:  body.Demand,
		Require: body.Require,
		Prefer:  body.Prefer,
		Payload: body.Payload,
	}
	if err := checkTask(task); err != nil {
		return model.Request{}, err
	}
	return model.Request{
		Op:      model.OpCall,
		Queue:   body.Queue,
		ID:      id,
		Service: body.Service,
		Task:    task,
		Timeout: min(timeout, a.cfg.RequestTimeout),
	}, nil
}

func (a *api) parseSubmit(r *http.Request) (model.Request, error) {
	var body wire.Job
	if err := a.decode(r, &body); err != nil {
		return model.Request{}, err
	}
	id, err := callerID(r)
	if err != nil {
		return model.Request{}, err
	}
	runTime, err := parseDuration("run_time", body.RunTime)
	if err != nil {
		return model.Request{}, err
	}
	task := model.Task{
		Kind:     body.Kind,
		Class:    body.Class,
		Service:  body.Service,
		Demand:   body.Demand,
		Require:  body.Require,
		Prefer:   body.Prefer,
		SpreadBy: body.SpreadBy,
		Payload:  body.Payload,
		RunTime:  runTime,
	}
	if err := checkJob(task, body.Count); err != nil {
		return model.Request{}, err
	}
	return model.Request{
		Op:      model.OpSubmit,
		Queue:   body.Queue,
		ID:      id,
		Service: body.Service,
		Task:    task,
		Count:   body.Count,
	}, nil
}

func (a *api) parseStatus(r *http.Request) (model.Request, error) {
	id := r.PathValue("id")
	if err := checkID("id", id); err != nil {
		return model.Request{}, err
	}
	why, err := boolParam(r, "why")
	if err != nil {
		return model.Request{}, err
	}
	return model.Request{Op: model.OpStatus, ID: id, Why: why}, nil
}

func (a *api) parseCancel(r *http.Request) (model.Request, error) {
	id := r.PathValue("id")
	if err := checkID("id", id); err != nil {
		return model.Request{}, err
	}
	return model.Request{Op: model.OpCancel, ID: id}, nil
}

func (a *api) parseTickets(r *http.Request) (model.Request, error) {
	var body wire.Tickets
	if err := a.decode(r, &body); err != nil {
		return model.Request{}, err
	}
	if body.Count < 1 || body.Count > maxTickets {
		return model.Request{}, badField("count", "want 1 to %d", maxTickets)
	}
	return model.Request{Op: model.OpTicket, Queue: body.Queue, Count: body.Count}, nil
}

func (a *api) parseApply(r *http.Request) (model.Request, error) {
	change := new(model.Change)
	if err := a.decode(r, change); err != nil {
		return model.Request{}, err
	}
	if err := checkID("id", change.ID); err != nil {
		return model.Request{}, err
	}
	return model.Request{Op: model.OpApply, ID: change.ID, Change: change}, nil
}

func (a *api) parseTimeline(r *http.Request) (model.Request, error) {
	text := r.URL.Query().Get("since")
	if text == "" {
		return model.Request{Op: model.OpTimeline}, nil
	}
	since, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return model.Request{}, badField("since", "want a whole number")
	}
	return model.Request{Op: model.OpTimeline, Since: since}, nil
}

func boolParam(r *http.Request, name string) (bool, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, badField(name, "want 0 or 1")
	}
	return value, nil
}

// parseDuration parses a positive duration. It returns zero for an empty text.
func parseDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, badField(field, `want a positive duration such as "5s"`)
	}
	return d, nil
}

// callerID returns the ticket or the idempotency key of the request, or an empty
// string if it has neither.
func callerID(r *http.Request) (string, error) {
	for _, name := range []string{wire.HeaderIdempotencyKey, wire.HeaderTicket} {
		if len(r.Header.Values(name)) > 1 {
			return "", badField(name, "want it once")
		}
	}
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	ticket := r.Header.Get(wire.HeaderTicket)
	switch {
	case key != "" && ticket != "":
		return "", badField(wire.HeaderTicket, "not together with %s", wire.HeaderIdempotencyKey)
	case ticket != "":
		return ticket, checkID(wire.HeaderTicket, ticket)
	case key != "":
		return key, checkID(wire.HeaderIdempotencyKey, key)
	}
	return "", nil
}

// decode reads the whole body as one JSON document without unknown fields.
func (a *api) decode(r *http.Request, target any) error {
	data, err := a.readBody(r)
	if err != nil {
		return err
	}
	if !intake.Keep(r, int64(len(data))+decodedBytes(data)) {
		return errBodyMemoryFull
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.cfg.RequestTimeout)
	defer cancel()
	start := time.Now()
	release, ok := a.decoders.Take(ctx, len(data))
	if !ok {
		return errDecodersBusy
	}
	defer release()
	exchangeOf(r).decoderWait = time.Since(start)
	return decodeStrict(data, target)
}
