package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

const (
	// maxResponseBytes is the maximum size of a response body, which is buffered before delivery.
	maxResponseBytes = 8 << 20
	// maxUnsentTries is the number of endpoints that may fail to accept a connection before the call
	// is rejected.
	maxUnsentTries = 4
	// tryTimeoutFraction is the fraction of the latency objective after which a repeatable call is
	// sent to another endpoint.
	tryTimeoutFraction = 0.6
	// minTryTimeout is the minimum timeout of a try that another one may follow.
	minTryTimeout = 50 * time.Millisecond
	// capacityWaitFraction is the fraction of the latency objective for which a call waits for
	// capacity.
	capacityWaitFraction = 0.5
)

// response is an endpoint's response with its complete body.
type response struct {
	reply *backend.Response
	body  []byte
}

// servePlain serves a call whose response is delivered once it is complete.
func (f *inflightCall) servePlain(ctx context.Context) error {
	var errorResponse *response // the last response with a server error, if any
	unsent := 0
	for {
		resp, err := f.tryEndpoint(ctx)
		if err == nil && (resp.reply.Status < http.StatusInternalServerError || !f.call.Route.Retryable()) {
			return f.deliver(ctx, resp)
		}
		if err == nil {
			errorResponse = resp
		}
		if err != nil && !backend.MayHaveArrived(err) {
			unsent++
		}
		if !f.shouldTryAnother(ctx, err, unsent) {
			if errorResponse != nil {
				return f.deliver(ctx, errorResponse)
			}
			return f.callerError(ctx, err)
		}
	}
}

// shouldTryAnother reports whether to send the call to another endpoint after a failed try.
func (f *inflightCall) shouldTryAnother(ctx context.Context, err error, unsent int) bool {
	r := f.call.Route
	switch {
	case ctx.Err() != nil || unsent >= maxUnsentTries:
		return false
	case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.Unavailable):
		return false // no endpoint could be claimed
	case err != nil && !backend.MayHaveArrived(err):
		return true
	case err != nil && backend.WasRejected(err):
		return f.consumeRetryBudget("rejected")
	default:
		return r.Retryable() && f.runs < max(1, r.MaxAttempts) && f.consumeRetryBudget("failed")
	}
}

// tryEndpoint claims an endpoint, sends the call and reads the response.
func (f *inflightCall) tryEndpoint(ctx context.Context) (*response, error) {
	ask := &schedule.Request{Service: f.call.Service.Name, Exclude: f.tried, NotRetryable: !f.call.Route.Retryable()}
	claim, err := f.place(ctx, ask, time.Duration(capacityWaitFraction*float64(f.call.Route.LatencyTarget)))
	if err != nil {
		return nil, err
	}
	defer claim.Release()
	f.tried = append(f.tried, claim.Endpoint.ID)
	if timeout, ok := f.tryTimeout(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, timeout, errTryTimeout)
		defer cancel()
	}
	resp, err := f.send(ctx, claim)
	f.recordOutcome(ctx, claim, resp, err)
	return resp, err
}

// errTryTimeout is the cancellation cause when a try reaches its timeout.
var errTryTimeout = errors.New("the endpoint gave no answer in the time of one try")

// tryTimeout returns the timeout of one try, and false if no other try may follow.
func (f *inflightCall) tryTimeout() (time.Duration, bool) {
	r := f.call.Route
	timeout := max(minTryTimeout, time.Duration(tryTimeoutFraction*float64(r.LatencyTarget)))
	return timeout, r.Retryable() && f.runs+1 < r.MaxAttempts && timeout < f.remaining()
}

// send sends the call to the claimed endpoint and reads the complete response.
func (f *inflightCall) send(ctx context.Context, claim *schedule.Claim) (*response, error) {
	reply, err := f.dispatcher.opts.Backend.Run(ctx, f.newRequest(claim.Endpoint))
	if err != nil {
		f.countSend(err)
		return nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	claim.RecordLoad(reply.Load)
	if reply.NotRun {
		err = &backend.SendError{Sent: true, Rejected: true, Err: errRejected}
		f.countSend(err)
		return nil, err
	}
	f.countSend(nil)
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		return nil, &backend.SendError{Sent: true, Err: err}
	}
	return &response{reply: reply, body: body}, nil
}

var (
	errRejected         = errors.New("the endpoint rejected the call")
	errResponseTooLarge = errors.New("the endpoint's response is too large")
)

// countSend updates the counters of sends and runs; err is nil if the endpoint responded.
func (f *inflightCall) countSend(err error) {
	if err == nil || backend.MayHaveArrived(err) {
		f.sends++
	}
	if err == nil || backend.MayHaveRun(err) {
		f.runs++
		f.mayHaveRun = true
	}
}

// recordOutcome logs the outcome of a try and reports it to the scheduler.
func (f *inflightCall) recordOutcome(ctx context.Context, claim *schedule.Claim, resp *response, err error) {
	status := 0
	if resp != nil {
		status = resp.reply.Status
	}
	f.log.Info("tried", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Int("status", status),
		zap.Bool("may_have_run", err == nil || backend.MayHaveRun(err)), zap.Duration("elapsed", f.elapsed()), zap.Error(err))
	switch {
	case err == nil && status >= http.StatusInternalServerError:
		claim.RecordOutcome(schedule.Errored)
	case err == nil:
		claim.RecordOutcome(schedule.Succeeded)
	case backend.WasRejected(err):
		claim.RecordRefusal()
	case !backend.MayHaveArrived(err):
		if ctx.Err() == nil {
			claim.RecordOutcome(schedule.Dead)
		}
	case callerCancelled(ctx):
	default:
		claim.RecordOutcome(schedule.Failed)
	}
}

// callerCancelled reports whether ctx ended because the caller cancelled the call.
func callerCancelled(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.Canceled)
}

// deliver sends a complete response to the caller.
func (f *inflightCall) deliver(ctx context.Context, resp *response) error {
	f.responseStarted = true
	err := f.sink.WriteHeader(resp.reply.Status, resp.reply.Header, int64(len(resp.body)))
	if err == nil {
		err = f.sink.WriteData(resp.body)
	}
	if err != nil {
		return fault.Wrap(err, fault.Cancelled, "keep the connection open", "write to the caller", fault.WithExecution(fault.Executed))
	}
	return nil
}
