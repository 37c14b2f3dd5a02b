package logging

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/fulmartide/fulmartide/internal/notify"
)

// Async is a buffered writer whose Write never blocks: a goroutine passes the lines to the underlying
// writer. Lines that do not fit in the buffer are dropped and counted.
type Async struct {
	w        io.Writer
	maxBytes int
	dropped  atomic.Uint64

	mu      sync.Mutex
	pending []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsync starts a writer that buffers up to limit bytes.
func NewAsync(w io.Writer, limit int) *Async {
	a := &Async{w: w, maxBytes: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write buffers a line, or drops it if the buffer is full or closed. It never blocks.
func (a *Async) Write(p []byte) (int, error) {
	a.mu.Lock()
	if a.closed || len(a.pending)+len(p) > a.maxBytes {
		a.mu.Unlock()
		a.dropped.Add(1)
		return len(p), nil
	}
	a.pending = append(a.pending, p...)
	a.mu.Unlock()
	a.signal()
	return len(p), nil
}

func (a *Async) signal() { notify.Signal(a.wake) }

// Dropped returns the number of dropped lines. A failed write of the buffer counts as one.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// Close writes the buffered lines and stops the goroutine.
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
