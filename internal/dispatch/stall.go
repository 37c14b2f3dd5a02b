package dispatch

import (
	"bytes"
	"context"
	"io"

	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// A stream continues at another endpoint if it makes no progress for stallFactor times the route's maximum event gap,
	// and at least for schedule.MaxPause after an event was due: a healthy endpoint may pause for about a second, and one
	// that does not notice that its connection was closed would go on beside the next one.
	stallFactor = 3
	// progressBytes is how much of an event that has not ended yet counts as progress.
	progressBytes = 4 << 10
)

// stallTimer is the silence timer of a stream: of a response that is a series of events, only events are progress. A nil
// stallTimer does nothing.
type stallTimer struct {
	*silenceTimer
	// eventStream is set if the response is a series of events. Otherwise each byte is progress.
	eventStream bool
	progress    eventProgress
}

// startStallTimer starts the stall timer of a stream that can be resumed at another engine. prefills is the number of
// prefills of the call after this attempt. It returns nil if no other attempt may follow.
func (g *generation) startStallTimer(claim *schedule.Claim, prefills int, cancel context.CancelCauseFunc) *stallTimer {
	r := g.call.Route
	if !r.Retryable() || g.runs+1 >= r.MaxAttempts || prefills >= maxPrefills {
		return nil
	}
	request := g.newPlacementRequest(traffic.Decode, "", []traffic.EndpointID{claim.Endpoint.ID})
	claimNext := func(begun bool) (*successor, error) {
		next := *request
		if begun { // the caller gets, or has got, text of this version
			next.Version = &claim.Endpoint.SoftwareVersion
		}
		return g.claimEngines(next)
	}
	timeout := max(schedule.MaxPause+r.MaxEventGap, stallFactor*r.MaxEventGap)
	return &stallTimer{silenceTimer: g.startSilenceTimer(silenceOptions{at: claim, timeout: timeout, examine: true, claim: claimNext, cancel: cancel})}
}

// Stop stops the timer and returns the successor in whose favour it has ended the attempt, nil if it has not.
func (t *stallTimer) Stop() *successor {
	if t == nil {
		return nil
	}
	return t.silenceTimer.Stop()
}

// countEvents is called before the body of a response is read. eventStream is set if it is a series of events.
func (t *stallTimer) countEvents(eventStream bool) {
	if t != nil {
		t.eventStream = eventStream
	}
}

// pause stops the timer while the body is not read, resume lets it go on.
func (t *stallTimer) pause() {
	if t != nil {
		t.silenceTimer.pause()
	}
}

func (t *stallTimer) resume() {
	if t != nil {
		t.silenceTimer.resume()
	}
}

// stalledBody is the body of a response under a stall timer. Nothing that comes after the timer has ended the attempt is
// delivered, as the successor delivers it.
type stalledBody struct {
	io.Reader
	timer *stallTimer
}

// Read implements io.Reader.
func (b *stalledBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 && !b.timer.receive(!b.timer.eventStream || b.timer.progress.add(p[:n])) {
		return 0, errEndpointTimeout
	}
	return n, err
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
