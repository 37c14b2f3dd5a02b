package connpool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/connpool"
)

// unnamedAnswer is an answer that names no request.
const unnamedAnswer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// TestUnnamedBytesAreNotTheNextAnswer guards against additional bytes of an endpoint, sent once the next request has arrived,
// that are taken for the answer to that request.
func TestUnnamedBytesAreNotTheNextAnswer(t *testing.T) {
	s := startServer(t, func(n int, r *http.Request, c net.Conn) bool {
		answer := response(r.Header.Get("X-Id"), "own")
		if n == 2 {
			answer = unnamedAnswer + answer
		}
		_, err := io.WriteString(c, answer)
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	for i, id := range []string{"1", "2", "3"} {
		if body, err := get(t, p, s.requestWithID("GET", id)); err != nil || body != "own" {
			t.Errorf("request %s: body %q, error %v", id, body, err)
		}
		if want := int32(1 + i/2); s.accepted.Load() != want {
			t.Errorf("%d connections after request %s, %d wanted: the one with additional bytes is not used again", s.accepted.Load(), id, want)
		}
	}
}

// TestUnnamedAnswerIsTakenByTheFirstRequest guards against rejections that are lost because they name no request, on connections that
// have carried no other.
func TestUnnamedAnswerIsTakenByTheFirstRequest(t *testing.T) {
	s := startServer(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, unnamedAnswer)
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	for _, id := range []string{"1", "2"} {
		resp, err := p.Do(t.Context(), s.requestWithID("POST", id))
		if err != nil || resp.Status != http.StatusServiceUnavailable {
			t.Fatalf("request %s: %v, error %v", id, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp)
		_ = resp.Close()
	}
	if n := s.accepted.Load(); n != 2 {
		t.Errorf("%d connections for two requests: one with an answer that names none is not used again", n)
	}
}

// TestUnnamedAnswerAloneLeavesTheOutcomeUnknown guards against a request that is said not to have run because of bytes that may belong
// to another one.
func TestUnnamedAnswerAloneLeavesTheOutcomeUnknown(t *testing.T) {
	s := startServer(t, func(n int, r *http.Request, c net.Conn) bool {
		answer := response(r.Header.Get("X-Id"), "own")
		if n == 2 {
			answer = unnamedAnswer
		}
		_, err := io.WriteString(c, answer)
		return err == nil
	})
	p := connpool.New(nil)
	defer p.Close()
	if _, err := get(t, p, s.request("POST")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := p.Do(ctx, s.requestWithID("POST", "2"))
	if !errors.Is(err, context.DeadlineExceeded) || !connpool.MayHaveSent(err) {
		t.Errorf("error %v, want one of a request that may have run", err)
	}
}

// TestSecondAttemptHasAnotherConnection guards against a late copy of the answer to the first attempt of a request that is taken
// for the answer to the second one, which has the same id.
func TestSecondAttemptHasAnotherConnection(t *testing.T) {
	s := startServer(t, func(n int, _ *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, response("1", "x"))
		return err == nil && n < 3
	})
	p := connpool.New(nil)
	defer p.Close()
	for range 2 {
		if _, err := get(t, p, s.request("GET")); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.accepted.Load(); n != 2 {
		t.Errorf("two attempts used %d connections", n)
	}
}
