package engine

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A misspelled feature is an error, so that a deployment does not run without it unnoticed.
func TestParseFeatures(t *testing.T) {
	f, err := ParseFeatures("")
	require.NoError(t, err)
	assert.Zero(t, f)
	f, err = ParseFeatures("learned-runtimes, backfill")
	require.NoError(t, err)
	assert.Equal(t, Features{LearnedRuntimes: true, Backfill: true}, f)
	_, err = ParseFeatures("backfil")
	assert.ErrorContains(t, err, `unknown feature "backfil"`)
	_, err = ParseFeatures("backfill,")
	assert.ErrorContains(t, err, `unknown feature ""`)
}
