package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// refusals are the outcomes by which a worker refuses a start command without effect.
var refusals = []CommandOutcome{DeadlinePassed, NoCapacity, BadTicket, Unhealthy, Invalid}

// refuseRepeats has workers refuse every start command for a run but the first.
func refuseRepeats(outcome CommandOutcome) func(*Start, int) CommandOutcome {
	return func(_ *Start, number int) CommandOutcome {
		if number > 1 {
			return outcome
		}
		return Accepted
	}
}

func TestRefusedRepeatOfAStartEndsARunThatItsWorkerHas(t *testing.T) {
	for _, outcome := range refusals {
		t.Run(outcome.String(), func(t *testing.T) {
			w := newWorld(t, 3, 3)
			w.run(time.Second)
			w.lostStartAnswers = 1
			w.refuseStart = refuseRepeats(outcome)
			id := w.submit("batch", "a", tasks(1, 1000, 2*time.Second))
			w.run(15 * time.Second)
			assert.Equal(t, StateCompleted, w.state(id))
		})
	}
}
