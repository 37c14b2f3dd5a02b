package tcpconn

import (
	"net"
	"os"
	"testing"
	"time"
)

// pausedListener is a listener of a process that gets no processor time for a while after each change of the deadline.
type pausedListener struct {
	*net.TCPListener
	pause time.Duration
}

func (l *pausedListener) SetDeadline(t time.Time) error {
	defer time.Sleep(l.pause)
	return l.TCPListener.SetDeadline(t)
}

// TestDrainAcceptsConnectionsInPausedProcess guards against connections that are reset because the process got no processor
// time between setting the deadline of Accept and calling it.
func TestDrainAcceptsConnectionsInPausedProcess(t *testing.T) {
	const waiting = 3
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewDrainingListener(&pausedListener{TCPListener: ln.(*net.TCPListener), pause: 5 * time.Millisecond})
	for range waiting {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
	}
	l.Drain()
	for i := range waiting {
		nc, err := l.Accept()
		if err != nil {
			t.Fatalf("connection %d of %d in the accept queue: %v", i+1, waiting, err)
		}
		defer func() { _ = nc.Close() }()
	}
}

// busyListener always has a further connection in its queue.
type busyListener struct {
	net.Listener
	deadline time.Time
}

func (l *busyListener) SetDeadline(t time.Time) error {
	l.deadline = t
	return nil
}

func (l *busyListener) Accept() (net.Conn, error) {
	if !l.deadline.IsZero() && time.Now().After(l.deadline) {
		return nil, os.ErrDeadlineExceeded
	}
	near, far := net.Pipe()
	return near, far.Close()
}

func (l *busyListener) Close() error { return nil }

// TestDrainEndsWhileCallersKeepConnecting guards against a listener that stays open, and a stop that does not begin, while callers open
// connections without a pause.
func TestDrainEndsWhileCallersKeepConnecting(t *testing.T) {
	const most = 1 << 16 // far more than the queue of a listener holds
	l := NewDrainingListener(&busyListener{})
	l.Drain()
	for range most {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		_ = nc.Close()
	}
	t.Errorf("%d connections accepted since Drain", most)
}
