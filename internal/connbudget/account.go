package connbudget

import "time"

// Account is what one connection holds of a budget. It is safe for concurrent use.
type Account struct {
	budget   *Budget
	listener string
	evict    func() (closed bool)

	// held is the reserved memory in bytes, waiting is set while the connection has no call in progress, since is when that began.
	held    int64
	waiting bool
	// base is the part of held that stays as long as the connection.
	base int64
	// parsed is set once Serve has been called for a request.
	parsed bool
	since  time.Time
	// ended is set once evict has been called, closed once the connection is gone.
	ended, closed bool
}

// data returns what the connection holds for the time being. The budget's mu must be held.
func (a *Account) data() int64 { return a.held - a.base }

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

// Raise takes n more bytes for as long as the connection lasts, and reports whether there was room.
func (a *Account) Raise(n int64) bool {
	if !a.Reserve(n) {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.base += n
	return true
}

// Keep gives back all but what the connection holds for as long as it lasts and n bytes.
func (a *Account) Keep(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.release(max(0, a.held-a.base-n))
}

// Hold makes n the bytes that the connection holds besides those that it holds as long as it lasts, and reports whether there was room. An end
// that was undone has given back what a head took; it is taken again here.
func (a *Account) Hold(n int64) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := n - a.data()
	if more <= 0 {
		a.release(-more)
		return true
	}
	if a.ended || a.closed || !b.makeRoom(more, a) {
		return false
	}
	b.used += more
	a.held += more
	return true
}

// Wait notes that the connection has no call in progress from now on, and may be ended to make room.
func (a *Account) Wait() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waiting, a.parsed, a.since = true, false, time.Now()
}

// Receive notes that a request has begun to arrive. If the connection has been told to end, that no longer holds: the caller must then undo
// what evict has done. Receive reports whether it must.
func (a *Account) Receive() (undo bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waiting, a.parsed, a.since = true, false, time.Now()
	return a.resume()
}

// MayEnd notes that the call of the request that is served has not begun, as its body still arrives, or is over, so that the connection
// may be ended. It counts as waiting since Serve was called first.
func (a *Account) MayEnd() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.waiting = true
}

// Serve notes that a call is in progress, so that the connection is not ended. It reports the same as Receive.
func (a *Account) Serve() (undo bool) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.parsed {
		a.since = time.Now()
	}
	a.waiting, a.parsed = false, true
	return a.resume()
}

// resume makes a connection go on that has been told to end, and reports whether it had been. Another one ends in its place if there
// are many of them. The budget's mu must be held.
func (a *Account) resume() bool {
	if !a.ended || a.closed {
		return false
	}
	a.ended = false
	a.budget.ending--
	a.held = a.base
	a.budget.used += a.held
	a.budget.shrink(a)
	return true
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
