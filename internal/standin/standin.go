// Package standin implements the platform's log, instance list and workers for
// tests and development, with injected faults. The cores are state machines
// without I/O. Log, List and Workers run them in real time and implement the
// platform's interfaces in-process; Platform serves them over HTTP.
package standin

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/platform"
)

// Config configures a Platform. Zero settings get defaults.
type Config struct {
	Workers   []model.Worker
	Instances []platform.Instance
	ListLag   time.Duration
	Log       LogSettings
	Worker    WorkerSettings
}

// Platform combines the log, the instance list and the workers.
type Platform struct {
	Log     *Log
	List    *List
	Workers *Workers
	History *History

	settings WorkerSettings
	conns    *connections
}

// New returns a platform with the workers and instances of cfg. Its list shows
// them immediately; ListLag applies to later changes.
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

// AddWorker starts a worker and adds it to the list. It replaces an existing
// worker of the same id.
func (p *Platform) AddWorker(w model.Worker) {
	p.Workers.Add(w, p.settings)
	p.List.Do(func(now time.Time, c *ListCore) { c.PutWorker(now, w) })
}

// MarkWorkerLeaving marks a worker as leaving in the list. The worker itself
// still accepts starts, so that the history shows those that came too late.
func (p *Platform) MarkWorkerLeaving(id model.WorkerID) {
	p.List.Do(func(now time.Time, c *ListCore) { c.MarkWorkerLeaving(now, id) })
	p.Workers.Do(id, func(now time.Time, c *WorkerCore) {
		c.record(now, EventLeaving, model.Task{}, platform.LeaseRef{})
	})
}

// Fault describes faults to inject. Nil and zero fields change nothing.
type Fault struct {
	Worker *WorkerFault `json:"worker,omitempty"`
	Log    *LogFaults   `json:"log,omitempty"`
	List   *ListFault   `json:"list,omitempty"`
	// BlackholeService names a service: "/log", "/list" or "/workers/" followed by an
	// id. All its open connections permanently drop all data, while new
	// connections work.
	BlackholeService string `json:"silence,omitempty"`
}

// WorkerFault replaces the faults of a worker. Restart restarts the worker first.
type WorkerFault struct {
	ID      model.WorkerID `json:"id"`
	Faults  WorkerFaults   `json:"faults"`
	Restart bool           `json:"restart,omitempty"`
}

// ListFault sets the lag of the instance list.
type ListFault struct {
	Lag time.Duration `json:"lag"`
}

// Inject applies f. It returns false when f names a worker that does not exist.
func (p *Platform) Inject(f Fault) bool {
	if f.Log != nil {
		p.Log.SetFaults(*f.Log)
	}
	if f.List != nil {
		p.List.Do(func(_ time.Time, c *ListCore) { c.SetLag(f.List.Lag) })
	}
	if f.BlackholeService != "" {
		p.conns.blackhole(f.BlackholeService)
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
