package clock

import (
	"testing"
	"time"
)

// TestLateBy guards against stops that are counted from the handling of their signal, which came during a pause, and against those that
// are cut short without one.
func TestLateBy(t *testing.T) {
	at := func(d time.Duration) Instant { return Instant(time.Hour).Add(d) }
	for _, tc := range []struct {
		name  string
		ticks []time.Duration
		now   time.Duration
		want  time.Duration
	}{
		{"before the first tick", nil, time.Second, 0},
		{"no pause", []time.Duration{0, 100 * time.Millisecond}, 150 * time.Millisecond, 0},
		{"a late tick", []time.Duration{0, 250 * time.Millisecond}, 260 * time.Millisecond, 0},
		{"handled before the first tick after a pause", []time.Duration{0}, 2 * time.Second, 2 * time.Second},
		{"handled after that", []time.Duration{0, 2 * time.Second}, 2050 * time.Millisecond, 2050 * time.Millisecond},
		{"and after the next one", []time.Duration{0, 2 * time.Second, 2100 * time.Millisecond}, 2150 * time.Millisecond, 2150 * time.Millisecond},
		{"long after a pause", []time.Duration{0, 2 * time.Second, 2100 * time.Millisecond, 2200 * time.Millisecond}, 2250 * time.Millisecond, 0},
	} {
		var r Running
		for _, tick := range tc.ticks {
			r.Tick(at(tick))
		}
		if got := r.LateBy(at(tc.now)); got != tc.want {
			t.Errorf("%s: late by %v, want %v", tc.name, got, tc.want)
		}
	}
}
