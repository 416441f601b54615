package example

import (
	"fmt"
	"maps"
	"time"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
	"pollenbend/internal/tomlfile"
	"pollenbend/internal/units"
)

// Platform describes the platform that the stand-ins simulate.
type Platform struct {
	Region        string
	Zones         []string
	ZoneLatency   time.Duration // one way between availability zones
	ClientLatency time.Duration // one way between a client and an instance
	Instances     int           // number of instances of the system
	Groups        []WorkerGroup
}

// WorkerGroup is a group of identical workers. They are spread over racks, and the
// racks over availability zones.
type WorkerGroup struct {
	Name        string
	Count       int
	PerRack     int
	Capacity    model.Resources
	Connections int // maximum that one worker accepts
	Labels      map[string]string
}

type platformFile struct {
	Region        string         `toml:"region"`
	Zones         []string       `toml:"zones"`
	ZoneLatency   units.Duration `toml:"zone_latency"`
	ClientLatency units.Duration `toml:"client_latency"`
	Instances     int            `toml:"instances"`
	Workers       []workersTable `toml:"workers"`
}

type workersTable struct {
	Name         string            `toml:"name"`
	Count        int               `toml:"count"`
	PerRack      int               `toml:"per_rack"`
	CPU          units.CPU         `toml:"cpu"`
	Memory       units.Size        `toml:"memory"`
	Slots        int64             `toml:"slots"`
	Accelerators int64             `toml:"accelerators"`
	Connections  int               `toml:"connections"`
	Labels       map[string]string `toml:"labels"`
}

// ParsePlatform parses the description of a platform. Faults refer to the file as
// name.
func ParsePlatform(name string, data []byte) (Platform, []declare.Fault) {
	r := tomlfile.Decode(name, data, func() platformFile { return platformFile{} })
	c := r.Check(name)
	f := r.Value
	c.Require(f.Region != "", "region", "expected the name of a region")
	c.Require(len(f.Zones) > 0, "zones", "expected the names of the availability zones")
	c.Require(f.Instances > 0, "instances", "expected a number of instances of 1 or more")
	c.Require(len(f.Workers) > 0, "workers", "expected a group of workers")
	for i, w := range f.Workers {
		w.check(c, fmt.Sprintf("workers[%d]", i))
	}
	return f.platform(), c.Faults()
}

func (w workersTable) check(c *tomlfile.Checker, path string) {
	c.Require(w.Name != "", path+".name", "expected the name of the group")
	positive := []struct {
		key   string
		value int64
	}{
		{"count", int64(w.Count)},
		{"per_rack", int64(w.PerRack)},
		{"cpu", w.CPU.Milli},
		{"memory", w.Memory.Bytes},
		{"slots", w.Slots},
		{"connections", int64(w.Connections)},
	}
	for _, p := range positive {
		if p.value < 1 {
			c.Add(path+"."+p.key, "expected more than 0")
		}
	}
}

func (f platformFile) platform() Platform {
	p := Platform{
		Region:        f.Region,
		Zones:         f.Zones,
		ZoneLatency:   f.ZoneLatency.Duration,
		ClientLatency: f.ClientLatency.Duration,
		Instances:     f.Instances,
	}
	for _, w := range f.Workers {
		demand := declare.DemandTable{CPU: w.CPU, Memory: w.Memory, Slots: w.Slots, Accelerators: w.Accelerators}
		p.Groups = append(p.Groups, WorkerGroup{
			Name:        w.Name,
			Count:       w.Count,
			PerRack:     w.PerRack,
			Capacity:    demand.Resources(),
			Connections: w.Connections,
			Labels:      w.Labels,
		})
	}
	return p
}

// Workers returns every worker of the platform, without addresses. A worker's labels
// include its region, availability zone and rack.
func (p Platform) Workers() []model.Worker {
	var workers []model.Worker
	for _, group := range p.Groups {
		for i := range group.Count {
			workers = append(workers, group.worker(i, p.location(group, i)))
		}
	}
	return workers
}

// location returns the location of worker i of a group. The racks of a group are
// assigned to the availability zones in turn.
func (p Platform) location(g WorkerGroup, i int) model.Location {
	rack := i / g.PerRack
	return model.Location{
		Region: p.Region,
		Zone:   p.Zones[rack%len(p.Zones)],
		Rack:   fmt.Sprintf("%s-rack-%d", g.Name, rack+1),
	}
}

func (g WorkerGroup) worker(i int, location model.Location) model.Worker {
	labels := maps.Clone(g.Labels)
	if labels == nil {
		labels = map[string]string{}
	}
	labels["region"], labels["zone"], labels["rack"] = location.Region, location.Zone, location.Rack
	return model.Worker{
		ID:       model.WorkerID(fmt.Sprintf("%s-%02d", g.Name, i+1)),
		Location: location,
		Labels:   labels,
		Capacity: g.Capacity,
	}
}
