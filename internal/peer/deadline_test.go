package peer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestServerDeadlineIsAfterCallerDeadline checks that the deadline sent to the server is always
// after the caller's own. Otherwise the server's timeout error could arrive first and be mistaken
// for a failure of the server.
func TestServerDeadlineIsAfterCallerDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, remaining := range []time.Duration{100 * time.Microsecond, time.Millisecond, 399*time.Millisecond + 999*time.Microsecond} {
			ctx, cancel := context.WithTimeout(t.Context(), remaining)
			if serverTimeout := time.Duration(remainingMillis(ctx)) * time.Millisecond; serverTimeout <= remaining {
				t.Errorf("caller has %s left; the server's timeout is %s, want a longer one", remaining, serverTimeout)
			}
			cancel()
		}
	})
}
