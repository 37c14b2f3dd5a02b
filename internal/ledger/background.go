package ledger

import (
	"context"
	"sync"
	"time"
)

const (
	// maxBackground is the most operations that are recorded in the background at once.
	maxBackground = 1024
	// backgroundLimit is how long one of them is tried.
	backgroundLimit = 2 * time.Minute
	// againFirst and againLast bound the growing time between its tries.
	againFirst = 250 * time.Millisecond
	againLast  = 8 * time.Second
)

// background runs operations that nobody waits for until they are done, too old, or the
// process stops.
type background struct {
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	running int
	closed  bool
	idle    chan struct{}
}

func newBackground() *background {
	ctx, stop := context.WithCancel(context.Background())
	return &background{ctx: ctx, stop: stop, idle: make(chan struct{})}
}

// start runs try again and again until it reports true. It reports false, having done
// nothing, when too many run or the process stops.
func (b *background) start(try func(ctx context.Context) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.running >= maxBackground {
		return false
	}
	b.running++
	go func() {
		defer b.done()
		b.repeat(try)
	}()
	return true
}

func (b *background) repeat(try func(ctx context.Context) bool) {
	ctx, cancel := context.WithTimeout(b.ctx, backgroundLimit)
	defer cancel()
	wait := againFirst
	for !try(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, againLast)
	}
}

func (b *background) done() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if b.closed && b.running == 0 {
		close(b.idle)
	}
}

// close takes no more operations, waits until ctx ends for those that run, and ends them. It is
// idempotent.
func (b *background) close(ctx context.Context) {
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
