package node

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"

	"pollenbend/internal/cell/engine"
	"pollenbend/internal/cell/record"
)

// A new leader gets the record of the learned run times, and skips a key that a later
// version may have written.
func TestModelRecordIsRestored(t *testing.T) {
	l := &leader{n: &Node{log: slog.New(slog.DiscardHandler)}}
	var state engine.Restored
	l.restoreRecord(&state, record.Record{Key: record.ModelKey, Value: []byte("model")})
	l.restoreRecord(&state, record.Record{Key: "later/version", Value: []byte("x")})
	assert.Equal(t, engine.Restored{Model: []byte("model")}, state)
}
