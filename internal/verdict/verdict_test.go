package verdict

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestOf(t *testing.T) {
	require.Equal(t, Done, Of(nil))
	require.Equal(t, MayHaveRun, Of(errors.New("connection reset")))
	require.Equal(t, NotRun, Of(errors.Wrap(Refuse(CodeOverloaded, "queue full"), "submit")))
}

func TestTextRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, Done, NotRun, Pending} {
		text, err := v.MarshalText()
		require.NoError(t, err)
		var back Verdict
		require.NoError(t, back.UnmarshalText(text))
		require.Equal(t, v, back)
	}
	require.Error(t, new(Verdict).UnmarshalText([]byte("maybe")))
}
