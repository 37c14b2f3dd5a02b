package tcpconn

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// lookedAtListener calls looked each time its owner has looked at its queue.
type lookedAtListener struct {
	*net.TCPListener
	looked func()
}

// SyscallConn implements syscall.Conn.
func (l *lookedAtListener) SyscallConn() (syscall.RawConn, error) {
	raw, err := l.TCPListener.SyscallConn()
	return &lookedAtSocket{raw, l.looked}, err
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

// TestDrainedListenerEndsWithTheLookAtItsQueue guards against connections that are established, and reset, while the goroutine that has
// found the queue empty waits for processor time before it closes the listener.
func TestDrainedListenerEndsWithTheLookAtItsQueue(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	looks := 0
	l := NewDrainingListener(&lookedAtListener{tcp, func() {
		looks++
		if c, err := net.Dial("tcp", tcp.Addr().String()); err == nil {
			t.Error("a connection was established after the last look")
			_ = c.Close()
		}
	}})
	l.Drain()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v, want that the listener is closed", err)
	}
	if looks != 1 {
		t.Errorf("%d looks at the queue, want 1", looks)
	}
}
