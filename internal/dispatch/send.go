package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// startSend fails if nothing may be sent to the claimed endpoint now.
func (f *inflightCall) startSend(claim *schedule.Claim) error {
	f.sentAt, f.sentTo = f.dispatcher.opts.Clock.Now(), claim.Endpoint
	if claim.StartSend() {
		return nil
	}
	if f.dispatcher.opts.Scheduler.Evacuated(claim.Endpoint.DataCentre) {
		return f.notSentToEvacuated(claim)
	}
	f.log.Info("not sent", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Error(errHeldBack))
	return &backend.SendError{Err: errHeldBack}
}

// errHeldBack means that a request was not sent because of what the endpoint had said in the meantime.
var errHeldBack = errors.New("the endpoint asked for a pause, or its rate limit leaves this VM no request now")

var errRejected = errors.New("the endpoint rejected the call")

// countSend updates the counters of sends and runs; err is nil if the endpoint accepted the call.
func (f *inflightCall) countSend(err error) {
	if err == nil || backend.MayHaveArrived(err) {
		f.sends++
	}
	if err == nil || backend.MayHaveRun(err) {
		f.runs++
		f.mayHaveRun = true
	}
}

// silenceTimeout is how long an endpoint may leave a request without an answer before the path to it is examined.
const silenceTimeout = 500 * time.Millisecond

// watchSilence reports the claim's endpoint as silent unless the returned function is called in time.
func (f *inflightCall) watchSilence(claim *schedule.Claim) (stop func()) {
	if claim.Via != nil {
		return func() {}
	}
	t := time.AfterFunc(silenceTimeout, func() { f.dispatcher.opts.OnSilent(claim.Endpoint) })
	return func() { t.Stop() }
}

// recordUnreachable records that a request could not be sent, as there was no connection to the endpoint.
func (f *inflightCall) recordUnreachable(claim *schedule.Claim, err error) {
	f.unsent = append(f.unsent, claim.Endpoint.ID)
	claim.RecordUnreachable()
	usable, staying := f.dispatcher.opts.Scheduler.Usable(claim.Endpoint.Service)
	f.log.Info("no connection to endpoint", zap.String("endpoint", claim.Endpoint.ID.Name), zap.String("service", claim.Endpoint.Service),
		zap.String("via", viaName(claim.Via)), zap.Int("usable", usable), zap.Int("of", staying), zap.Error(err))
	f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_unsent_requests_total`).Inc()
}

// callerGone reports whether a send failed because the caller cancelled the call, because writing to the caller failed,
// or because this process is stopping.
func callerGone(ctx context.Context, err error) bool {
	return errors.Is(context.Cause(ctx), context.Canceled) || fault.Is(err, fault.Cancelled) || stopped(ctx)
}
