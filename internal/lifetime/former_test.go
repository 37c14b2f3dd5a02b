package lifetime

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestFormerProcessDoesNotDecideOfLaterConnections guards against streams that count as begun at another lifetime, and do not go on, because a
// former process once answered on a connection of its own, before the process of the entry answered on a later one.
func TestFormerProcessDoesNotDecideOfLaterConnections(t *testing.T) {
	var r Reports
	id, start, former := traffic.EndpointID{Name: "e", StartedAt: 8}, time.Now(), int64(7)
	r.Add(id, Report{Opened: start, ReceivedAt: start.Add(time.Second), Answer: Other, StartedAt: &former})
	same := id.StartedAt
	r.Add(id, Report{Opened: start.Add(time.Minute), ReceivedAt: start.Add(time.Minute), Answer: Same, StartedAt: &same})
	if got := r.Of(id).Outcome(start.Add(time.Hour), true); got != backend.LifetimeOpen {
		t.Errorf("%s, want %s, as the endpoint was not asked since the connection was opened", got, backend.LifetimeOpen)
	}
}
