package tcpconn

import (
	"errors"
	"net"
	"testing"
)

// TestDrainAcceptsWhatTheKernelHasAccepted guards against connections that are reset because the listener is closed before
// the process has accepted them.
func TestDrainAcceptsWhatTheKernelHasAccepted(t *testing.T) {
	const waiting = 3
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewDrainingListener(ln)
	for range waiting {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
	}
	l.Drain()
	for range waiting {
		nc, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v after the last connection, want %v", err, net.ErrClosed)
	}
	if _, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		t.Error("the listener is still open")
	}
}

// TestDrainEndsAnAcceptInProgress guards against a listener that stays open because no connection comes.
func TestDrainEndsAnAcceptInProgress(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := NewDrainingListener(ln)
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	l.Drain()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v, want %v", err, net.ErrClosed)
	}
}

// acceptedOnDrain is a listener without deadlines, whose Accept returns a connection as Drain closes it.
type acceptedOnDrain struct{ closed chan struct{} }

func (l acceptedOnDrain) Accept() (net.Conn, error) {
	<-l.closed
	near, _ := net.Pipe()
	return near, nil
}

func (l acceptedOnDrain) Close() error {
	close(l.closed)
	return nil
}

func (l acceptedOnDrain) Addr() net.Addr { return &net.TCPAddr{} }

// TestDrainOfAListenerWithoutDeadlines guards against a panic when a listener without deadlines has accepted a connection as it is
// closed.
func TestDrainOfAListenerWithoutDeadlines(t *testing.T) {
	l := NewDrainingListener(acceptedOnDrain{make(chan struct{})})
	l.Drain()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = nc.Close()
}
