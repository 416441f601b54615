package record

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenbend/internal/cell/job"
)

// earlierStep is a step as earlier versions encoded it.
type earlierStep struct {
	Tasks           []Task       `cbor:"1,keyasint"`
	SpeculativeRuns map[int]Task `cbor:"2,keyasint,omitempty"`
	GoodWorkers     []GoodWorker `cbor:"3,keyasint,omitempty"`
	Asked           NameSet      `cbor:"4,keyasint,omitempty"`
	Begun           bool         `cbor:"5,keyasint,omitempty"`
}

func drawTask(t *rapid.T) Task {
	out := Task{
		Done: rapid.Bool().Draw(t, "done"), Run: rapid.IntRange(0, 3).Draw(t, "run"), Failures: rapid.IntRange(0, 2).Draw(t, "failures"),
		Checkpoint: rapid.SampledFrom([]string{"", "00c1"}).Draw(t, "checkpoint"),
	}
	if rapid.Bool().Draw(t, "running") {
		out.Worker, out.Incarnation = rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker"), rapid.Int64Range(1, 2).Draw(t, "incarnation")
		out.Settled, out.Ticket, out.LateLease = rapid.Bool().Draw(t, "settled"), rapid.Bool().Draw(t, "ticket"), rapid.Bool().Draw(t, "late lease")
	}
	return out
}

// Every step is the same after it was stored and loaded, by this version and the earlier one.
func TestStepRoundTripOfAnyStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := &Step{Begun: rapid.Bool().Draw(t, "begun")}
		for i := range rapid.IntRange(1, 20).Draw(t, "count") {
			in.Tasks = append(in.Tasks, drawTask(t))
			if rapid.IntRange(0, 4).Draw(t, "speculative") == 0 {
				if in.SpeculativeRuns == nil {
					in.SpeculativeRuns = make(map[int]Task)
				}
				in.SpeculativeRuns[i] = drawTask(t)
			}
		}
		if rapid.Bool().Draw(t, "crashes") {
			in.FailedGangRuns = []int{1, 3}
			in.Crashes = map[int]Crashes{0: {Caused: rapid.IntRange(0, 2).Draw(t, "caused"), Doubtful: 1, Late: 3}}
		}
		for i := range rapid.IntRange(0, 3).Draw(t, "good") {
			in.GoodWorkers = append(in.GoodWorkers, GoodWorker{Worker: fmt.Sprintf("w%d", i), Incarnation: 1})
			in.Asked.Add(fmt.Sprintf("w%d", i))
		}
		out := new(Step)
		require.NoError(t, Decode(Encode(in), out))
		assert.Equal(t, in, out)
		earlier, err := cbor.Marshal(&earlierStep{in.Tasks, in.SpeculativeRuns, in.GoodWorkers, in.Asked, in.Begun})
		require.NoError(t, err)
		in.Crashes, in.FailedGangRuns = nil, nil // not known to earlier versions
		for i := range in.Tasks {
			in.Tasks[i].Settled, in.Tasks[i].Ticket, in.Tasks[i].LateLease = false, false, false
		}
		for i, speculative := range in.SpeculativeRuns {
			speculative.Settled, speculative.Ticket, speculative.LateLease = false, false, false
			in.SpeculativeRuns[i] = speculative
		}
		out = new(Step)
		require.NoError(t, Decode(earlier, out))
		assert.Equal(t, in, out)
	})
}

// What was stored can be damaged in any way without a panic.
func FuzzDecodeStep(f *testing.F) {
	in := &Step{Tasks: []Task{{Run: 2, Worker: "w1", Incarnation: 7}, doneAtOnce, {}}, GoodWorkers: []GoodWorker{{Worker: "w1", Incarnation: 7}}}
	f.Add(Encode(in))
	for _, r := range []stepRecord{
		{Count: 2, Rows: []taskRow{{Index: 2}}}, {Count: 2, Rows: []taskRow{{Worker: 1}}}, {Count: -1}, {Count: 1 << 40},
		{Count: 1, DoneAtOnce: []byte{1, 1}}, {Count: 1, GoodCount: 1},
	} {
		data, err := cbor.Marshal(&r)
		require.NoError(f, err)
		assert.Error(f, Decode(data, new(Step)))
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		out := new(Step)
		if Decode(data, out) == nil {
			Encode(out)
		}
	})
}

// A wide step is rewritten many times while its tasks end.
func BenchmarkEncodeWideStep(b *testing.B) {
	in := &Step{}
	for i := range 48 {
		in.Tasks = append(in.Tasks, Task{Run: 1, Worker: fmt.Sprintf("i-%010d", i/3), Incarnation: 1791000000000 + int64(i/3), Checkpoint: "00000bb87a21d94b"})
	}
	for i := range 30 {
		in.GoodWorkers = append(in.GoodWorkers, GoodWorker{Worker: fmt.Sprintf("i-%010d", i), Incarnation: 1791000000000 + int64(i)})
	}
	earlier, err := cbor.Marshal(&earlierStep{Tasks: in.Tasks, GoodWorkers: in.GoodWorkers})
	require.NoError(b, err)
	for b.Loop() {
		Encode(in)
	}
	b.ReportMetric(float64(len(Encode(in))), "bytes")
	b.ReportMetric(float64(len(earlier)), "bytes-earlier")
}

func TestTasksOfSegments(t *testing.T) {
	first, second := &Step{Tasks: make([]Task, SegmentTasks)}, &Step{Tasks: make([]Task, 10)}
	s := StoredStep{0: first, 1: second}
	for index, want := range map[int]struct {
		record *Step
		index  int
	}{0: {first, 0}, SegmentTasks - 1: {first, SegmentTasks - 1}, SegmentTasks: {second, 0}, SegmentTasks + 9: {second, 9}, SegmentTasks + 10: {nil, 0}} {
		r, i := s.Task(index)
		assert.Same(t, want.record, r, index)
		assert.Equal(t, want.index, i, index)
	}
	assert.False(t, s.Whole())

	// The record of an earlier version holds what no later segment does.
	whole := &Step{Tasks: make([]Task, 600)}
	s = StoredStep{0: whole, 1: second}
	for index, want := range map[int]struct {
		record *Step
		index  int
	}{0: {whole, 0}, SegmentTasks: {second, 0}, SegmentTasks + 10: {whole, SegmentTasks + 10}, 599: {whole, 599}, 600: {nil, 0}} {
		r, i := s.Task(index)
		assert.Same(t, want.record, r, index)
		assert.Equal(t, want.index, i, index)
	}
	assert.True(t, s.Whole())
	assert.Equal(t, MaxSegments, Segments(job.MaxTasks))
}
