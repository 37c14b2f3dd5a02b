package connpool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/connpool"
)

// TestOnlyConnectionsOpenInTimeCarryARequest guards against a request that is sent over a kept connection which was opened too late,
// or over a new one that its sender has not accepted.
func TestOnlyConnectionsOpenInTimeCarryARequest(t *testing.T) {
	s := startServer(t, func(_ int, r *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, response(r.Header.Get("X-Id"), "x"))
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	start := time.Now()
	if _, err := get(t, p, s.request("GET")); err != nil {
		t.Fatal(err)
	}
	errNotAccepted := errors.New("not accepted")
	awaited := 0
	late := s.requestWithID("GET", "2")
	late.OpenedBefore = start
	late.Await = func(_ context.Context, on *connpool.Conn) error {
		awaited++
		if on.Opened().Before(start) {
			t.Errorf("opened %v before the pool was used", start.Sub(on.Opened()))
		}
		return errNotAccepted
	}
	if _, err := get(t, p, late); !errors.Is(err, errNotAccepted) || connpool.MayHaveSent(err) {
		t.Errorf("error %v", err)
	}
	late.OpenedBefore = time.Now()
	if _, err := get(t, p, late); err != nil {
		t.Errorf("error %v, although a kept connection was open in time", err)
	}
	if n := s.requests.Load(); n != 2 || awaited != 1 {
		t.Errorf("%d requests arrived, %d awaited", n, awaited)
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
			_, _, err := on.Ask(ctx, s.request("GET"), 1)
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
		_, _, err := on.Ask(ctx, s.requestWithID("GET", "0"), 1)
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
		if _, _, err := on.Ask(ctx, s.requestWithID("GET", "0"), 1); err != nil {
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
