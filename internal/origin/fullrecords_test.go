package origin

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestStreamWithoutRoomForItsRecordDoesNotContinue guards against streams that go on at the only version although they began at another one, because
// there was no room for the record that says so.
func TestStreamWithoutRoomForItsRecordDoesNotContinue(t *testing.T) {
	now := &manualClock{clock.Instant(time.Hour)}
	c := NewController(Options{Clock: now, Log: zap.NewNop(), Metrics: metrics.NewSet(), FirstStart: true})
	engines := endpointsOf([]string{"v1"})
	c.SetEndpoints(engines)
	records := make([]Record, maxRecords)
	for i := range records {
		records[i] = Record{Key: Key(i + 1), Origin: engines[0].Origin(), Left: time.Minute}
	}
	c.AddRecords(records)
	k := Key(maxRecords + 1)
	c.beganOpen(k, engines[0], time.Minute, &fakeEvidence{outcome: backend.LifetimeOther}, zap.NewNop())
	if o, source := c.Find(t.Context(), k, testService, time.Minute); source != Unknown || o != (traffic.StreamOrigin{}) {
		t.Errorf("origin %v from %s", o, source)
	}
}
