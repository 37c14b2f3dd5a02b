package peer

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// serveLimited starts a transport with an echo handler and few connections.
func serveLimited(t *testing.T, ln net.Listener, connections int) *Transport {
	t.Helper()
	tr := New(Options{Self: ident.VM{Name: "server", Incarnation: 1}, Limits: Limits{Connections: connections, PerAddress: connections}})
	tr.Handle(KindOperator, func(_ context.Context, _ ident.VM, body []byte) ([]byte, error) { return body, nil })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tr.Serve(ln)
	}()
	t.Cleanup(func() { tr.Close(); <-ended })
	return tr
}

// callOnce calls the transport at addr from a VM of its own.
func callOnce(t *testing.T, addr net.Addr) error {
	client := New(Options{Self: ident.VM{Name: "client", Incarnation: 7}})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := client.Call(ctx, netip.MustParseAddrPort(addr.String()), KindOperator, []byte{nilByte})
	return err
}

// Guards against strangers that take all connections, so that no VM of the fleet gets one.
func TestSilentConnectionGivesWayToAnotherVM(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const connections = 4
	tr := serveLimited(t, ln, connections)
	hello, err := encodeFrame((&Transport{opts: Options{Self: ident.VM{Name: "stranger", Incarnation: 1}}}).newHello())
	if err != nil {
		t.Fatal(err)
	}
	for range connections {
		nc, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		if _, err := nc.Write(hello); err != nil {
			t.Fatal(err)
		}
		if _, _, err := readFrame(nc, MaxFrameBytes); err != nil { // the server's hello shows that it has read this one
			t.Fatal(err)
		}
	}
	heard := func(at time.Time) {
		tr.mu.Lock()
		defer tr.mu.Unlock()
		for _, g := range tr.accepted {
			if g.conn != nil {
				g.conn.mu.Lock()
				g.conn.lastReceived = at
				g.conn.mu.Unlock()
			}
		}
	}
	heard(time.Now().Add(time.Hour)) // however long the call takes
	if err := callOnce(t, ln.Addr()); err == nil {
		t.Error("a connection gave way that was not silent")
	}
	heard(time.Now().Add(-2 * silentTime))
	if err := callOnce(t, ln.Addr()); err != nil {
		t.Errorf("a VM got no connection: %v", err)
	}
}

// failingListener fails the first accepts for want of descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a listener that ends for good because there was no descriptor for a moment.
func TestListenerGoesOnAfterDescriptorsWereUsedUp(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveLimited(t, &failingListener{ln, 3}, 4)
	if err := callOnce(t, ln.Addr()); err != nil {
		t.Error(err)
	}
}
