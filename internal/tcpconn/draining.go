package tcpconn

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DrainingListener is a listener that can be closed without a reset of the connections that the kernel has accepted and
// the process has not.
type DrainingListener struct {
	net.Listener
	// queue is the listener if its queue of accepted connections can be examined, nil otherwise.
	queue    queuingListener
	draining atomic.Bool
}

// queuingListener is implemented by *net.TCPListener.
type queuingListener interface {
	syscall.Conn
	SetDeadline(t time.Time) error
}

// NewDrainingListener returns a DrainingListener that accepts the connections of ln.
func NewDrainingListener(ln net.Listener) *DrainingListener {
	queue, _ := ln.(queuingListener)
	return &DrainingListener{Listener: ln, queue: queue}
}

// Drain makes Accept return the connections that the kernel has accepted, then close the listener and return
// net.ErrClosed. It does not wait for that.
func (l *DrainingListener) Drain() {
	l.draining.Store(true)
	if l.queue == nil || l.queue.SetDeadline(time.Unix(1, 0)) != nil {
		_ = l.Close()
	}
}

// Accept implements net.Listener.
func (l *DrainingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return nc, err
	}
	if !l.queued() {
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	// Accept looks at the deadline before it looks at the queue.
	if err := l.queue.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	nc, err = l.Listener.Accept()
	_ = l.queue.SetDeadline(time.Unix(1, 0)) // fails only if the listener is closed, which the next call returns
	return nc, err
}

// queued reports whether the kernel has accepted a connection that the process has not.
func (l *DrainingListener) queued() (queued bool) {
	raw, err := l.queue.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		queued = err == nil && n > 0
	})
	return queued && err == nil
}
