package schedule

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// TestSilence guards against sound endpoints that count as dead after a second of silence, and against dead ones that do not.
func TestSilence(t *testing.T) {
	const timeout = 350 * time.Millisecond
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Minute + d) }
	for name, tc := range map[string]struct {
		// sent are the times of requests that are given up after timeout, answered is a time of an answer.
		sent     []time.Duration
		answered time.Duration
		want     Outcome
	}{
		"one request":                        {[]time.Duration{0}, -1, Failed},
		"several in 1.3 s":                   {[]time.Duration{0, 200 * time.Millisecond, 900 * time.Millisecond}, -1, Failed},
		"several in 1.6 s":                   {[]time.Duration{0, 200 * time.Millisecond, 1300 * time.Millisecond}, -1, Dead},
		"several in 1.6 s, one answered":     {[]time.Duration{0, 1300 * time.Millisecond}, 500 * time.Millisecond, Failed},
		"two, a minute one after the other":  {[]time.Duration{0, time.Minute}, -1, Failed},
		"several, a minute after the others": {[]time.Duration{0, time.Minute, time.Minute + 1300*time.Millisecond}, -1, Dead},
	} {
		t.Run(name, func(t *testing.T) {
			var h health
			got := Succeeded
			for _, sent := range tc.sent {
				if tc.answered >= 0 && sent > tc.answered {
					h.record(at(tc.answered), Succeeded)
				}
				got = h.silent(at(sent+timeout), at(sent))
			}
			if got != tc.want {
				t.Errorf("outcome %s, want %s", got, tc.want)
			}
		})
	}
}
