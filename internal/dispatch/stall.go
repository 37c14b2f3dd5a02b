package dispatch

import (
	"bytes"
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/schedule"
)

const (
	// A stream that can be resumed at another endpoint is aborted if it makes no progress for stallFactor times the route's
	// maximum event gap, and at least for stallMin: a sound endpoint may pause for about a second, and one that does not notice
	// that its connection was closed would go on beside the next one.
	stallFactor = 3
	stallMin    = 1500 * time.Millisecond
	// progressBytes is how much of an event that has not ended yet counts as progress.
	progressBytes = 4 << 10
)

// stallTimer aborts a request to an engine when its response has made no progress for the timer's timeout. A nil
// stallTimer does nothing.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
	// expires is when the timer fires unless it is paused, left the time until then at the last pause.
	expires time.Time
	left    time.Duration
	// eventStream is set if the response is a series of events. Otherwise each byte is progress.
	eventStream bool
	progress    eventProgress
}

// startStallTimer starts the stall timer of a stream that can be resumed at another engine. It
// returns nil if no other attempt may follow.
func (g *generation) startStallTimer(claim *schedule.Claim, cancel context.CancelCauseFunc) *stallTimer {
	r := g.call.Route
	if !r.Retryable() || g.runs+1 >= r.MaxAttempts {
		return nil
	}
	timeout := max(stallMin, stallFactor*r.MaxEventGap)
	stalled := func() {
		cancel(errEndpointTimeout)
		if claim.Via == nil {
			g.dispatcher.opts.OnSilent(claim.Endpoint)
		}
	}
	return &stallTimer{timer: time.AfterFunc(timeout, stalled), timeout: timeout, expires: time.Now().Add(timeout)}
}

// Stop stops the timer.
func (t *stallTimer) Stop() {
	if t != nil {
		t.timer.Stop()
	}
}

// countEvents is called before the body of a response is read. eventStream is set if it is a series of events.
func (t *stallTimer) countEvents(eventStream bool) {
	if t != nil {
		t.eventStream = eventStream
	}
}

// received starts the timer anew if p, which follows what was received before, is progress.
func (t *stallTimer) received(p []byte) {
	if t == nil || len(p) == 0 {
		return
	}
	if !t.eventStream || t.progress.add(p) {
		t.expires = time.Now().Add(t.timeout)
		t.timer.Reset(t.timeout)
	}
}

// pause stops the timer while the body is not read, resume lets it go on.
func (t *stallTimer) pause() {
	if t != nil {
		t.timer.Stop()
		t.left = time.Until(t.expires)
	}
}

func (t *stallTimer) resume() {
	if t != nil {
		t.expires = time.Now().Add(t.left)
		t.timer.Reset(t.left)
	}
}

// eventProgress finds the progress of a series of events: the end of an event, and progressBytes without one. Empty
// lines and comments are no events, as an engine may send them while it is stalled.
type eventProgress struct {
	// unfinished is the number of bytes since the last progress.
	unfinished int
	// inLine is set within a line that is not empty, inEvent after the begin of a line that belongs to an event.
	inLine, inEvent bool
}

// add examines the next bytes of the series and reports whether there is progress.
func (e *eventProgress) add(p []byte) (progress bool) {
	e.unfinished += len(p)
	for line := range bytes.Lines(p) {
		if content := bytes.TrimRight(line, "\r\n"); len(content) > 0 {
			e.inEvent = e.inEvent || !e.inLine && content[0] != ':'
			e.inLine = true
		}
		if line[len(line)-1] != '\n' {
			break
		}
		if !e.inLine && e.inEvent {
			progress, e.inEvent = true, false
		}
		e.inLine = false
	}
	if progress = progress || e.unfinished >= progressBytes; progress {
		e.unfinished = 0
	}
	return progress
}
