package examples

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
)

func TestExamplesAreConsistent(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			e, err := Load(name)
			require.NoError(t, err)
			workers := e.Platform.Workers()
			require.Len(t, workers, 48)
			require.Len(t, e.Declarations.Teams, 6)

			s := declare.NewState()
			r := s.Apply(1, model.Change{ID: "all", Put: e.Declarations})
			require.Equal(t, declare.Accepted, r.Outcome, r.Message)
			operator, ok := s.Authenticate(e.OperatorSecret())
			require.True(t, ok)
			require.Equal(t, model.ScopeOperator, operator.Scope)
			for _, q := range e.Requests {
				queue, ok := s.Queue(q.Queue)
				require.True(t, ok, q.Queue)
				key, ok := s.Authenticate(e.Secret(q.Key))
				require.Equal(t, !queue.Open, ok, "%s: the key must be known unless the queue is open", q.Payload)
				if !queue.Open {
					require.Equal(t, queue.Team, key.Team)
				}
				service, ok := s.Service(q.Service)
				require.True(t, ok, q.Service)
				require.True(t, service.Demand.Fits(workers[0].Capacity))
				require.True(t, service.Require.Matches(workers[0].Labels))
			}
		})
	}
}

func TestRacksSpreadOverZones(t *testing.T) {
	e, err := Load("guild")
	require.NoError(t, err)
	perZone, perRack := map[string]int{}, map[string]int{}
	for _, w := range e.Platform.Workers() {
		perZone[w.Location.Zone]++
		perRack[w.Location.Rack]++
	}
	require.Equal(t, map[string]int{"dub-a": 12, "dub-b": 12, "dub-c": 12, "dub-d": 12}, perZone)
	require.Len(t, perRack, 8)
}

func TestUnknownExample(t *testing.T) {
	_, err := Load("nowhere")
	require.Error(t, err)
}
