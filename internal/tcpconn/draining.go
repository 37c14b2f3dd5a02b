package tcpconn

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// DrainingListener is a listener that can be closed without a reset of the connections that the kernel has accepted and
// the process has not.
type DrainingListener struct {
	net.Listener
	// deadliner is the listener if Accept can be interrupted, nil otherwise.
	deadliner deadliner
	draining  atomic.Bool
	// taken is the number of connections accepted since Drain was called.
	taken int
}

// deadliner is implemented by *net.TCPListener.
type deadliner interface{ SetDeadline(t time.Time) error }

const (
	// acceptTimeout limits the wait for a connection that the kernel has reported and that has gone meanwhile.
	acceptTimeout = time.Second
	// maxQueue is the largest accept queue of the kernel (net.core.somaxconn). Connections beyond it were opened after Drain.
	maxQueue = 4096
)

// NewDrainingListener returns a DrainingListener that accepts the connections of ln.
func NewDrainingListener(ln net.Listener) *DrainingListener {
	d, _ := ln.(deadliner)
	return &DrainingListener{Listener: ln, deadliner: d}
}

// Drain makes Accept return the connections that the kernel has accepted, then close the listener and return
// net.ErrClosed. It does not wait for that.
func (l *DrainingListener) Drain() {
	l.draining.Store(true)
	if l.deadliner == nil || l.deadliner.SetDeadline(past) != nil {
		_ = l.Close()
	}
}

// past is a deadline that interrupts Accept.
var past = time.Unix(1, 0)

// Draining reports whether Drain has been called.
func (l *DrainingListener) Draining() bool { return l.draining.Load() }

// Accept implements net.Listener. It must not be called concurrently.
func (l *DrainingListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err == nil && l.draining.Load() && l.deadliner != nil {
			l.taken++
			err = l.deadliner.SetDeadline(past)
		}
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nc, err
		}
		if l.taken >= maxQueue || !l.endUnlessQueued() {
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		// Accept looks at the deadline before it looks at the queue.
		if err := l.deadliner.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
			return nil, err
		}
	}
}

// endUnlessQueued makes the kernel accept no more connections, unless it may have accepted one that the process has not. It reports
// whether there may be one.
func (l *DrainingListener) endUnlessQueued() (queued bool) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) { queued = pollOrShutdown(fd) })
	return err == nil && queued
}

// pollOrShutdown reports whether a connection waits in the queue of a listening socket, and shuts the socket down if none does. Raw
// system calls keep the processor, as in recvOrShutdown.
func pollOrShutdown(fd uintptr) (queued bool) {
	fds, noWait := unix.PollFd{Fd: int32(fd), Events: unix.POLLIN}, unix.Timespec{}
	ready, _, errno := unix.RawSyscall6(unix.SYS_PPOLL, uintptr(unsafe.Pointer(&fds)), 1, uintptr(unsafe.Pointer(&noWait)), 0, 0, 0)
	if errno == 0 && ready > 0 {
		return true
	}
	_, _, _ = unix.RawSyscall(unix.SYS_SHUTDOWN, fd, unix.SHUT_RDWR, 0) // the listener is closed in any case
	return false
}
