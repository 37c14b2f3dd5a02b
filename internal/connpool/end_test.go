package connpool

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
)

var errCut = errors.New("cut")

// respondOnce answers the next connection with raw bytes and closes it in order.
func respondOnce(t *testing.T, ln net.Listener, raw string) {
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := c.Read(make([]byte, 4096)); err == nil {
			_, _ = io.WriteString(c, raw)
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
}

// TestOnlyTheEndOfAConnectionIsChecked guards against responses without a length or chunks that end unchecked, and against
// questions about responses whose framing says that they are whole.
func TestOnlyTheEndOfAConnectionIsChecked(t *testing.T) {
	for name, tc := range map[string]struct {
		method, head string
		checked      bool
	}{
		"unframed":       {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nbody", true},
		"empty":          {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", true},
		"length":         {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"chunks":         {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", false},
		"no body":        {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", false},
		"answer to HEAD": {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			respondOnce(t, ln, tc.head)
			p := New(nil)
			defer p.Close()
			checks, read := 0, int64(0)
			resp, err := p.Do(t.Context(), &Request{
				Target: Target{Address: ln.Addr().(*net.TCPAddr).AddrPort()}, Method: tc.method, URI: "/", Host: "h",
				CheckEnd: func(_ context.Context, end End) error {
					checks++
					read = end.Bytes
					return errCut
				},
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Close() }()
			body, err := io.ReadAll(iotest.OneByteReader(resp))
			if checked := errors.Is(err, errCut); checked != tc.checked || resp.EndChecked != tc.checked || (checks == 1) != tc.checked || tc.checked && int(read) != len(body) {
				t.Errorf("got %q, error %v, checked %d times after %d bytes", body, err, checks, read)
			}
		})
	}
}
