package tcpconn

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// DrainingListener is a listener that can be closed without a reset of the connections that the kernel has accepted and
// the process has not.
type DrainingListener struct {
	net.Listener
	// deadliner is the listener if Accept can be interrupted, nil otherwise.
	deadliner deadliner
	draining  atomic.Bool
}

// deadliner is implemented by *net.TCPListener.
type deadliner interface{ SetDeadline(t time.Time) error }

// acceptQueueWait is how long Accept waits for a connection that the kernel has accepted, once the listener is draining.
const acceptQueueWait = time.Millisecond

// NewDrainingListener returns a DrainingListener that accepts the connections of ln.
func NewDrainingListener(ln net.Listener) *DrainingListener {
	d, _ := ln.(deadliner)
	return &DrainingListener{Listener: ln, deadliner: d}
}

// Drain makes Accept return the connections that the kernel has accepted, then close the listener and return
// net.ErrClosed. It does not wait for that.
func (l *DrainingListener) Drain() {
	l.draining.Store(true)
	if l.deadliner == nil || l.deadliner.SetDeadline(time.Unix(1, 0)) != nil {
		_ = l.Close()
	}
}

// Draining reports whether Drain has been called.
func (l *DrainingListener) Draining() bool { return l.draining.Load() }

// Accept implements net.Listener.
func (l *DrainingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return nc, err
	}
	// Accept looks at the deadline before it looks at the queue, so the queue is only tried with a later one.
	if err := l.deadliner.SetDeadline(time.Now().Add(acceptQueueWait)); err != nil {
		return nil, err
	}
	if nc, err = l.Listener.Accept(); err == nil {
		_ = l.deadliner.SetDeadline(time.Unix(1, 0)) // fails only if the listener is closed, which the next call returns
		return nc, nil
	}
	return nil, errors.Join(net.ErrClosed, l.Close())
}
