package callerconn

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// acceptQueueWait is how long a listener that is being closed waits for a connection that is already established.
const acceptQueueWait = time.Millisecond

// listener accepts tracked connections. Before it closes it accepts those that are established: closing resets them.
type listener struct {
	net.Listener
	server  *Server
	closing atomic.Bool
	// closed is closed once the listener accepts no more connections.
	closed    chan struct{}
	closeOnce sync.Once
}

func newListener(ln net.Listener, s *Server) *listener {
	return &listener{Listener: ln, server: s, closed: make(chan struct{})}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closing.Store(true)
	err := l.Listener.Close()
	l.closeOnce.Do(func() { close(l.closed) })
	return err
}

// deadliner is implemented by listeners of TCP.
type deadliner interface{ SetDeadline(time.Time) error }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil && l.closing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		nc, err = l.acceptEstablished()
	}
	if err != nil {
		return nil, err
	}
	return l.server.track(nc), nil
}

// acceptEstablished accepts one more connection that is established, or closes the listener.
func (l *listener) acceptEstablished() (net.Conn, error) {
	d, _ := l.Listener.(deadliner)
	err := d.SetDeadline(time.Now().Add(acceptQueueWait))
	if err == nil {
		var nc net.Conn
		if nc, err = l.Listener.Accept(); err == nil {
			return nc, d.SetDeadline(time.Now())
		}
	}
	return nil, errors.Join(net.ErrClosed, err, l.Close())
}

// stop closes the listener once no established connection is left to accept, at the latest when ctx ends.
func (l *listener) stop(ctx context.Context) error {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return l.Close()
	}
	l.closing.Store(true)
	if err := d.SetDeadline(time.Now()); err != nil {
		return errors.Join(err, l.Close())
	}
	select {
	case <-l.closed:
		return nil
	case <-ctx.Done():
		return l.Close()
	}
}
