package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// lateRefusal is why a request was not sent after it had been started: the last look at it found that something had changed.
// It says nothing about the path to the endpoint, and sending the request to another one is no retry.
type lateRefusal struct{ err error }

func (e *lateRefusal) Error() string { return "not sent after all: " + e.err.Error() }

// Unwrap returns the cause.
func (e *lateRefusal) Unwrap() error { return e.err }

func refusedLate(err error) bool {
	var late *lateRefusal
	return errors.As(err, &late) || errors.Is(err, backend.ErrHeldBack)
}

// endsCall reports whether a send failed in a way that no other attempt may follow: before it was sent the time of the call was
// over, its caller had left, or the budget had no retry left.
func endsCall(err error) bool {
	return errors.Is(err, errCallTimeout) || errors.Is(err, errNoRetryLeft) || fault.Is(err, fault.Cancelled)
}

// retryCountAge is how long after it was counted a retry is sent under that count. Later it is counted anew, as the budget
// is one of arrivals in a window.
const retryCountAge = 500 * time.Millisecond

// lastLook returns the last decision about sending the call to the claimed endpoint.
func (f *inflightCall) lastLook(claim *schedule.Claim) backend.LastLook {
	return func() (time.Duration, error) {
		left := f.remaining()
		if left <= 0 {
			return 0, &lateRefusal{errCallTimeout}
		}
		if err := claim.LastLook(); err != nil {
			return 0, &lateRefusal{err}
		}
		if !f.recountRetry() {
			return 0, &lateRefusal{errNoRetryLeft}
		}
		return left, nil
	}
}

// recountRetry counts the retry that the next send uses up again if it was counted long ago. It reports whether the send may
// follow.
func (f *inflightCall) recountRetry() bool {
	if f.retryAt == 0 || f.dispatcher.opts.Clock.Now().Sub(f.retryAt) <= retryCountAge {
		return true
	}
	f.returnRetry()
	f.budgetUsedUp = !f.spendRetry()
	return !f.budgetUsedUp
}

// spendRetry deducts one retry, which the next send that arrives uses up.
func (f *inflightCall) spendRetry() bool {
	now := f.dispatcher.opts.Clock.Now()
	if !f.dispatcher.opts.Admission.SpendRetry(f.call.Service.Name, 0) {
		return false
	}
	f.retryAt = now
	return true
}

// returnRetry gives back the retry that was deducted and that no send has used up, if any.
func (f *inflightCall) returnRetry() {
	if f.retryAt != 0 {
		f.dispatcher.opts.Admission.ReturnRetry(f.call.Service.Name, f.retryAt)
		f.retryAt = clock.Instant(0)
	}
}

// recordSend settles what was counted for a send once its outcome is known: a send that did not arrive has used up nothing.
func (f *inflightCall) recordSend(claim *schedule.Claim, err error) {
	if err == nil || backend.MayHaveArrived(err) {
		f.retryAt = 0
		return
	}
	claim.NotSent()
}

// recordLateRefusal records that the last look has held a request back from the claimed endpoint, which is not chosen again
// for the call.
func (f *inflightCall) recordLateRefusal(ctx context.Context, claim *schedule.Claim, err error) {
	f.unsent = append(f.unsent, claim.Endpoint.ID)
	f.log.Info("not sent after all", zap.String("endpoint", claim.Endpoint.ID.Name), zap.String("via", viaName(claim.Via)),
		zap.Duration("since_started", f.dispatcher.opts.Clock.Now().Sub(f.sentAt)), zap.Bool("ended", ctx.Err() != nil), zap.Error(err))
	f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_late_refusals_total`).Inc()
}
