package dispatch

import (
	"testing"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/ending"
)

// TestEngineThatEndsBeforeItsFirstEventCountsAsCrashed guards against crashes that the quarantine does not learn of, as the end of the
// connection is checked before the stream is found to be empty.
func TestEngineThatEndsBeforeItsFirstEventCountsAsCrashed(t *testing.T) {
	for evidence, want := range map[ending.Evidence]bool{ending.Empty: true, ending.Replaced: true, ending.Refused: true, ending.Unknown: false} {
		if got := crashed(t.Context(), &backend.SendError{Sent: true, Err: evidence.Err()}); got != want {
			t.Errorf("%s: crashed %t, want %t", evidence, got, want)
		}
	}
}
