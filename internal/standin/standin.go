// Package standin takes the platform's place in tests and in development: the
// log, the instance list and the workers, with scripted faults. The cores are
// state machines without I/O; Log, List and Workers run them on the clock and
// implement the platform's ports in the process; Platform serves them by HTTP.
package standin

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
)

// Config configures a Platform. Zero fields take the defaults.
type Config struct {
	Workers   []model.Worker
	Instances []platform.Instance
	ListLag   time.Duration
	Log       LogSettings
	Worker    WorkerSettings
}

// Platform bundles the stand-ins.
type Platform struct {
	Log     *Log
	List    *List
	Workers *Workers
	History *History

	settings WorkerSettings
	conns    *connections
}

// New returns a platform with the workers and instances of cfg, which its list
// shows at once.
func New(cfg Config) *Platform {
	h := NewHistory()
	p := &Platform{
		Log:      NewLog(cfg.Log),
		List:     NewList(0),
		Workers:  NewWorkers(h),
		History:  h,
		settings: cfg.Worker,
		conns:    newConnections(),
	}
	for _, w := range cfg.Workers {
		p.AddWorker(w)
	}
	p.List.Do(func(now time.Time, c *ListCore) {
		for _, i := range cfg.Instances {
			c.PutInstance(now, i)
		}
		c.SetLag(cfg.ListLag)
	})
	return p
}

// AddWorker starts a worker and lists it. An existing one of the same id is
// replaced.
func (p *Platform) AddWorker(w model.Worker) {
	p.Workers.Add(w, p.settings)
	p.List.Do(func(now time.Time, c *ListCore) { c.PutWorker(now, w) })
}

// MarkWorkerLeaving marks a worker as leaving in the list. The worker itself
// goes on taking starts, so that the history shows those that came too late.
func (p *Platform) MarkWorkerLeaving(id model.WorkerID) {
	p.List.Do(func(now time.Time, c *ListCore) { c.MarkWorkerLeaving(now, id) })
	p.Workers.Do(id, func(now time.Time, c *WorkerCore) {
		c.record(now, EventLeaving, model.Task{}, platform.LeaseRef{})
	})
}

// Fault scripts faults. Nil and zero fields change nothing.
type Fault struct {
	Worker *WorkerFault `json:"worker,omitempty"`
	Log    *LogFaults   `json:"log,omitempty"`
	List   *ListFault   `json:"list,omitempty"`
	// Silence makes all open connections of one service go silent for good,
	// while new ones work: "/log", "/list" or "/workers/" with an id.
	Silence string `json:"silence,omitempty"`
}

// WorkerFault replaces the faults of a worker.
type WorkerFault struct {
	ID      model.WorkerID `json:"id"`
	Faults  WorkerFaults   `json:"faults"`
	Restart bool           `json:"restart,omitempty"`
}

// ListFault sets the lag of the instance list.
type ListFault struct {
	Lag time.Duration `json:"lag"`
}

// Inject applies f. It reports whether the worker that f names exists.
func (p *Platform) Inject(f Fault) bool {
	if f.Log != nil {
		p.Log.SetFaults(*f.Log)
	}
	if f.List != nil {
		p.List.Do(func(_ time.Time, c *ListCore) { c.SetLag(f.List.Lag) })
	}
	if f.Silence != "" {
		p.conns.silence(f.Silence)
	}
	if f.Worker == nil {
		return true
	}
	return p.Workers.Do(f.Worker.ID, func(now time.Time, c *WorkerCore) {
		if f.Worker.Restart {
			c.Restart(now)
		}
		c.SetFaults(now, f.Worker.Faults)
	})
}
