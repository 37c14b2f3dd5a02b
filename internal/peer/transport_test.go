package peer_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type echo struct{ Text string }

func startServer(t *testing.T, register func(*peer.Transport)) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tr := peer.New(peer.Options{Self: ident.VM{Name: "server", Incarnation: 1}})
	register(tr)
	go func() { _ = tr.Serve(ln) }()
	t.Cleanup(tr.Close)
	return netip.MustParseAddrPort(ln.Addr().String())
}

func newClient(t *testing.T) *peer.Transport {
	t.Helper()
	tr := peer.New(peer.Options{Self: ident.VM{Name: "client", Incarnation: 7}})
	t.Cleanup(tr.Close)
	return tr
}

func TestCallDeliversSenderAndBody(t *testing.T) {
	addr := startServer(t, func(tr *peer.Transport) {
		peer.Handle(tr, peer.KindOperator, func(_ context.Context, from ident.VM, req *echo) (*echo, error) {
			return &echo{Text: from.Name + ":" + req.Text}, nil
		})
	})
	got, err := peer.Call[echo, echo](t.Context(), newClient(t), addr, peer.KindOperator, &echo{Text: "hello"})
	if err != nil || got.Text != "client:hello" {
		t.Fatalf("Call returned %+v, %v", got, err)
	}
}

func TestFaultDetailsCrossTheConnection(t *testing.T) {
	addr := startServer(t, func(tr *peer.Transport) {
		peer.Handle(tr, peer.KindOperator, func(context.Context, ident.VM, *echo) (*echo, error) {
			return nil, fault.New(fault.PlanExceeded, "wait", "no tokens", fault.WithRetryAfter(time.Second))
		})
	})
	_, err := peer.Call[echo, echo](t.Context(), newClient(t), addr, peer.KindOperator, &echo{})
	d := fault.DetailOf(err)
	if d.Kind != fault.PlanExceeded || d.Remedy != "wait" || d.RetryAfter != time.Second {
		t.Fatalf("error details are %+v", d)
	}
}

func TestCallCancellationCancelsHandlerContext(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	addr := startServer(t, func(tr *peer.Transport) {
		peer.Handle(tr, peer.KindPlace, func(ctx context.Context, _ ident.VM, _ *echo) (*echo, error) {
			close(started)
			<-ctx.Done()
			close(cancelled)
			return nil, ctx.Err()
		})
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := peer.Call[echo, echo](ctx, newClient(t), addr, peer.KindPlace, &echo{})
	if !fault.Is(err, fault.Timeout) {
		t.Fatalf("Call returned error %v", err)
	}
	<-cancelled
}

func TestUnresponsiveConnectionFailsAndNextCallRedials(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- nc
		}
	}()
	tr := newClient(t)
	addr := netip.MustParseAddrPort(ln.Addr().String())
	for range 2 {
		_, err = peer.Call[echo, echo](t.Context(), tr, addr, peer.KindPlace, &echo{})
		if !fault.Is(err, fault.Unavailable) {
			t.Fatalf("Call returned error %v", err)
		}
		defer func(nc net.Conn) { _ = nc.Close() }(<-accepted)
	}
}
