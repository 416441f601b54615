package record

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pollenbend/internal/cell/job"
)

func TestNameSet(t *testing.T) {
	var n NameSet
	for i := range 350 {
		n.Add(fmt.Sprintf("worker-%d", i))
	}
	assert.Len(t, n, 4*350)
	has := n.Matcher()
	for i := range 350 {
		assert.True(t, has(fmt.Sprintf("worker-%d", i)))
		assert.False(t, has(fmt.Sprintf("other-%d", i)))
	}
	assert.False(t, NameSet("abc").Matcher()("worker-0"), "a truncated entry is ignored")
}

func TestStepRoundTrip(t *testing.T) {
	in := &Step{
		Tasks:       []Task{{Run: 2, Worker: "w1", Incarnation: 7}, {Done: true, Run: 1, Checkpoint: "c"}},
		GoodWorkers: []GoodWorker{{Worker: "w1", Incarnation: 7}, {Worker: "w2", Incarnation: 9}},
	}
	in.Asked.Add("w3")
	out := new(Step)
	require.NoError(t, Decode(Encode(in), out))
	assert.Equal(t, in, out)

	// Records of earlier versions have no advice.
	out = new(Step)
	require.NoError(t, Decode(Encode(&Step{Tasks: in.Tasks}), out))
	assert.Empty(t, out.Asked)
	assert.Empty(t, out.GoodWorkers)
}

func TestKeys(t *testing.T) {
	ref := job.StepRef{Job: "5c0e7a21d94b36f8", Occurrence: 3, Step: 1}
	for _, segment := range []int{0, 1, MaxSegments - 1} {
		id, step, err := ParseKey(StepKey(ref, segment))
		require.NoError(t, err)
		assert.Equal(t, ref.Job, id)
		assert.Equal(t, StepSegment{ref, segment}, *step)
	}
	id, step, err := ParseKey("s/5c0e7a21d94b36f8.3.1") // as earlier versions wrote it
	require.NoError(t, err)
	assert.Equal(t, ref.Job, id)
	assert.Equal(t, StepSegment{ref, 0}, *step)
	id, step, err = ParseKey(JobKey("x"))
	require.NoError(t, err)
	assert.Equal(t, "x", id)
	assert.Nil(t, step)
	for _, key := range []string{"", "z/x", "s/x", "s/x.1", "s/x.0.1/", "s/x.0.1/0", "s/x.0.1/-1", "s/x.0.1/40", "s/x.0.1/1/1"} {
		_, _, err := ParseKey(key)
		assert.Error(t, err, key)
	}
}
