package standin

import (
	"context"
	"sync"
	"time"

	"pollenbend/internal/platform"
)

// Log runs a LogCore in real time. It implements platform.Log in-process.
type Log struct {
	mu      sync.Mutex
	core    *LogCore
	changed chan struct{} // closed by the next append or change of faults
}

// NewLog returns an empty log.
func NewLog(s LogSettings) *Log {
	return &Log{core: NewLogCore(s), changed: make(chan struct{})}
}

// SetFaults replaces the log's faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetFaults(time.Now(), f)
	l.notifyReaders()
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream string, entry []byte) (uint64, error) {
	l.mu.Lock()
	offset, err := l.core.Append(time.Now(), stream, entry)
	delay := l.core.Faults().Slow
	l.notifyReaders()
	l.mu.Unlock()
	if serr := sleep(ctx, delay); serr != nil {
		return 0, serr
	}
	return offset, err
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		b, changed, err := l.read(ctx, stream, from, limit)
		if err != nil || len(b.Entries) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return b, nil
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
	}
}

func (l *Log) read(ctx context.Context, stream string, from uint64, limit int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	b, err := l.core.Read(stream, from, limit)
	changed := l.changed
	delay := l.core.Faults().Slow
	l.mu.Unlock()
	if serr := sleep(ctx, delay); serr != nil {
		return platform.Batch{}, nil, serr
	}
	return b, changed, err
}

// notifyReaders ends the waits of readers, which then read again. The caller
// holds l.mu.
func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// List runs a ListCore in real time. It implements platform.InstanceList
// in-process.
type List struct {
	mu   sync.Mutex
	core *ListCore
}

// NewList returns an empty list that shows changes after lag.
func NewList(lag time.Duration) *List { return &List{core: NewListCore(lag)} }

// List implements platform.InstanceList.
func (l *List) List(ctx context.Context) (platform.Listing, error) {
	if err := ctx.Err(); err != nil {
		return platform.Listing{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.List(time.Now()), nil
}

// Do calls f with the current time and the list's core.
func (l *List) Do(f func(now time.Time, c *ListCore)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(time.Now(), l.core)
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
