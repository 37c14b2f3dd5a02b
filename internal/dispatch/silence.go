package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/schedule"
)

// successorPeriod is the time between two searches for a successor while an endpoint stays silent.
const successorPeriod = 100 * time.Millisecond

// maxTimerDelay is how late a timer of this process may fire. One that is later was held up by a pause of the process, in which the
// endpoint may have sent what is still unread.
const maxTimerDelay = successorPeriod

// silenceOptions configure a silenceTimer.
type silenceOptions struct {
	// at is where the attempt runs.
	at      *schedule.Claim
	timeout time.Duration
	// examine is set if the path to the endpoint is examined when the timeout has passed.
	examine bool
	// claim claims the places of the successor. begun is set if something of a response has been received.
	claim func(begun bool) (*successor, error)
	// cancel ends the attempt.
	cancel context.CancelCauseFunc
}

// silenceTimer ends an attempt if its endpoint is silent for the timer's timeout and another attempt can follow. As long
// as none can, the attempt goes on: a healthy endpoint may be silent for a second or so, and only the end of the call's own
// time shows that nothing will come. A nil silenceTimer does nothing.
type silenceTimer struct {
	silenceOptions
	call *inflightCall

	mu    sync.Mutex
	timer *time.Timer
	// since is when the attempt began or last made progress.
	since time.Time
	// expires is when the timer fires unless it is paused, left the time until then at the last pause.
	expires time.Time
	left    time.Duration
	paused  bool
	// pausedAt is when the timer was last paused.
	pausedAt time.Time
	stopped  bool
	// received is the number of times that something was received.
	received int
	// awaited is set once the endpoint is known to be silent and the attempt goes on.
	awaited bool
	// next is the successor in whose favour the attempt was ended, nil if it was not.
	next *successor
}

func (f *inflightCall) startSilenceTimer(o silenceOptions) *silenceTimer {
	t := &silenceTimer{silenceOptions: o, call: f, since: time.Now(), expires: time.Now().Add(o.timeout)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(o.timeout, t.expire)
	return t
}

// Stop stops the timer and returns the successor in whose favour it has ended the attempt, nil if it has not.
func (t *silenceTimer) Stop() *successor {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	next := t.next
	t.next = nil
	return next
}

// receive records that something was received, and whether it is progress. It returns false if the attempt has been ended:
// then the successor delivers what follows.
func (t *silenceTimer) receive(progress bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next != nil {
		return false
	}
	t.received++
	if progress && !t.stopped {
		t.awaited, t.since = false, time.Now()
		t.startLocked(t.timeout)
	}
	return true
}

// pause stops the timer while the response is not read, resume lets it go on.
func (t *silenceTimer) pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.paused, t.pausedAt, t.left = true, time.Now(), time.Until(t.expires)
}

func (t *silenceTimer) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paused && !t.stopped {
		t.since = t.since.Add(time.Since(t.pausedAt))
		t.startLocked(t.left)
	}
}

func (t *silenceTimer) startLocked(d time.Duration) {
	t.paused, t.expires = false, time.Now().Add(d)
	t.timer.Reset(d)
}

// heldUp reports whether the timer fires so late that the process was not running. It then fires again after successorPeriod, in which
// what has arrived meanwhile is read.
func (t *silenceTimer) heldUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.silentLocked() || time.Since(t.expires) < maxTimerDelay {
		return false
	}
	t.startLocked(successorPeriod)
	return true
}

// silent returns how often something was received so far, and whether the attempt is in progress and nothing was received
// in time.
func (t *silenceTimer) silent() (received int, silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received, t.silentLocked()
}

func (t *silenceTimer) silentLocked() bool {
	return !t.stopped && !t.paused && t.next == nil && !time.Now().Before(t.expires)
}

// expire replaces the attempt, or tries again after successorPeriod.
func (t *silenceTimer) expire() {
	if t.heldUp() {
		return
	}
	received, silent := t.silent()
	if !silent {
		return
	}
	r := replacement{
		obstacle: t.call.successorObstacle,
		claim:    func() (*successor, error) { return t.claim(received > 0) },
		commit:   func(s *successor) error { return t.commit(s, received) },
	}
	err := r.replace()
	if t.wait(err) {
		if err != nil { // the end of the attempt may be far, and further calls should go elsewhere
			t.at.RecordSilence(t.silentFor())
		}
		t.call.log.Info("endpoint is silent", zap.String("endpoint", t.at.Endpoint.ID.Name), zap.String("via", viaName(t.at.Via)),
			zap.Duration("timeout", t.timeout), zap.Bool("replaced", err == nil), zap.Duration("elapsed", t.call.elapsed()), zap.Error(err))
		if t.examine && t.at.Via == nil {
			t.call.dispatcher.opts.OnSilent(t.at.Endpoint)
		}
	}
}

// silentFor returns for how long nothing has been received.
func (t *silenceTimer) silentFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.since)
}

// commit ends the attempt in favour of a successor, if nothing was received since the given number of times.
func (t *silenceTimer) commit(s *successor, received int) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.silentLocked() || t.received != received {
		return errWentOn
	}
	s.spentAt = t.call.dispatcher.opts.Clock.Now()
	if !t.call.dispatcher.opts.Admission.SpendRetry(t.call.call.Service.Name, 0) {
		return errNoRetryLeft
	}
	t.next, s.silence = s, time.Since(t.since)
	t.cancel(errEndpointTimeout)
	return nil
}

// wait lets the timer fire again if the attempt is still silent. It reports whether a decision is new: the attempt was
// replaced, or goes on for the first time since it is silent.
func (t *silenceTimer) wait(err error) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		return true
	}
	if !t.silentLocked() {
		return false
	}
	isNew, t.awaited = !t.awaited, true
	t.startLocked(successorPeriod)
	return isNew
}
