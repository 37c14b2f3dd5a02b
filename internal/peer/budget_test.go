package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestTheServersTimeEndsAfterTheCallers shows that a caller's own deadline comes first: the
// server's answer that its time is over would otherwise pass for a failure of the server.
func TestTheServersTimeEndsAfterTheCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, left := range []time.Duration{100 * time.Microsecond, time.Millisecond, 399*time.Millisecond + 999*time.Microsecond} {
			ctx, cancel := context.WithTimeout(t.Context(), left)
			if server := time.Duration(budget(ctx)) * time.Millisecond; server <= left {
				t.Errorf("the caller waits %s, the server works %s", left, server)
			}
			cancel()
		}
	})
}
