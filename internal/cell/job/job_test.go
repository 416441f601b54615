package job

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCountIn(t *testing.T) {
	free := Resources{CPU: 8000, MemMB: 1000, GPU: 1}
	for _, c := range []struct {
		name string
		need Resources
		want int
	}{
		{"bounded by CPU", Resources{CPU: 3000, MemMB: 100}, 2},
		{"bounded by memory", Resources{CPU: 1000, MemMB: 400}, 2},
		{"bounded by GPU", Resources{CPU: 1000, GPU: 1}, 1},
		{"needs nothing", Resources{}, 10},
		{"does not fit", Resources{CPU: 9000}, 0},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, c.need.CountIn(free, 10)) })
	}
	assert.Zero(t, Resources{CPU: 1}.CountIn(Resources{CPU: -5}, 10), "over capacity")
}

func TestCountWithin(t *testing.T) {
	limit := Resources{CPU: 8000, MemMB: 1000}
	for _, c := range []struct {
		name       string
		need, used Resources
		want       int
	}{
		{"bounded by CPU", Resources{CPU: 3000, MemMB: 100}, Resources{CPU: 1000}, 2},
		{"bounded by memory", Resources{CPU: 1000, MemMB: 400}, Resources{MemMB: 300}, 1},
		{"an unlimited resource", Resources{GPU: 4}, Resources{GPU: 100}, 10},
		{"above the limit", Resources{CPU: 1}, Resources{CPU: 9000}, 0},
		{"above the limit of a resource that is not needed", Resources{CPU: 1}, Resources{MemMB: 1001}, 0},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, c.need.CountWithin(limit, c.used, 10)) })
	}
}
