package endpoint

import (
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/ending"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestPlainResponseOfAnEndedServiceIsNotComplete guards against bodies without a length or chunks that look complete although the
// process of their service has ended.
func TestPlainResponseOfAnEndedServiceIsNotComplete(t *testing.T) {
	for ended, want := range map[bool]ending.Evidence{false: ending.SameInstance, true: ending.Refused} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			if ended {
				_ = ln.Close()
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
			_ = c.Close()
		}()
		client := &PlainClient{Pool: connpool.New(nil)}
		resp, err := client.Run(t.Context(), backend.Request{
			Call:     &traffic.Call{Method: "GET", RequestURI: "/", Host: "h"},
			Endpoint: traffic.Endpoint{Address: netip.MustParseAddrPort(ln.Addr().String())},
		})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if string(body) != "body" || (err != nil) != ended || resp.EndEvidence() != want {
			t.Errorf("ended %t: got %q, error %v, evidence %q", ended, body, err, resp.EndEvidence())
		}
		_ = resp.Body.Close()
		client.Pool.Close()
		_ = ln.Close()
	}
}
