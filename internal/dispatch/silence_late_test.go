package dispatch

import (
	"testing"
	"time"
)

// TestTimerThatFiresLateLetsWhatHasArrivedBeRead guards against sound endpoints that are given up after a pause of the process, before what
// they sent meanwhile is read.
func TestTimerThatFiresLateLetsWhatHasArrivedBeRead(t *testing.T) {
	never := time.AfterFunc(time.Hour, func() {})
	defer never.Stop()
	timer := &silenceTimer{call: &inflightCall{}, timer: never, expires: time.Now().Add(-time.Second)}
	timer.timeout = time.Minute
	timer.claim = func(bool) (*successor, error) {
		t.Error("another endpoint is claimed")
		return nil, errNoRetryLeft
	}
	timer.expire()
	if !timer.receive(true) {
		t.Error("what has arrived is dropped")
	}
	if _, silent := timer.silent(); silent {
		t.Error("the endpoint counts as silent")
	}
}
