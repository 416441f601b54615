// Package declare reads declarations from files, compares them, and applies
// changes from the log to the state of the declarations.
package declare

import (
	"time"

	"pollenbend/internal/model"
	"pollenbend/internal/tomlfile"
	"pollenbend/internal/units"
)

// Fault is one error in a declarations file.
type Fault = tomlfile.Fault

// file is a declarations file as operators write it.
type file struct {
	Teams    []teamTable    `toml:"team,omitempty"`
	Keys     []keyTable     `toml:"key,omitempty"`
	Queues   []queueTable   `toml:"queue,omitempty"`
	Services []serviceTable `toml:"service,omitempty"`
	Policies []policyTable  `toml:"policy,omitempty"`
}

type teamTable struct {
	Name  string `toml:"name"`
	Share int64  `toml:"share"`
	Limit int64  `toml:"limit,omitempty"`
}

type keyTable struct {
	Name   string `toml:"name"`
	Team   string `toml:"team,omitempty"`
	Scope  string `toml:"scope,omitempty"`
	SHA256 string `toml:"sha256"`
}

type queueTable struct {
	Name string `toml:"name"`
	Team string `toml:"team"`
	Open bool   `toml:"open,omitempty"`
}

type serviceTable struct {
	Name       string            `toml:"name"`
	Demand     DemandTable       `toml:"demand,inline"`
	Require    Selector          `toml:"require"`
	Prefer     []preferenceTable `toml:"prefer,omitempty"`
	Repeatable bool              `toml:"repeatable,omitempty"`
	Class      string            `toml:"class,omitempty"`
	Timeout    units.Duration    `toml:"timeout"`
}

// DemandTable is an amount of resources as written in a file.
type DemandTable struct {
	CPU          units.CPU  `toml:"cpu"`
	Memory       units.Size `toml:"memory"`
	Slots        int64      `toml:"slots"`
	Accelerators int64      `toml:"accelerators,omitempty"`
}

type preferenceTable struct {
	Selector Selector `toml:"selector"`
	Weight   int      `toml:"weight"`
}

type policyTable struct {
	Name     string          `toml:"name"`
	Team     string          `toml:"team"`
	TimeZone string          `toml:"time_zone"`
	From     units.TimeOfDay `toml:"from"`
	Until    units.TimeOfDay `toml:"until"`
	Share    int64           `toml:"share,omitempty"`
	Limit    int64           `toml:"limit,omitempty"`
}

const mebibyte = 1 << 20

// Resources converts the table to the model. Memory is rounded up to whole MiB.
func (d DemandTable) Resources() model.Resources {
	memory := d.Memory.Bytes / mebibyte
	if d.Memory.Bytes%mebibyte != 0 {
		memory++
	}
	return model.Resources{
		MilliCPU:     d.CPU.Milli,
		MemoryMiB:    memory,
		Slots:        d.Slots,
		Accelerators: d.Accelerators,
	}
}

func newDemandTable(r model.Resources) DemandTable {
	return DemandTable{
		CPU:          units.CPU{Milli: r.MilliCPU},
		Memory:       units.Size{Bytes: r.MemoryMiB * mebibyte},
		Slots:        r.Slots,
		Accelerators: r.Accelerators,
	}
}

// declarations converts the file and fills in defaults: scope "team", class
// "normal" and one slot.
func (f file) declarations() model.Declarations {
	var d model.Declarations
	for _, t := range f.Teams {
		d.Teams = append(d.Teams, model.Team{Name: model.TeamID(t.Name), Share: t.Share, Limit: t.Limit})
	}
	for _, k := range f.Keys {
		d.Keys = append(d.Keys, k.key())
	}
	for _, q := range f.Queues {
		d.Queues = append(d.Queues, model.Queue{Name: q.Name, Team: model.TeamID(q.Team), Open: q.Open})
	}
	for _, s := range f.Services {
		d.Services = append(d.Services, s.service())
	}
	for _, p := range f.Policies {
		d.Policies = append(d.Policies, p.policy())
	}
	return d
}

func (k keyTable) key() model.Key {
	scope := model.KeyScope(k.Scope)
	if scope == "" {
		scope = model.ScopeTeam
	}
	return model.Key{Name: k.Name, Team: model.TeamID(k.Team), Scope: scope, SHA256: k.SHA256}
}

func (s serviceTable) service() model.Service {
	v := model.Service{
		Name:       s.Name,
		Demand:     s.Demand.Resources(),
		Require:    s.Require.Selector,
		Repeatable: s.Repeatable,
		Class:      model.Class(s.Class),
		Timeout:    s.Timeout.Duration,
	}
	if v.Class == "" {
		v.Class = model.ClassNormal
	}
	if v.Demand.Slots == 0 {
		v.Demand.Slots = 1
	}
	for _, p := range s.Prefer {
		v.Prefer = append(v.Prefer, model.Preference{Selector: p.Selector.Selector, Weight: p.Weight})
	}
	return v
}

func (p policyTable) policy() model.Policy {
	return model.Policy{
		Name:     p.Name,
		Team:     model.TeamID(p.Team),
		TimeZone: p.TimeZone,
		From:     p.From.Duration,
		Until:    p.Until.Duration,
		Share:    p.Share,
		Limit:    p.Limit,
	}
}

// newFile converts declarations to the form of a declarations file.
func newFile(d model.Declarations) file {
	var f file
	for _, t := range d.Teams {
		f.Teams = append(f.Teams, teamTable{Name: string(t.Name), Share: t.Share, Limit: t.Limit})
	}
	for _, k := range d.Keys {
		f.Keys = append(f.Keys, keyTable{Name: k.Name, Team: string(k.Team), Scope: string(k.Scope), SHA256: k.SHA256})
	}
	for _, q := range d.Queues {
		f.Queues = append(f.Queues, queueTable{Name: q.Name, Team: string(q.Team), Open: q.Open})
	}
	for _, s := range d.Services {
		f.Services = append(f.Services, newServiceTable(s))
	}
	for _, p := range d.Policies {
		f.Policies = append(f.Policies, newPolicyTable(p))
	}
	return f
}

func newServiceTable(s model.Service) serviceTable {
	t := serviceTable{
		Name:       s.Name,
		Demand:     newDemandTable(s.Demand),
		Require:    Selector{s.Require},
		Repeatable: s.Repeatable,
		Class:      string(s.Class),
		Timeout:    duration(s.Timeout),
	}
	for _, p := range s.Prefer {
		t.Prefer = append(t.Prefer, preferenceTable{Selector: Selector{p.Selector}, Weight: p.Weight})
	}
	return t
}

func newPolicyTable(p model.Policy) policyTable {
	return policyTable{
		Name:     p.Name,
		Team:     string(p.Team),
		TimeZone: p.TimeZone,
		From:     units.TimeOfDay{Duration: p.From},
		Until:    units.TimeOfDay{Duration: p.Until},
		Share:    p.Share,
		Limit:    p.Limit,
	}
}

func duration(d time.Duration) units.Duration { return units.Duration{Duration: d} }
