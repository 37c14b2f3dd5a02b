package connbudget

import "time"

// Account is what one connection holds of a budget. It is safe for concurrent use.
type Account struct {
	budget   *Budget
	listener string
	evict    func()

	// held is the reserved memory in bytes, waiting is set while the connection has no call in progress, since is when that began.
	held    int64
	waiting bool
	since   time.Time
	// ended is set once evict has been called, closed once the connection is gone.
	ended, closed bool
}

func (a *Account) name() string {
	if a == nil {
		return "peers"
	}
	return a.listener
}

// endable reports whether the connection may be ended. The budget's mu must be held.
func (a *Account) endable() bool { return a.waiting && !a.ended }

// Reserve takes n more bytes and reports whether there was room; if not, the connection is to be closed.
func (a *Account) Reserve(n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.ended || a.closed || !b.makeRoom(n, a) {
		return false
	}
	b.used += n
	a.held += n
	return true
}

// Release gives back n bytes.
func (a *Account) Release(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(n)
}

// release gives back n bytes. The budget's mu must be held.
func (a *Account) release(n int64) {
	n = min(n, a.held)
	a.budget.used -= n
	a.held -= n
}

// Reset gives back all but ConnectionBytes, when a request has been answered.
func (a *Account) Reset() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(max(0, a.held-ConnectionBytes))
}

// Wait notes that the connection has no call in progress from now on, and may be ended to make room.
func (a *Account) Wait() { a.setWaiting(true) }

// Serve notes that a call is in progress, so that the connection is not ended. It reports false if it has been told to end before.
func (a *Account) Serve() bool { return a.setWaiting(false) }

func (a *Account) setWaiting(waiting bool) bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waiting, a.since = waiting, time.Now()
	return !a.ended
}

// Close gives back what is held. It may be called more than once.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.release(a.held)
	a.closed = true
	delete(b.accounts, a)
	if a.ended {
		b.ending--
	}
}
