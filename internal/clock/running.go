package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// tickPeriod is the time between two ticks of Running.
	tickPeriod = 100 * time.Millisecond
	// minPause is the time without a tick from which on a process counts as paused.
	minPause = 300 * time.Millisecond
	// wakeTime is how long after a pause what happened in it may be handled, as all goroutines wait for their turn.
	wakeTime = 200 * time.Millisecond
)

// Running notes when a process had processor time, to tell how late it handles what has no time of its own, as signals. It is
// safe for concurrent use.
type Running struct {
	mu sync.Mutex
	// last is the time of the last tick, 0 before the first.
	last Instant
	// pausedAt is the time of the last tick before the last pause, resumedAt that of the first one after it; 0 if there was none.
	pausedAt, resumedAt Instant
}

// Tick notes that the process runs.
func (r *Running) Tick(now Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last != 0 && now.Sub(r.last) >= minPause {
		r.pausedAt, r.resumedAt = r.last, now
	}
	r.last = now
}

// LateBy returns how long ago an event may have happened that the process handles now: before a pause that has just ended it
// would have been handled at once. It returns 0 without such a pause.
func (r *Running) LateBy(now Instant) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.last != 0 && now.Sub(r.last) >= minPause:
		return now.Sub(r.last)
	case r.resumedAt != 0 && now.Sub(r.resumedAt) < wakeTime:
		return now.Sub(r.pausedAt)
	}
	return 0
}

// Run ticks by a clock until ctx ends.
func (r *Running) Run(ctx context.Context, c Clock) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		r.Tick(c.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
