package forward

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestForwardedRequestThatTheLastLookHoldsBack guards against requests that reach an endpoint through another VM although one of the two
// knows, when it writes, that the endpoint must not get them any more.
func TestForwardedRequestThatTheLastLookHoldsBack(t *testing.T) {
	for _, at := range []string{"sender", "receiver"} {
		p := newPair(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Errorf("held back at the %s: the request arrived", at) }))
		r := testRequest([]byte("x"))
		if at == "sender" {
			r.LastLook = func(context.Context) error { return errEnded }
		} else {
			p.server.opts.LastLook = func(traffic.EndpointID) error { return errEnded }
		}
		_, err := p.client.Do(t.Context(), p.via, testID, r)
		if err == nil || connpool.MayHaveSent(err) || at == "sender" && !errors.Is(err, errEnded) {
			t.Errorf("held back at the %s: error %v, sent %v", at, err, connpool.MayHaveSent(err))
		}
		if at == "receiver" && !errors.Is(err, backend.ErrHeldBack) {
			t.Errorf("held back at the %s: error %v tells of an endpoint without a path", at, err)
		}
	}
}

// TestArrivalIsWhenTheRequestReachedTheVM guards against time that passes unseen while a request of another VM waits in the socket of one
// that is paused.
func TestArrivalIsWhenTheRequestReachedTheVM(t *testing.T) {
	const pause = 300 * time.Millisecond
	p := newHeldPair(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	arrived := make(chan time.Duration, 1)
	send := p.server.opts.Send
	p.server.opts.Send = func(ctx context.Context, e traffic.Endpoint, r *connpool.Request) (*connpool.Response, error) {
		arrived <- time.Since(r.ArrivedAt)
		return send(ctx, e, r)
	}
	time.AfterFunc(pause, p.listener.Release)
	resp, err := p.client.Do(t.Context(), p.via, testID, testRequest([]byte("x")))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if since := <-arrived; since < pause/2 {
		t.Errorf("the request counts as arrived %v ago, it waited for %v", since, pause)
	}
}
