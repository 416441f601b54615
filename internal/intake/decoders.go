package intake

import (
	"context"
	"sync"
)

// LargeBodyBytes is the size from which bodies are decoded one at a time, so that they need
// memory for one.
const LargeBodyBytes = 16 << 10

// Decoders lets large bodies be decoded one at a time. The zero value is ready for use.
type Decoders struct {
	once  sync.Once
	taken chan struct{}
}

// Take waits until a body of the given size may be decoded, small ones at once. It returns the
// function to call when it has been, or false if ctx is done before.
func (d *Decoders) Take(ctx context.Context, size int) (release func(), ok bool) {
	if size < LargeBodyBytes {
		return func() {}, true
	}
	d.once.Do(func() { d.taken = make(chan struct{}, 1) })
	select {
	case d.taken <- struct{}{}:
		return func() { <-d.taken }, true
	case <-ctx.Done():
		return nil, false
	}
}
