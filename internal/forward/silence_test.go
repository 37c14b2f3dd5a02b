package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/peer"
)

// silence is how long a sound endpoint or VM may be silent before it goes on.
const silence = 1300 * time.Millisecond

// silentVMOpener opens streams to a VM that is silent before each of the first reads.
type silentVMOpener struct {
	Opener
	reads int32
}

func (o silentVMOpener) OpenStream(ctx context.Context, addr netip.AddrPort, kind peer.Kind) (net.Conn, error) {
	nc, err := o.Opener.OpenStream(ctx, addr, kind)
	return &silentConn{Conn: nc, left: o.reads}, err
}

type silentConn struct {
	net.Conn
	left int32
}

func (c *silentConn) Read(p []byte) (int, error) {
	if c.left > 0 {
		c.left--
		time.Sleep(silence)
	}
	return c.Conn.Read(p)
}

// TestSilenceOnTheWayThroughAnotherVMLosesNothing guards against requests through another VM that end, or run twice,
// because the endpoint or the VM is silent for a second.
func TestSilenceOnTheWayThroughAnotherVMLosesNothing(t *testing.T) {
	const beginning, end = "data: first\n\n", "data: last\n\n"
	for name, tc := range map[string]struct {
		header, body, accept time.Duration
		vmReads              int32
	}{
		"endpoint, before the header":                    {header: silence},
		"endpoint, between events":                       {body: silence},
		"endpoint, before the header and between events": {header: silence, body: silence},
		"VM, before it accepts the stream":               {accept: silence},
		"VM, before the outcome and in the body":         {vmReads: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int32
			p := newHeldPair(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) > 1 { // the first request opens the connection
					time.Sleep(tc.header)
				}
				_, _ = io.WriteString(w, beginning)
				_ = http.NewResponseController(w).Flush()
				if runs.Load() > 1 {
					time.Sleep(tc.body)
				}
				_, _ = io.WriteString(w, end)
			}))
			time.AfterFunc(tc.accept, p.listener.Release)
			opener := p.client.Opener
			for n := range 2 {
				if n == 1 {
					p.client.Opener = silentVMOpener{opener, tc.vmReads}
				}
				resp, err := p.client.Do(t.Context(), p.via, testID, testRequest([]byte("body")))
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || string(got) != beginning+end {
					t.Errorf("request %d: got %q, error %v", n, got, err)
				}
			}
			if n := runs.Load(); n != 2 {
				t.Errorf("%d runs of 2 requests", n)
			}
		})
	}
}
