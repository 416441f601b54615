// Package policy holds what operators declare for a cell: queues, services,
// teams and limits, under a version.
package policy

import (
	"strings"
	"time"

	"pollenbend/internal/cell/job"
)

// AdviceCost tells how long the adviser of a queue takes and how long its
// tickets last.
type AdviceCost struct {
	Base      time.Duration
	PerWorker time.Duration
	TicketTTL time.Duration
}

// Of returns how long a call for n workers takes.
func (c AdviceCost) Of(n int) time.Duration { return c.Base + time.Duration(n)*c.PerWorker }

// Queue is an entrance for jobs.
type Queue struct {
	Name          string
	Host          string
	Prefix        string // of the path
	Service       string // whose workers run the tasks
	Priority      int    // zero comes first
	Attempts      int    // runs of a task that may fail
	Stretch       float64
	LatencyTarget time.Duration
	Timeout       time.Duration
	Public        bool        // takes calls without a key
	Advice        *AdviceCost // nil if any worker may run the tasks
}

// Service is a pool of workers.
type Service struct {
	Name            string
	HealthPath      string
	RejectsOverload bool // workers refuse what does not fit
	Spare           bool // machines that are switched off
}

// Team is who work is charged to.
type Team struct {
	Name   string
	Keys   []string
	Weight float64       // share of a full fleet, and jobs a second that are owed service
	Limit  job.Resources // most it may have running; zero for no limit
}

// HTTPLimits bound what a caller may send.
type HTTPLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Policy is one version of all declarations. It is not changed once it is made.
type Policy struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Teams    []Team
	HTTP     HTTPLimits

	byQueue map[string]*Queue
	byTeam  map[string]*Team
	byKey   map[string]*Team
}

// Index prepares the lookups. It is called once, before p is shared.
func (p *Policy) Index() *Policy {
	p.byQueue = make(map[string]*Queue, len(p.Queues))
	p.byTeam = make(map[string]*Team, len(p.Teams))
	p.byKey = make(map[string]*Team)
	for i := range p.Queues {
		p.byQueue[p.Queues[i].Name] = &p.Queues[i]
	}
	for i := range p.Teams {
		t := &p.Teams[i]
		p.byTeam[t.Name] = t
		for _, k := range t.Keys {
			p.byKey[k] = t
		}
	}
	return p
}

// Queue returns the queue of that name, or nil.
func (p *Policy) Queue(name string) *Queue { return p.byQueue[name] }

// Team returns the team of that name, or nil.
func (p *Policy) Team(name string) *Team { return p.byTeam[name] }

// TeamOfKey returns the team that key belongs to, or nil.
func (p *Policy) TeamOfKey(key string) *Team { return p.byKey[key] }

// Service returns the service of that name, or nil.
func (p *Policy) Service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Match returns the queue whose host is host and whose prefix is the longest that
// path begins with, and the rest of path; nil if there is none.
func (p *Policy) Match(host, path string) (*Queue, string) {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	var best *Queue
	for i := range p.Queues {
		q := &p.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) &&
			(best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}
