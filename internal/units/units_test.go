package units

import (
	"encoding"
	"testing"

	"github.com/stretchr/testify/require"
)

type text interface {
	encoding.TextMarshaler
	encoding.TextUnmarshaler
}

func TestUnits(t *testing.T) {
	newValue := map[string]func() text{
		"duration": func() text { return new(Duration) },
		"size":     func() text { return new(Size) },
		"cpu":      func() text { return new(CPU) },
		"time":     func() text { return new(TimeOfDay) },
	}
	for _, tt := range []struct{ kind, in, out string }{ // out is empty if in is invalid
		{"duration", "500ms", "500ms"},
		{"duration", "90s", "1m30s"},
		{"duration", "600s", "10m"},
		{"duration", "60m", "1h"},
		{"duration", "1h0m5s", "1h0m5s"},
		{"duration", "0s", "0s"},
		{"duration", "0", ""},
		{"duration", "500", ""},
		{"duration", "-1s", ""},
		{"duration", "", ""},
		{"size", "1024KiB", "1MiB"},
		{"size", "0B", "0B"},
		{"size", "64GiB", "64GiB"},
		{"size", "1GB", ""},
		{"size", "1.5GiB", ""},
		{"size", "-1B", ""},
		{"size", "16777216TiB", ""},
		{"cpu", "2", "2"},
		{"cpu", "0.5", "500m"},
		{"cpu", "2000m", "2"},
		{"cpu", "0.0005", ""},
		{"cpu", "-1", ""},
		{"cpu", "NaN", ""},
		{"cpu", "1e99", ""},
		{"cpu", "1.5m", ""},
		{"time", "17:30", "17:30"},
		{"time", "24:00", "24:00"},
		{"time", "00:05", "00:05"},
		{"time", "24:01", ""},
		{"time", "17", ""},
	} {
		v := newValue[tt.kind]()
		err := v.UnmarshalText([]byte(tt.in))
		if tt.out == "" {
			require.Error(t, err, "%s %q", tt.kind, tt.in)
			require.Contains(t, err.Error(), "expected")
			continue
		}
		require.NoError(t, err, "%s %q", tt.kind, tt.in)
		got, err := v.MarshalText()
		require.NoError(t, err)
		require.Equal(t, tt.out, string(got), tt.kind)
	}
}
