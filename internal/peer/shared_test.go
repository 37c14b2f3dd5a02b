package peer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// countingListener counts the accepted connections.
type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// vm is a transport that advertises its address and answers calls with its name.
type vm struct {
	*peer.Transport
	addr     netip.AddrPort
	listener *countingListener
	// served is closed when the listener is closed.
	served chan struct{}
}

func startVM(t *testing.T, self ident.VM, addr string) *vm {
	t.Helper()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	v := &vm{addr: netip.MustParseAddrPort(ln.Addr().String()), listener: &countingListener{Listener: ln}, served: make(chan struct{})}
	v.Transport = peer.New(peer.Options{Self: self, Advertise: v.addr})
	peer.Handle(v.Transport, peer.KindOperator, func(_ context.Context, from ident.VM, _ *echo) (*echo, error) {
		return &echo{Text: from.Name}, nil
	})
	go func() {
		defer close(v.served)
		_ = v.Serve(v.listener)
	}()
	t.Cleanup(v.Close)
	return v
}

func (v *vm) mustCall(t *testing.T, to *vm) {
	t.Helper()
	if _, err := peer.Call[echo, echo](t.Context(), v.Transport, to.addr, peer.KindOperator, &echo{}); err != nil {
		t.Fatal(err)
	}
}

// TestBothSidesUseOneConnection checks that a VM answers on, and sends on, the connection that another
// VM has dialed.
func TestBothSidesUseOneConnection(t *testing.T) {
	a := startVM(t, ident.VM{Name: "a", Incarnation: 1}, "127.0.0.1:0")
	b := startVM(t, ident.VM{Name: "b", Incarnation: 1}, "127.0.0.1:0")
	a.mustCall(t, b)
	b.mustCall(t, a)
	a.mustCall(t, b)
	if n := a.listener.accepted.Load(); n != 0 {
		t.Errorf("a accepted %d connections, want none: b has one already", n)
	}
	if n := b.listener.accepted.Load(); n != 1 {
		t.Errorf("b accepted %d connections, want 1", n)
	}
}

// TestRestartedVMReplacesItsConnection checks that messages to a VM that has restarted do not wait for
// the connection of its earlier incarnation to time out.
func TestRestartedVMReplacesItsConnection(t *testing.T) {
	a := startVM(t, ident.VM{Name: "a", Incarnation: 1}, "127.0.0.2:0") // no other socket takes a port of it
	b := startVM(t, ident.VM{Name: "b", Incarnation: 1}, "127.0.0.1:0")
	b.mustCall(t, a)
	a.Close()
	<-a.served
	restarted := startVM(t, ident.VM{Name: "a", Incarnation: 2}, a.addr.String())
	restarted.mustCall(t, b)
	b.mustCall(t, restarted)
	if n := restarted.listener.accepted.Load(); n != 0 {
		t.Errorf("the restarted VM accepted %d connections, want none", n)
	}
}

// TestSimultaneousDialsLoseNoMessage has pairs of VMs call each other at the same time, as in a fleet that
// starts: neither side may close the connection that the other one has begun to use.
func TestSimultaneousDialsLoseNoMessage(t *testing.T) {
	const pairs, calls = 40, 5
	var wg sync.WaitGroup
	for range pairs {
		a := startVM(t, ident.VM{Name: "a", Incarnation: 1}, "127.0.0.1:0")
		b := startVM(t, ident.VM{Name: "b", Incarnation: 1}, "127.0.0.1:0")
		for _, way := range [][2]*vm{{a, b}, {b, a}} {
			wg.Go(func() {
				for range calls {
					if _, err := peer.Call[echo, echo](t.Context(), way[0].Transport, way[1].addr, peer.KindOperator, &echo{}); err != nil {
						t.Error(err)
					}
				}
			})
		}
	}
	wg.Wait()
}
