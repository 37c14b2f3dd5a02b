package relay

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// TestOnlyATransferThatOthersOvertookStalled: when all are slow alike, none is sent again.
func TestOnlyATransferThatOthersOvertookStalled(t *testing.T) {
	const ms = time.Millisecond
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour).Add(d) }
	for _, c := range []struct {
		name  string
		ended [][2]time.Duration // begin and end
		now   time.Duration
		want  bool
	}{
		{name: "nothing to compare with", now: 900 * ms},
		{name: "others began earlier", ended: [][2]time.Duration{{50 * ms, 60 * ms}}, now: 900 * ms},
		{name: "all are slow", ended: [][2]time.Duration{{110 * ms, 410 * ms}, {150 * ms, 500 * ms}}, now: 700 * ms},
		{name: "overtaken", ended: [][2]time.Duration{{110 * ms, 130 * ms}, {150 * ms, 180 * ms}}, now: 250 * ms, want: true},
		{name: "overtaken by slow ones, long ago", ended: [][2]time.Duration{{110 * ms, 410 * ms}}, now: 1100 * ms, want: true},
	} {
		var ts transfers
		for _, e := range c.ended {
			ts.end(at(e[0]), at(e[1]))
		}
		if got := ts.stalled(at(100*ms), at(c.now)); got != c.want {
			t.Errorf("%s: stalled %v, want %v", c.name, got, c.want)
		}
	}
}

func TestTransfersKeepABoundedNumber(t *testing.T) {
	var ts transfers
	for i := range 3 * transfersKept {
		ts.end(clock.Instant(i), clock.Instant(i+1))
	}
	if len(ts.ended) != transfersKept {
		t.Errorf("%d are kept", len(ts.ended))
	}
}
