package peer_test

import (
	"context"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/test/faultproxy"
)

// TestShortCallsFindASilentConnection: calls with less time than SilenceLimit must not keep
// a connection alive that went silent for good.
func TestShortCallsFindASilentConnection(t *testing.T) {
	addr := serve(t, func(tr *peer.Transport) {
		peer.Handle(tr, peer.KindOperator, func(_ context.Context, _ ident.VM, req *echo) (*echo, error) { return req, nil })
	})
	proxy, err := faultproxy.Listen(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	tr := client(t)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), peer.SilenceLimit/5)
		defer cancel()
		_, err := peer.Call[echo, echo](ctx, tr, proxy.Addr(), peer.KindOperator, &echo{Text: "x"})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	proxy.Forget()
	for begin := time.Now(); call() != nil; {
		if time.Since(begin) > 4*peer.SilenceLimit {
			t.Fatal("the silent connection is still in use")
		}
	}
}
