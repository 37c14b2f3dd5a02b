package limiter

import "sync"

// calls joins inputs of the machine to those that wait for their replies.
type calls struct {
	mu   *sync.Mutex
	next *uint64
	wait map[uint64]chan Action
}

func newCalls() calls {
	return calls{mu: new(sync.Mutex), next: new(uint64), wait: map[uint64]chan Action{}}
}

func (c calls) open() (uint64, <-chan Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*c.next++
	ch := make(chan Action, 1)
	c.wait[*c.next] = ch
	return *c.next, ch
}

func (c calls) drop(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.wait, call)
}

func (c calls) answer(call uint64, a Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.wait[call]; ch != nil {
		ch <- a
		delete(c.wait, call)
	}
}
