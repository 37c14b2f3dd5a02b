package connpool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/fulmartide/fulmartide/internal/connpool"
)

// TestOnlyAcceptedConnectionsCarryARequest guards against a request that is sent over a kept connection to another lifetime, or over one
// that its sender has not accepted, whenever it was opened.
func TestOnlyAcceptedConnectionsCarryARequest(t *testing.T) {
	s := startServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, response(r.Header.Get("X-Id"), "x"))
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	if _, err := get(t, p, s.request("GET")); err != nil {
		t.Fatal(err)
	}
	errNotAccepted := errors.New("not accepted")
	awaited, leadsTo := 0, int64(0)
	send := func(id string, lifetime int64, any bool) error {
		r := s.requestWithID("GET", id)
		r.Lifetime, r.AnyLifetime = lifetime, any
		r.Await = func(_ context.Context, on *connpool.Conn) error {
			awaited++
			if on.SetLifetime(leadsTo); leadsTo == 0 {
				return errNotAccepted
			}
			return nil
		}
		_, err := get(t, p, r)
		return err
	}
	if err := send("2", 7, false); !errors.Is(err, errNotAccepted) || connpool.MayHaveSent(err) {
		t.Errorf("error %v", err)
	}
	leadsTo = 7
	if err := errors.Join(send("3", 7, false), send("4", 7, false), send("5", 0, true)); err != nil || awaited != 2 {
		t.Errorf("error %v, awaited %d times", err, awaited)
	}
	leadsTo = 0
	if err := send("6", 8, false); !errors.Is(err, errNotAccepted) || awaited != 3 {
		t.Errorf("error %v on a connection to another lifetime, awaited %d times", err, awaited)
	}
	if n := s.requests.Load(); n != 4 {
		t.Errorf("%d requests arrived", n)
	}
}

// TestRequestIsSentOnAnotherConnectionAfterAFailedQuestion guards against requests that fail as an endpoint does not answer a question that
// they can do without, and against questions without end.
func TestRequestIsSentOnAnotherConnectionAfterAFailedQuestion(t *testing.T) {
	s := startServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		if r.Header.Get("X-Id") == "0" {
			return false
		}
		_, err := io.WriteString(c, response(r.Header.Get("X-Id"), "x"))
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	for _, questions := range []int{1, 1 << 10} {
		asked := 0
		r := s.requestWithID("GET", "2")
		r.Await = func(ctx context.Context, on *connpool.Conn) error {
			if asked++; asked <= questions {
				_, _ = on.Ask(ctx, s.requestWithID("GET", "0"), 1)
			}
			return nil
		}
		if _, err := get(t, p, r); (err == nil) != (questions == 1) || err != nil && connpool.MayHaveSent(err) || asked > 4 {
			t.Errorf("error %v after %d questions", err, asked)
		}
	}
}

// TestConnectionClosedWhileARequestWaits guards against requests that fail because the endpoint closed a kept connection while they
// awaited their acceptance on it.
func TestConnectionClosedWhileARequestWaits(t *testing.T) {
	var kept atomic.Pointer[net.Conn]
	s := startServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		kept.Store(&c)
		_, err := io.WriteString(c, response(r.Header.Get("X-Id"), "x"))
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	for _, asks := range []bool{false, true} {
		if _, err := get(t, p, s.request("GET")); err != nil {
			t.Fatal(err)
		}
		waits := s.requestWithID("GET", "2")
		awaited := 0
		waits.Await = func(ctx context.Context, on *connpool.Conn) error {
			if awaited++; awaited > 1 {
				return nil
			}
			_ = (*kept.Load()).Close()
			if !asks {
				return nil
			}
			_, err := on.Ask(ctx, s.request("GET"), 1)
			return err
		}
		if _, err := get(t, p, waits); err != nil || awaited != 2 {
			t.Errorf("asks: %t, error %v, awaited on %d connections", asks, err, awaited)
		}
	}
}

// TestNewConnectionCarriesARequestAfterAnAnswer guards against requests that are never sent because the new connection on which another
// one was answered first counts as expired.
func TestNewConnectionCarriesARequestAfterAnAnswer(t *testing.T) {
	s := startServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, response(r.Header.Get("X-Id"), "x"))
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	r := s.request("GET")
	r.Await = func(ctx context.Context, on *connpool.Conn) error {
		_, err := on.Ask(ctx, s.requestWithID("GET", "0"), 1)
		return err
	}
	if _, err := get(t, p, r); err != nil || s.requests.Load() != 2 || s.accepted.Load() != 1 {
		t.Errorf("error %v, %d requests arrived on %d connections", err, s.requests.Load(), s.accepted.Load())
	}
}

// TestSecondAttemptHasAnotherConnectionAfterAQuestion guards against a late copy of the answer to the first attempt of a request that is
// taken for the answer to the second one, on a connection on which another request was answered between them.
func TestSecondAttemptHasAnotherConnectionAfterAQuestion(t *testing.T) {
	s := startServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, response(r.Header.Get("X-Id"), "x"))
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	if _, err := get(t, p, s.request("GET")); err != nil {
		t.Fatal(err)
	}
	errNotAccepted := errors.New("not accepted")
	other := s.requestWithID("GET", "2")
	other.Await = func(ctx context.Context, on *connpool.Conn) error {
		if _, err := on.Ask(ctx, s.requestWithID("GET", "0"), 1); err != nil {
			t.Error(err)
		}
		return errNotAccepted
	}
	if _, err := get(t, p, other); !errors.Is(err, errNotAccepted) {
		t.Fatal(err)
	}
	if _, err := get(t, p, s.request("GET")); err != nil || s.accepted.Load() != 2 {
		t.Errorf("error %v, two attempts used %d connections", err, s.accepted.Load())
	}
}
