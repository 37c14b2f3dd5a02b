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
	// maxUnsentAttempts is the number of attempts without a connection to the endpoint after which
	// the call fails.
	maxUnsentAttempts = 4
	// attemptTimeoutFraction is the fraction of the latency target after which a retryable call is
	// sent to another endpoint.
	attemptTimeoutFraction = 0.6
	// minAttemptTimeout is the minimum timeout of an attempt that another one may follow.
	minAttemptTimeout = 50 * time.Millisecond
	// capacityWaitFraction is the fraction of the latency target after which a call stops waiting for
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
		resp, err := f.attemptPlain(ctx)
		if err == nil && (resp.reply.Status < http.StatusInternalServerError || !f.call.Route.Retryable()) {
			return f.deliver(ctx, resp)
		}
		if err == nil {
			errorResponse = resp
		}
		if err != nil && !backend.MayHaveArrived(err) {
			unsent++
		}
		if !f.shouldRetryPlain(ctx, err, unsent) {
			if errorResponse != nil {
				return f.deliver(ctx, errorResponse)
			}
			return f.callerError(ctx, err)
		}
	}
}

// shouldRetryPlain reports whether to send the call to another endpoint after a failed attempt.
// unsent is the number of attempts whose call was never sent; a retry after such an attempt is free.
// Any other retry is deducted from the retry budget.
func (f *inflightCall) shouldRetryPlain(ctx context.Context, err error, unsent int) bool {
	r := f.call.Route
	switch {
	case ctx.Err() != nil || unsent >= maxUnsentAttempts:
		return false
	case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Quarantined):
		return false // no endpoint could be claimed, or none should be
	case err != nil && !backend.MayHaveArrived(err):
		return true
	case err != nil && backend.WasRejected(err):
		return f.consumeRetryBudget("rejected")
	default:
		return r.Retryable() && f.runs < max(1, r.MaxAttempts) && f.consumeRetryBudget("failed")
	}
}

// attemptPlain claims an endpoint, sends the call and reads the response.
func (f *inflightCall) attemptPlain(ctx context.Context) (*response, error) {
	if err := f.checkQuarantine(); err != nil {
		return nil, err
	}
	request := &schedule.Request{Service: f.call.Service.Name, Exclude: f.tried, NotRetryable: !f.call.Route.Retryable()}
	claim, err := f.place(ctx, request, time.Duration(capacityWaitFraction*float64(f.call.Route.LatencyTarget)))
	if err != nil {
		return nil, err
	}
	defer claim.Release()
	f.tried = append(f.tried, claim.Endpoint.ID)
	if err := f.startSend(claim); err != nil {
		return nil, err
	}
	if timeout, ok := f.attemptTimeout(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, timeout, errEndpointTimeout)
		defer cancel()
	}
	resp, err := f.send(ctx, claim)
	f.recordOutcome(ctx, claim, resp, err)
	return resp, err
}

// errEndpointTimeout is the cancellation cause when an endpoint does not respond within the timeout
// of a request, or when its stream stalls.
var errEndpointTimeout = errors.New("the endpoint gave no answer in the time of one try")

// attemptTimeout returns the timeout of one attempt. It returns false if no other attempt may follow,
// or if the call itself ends earlier.
func (f *inflightCall) attemptTimeout() (time.Duration, bool) {
	r := f.call.Route
	timeout := max(minAttemptTimeout, time.Duration(attemptTimeoutFraction*float64(r.LatencyTarget)))
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
	if reply.Rejected {
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

// startSend fails if nothing may be sent to the claimed endpoint now.
func (f *inflightCall) startSend(claim *schedule.Claim) error {
	f.sentAt = f.dispatcher.opts.Clock.Now()
	if claim.StartSend() {
		return nil
	}
	f.log.Info("not sent", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Error(errHeldBack))
	return &backend.SendError{Err: errHeldBack}
}

// errHeldBack means that a request was not sent because of what the endpoint had said in the meantime.
var errHeldBack = errors.New("the endpoint asked for a pause, or its rate limit leaves this VM no request now")

var (
	errRejected         = errors.New("the endpoint rejected the call")
	errResponseTooLarge = errors.New("the endpoint's response is too large")
)

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

// recordOutcome logs the outcome of an attempt and reports it to the scheduler.
func (f *inflightCall) recordOutcome(ctx context.Context, claim *schedule.Claim, resp *response, err error) {
	status := 0
	if resp != nil {
		status = resp.reply.Status
	}
	f.failureLog(err).Info("tried", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Int("status", status),
		zap.Bool("may_have_run", err == nil || backend.MayHaveRun(err)), zap.Duration("elapsed", f.elapsed()), zap.Error(err))
	if err == nil {
		f.recordAnswer()
	}
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
		// The error says nothing about the endpoint.
	default:
		claim.RecordOutcome(schedule.Failed)
		f.examineAbort(ctx, claim, err)
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
