package limiter

import "sync"

// pendingCalls matches replies of the state machine with the callers waiting for them.
type pendingCalls struct {
	mu      *sync.Mutex
	next    *uint64
	waiting map[uint64]chan Action
}

func newPendingCalls() pendingCalls {
	return pendingCalls{mu: new(sync.Mutex), next: new(uint64), waiting: map[uint64]chan Action{}}
}

func (c pendingCalls) open() (uint64, <-chan Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*c.next++
	ch := make(chan Action, 1)
	c.waiting[*c.next] = ch
	return *c.next, ch
}

func (c pendingCalls) cancel(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, call)
}

func (c pendingCalls) complete(call uint64, a Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.waiting[call]; ch != nil {
		ch <- a
		delete(c.waiting, call)
	}
}
