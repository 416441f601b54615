package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
	"pollenbend/internal/platform/wire"
	"pollenbend/internal/verdict"
)

// maxBodyBytes is the maximum size of a request's body, in bytes.
const maxBodyBytes = 16 << 20

// Handler returns the HTTP handler of the platform.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}/append", p.handleAppend)
	mux.HandleFunc("GET /log/{stream}/read", p.handleRead)
	mux.HandleFunc("GET /list", p.handleList)
	mux.HandleFunc("POST /list/instances", p.handlePutInstance)
	mux.HandleFunc("DELETE /list/instances/{id}", p.handleRemoveInstance)
	mux.HandleFunc("POST /list/instances/{id}/leaving", p.handleInstanceLeaving)
	mux.HandleFunc("POST /list/workers", p.handlePutWorker)
	mux.HandleFunc("DELETE /list/workers/{id}", p.handleRemoveWorker)
	mux.HandleFunc("POST /list/workers/{id}/leaving", p.handleWorkerLeaving)
	mux.HandleFunc("POST /workers/{id}/renew", p.handleRenew)
	mux.HandleFunc("POST /workers/{id}/start", p.handleStart)
	mux.HandleFunc("POST /workers/{id}/stop", p.handleStop)
	mux.HandleFunc("POST /fault", p.handleFault)
	mux.HandleFunc("GET /history", p.handleHistory)
	return mux
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	recordService(r.Context(), "/log")
	var req wire.AppendRequest
	if !decode(w, r, &req) {
		return
	}
	offset, err := p.Log.Append(r.Context(), r.PathValue("stream"), req.Data)
	respond(w, wire.AppendReply{Offset: offset}, err)
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	recordService(r.Context(), "/log")
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get(wire.ParamFrom), 10, 64)
	limit, err2 := strconv.Atoi(q.Get(wire.ParamLimit))
	wait, err3 := strconv.ParseInt(q.Get(wire.ParamWait), 10, 64)
	if err := errors.Join(err1, err2, err3); err != nil {
		refuse(w, verdict.Refuse(verdict.CodeBadRequest, "log read: %v", err))
		return
	}
	b, err := p.Log.Read(r.Context(), r.PathValue("stream"), from, limit, time.Duration(wait)*time.Millisecond)
	respond(w, b, err)
}

func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	recordService(r.Context(), "/list")
	l, err := p.List.List(r.Context())
	respond(w, l, err)
}

func (p *Platform) handlePutInstance(w http.ResponseWriter, r *http.Request) {
	var i platform.Instance
	if !decode(w, r, &i) {
		return
	}
	p.List.Do(func(now time.Time, c *ListCore) { c.PutInstance(now, i) })
	respond(w, wire.Ack{OK: true}, nil)
}

func (p *Platform) handleRemoveInstance(w http.ResponseWriter, r *http.Request) {
	id := model.InstanceID(r.PathValue("id"))
	p.List.Do(func(now time.Time, c *ListCore) { c.RemoveInstance(now, id) })
	respond(w, wire.Ack{OK: true}, nil)
}

func (p *Platform) handleInstanceLeaving(w http.ResponseWriter, r *http.Request) {
	id := model.InstanceID(r.PathValue("id"))
	p.List.Do(func(now time.Time, c *ListCore) { c.MarkInstanceLeaving(now, id) })
	respond(w, wire.Ack{OK: true}, nil)
}

func (p *Platform) handlePutWorker(w http.ResponseWriter, r *http.Request) {
	var worker model.Worker
	if !decode(w, r, &worker) {
		return
	}
	if worker.Addr == "" {
		worker.Addr = "http://" + r.Host + wire.PathWorkers + string(worker.ID)
	}
	p.AddWorker(worker)
	respond(w, wire.Ack{OK: true}, nil)
}

func (p *Platform) handleRemoveWorker(w http.ResponseWriter, r *http.Request) {
	id := model.WorkerID(r.PathValue("id"))
	p.List.Do(func(now time.Time, c *ListCore) { c.RemoveWorker(now, id) })
	respond(w, wire.Ack{OK: true}, nil)
}

func (p *Platform) handleWorkerLeaving(w http.ResponseWriter, r *http.Request) {
	id := model.WorkerID(r.PathValue("id"))
	p.MarkWorkerLeaving(id)
	respond(w, wire.Ack{OK: true}, nil)
}

func (p *Platform) handleRenew(w http.ResponseWriter, r *http.Request) {
	var req platform.RenewRequest
	if !decode(w, r, &req) {
		return
	}
	reply, err := p.Workers.Renew(r.Context(), targetWorker(r), req)
	respond(w, reply, err)
}

func (p *Platform) handleStart(w http.ResponseWriter, r *http.Request) {
	var req platform.StartRequest
	if !decode(w, r, &req) {
		return
	}
	err := p.Workers.Start(r.Context(), targetWorker(r), req)
	respond(w, wire.Ack{OK: true}, err)
}

func (p *Platform) handleStop(w http.ResponseWriter, r *http.Request) {
	var req platform.StopRequest
	if !decode(w, r, &req) {
		return
	}
	err := p.Workers.Stop(r.Context(), targetWorker(r), req)
	respond(w, wire.Ack{OK: true}, err)
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !decode(w, r, &f) {
		return
	}
	if !p.Inject(f) {
		refuse(w, verdict.Refuse(verdict.CodeNotFound, "no worker %s", f.Worker.ID))
		return
	}
	respond(w, wire.Ack{OK: true}, nil)
}

func (p *Platform) handleHistory(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get(wire.ParamFrom))
	respond(w, p.History.Read(from), nil)
}

// targetWorker returns the worker in the request's path.
func targetWorker(r *http.Request) model.Worker {
	id := r.PathValue("id")
	recordService(r.Context(), wire.PathWorkers+id)
	return model.Worker{ID: model.WorkerID(id)}
}

// decode reads and decodes the body, and answers with a refusal when it cannot.
// It reads the whole body, so that the server detects when the client
// disconnects.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	if err != nil {
		refuse(w, verdict.Refuse(verdict.CodeBadRequest, "body: %v", err))
		return false
	}
	return true
}

// respond writes v, or the refusal that err contains. For any other error it
// closes the connection without an answer.
func respond(w http.ResponseWriter, v any, err error) {
	var refusal *verdict.Error
	switch {
	case err == nil:
		write(w, http.StatusOK, v)
	case errors.As(err, &refusal):
		refuse(w, refusal)
	default:
		panic(http.ErrAbortHandler)
	}
}

func refuse(w http.ResponseWriter, e *verdict.Error) {
	write(w, httpStatus(e.Code), wire.NewRefusal(e))
}

func httpStatus(code verdict.Code) int {
	switch code {
	case verdict.CodeBadRequest:
		return http.StatusBadRequest
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeOverloaded:
		return http.StatusTooManyRequests
	case verdict.CodeStaleAuthority:
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func write(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	// The client detects a failed write by the Content-Length.
	_, _ = w.Write(b)
}
