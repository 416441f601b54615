package declare

import (
	"fmt"
	"testing"

	"pollenbend/internal/model"
)

// declareTeams returns declarations of n teams, each with a key, a queue and a service.
func declareTeams(n int) model.Declarations {
	var d model.Declarations
	for i := range n {
		id := model.TeamID(fmt.Sprintf("team-%04d", i))
		name := string(id)
		d.Teams = append(d.Teams, model.Team{Name: id, Share: 10, Limit: 100})
		d.Keys = append(d.Keys, model.Key{Name: name, Team: id, Scope: model.ScopeTeam, SHA256: HashSecret(name)})
		d.Queues = append(d.Queues, model.Queue{Name: name, Team: id})
		d.Services = append(d.Services, model.Service{
			Name:    name,
			Demand:  model.Resources{MilliCPU: 1000, MemoryMiB: 1024, Slots: 1},
			Require: model.Selector{{Label: "zone", Op: model.OpIn, Values: []string{"a", "b"}}},
			Class:   model.ClassNormal,
		})
	}
	return d
}

const objectsPerTeam = 4

// BenchmarkCapacityConfiguration applies changes of one team to declarations of
// several sizes, and reports the bytes of a change and of a snapshot per object
// and per settled change.
func BenchmarkCapacityConfiguration(b *testing.B) {
	for _, teams := range []int{85, 170, 340} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			s := NewState()
			s.Apply(1, model.Change{ID: "all", Put: declareTeams(teams)})
			snapshotBytes := len(s.Snapshot())
			c := model.Change{Put: declareTeams(1), Author: "operator"}
			c.ID = fmt.Sprintf("%032d", 0)
			changeBytes := len(mustEncode(c))
			b.ResetTimer()
			offset := uint64(1)
			for b.Loop() {
				c.ID, c.Base = fmt.Sprintf("%032d", offset), s.Version()
				offset++
				if r := s.Apply(offset, c); r.Outcome != Accepted {
					b.Fatal(r.Message)
				}
			}
			b.StopTimer()
			settled := len(s.settled.order) - 1
			b.ReportMetric(float64(changeBytes), "bytes/change")
			b.ReportMetric(float64(snapshotBytes)/float64(objectsPerTeam*teams), "snapshot_bytes/object")
			b.ReportMetric(float64(len(s.Snapshot())-snapshotBytes)/float64(max(settled, 1)), "snapshot_bytes/settled")
		})
	}
}

// BenchmarkAuthenticate looks up one key among different numbers of keys.
func BenchmarkAuthenticate(b *testing.B) {
	for _, teams := range []int{170, 1700} {
		b.Run(fmt.Sprintf("keys=%d", teams), func(b *testing.B) {
			s := NewState()
			s.Apply(1, model.Change{ID: "all", Put: declareTeams(teams)})
			for b.Loop() {
				if _, ok := s.Authenticate("team-0007"); !ok {
					b.Fatal("a declared key was refused")
				}
			}
		})
	}
}
