package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An answer of the store clears the time of the first failure while another goroutine
// measures for how long calls have failed. That never is the time since the instance started.
func TestStoreFailingForIsReadOnce(t *testing.T) {
	l := &leader{n: &Node{startedAt: time.Now().Add(-time.Hour)}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 200_000 {
			l.storeFailingSince.Store(int64(time.Since(l.n.startedAt)))
			l.storeFailingSince.Store(0)
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
			require.Less(t, l.storeFailingFor(), time.Hour)
		}
	}
}
