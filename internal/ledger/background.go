package ledger

import (
	"context"
	"sync"
	"time"
)

const (
	// maxBackgroundOperations is the maximum number of concurrent background operations.
	maxBackgroundOperations = 1024
	// backgroundTimeout limits the retries of one background operation.
	backgroundTimeout = 2 * time.Minute
	// minBackgroundDelay and maxBackgroundDelay limit the exponential backoff between retries.
	minBackgroundDelay = 250 * time.Millisecond
	maxBackgroundDelay = 8 * time.Second
)

// backgroundRunner retries operations that no caller waits for, until they succeed, time out or
// the process stops.
type backgroundRunner struct {
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	running int
	closed  bool
	idle    chan struct{}
}

func newBackgroundRunner() *backgroundRunner {
	ctx, stop := context.WithCancel(context.Background())
	return &backgroundRunner{ctx: ctx, stop: stop, idle: make(chan struct{})}
}

// start calls attempt in a new goroutine until it returns true. start returns false without
// calling it if too many operations are running or the runner is closed.
func (b *backgroundRunner) start(attempt func(ctx context.Context) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.running >= maxBackgroundOperations {
		return false
	}
	b.running++
	go func() {
		defer b.finished()
		b.retry(attempt)
	}()
	return true
}

func (b *backgroundRunner) retry(attempt func(ctx context.Context) bool) {
	ctx, cancel := context.WithTimeout(b.ctx, backgroundTimeout)
	defer cancel()
	wait := minBackgroundDelay
	for !attempt(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, maxBackgroundDelay)
	}
}

func (b *backgroundRunner) finished() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if b.closed && b.running == 0 {
		close(b.idle)
	}
}

// close rejects further operations, waits for the running ones until ctx is done, then cancels
// the rest. It is idempotent.
func (b *backgroundRunner) close(ctx context.Context) {
	b.mu.Lock()
	if !b.closed && b.running == 0 {
		close(b.idle)
	}
	b.closed = true
	b.mu.Unlock()
	select {
	case <-b.idle:
	case <-ctx.Done():
	}
	b.stop()
	<-b.idle
}
