// Package policy holds the versioned declarations of the operators of a cell:
// queues, services, teams and limits.
package policy

import (
	"slices"
	"strings"
	"time"

	"pollenbend/internal/cell/job"
)

// AdviceCost describes how long calls to the adviser of a queue take and how long
// its tickets are valid.
type AdviceCost struct {
	Base      time.Duration // of a call
	PerWorker time.Duration // added for each worker in the call
	TicketTTL time.Duration
}

// CallDuration returns the expected duration of a call for n workers.
func (c AdviceCost) CallDuration(n int) time.Duration { return c.Base + time.Duration(n)*c.PerWorker }

// Queue is an endpoint to which callers submit jobs.
type Queue struct {
	Name          string
	Host          string
	Prefix        string  // of the URL path
	Service       string  // name of the service whose workers run the tasks
	Priority      int     // zero is the highest
	Attempts      int     // number of failed runs of a task at which its job fails
	Stretch       float64 // objective of a job as a multiple of its critical path, plus LatencyTarget
	LatencyTarget time.Duration
	Timeout       time.Duration // of a call; zero for the default
	Public        bool          // accepts calls without a key
	Advice        *AdviceCost   // nil if the tasks need no advice and any worker may run them
}

// Service is a pool of workers.
type Service struct {
	Name            string
	HealthPath      string
	RejectsOverload bool          // workers refuse tasks that exceed their free resources
	Spare           bool          // its machines are switched off
	ColdStart       time.Duration // how long a worker is slow after its start; zero if it is not
}

// Team is the owner of jobs, to which their use of resources is charged.
type Team struct {
	Name   string
	Keys   []string      // keys that authorize calls
	Weight float64       // jobs per second that the team is entitled to while the fleet is full
	Limit  job.Resources // maximum resources of its running tasks; a zero resource has no limit
}

// HTTPLimits bound the requests and connections of callers.
type HTTPLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Evacuations are the availability zones whose workers get no new tasks until operators
// take the zones back.
type Evacuations struct {
	Revision int64 // grows with each change; zero if nothing is known
	Zones    []string
}

// Contains reports whether zone is evacuated.
func (e *Evacuations) Contains(zone string) bool { return slices.Contains(e.Zones, zone) }

// Policy is one version of all declarations, with the evacuations in force, whose
// revision grows independently. It is not modified after Index.
type Policy struct {
	Version     int64
	Queues      []Queue
	Services    []Service
	Teams       []Team
	HTTP        HTTPLimits
	Evacuations Evacuations

	byQueue         map[string]*Queue
	byTeam          map[string]*Team
	byKey           map[string]*Team
	highestPriority map[string]int // by service
}

// Index builds the lookup tables of p and returns p. It is called once, before p is
// shared.
func (p *Policy) Index() *Policy {
	p.byQueue = make(map[string]*Queue, len(p.Queues))
	p.byTeam = make(map[string]*Team, len(p.Teams))
	p.byKey = make(map[string]*Team)
	p.highestPriority = make(map[string]int)
	for i := range p.Queues {
		q := &p.Queues[i]
		p.byQueue[q.Name] = q
		if highest, known := p.highestPriority[q.Service]; !known || q.Priority < highest {
			p.highestPriority[q.Service] = q.Priority
		}
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

// Newer reports whether p has newer declarations or newer evacuations than o.
func (p *Policy) Newer(o *Policy) bool {
	return o == nil || p.Version > o.Version || p.Evacuations.Revision > o.Evacuations.Revision
}

// Merge returns the newer declarations with the newer evacuations of p and o. A nil o
// stands for none.
func (p *Policy) Merge(o *Policy) *Policy {
	if o == nil {
		return p
	}
	declared, evacuations := p, p.Evacuations
	if o.Version > p.Version {
		declared = o
	}
	if o.Evacuations.Revision > p.Evacuations.Revision {
		evacuations = o.Evacuations
	}
	if evacuations.Revision == declared.Evacuations.Revision {
		return declared
	}
	merged := *declared
	merged.Evacuations = evacuations
	return &merged
}

// Queue returns the queue with the given name, or nil.
func (p *Policy) Queue(name string) *Queue { return p.byQueue[name] }

// Team returns the team with the given name, or nil.
func (p *Policy) Team(name string) *Team { return p.byTeam[name] }

// IsHighestPriority reports whether no queue of the service of q has a higher priority.
func (p *Policy) IsHighestPriority(q *Queue) bool {
	highest, known := p.highestPriority[q.Service]
	return known && q.Priority == highest
}

// HighestPriority returns the highest priority of the queues of a service. It reports false if
// there are none.
func (p *Policy) HighestPriority(service string) (priority int, ok bool) {
	priority, ok = p.highestPriority[service]
	return priority, ok
}

// TeamOfKey returns the team that key belongs to, or nil.
func (p *Policy) TeamOfKey(key string) *Team { return p.byKey[key] }

// Service returns the service with the given name, or nil.
func (p *Policy) Service(name string) *Service {
	for i := range p.Services {
		if p.Services[i].Name == name {
			return &p.Services[i]
		}
	}
	return nil
}

// Match returns the queue of the given host with the longest prefix of path, and the
// remaining path after that prefix. It returns nil if no queue matches. A port in
// host is ignored.
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
