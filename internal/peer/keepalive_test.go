package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/test/faultproxy"
)

// TestShortCallsDetectUnresponsiveConnection checks that calls with a timeout below
// InactivityTimeout do not keep a permanently unresponsive connection open.
func TestShortCallsDetectUnresponsiveConnection(t *testing.T) {
	addr := startServer(t, func(tr *peer.Transport) {
		peer.Handle(tr, peer.KindOperator, func(_ context.Context, _ ident.VM, req *echo) (*echo, error) { return req, nil })
	})
	proxy, err := faultproxy.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	tr := newClient(t)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), peer.InactivityTimeout/5)
		defer cancel()
		_, err := peer.Call[echo, echo](ctx, tr, proxy.Addr(), peer.KindOperator, &echo{Text: "x"})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	// From here on, the proxy forwards nothing on the open connection, without closing it.
	proxy.Forget()
	for start := time.Now(); call() != nil; {
		if time.Since(start) > 4*peer.InactivityTimeout {
			t.Fatal("the unresponsive connection is still in use")
		}
	}
}
