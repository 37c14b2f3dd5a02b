package vmserver

import (
	"testing"
	"time"
)

// TestStopIsOverWithinTheGraceTimeOfItsSignal guards against calls that are cut off by the platform, at the end of the grace time, because
// the signal came during a pause and was handled late.
func TestStopIsOverWithinTheGraceTimeOfItsSignal(t *testing.T) {
	const grace = 8 * time.Second
	for late := time.Duration(0); late <= 2600*time.Millisecond; late += 100 * time.Millisecond {
		if took := late + stopTime(grace, late); took > grace-stopMargin {
			t.Errorf("handled %v late, the stop ends %v after its signal, the grace time is %v", late, took, grace)
		}
	}
	for _, grace := range []time.Duration{2 * time.Second, grace} {
		if got := stopTime(grace, 0); got != grace-stopMargin {
			t.Errorf("grace time %v: a stop that is not late has %v", grace, got)
		}
		if got := stopTime(grace, time.Hour); got <= 0 || got > grace-stopMargin {
			t.Errorf("grace time %v: a very late stop has %v", grace, got)
		}
	}
}
