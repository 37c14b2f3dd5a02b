package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/ending"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// maxBufferedResponse is the size up to which the body of a response is buffered before delivery, so that a truncated
	// one can be replaced by another attempt, or by an error that says so.
	maxBufferedResponse = 256 << 10
	// maxUnsentAttempts is the number of attempts without a connection to the endpoint after which
	// the call fails.
	maxUnsentAttempts = 4
	// attemptTimeoutFraction is the fraction of the latency target after which a retryable call is
	// sent to another endpoint, if one can be claimed.
	attemptTimeoutFraction = 0.6
	// minAttemptTimeout is the minimum timeout of an attempt that another one may follow.
	minAttemptTimeout = 50 * time.Millisecond
	// maxWriteBytes is the most that is written to a caller at once, so that one that reads slowly is told from one that
	// does not read.
	maxWriteBytes = 64 << 10
	// capacityWaitFraction is the fraction of the latency target after which a call stops waiting for
	// capacity.
	capacityWaitFraction = 0.5
)

// response is an endpoint's response with as much of its body as is buffered.
type response struct {
	reply *backend.Response
	// buffered is nil if the endpoint rejected the call.
	buffered *bodybuffer.Body
	// complete is set if the whole body is buffered.
	complete bool
	// delivered is set once the response has been sent to the caller.
	delivered bool
}

// succeeded reports whether the endpoint did not respond with a server error.
func (r *response) succeeded() bool { return r.reply.Status < http.StatusInternalServerError }

// servePlain serves a call whose response is not a series of events.
func (f *inflightCall) servePlain(ctx context.Context) error {
	defer f.dropNext()
	var errorResponse *response // the last response with a server error, if any
	unsent := 0
	for {
		resp, err := f.attemptPlain(ctx)
		if resp != nil {
			defer resp.buffered.Release()
		}
		switch {
		case err == nil && resp.delivered:
			return nil
		case err == nil && (resp.succeeded() || !f.call.Route.Retryable()):
			f.dropNext() // a caller may take long to read
			return f.deliver(resp)
		case err == nil:
			errorResponse = resp
		case !backend.MayHaveArrived(err):
			unsent++
		}
		if f.shouldRetryPlain(ctx, err, unsent) {
			continue
		}
		if errorResponse != nil && !f.responseStarted {
			return f.deliver(errorResponse)
		}
		return f.callerError(ctx, err)
	}
}

// shouldRetryPlain reports whether to send the call to another endpoint after a failed attempt.
// unsent is the number of attempts whose call was never sent; a retry after such an attempt is free.
// Any other retry is deducted from the retry budget.
func (f *inflightCall) shouldRetryPlain(ctx context.Context, err error, unsent int) bool {
	r := f.call.Route
	switch {
	case ctx.Err() != nil || endsCall(err) || f.responseStarted || unsent >= maxUnsentAttempts:
		return false
	case f.next != nil || refusedLate(err):
		return true
	case fault.Is(err, fault.Overloaded) || fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Quarantined):
		return false // no endpoint could be claimed, or none should be
	case err != nil && !backend.MayHaveArrived(err):
		return true
	case err != nil && backend.WasRejected(err):
		return f.consumeRetryBudget(ctx, "rejected")
	default:
		return r.Retryable() && f.runs < max(1, r.MaxAttempts) && f.consumeRetryBudget(ctx, "failed")
	}
}

// attemptPlain claims an endpoint, sends the call and reads the response. A response that is not buffered completely is
// delivered at once.
func (f *inflightCall) attemptPlain(ctx context.Context) (*response, error) {
	claim, err := f.placePlain(ctx)
	if err != nil {
		return nil, err
	}
	defer claim.Release()
	if err := f.startSend(claim); err != nil {
		f.tried = append(f.tried, claim.Endpoint.ID)
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := f.startAttemptTimer(claim, cancel)
	resp, err := f.send(ctx, claim)
	f.next = timer.Stop()
	if err == nil || backend.MayHaveArrived(err) {
		f.tried = append(f.tried, claim.Endpoint.ID)
	}
	if resp != nil {
		defer func() { _ = resp.reply.Body.Close() }()
	}
	if err == nil && !resp.complete {
		if f.next == nil {
			body := f.newReadAhead(resp.reply.Body, nil, claim, cancel)
			defer body.close()
			err = f.deliverAsItArrives(resp, body)
			f.noteBroken(ctx, claim, err)
		} else {
			err = &backend.SendError{Sent: true, Err: errEndpointTimeout}
		}
	}
	f.recordOutcome(ctx, claim, resp, err)
	return resp, err
}

// placePlain claims the endpoint of the next attempt.
func (f *inflightCall) placePlain(ctx context.Context) (*schedule.Claim, error) {
	if next := f.takeNext(); next != nil {
		return next.decode, nil
	}
	if err := f.checkQuarantine(); err != nil {
		return nil, err
	}
	return f.place(ctx, f.plainRequest(f.tried), time.Duration(capacityWaitFraction*float64(f.call.Route.LatencyTarget)))
}

func (f *inflightCall) plainRequest(exclude []traffic.EndpointID) *schedule.Request {
	return &schedule.Request{
		Service: f.call.Service.Name, Exclude: exclude, Unsent: f.unsent, NotRetryable: !f.call.Route.Retryable(),
		Version: f.requiredVersion(), Regions: f.regions, BodyBytes: len(f.call.Body),
	}
}

// startAttemptTimer starts the timer of an attempt that another one may follow, nil if none may.
func (f *inflightCall) startAttemptTimer(claim *schedule.Claim, cancel context.CancelCauseFunc) *silenceTimer {
	timeout, ok := f.attemptTimeout()
	if !ok {
		return nil
	}
	request := f.plainRequest(append(slices.Clip(f.tried), claim.Endpoint.ID))
	began := f.dispatcher.opts.Clock.Now()
	claimNext := func(bool) (*successor, error) {
		late := f.dispatcher.opts.Clock.Now().Sub(began) >= timeout+successorPeriod
		if late && timeout >= f.remaining() {
			return nil, errTimeNearlyOver
		}
		other, err := f.claimNow(*request)
		return &successor{decode: other}, err
	}
	return f.startSilenceTimer(silenceOptions{at: claim, timeout: timeout, claim: claimNext, cancel: cancel})
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

// send sends the call to the claimed endpoint and reads the response, as far as it may be buffered. The caller must
// close the body of the reply.
func (f *inflightCall) send(ctx context.Context, claim *schedule.Claim) (*response, error) {
	stop := f.watchSilence(claim)
	reply, err := f.dispatcher.opts.Backend.Run(ctx, f.newRequest(claim))
	stop()
	f.recordSend(claim, err)
	if err != nil {
		f.countSend(err)
		return nil, err
	}
	claim.RecordLoad(reply.Load)
	resp := &response{reply: reply}
	if reply.Rejected {
		err = &backend.SendError{Sent: true, Rejected: true, Err: errRejected}
		f.countSend(err)
		return resp, err
	}
	f.countSend(nil)
	return resp, f.buffer(resp)
}

// buffer reads the body of a response, as far as it may be buffered.
func (f *inflightCall) buffer(resp *response) error {
	resp.buffered = f.dispatcher.opts.Bodies.NewBody()
	err := resp.buffered.Read(resp.reply.Body, maxBufferedResponse)
	switch {
	case err == nil:
		resp.complete = true
	case errors.Is(err, bodybuffer.ErrTooLong) || errors.Is(err, bodybuffer.ErrBudgetUsedUp):
		f.log.Info("response not buffered", zap.Int("bytes", len(resp.buffered.Bytes())), zap.Error(err))
	default:
		return &backend.SendError{Sent: true, Err: err}
	}
	return nil
}

// recordOutcome logs the outcome of an attempt and reports it to the scheduler.
func (f *inflightCall) recordOutcome(ctx context.Context, claim *schedule.Claim, resp *response, err error) {
	status, delimited, end := 0, false, ending.Evidence("")
	if resp != nil {
		delimited, end = resp.reply.Delimited, resp.reply.EndEvidence()
	}
	if resp != nil && err == nil {
		status = resp.reply.Status
	}
	f.failureLog(err).Info("tried", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Int("status", status), zap.Bool("delimited", delimited),
		zap.String("end", string(end)), zap.Bool("may_have_run", err == nil || backend.MayHaveRun(err)), zap.Duration("elapsed", f.elapsed()), zap.Error(err))
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
	case refusedLate(err):
		f.recordLateRefusal(ctx, claim, err)
	case !backend.MayHaveArrived(err):
		if ctx.Err() == nil && !callerGone(ctx, err) {
			f.recordUnreachable(claim, err)
		}
	case callerGone(ctx, err):
		// The error says nothing about the endpoint.
	default:
		claim.RecordOutcome(schedule.Failed)
		f.examineAbort(ctx, claim, err)
	}
}

// deliver sends a completely buffered response to the caller.
func (f *inflightCall) deliver(resp *response) error {
	body := resp.buffered.Bytes()
	all := f.newReadAhead(bytes.NewReader(nil), nil, nil, func(error) {})
	defer all.close()
	return f.startResponse(resp.reply, int64(len(body)), all, body)
}

// deliverAsItArrives sends to the caller what is buffered of a response, then the rest as it arrives.
func (f *inflightCall) deliverAsItArrives(resp *response, body *readAhead) error {
	resp.delivered = true
	if err := f.startResponse(resp.reply, resp.reply.Length, body, resp.buffered.Bytes()); err != nil {
		return err
	}
	resp.buffered.Release()
	buf := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if writeErr := writeToCaller(body, buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return readError(err)
		}
	}
}

// startResponse sends the header of a response and the beginning of its body to the caller.
func (f *inflightCall) startResponse(reply *backend.Response, length int64, body *readAhead, beginning []byte) error {
	f.responseStarted = true
	if reply.EventStream {
		f.recordOrigin(reply.Lifetime)
	}
	if err := f.sink.WriteHeader(reply.Status, reply.Header, length); err != nil {
		return callerWriteError(err)
	}
	for ; len(beginning) > maxWriteBytes; beginning = beginning[maxWriteBytes:] {
		if err := writeToCaller(body, beginning[:maxWriteBytes]); err != nil {
			return err
		}
	}
	return writeToCaller(body, beginning)
}

func writeToCaller(body *readAhead, p []byte) error {
	if err := body.write(p); err != nil {
		return callerWriteError(err)
	}
	return nil
}
