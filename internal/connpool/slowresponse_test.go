package connpool

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestConnectionIsReusedAfterResponseSlowerThanIdleTimeout guards against a new connection for each request to endpoints whose responses
// take longer than their idle timeout.
func TestConnectionIsReusedAfterResponseSlowerThanIdleTimeout(t *testing.T) {
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(1200 * time.Millisecond)
		w.Header().Set("Keep-Alive", "timeout=1")
		_, _ = io.WriteString(w, "answer")
	}))
	defer ts.Close()
	var dials atomic.Int64
	p := New(func() { dials.Add(1) })
	defer p.Close()
	target := Target{Address: netip.MustParseAddrPort(strings.TrimPrefix(ts.URL, "http://"))}
	for range 3 {
		resp, err := p.Do(context.Background(), &Request{Target: target, Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp); err != nil {
			t.Fatal(err)
		}
		_ = resp.Close()
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections for three requests in a row, 1 wanted", n)
	}
}
