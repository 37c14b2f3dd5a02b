// Package heldlistener provides a listener of a process that gets no processor time: the kernel accepts connections, the
// process does not.
package heldlistener

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// Listener accepts no connection before Release is called.
type Listener struct {
	*net.TCPListener
	released, stopped chan struct{}
	release, stop     sync.Once
}

// Listen listens on a free port of 127.0.0.1.
func Listen() (*Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: ln.(*net.TCPListener), released: make(chan struct{}), stopped: make(chan struct{})}, nil
}

// AddrPort returns the address of the listener.
func (l *Listener) AddrPort() netip.AddrPort { return l.TCPListener.Addr().(*net.TCPAddr).AddrPort() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Release makes Accept return connections.
func (l *Listener) Release() { l.release.Do(func() { close(l.released) }) }

// Stopped returns a channel that is closed once the server has begun to stop: when it closes the listener or sets its
// deadline.
func (l *Listener) Stopped() <-chan struct{} { return l.stopped }

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.stop.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// SetDeadline sets the deadline of Accept.
func (l *Listener) SetDeadline(t time.Time) error {
	defer l.stop.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(t)
}
