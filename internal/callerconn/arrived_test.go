package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// lookedAtConn calls looked each time its owner has looked at what has arrived on the socket.
type lookedAtConn struct {
	net.Conn
	looked func()
}

// SyscallConn implements syscall.Conn.
func (c *lookedAtConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return &lookedAtSocket{raw, c.looked}, err
}

type lookedAtSocket struct {
	syscall.RawConn
	looked func()
}

// Control implements syscall.RawConn.
func (s *lookedAtSocket) Control(f func(fd uintptr)) error {
	defer s.looked()
	return s.RawConn.Control(f)
}

type lookedAtListener struct {
	net.Listener
	looked func()
}

// Accept implements net.Listener.
func (l *lookedAtListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lookedAtConn{c, l.looked}, nil
}

// TestIdleConnectionEndsWithTheLookAtWhatHasArrived guards against requests that arrive, and are lost, while the goroutine that has
// found nothing on an idle connection waits for processor time before it ends the connection.
func TestIdleConnectionEndsWithTheLookAtWhatHasArrived(t *testing.T) {
	const idleTimeout = 20 * time.Millisecond
	tcp := listenTCP(t)
	var caller net.Conn
	answered, result := make(chan struct{}), make(chan error, 1)
	l := &lookedAtListener{tcp, func() {
		<-answered
		_ = caller.SetReadDeadline(time.Now().Add(time.Second)) // reached only if the connection is still open
		_, err := caller.Read(make([]byte, 1))
		select {
		case result <- err:
		default:
		}
	}}
	s := serveWith(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, l,
		Options{IdleTimeout: func() time.Duration { return idleTimeout }})
	defer func() { _ = s.Close() }()
	caller = dialTCP(t, tcp)
	send(t, caller)
	checkAnswer(t, caller, "the first request")
	close(answered)
	if err := <-result; !errors.Is(err, io.EOF) {
		t.Errorf("the caller could still send a request after the last look: %v", err)
	}
}
