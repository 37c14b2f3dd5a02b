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

// maxFuzzedBody is more than any fuzzed response holds.
const maxFuzzedBody = 1 << 20

// FuzzResponse lets an endpoint answer with arbitrary bytes and close the connection. A body that is reported as
// complete holds only bytes that the endpoint sent, and a later request never gets bytes of the earlier answer.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nok", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	var answer atomic.Pointer[[]byte]
	s := startServer(f, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Write(*answer.Load())
		return false
	})
	p := connpool.New(nil)
	f.Cleanup(p.Close)
	f.Fuzz(func(t *testing.T, raw []byte) {
		answer.Store(&raw)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		resp, err := p.Do(ctx, s.request("GET"))
		if err != nil {
			var e *connpool.Error
			if !errors.As(err, &e) {
				t.Fatalf("error %T", err)
			}
			return
		}
		body, err := io.ReadAll(io.LimitReader(resp, maxFuzzedBody))
		if err == nil && len(body) > len(raw) {
			t.Fatalf("%d bytes of a body from %d", len(body), len(raw))
		}
		_ = resp.Close()
		sound := []byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nsound")
		answer.Store(&sound)
		resp, err = p.Do(ctx, s.request("GET"))
		if err != nil {
			return // a connection that the endpoint has closed meanwhile
		}
		body, err = io.ReadAll(resp)
		if err != nil || string(body) != "sound" {
			t.Fatalf("the next request got %q, error %v", body, err)
		}
		_ = resp.Close()
	})
}
