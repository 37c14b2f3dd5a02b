package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

// Async hands lines to a writer in a goroutine of its own, so that no caller waits for it. It
// holds a bounded number of bytes; lines beyond it are dropped and counted.
type Async struct {
	w       io.Writer
	limit   int
	dropped atomic.Uint64

	mu      sync.Mutex
	pending []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsync starts a writer that holds up to limit bytes.
func NewAsync(w io.Writer, limit int) *Async {
	a := &Async{w: w, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write takes a line, or drops it when the bound is reached. It never waits.
func (a *Async) Write(p []byte) (int, error) {
	a.mu.Lock()
	if a.closed || len(a.pending)+len(p) > a.limit {
		a.mu.Unlock()
		a.dropped.Add(1)
		return len(p), nil
	}
	a.pending = append(a.pending, p...)
	a.mu.Unlock()
	a.signal()
	return len(p), nil
}

func (a *Async) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Dropped gives the number of lines that were dropped.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes what is pending and ends the goroutine.
func (a *Async) Close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.signal()
	<-a.done
}

func (a *Async) run() {
	defer close(a.done)
	var spare []byte
	for range a.wake {
		a.mu.Lock()
		out, closed := a.pending, a.closed
		a.pending = spare[:0]
		a.mu.Unlock()
		if _, err := a.w.Write(out); err != nil {
			a.dropped.Add(1)
		}
		spare = out
		if closed {
			return
		}
	}
}
