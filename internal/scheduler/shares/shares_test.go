package shares

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenbend/internal/model"
)

func TestShareTargets(t *testing.T) {
	tests := []struct {
		name   string
		claims []Claim
		want   []float64
	}{
		{"all want more", []Claim{{"a", 1, 1}, {"b", 3, 1}}, []float64{0.25, 0.75}},
		{"unwanted share goes to the others", []Claim{{"a", 1, 1}, {"b", 3, 0.15}}, []float64{0.85, 0.15}},
		{"unwanted share is divided by weight", []Claim{{"a", 1, 1}, {"b", 2, 0.1}, {"c", 2, 1}}, []float64{0.3, 0.1, 0.6}},
		{"all get what they want", []Claim{{"a", 1, 0.1}, {"b", 1, 0.2}}, []float64{0.1, 0.2}},
		{"no claims", nil, []float64{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := make([]float64, 0, len(tt.claims))
			for _, target := range Targets(tt.claims, 1) {
				got = append(got, target.Share)
			}
			require.InDeltaSlice(t, tt.want, got, 1e-9)
		})
	}
}

func TestWeightedShareFollowsDominantResource(t *testing.T) {
	accounts := NewAccounts()
	accounts.SetCapacity(model.Resources{MilliCPU: 1000, MemoryMiB: 1000})
	accounts.SetWeight("a", 2)
	accounts.SetRemoteUsage("a", model.Resources{MilliCPU: 100})
	accounts.Charge("a", model.Resources{MemoryMiB: 400})
	require.InDelta(t, 0.4, accounts.Account("a").DominantShare(), 1e-9)
	require.InDelta(t, 0.2, accounts.Account("a").WeightedShare(), 1e-9)
	accounts.Refund("a", model.Resources{MemoryMiB: 350})
	require.InDelta(t, 0.1, accounts.Account("a").DominantShare(), 1e-9)
	accounts.SetCapacity(model.Resources{MilliCPU: 200, MemoryMiB: 1000})
	require.InDelta(t, 0.5, accounts.Account("a").DominantShare(), 1e-9)
}
