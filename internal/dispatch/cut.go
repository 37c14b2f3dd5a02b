package dispatch

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// What ended a response before it was complete, as it is logged and counted.
const (
	cutByCaller      = "caller_gone"
	cutByUnreadData  = "caller_not_reading"
	cutByCallTimeout = "timeout"
	cutByStop        = "stop"
	cutByStall       = "stall"
	cutByEndpoint    = "endpoint"
)

// Why a response that its endpoint left incomplete was not continued at another one.
const (
	obstacleRoute        = "route"
	obstacleAttempts     = "attempts"
	obstacleRetryBudget  = "retry_budget"
	obstacleNoConnection = "no_connection"
	obstacleNoPlace      = "no_place"
	obstacleNoEndpoint   = "no_endpoint"
	obstacleOther        = "other"
)

// brokenAttempt is the last attempt whose response ended before it was complete.
type brokenAttempt struct {
	endpoint string
	// stalled is set if a timer of this VM ended it.
	stalled bool
	// silent is how long the endpoint had sent nothing.
	silent time.Duration
}

// noteReceived notes that a part of a response has arrived.
func (f *inflightCall) noteReceived() { f.receivedAt.Store(int64(f.dispatcher.opts.Clock.Now())) }

// noteBroken notes an attempt whose response ended with err.
func (f *inflightCall) noteBroken(ctx context.Context, claim *schedule.Claim, err error) {
	if err == nil {
		return
	}
	f.broken = brokenAttempt{
		endpoint: claim.Endpoint.ID.Name, stalled: errors.Is(context.Cause(ctx), errEndpointTimeout),
		silent: f.dispatcher.opts.Clock.Now().Sub(clock.Instant(f.receivedAt.Load())),
	}
}

// reportCut logs and counts a response that has begun and that err ends before it is complete. Its caller sees the end of the
// connection.
func (f *inflightCall) reportCut(err error) {
	reason, obstacle := f.cutReason(err), ""
	if reason == cutByStall || reason == cutByEndpoint {
		obstacle = f.obstacle()
	}
	d := f.dispatcher
	d.opts.Metrics.GetOrCreateCounter(`fulmartide_responses_cut_total{reason="` + reason + `",obstacle="` + obstacle + `"}`).Inc()
	inForce, age := uint64(0), time.Duration(0)
	if cfg := d.opts.Configuration(); cfg != nil {
		inForce, age = cfg.Version, d.opts.ConfigurationAge()
	}
	f.log.Warn("response cut off", zap.String("reason", reason), zap.String("obstacle", obstacle), zap.String("route", f.call.Route.Name),
		zap.String("service", f.call.Service.Name), zap.Uint64("configuration", f.configVersion), zap.Uint64("configuration_in_force", inForce),
		zap.Duration("configuration_age", age), zap.String("endpoint", f.broken.endpoint), zap.Duration("endpoint_silent", f.broken.silent),
		zap.Float64("time_used", f.timeUsed()), zap.Int("sends", f.sends), zap.Int("runs", f.runs), zap.NamedError("not_placed", f.notPlaced), zap.Error(err))
}

// cutReason returns what ended a response that has begun.
func (f *inflightCall) cutReason(err error) string {
	switch {
	case errors.Is(err, errCallerNotReading) || errors.Is(err, errAheadFull):
		return cutByUnreadData
	case fault.Is(err, fault.Timeout):
		return cutByCallTimeout
	case fault.Is(err, fault.Stopping):
		return cutByStop
	case fault.Is(err, fault.Cancelled):
		return cutByCaller
	case f.broken.stalled:
		return cutByStall
	}
	return cutByEndpoint
}

// obstacle returns why the response was not continued at another endpoint.
func (f *inflightCall) obstacle() string {
	r := f.call.Route
	switch {
	case !r.Retryable():
		return obstacleRoute
	case f.runs >= max(1, r.MaxAttempts):
		return obstacleAttempts
	case f.budgetUsedUp:
		return obstacleRetryBudget
	case len(f.unsent) >= maxUnsentAttempts:
		return obstacleNoConnection
	case fault.Is(f.notPlaced, fault.Overloaded):
		return obstacleNoPlace
	case f.notPlaced != nil:
		return obstacleNoEndpoint
	}
	return obstacleOther
}

// timeUsed returns the share of the call's time that has passed.
func (f *inflightCall) timeUsed() float64 {
	used := f.elapsed()
	if total := used + f.remaining(); total > 0 {
		return min(1, used.Seconds()/total.Seconds())
	}
	return 1
}
