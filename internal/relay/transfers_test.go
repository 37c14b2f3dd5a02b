package relay

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// A transfer counts as stalled only if transfers that started later have completed, each in less than a
// third of the time that it has taken so far. If all transfers are equally slow, none of them counts as
// stalled.
func TestTransferIsStalledOnlyIfLaterOnesCompleted(t *testing.T) {
	const ms = time.Millisecond
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour).Add(d) }
	for _, c := range []struct {
		name      string
		completed [][2]time.Duration // start and end times
		now       time.Duration
		want      bool
	}{
		{name: "no completed transfers", now: 900 * ms},
		{name: "others started earlier", completed: [][2]time.Duration{{50 * ms, 60 * ms}}, now: 900 * ms},
		{name: "all transfers slow", completed: [][2]time.Duration{{110 * ms, 410 * ms}, {150 * ms, 500 * ms}}, now: 700 * ms},
		{name: "later transfers completed quickly", completed: [][2]time.Duration{{110 * ms, 130 * ms}, {150 * ms, 180 * ms}}, now: 250 * ms, want: true},
		{name: "slow later transfer completed long ago", completed: [][2]time.Duration{{110 * ms, 410 * ms}}, now: 1100 * ms, want: true},
	} {
		var history transferHistory
		for _, e := range c.completed {
			history.record(at(e[0]), at(e[1]))
		}
		if got := history.isStalled(at(100*ms), at(c.now)); got != c.want {
			t.Errorf("%s: stalled %v, want %v", c.name, got, c.want)
		}
	}
}

func TestTransferHistoryIsBounded(t *testing.T) {
	var history transferHistory
	for i := range 3 * transferHistorySize {
		history.record(clock.Instant(i), clock.Instant(i+1))
	}
	if len(history.completed) != transferHistorySize {
		t.Errorf("the history contains %d transfers, want transferHistorySize", len(history.completed))
	}
}
