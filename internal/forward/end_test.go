package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestEndOfAForwardedResponseIsCheckedOnce guards against forwarded responses without a length or chunks whose end no VM checks, also
// if the other VM is of a former build, which does not.
func TestEndOfAForwardedResponseIsCheckedOnce(t *testing.T) {
	errCut := errors.New("cut")
	for name, otherChecks := range map[string]bool{"by the other VM": true, "by this VM": false} {
		for _, whole := range []bool{true, false} {
			p := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
				_ = conn.Close()
			}))
			var checks [2]atomic.Int32 // by the other VM and by this one
			check := func(by int) func(context.Context, connpool.End) error {
				return func(_ context.Context, end connpool.End) error {
					checks[by].Add(1)
					if whole && end.Bytes == 4 {
						return nil
					}
					return errCut
				}
			}
			if otherChecks {
				send := p.server.opts.Send
				p.server.opts.Send = func(ctx context.Context, to traffic.Endpoint, r *connpool.Request) (*connpool.Response, error) {
					r.CheckEnd = check(0)
					return send(ctx, to, r)
				}
			}
			resp, err := p.client.Do(t.Context(), p.via, testID, &connpool.Request{Method: http.MethodGet, URI: "/", Host: "h", CheckEnd: check(1)})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if (err == nil) != whole || string(body) != "body" || resp.Delimited != otherChecks {
				t.Errorf("%s, whole %t: got %q, error %v, delimited %t", name, whole, body, err, resp.Delimited)
			}
			if other, this := checks[0].Load(), checks[1].Load(); other > 0 != otherChecks || this > 0 == otherChecks {
				t.Errorf("%s: %d checks by the other VM, %d by this one", name, other, this)
			}
		}
	}
}
