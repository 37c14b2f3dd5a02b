package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// TestCallsThatMayHaveRunAreNotToBeRepeated guards against callers that repeat a call which may have run, as its status or Retry-After
// invites them to.
func TestCallsThatMayHaveRunAreNotToBeRepeated(t *testing.T) {
	for kind, refusal := range statusByKind {
		for run, invites := range map[fault.Execution]bool{fault.NotExecuted: true, fault.ExecutionUnknown: false, fault.Executed: false} {
			w := httptest.NewRecorder()
			writeError(w, "r", fault.New(kind, "remedy", "message", fault.WithExecution(run), fault.WithRetryAfter(time.Second)))
			if !invites && (w.Code == http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "") {
				t.Errorf("%s, %s: status %d, Retry-After %q", kind, run, w.Code, w.Header().Get("Retry-After"))
			}
			if invites && (w.Code != refusal || w.Header().Get("Retry-After") != "1") {
				t.Errorf("%s, %s: status %d, Retry-After %q", kind, run, w.Code, w.Header().Get("Retry-After"))
			}
		}
	}
}
