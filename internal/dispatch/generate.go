package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// maxPrefills is the maximum number of prefills for one call.
	maxPrefills = 3
	// maxDecodes is the maximum number of decode endpoints that are tried for one prefilled prompt.
	maxDecodes = 5
	// handleExpiryMargin is the minimum time until a handle expires at which another decode endpoint
	// is tried.
	handleExpiryMargin = 60 * time.Millisecond
	// The timeout of a prefill is its predicted duration times prefillFactor, plus prefillSlack.
	prefillSlack  = 350 * time.Millisecond
	prefillFactor = 2
	// A stream that can be resumed at another endpoint is aborted after a pause of stallFactor times
	// the route's event gap, but not before stallMin.
	stallFactor = 3
	stallMin    = 900 * time.Millisecond
	// memoryWaitFraction is the fraction of the latency objective for which a generation waits for
	// engine memory.
	memoryWaitFraction = 0.6
	// prefillFraction is the fraction of the latency objective that a prefill may take by prediction.
	// Calls that would take longer wait here: they go to the first engine that becomes free, and
	// cost nothing if the caller cancels.
	prefillFraction = 0.4
	// resumeMemoryWait is how long a call whose response has started waits for engine memory to
	// resume.
	resumeMemoryWait = 3 * time.Second
)

// generation runs a call on engines with separate prefill and decode stages.
type generation struct {
	*inflightCall
	prefills int
	decodes  int
	stream   *eventStream
	// failedEngines holds the engines that failed during this call.
	failedEngines []traffic.EndpointID
}

func (f *inflightCall) generate(ctx context.Context) error {
	g := &generation{inflightCall: f, stream: newEventStream(f)}
	for {
		err := g.attempt(ctx)
		if err == nil {
			return nil
		}
		if !g.shouldRetry(ctx, err) {
			return g.callerError(ctx, err)
		}
	}
}

// attemptError is the failure of an attempt. If final is set, no other attempt follows.
type attemptError struct {
	err   error
	final bool
}

func (e *attemptError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// shouldRetry reports whether to make another attempt after a failed one.
func (g *generation) shouldRetry(ctx context.Context, err error) bool {
	var attemptErr *attemptError
	if ctx.Err() != nil || errors.As(err, &attemptErr) && attemptErr.final || g.prefills >= maxPrefills {
		return false
	}
	if g.mayHaveRun && (!g.call.Route.Retryable() || g.runs >= max(1, g.call.Route.MaxAttempts)) {
		return false
	}
	return g.consumeRetryBudget(err.Error())
}

// attempt claims the engines, runs the prefill and streams the response of the decode.
func (g *generation) attempt(ctx context.Context) error {
	prefill, decode, err := g.placeStages(ctx)
	if err != nil {
		return &attemptError{err: err, final: true}
	}
	if prefill == nil {
		return g.decodeWithoutPrefill(ctx, decode)
	}
	h, err := g.prefill(ctx, prefill)
	if err != nil {
		decode.Release()
		return err
	}
	prefilledAt := g.dispatcher.opts.Clock.Now()
	fetched, err := g.decodePrefilled(ctx, h, decode, prefilledAt)
	if !fetched {
		g.dispatcher.free(h)
	}
	return err
}

// memoryWaitLimit returns the time after the call's arrival until which it waits for engine memory.
func (g *generation) memoryWaitLimit() time.Duration {
	if g.responseStarted {
		return g.elapsed() + resumeMemoryWait
	}
	return time.Duration(memoryWaitFraction * float64(g.call.Route.LatencyTarget))
}

// placeStages claims the decode engine and then the prefill engine. The prefill claim is nil if the
// service has no prefill engines.
func (g *generation) placeStages(ctx context.Context) (prefill, decode *schedule.Claim, err error) {
	if !g.dispatcher.opts.Scheduler.HasStage(g.call.Service.Name, traffic.Prefill) {
		decode, err = g.place(ctx, g.newAsk(traffic.Decode, "", nil), g.memoryWaitLimit())
		return nil, decode, err
	}
	decode, err = g.place(ctx, g.newAsk(traffic.Decode, "", nil), g.memoryWaitLimit())
	if err != nil {
		return nil, nil, err
	}
	ask := g.newAsk(traffic.Prefill, decode.Endpoint.DataCentre, nil)
	ask.MaxPrefillTime = time.Duration(prefillFraction * float64(g.call.Route.LatencyTarget))
	prefill, err = g.place(ctx, ask, g.memoryWaitLimit())
	if err != nil {
		decode.Release()
		return nil, nil, err
	}
	return prefill, decode, nil
}

func (g *generation) newAsk(stage traffic.Stage, dataCentre string, avoid []traffic.EndpointID) *schedule.Request {
	return &schedule.Request{
		Service: g.call.Service.Name, Stage: stage, Tokens: g.call.Tokens, PreferredDataCentre: dataCentre,
		Exclude: append(avoid, g.failedEngines...), NotRetryable: stage == traffic.Decode && !g.call.Route.Retryable(),
	}
}

// prefill runs the prefill on the claimed engine.
func (g *generation) prefill(ctx context.Context, claim *schedule.Claim) (backend.Handle, error) {
	defer claim.Release()
	g.prefills++
	start := g.dispatcher.opts.Clock.Now()
	timeout := prefillFactor*claim.ExpectedPrefill + prefillSlack
	tryCtx, cancel := context.WithTimeoutCause(ctx, timeout, errTryTimeout)
	defer cancel()
	h, err := g.dispatcher.opts.Backend.Prefill(tryCtx, g.newRequest(claim.Endpoint))
	took := g.dispatcher.opts.Clock.Now().Sub(start)
	g.log.Info("prompt read", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Int64("tokens", g.call.Tokens.Prompt),
		zap.Duration("expected", claim.ExpectedPrefill), zap.Duration("took", took), zap.Error(err))
	g.dispatcher.opts.Metrics.GetOrCreateHistogram(`fulmartide_prefill_seconds`).Update(took.Seconds())
	if err == nil {
		claim.RecordOutcome(schedule.Succeeded)
		claim.RecordPrefill(g.call.Tokens.Prompt, took)
		return h, nil
	}
	g.recordFailure(tryCtx, claim, err)
	return h, err
}

// recordFailure reports a failed send to the scheduler.
func (g *generation) recordFailure(ctx context.Context, claim *schedule.Claim, err error) {
	switch {
	case callerCancelled(ctx) || errors.Is(context.Cause(ctx), errCallTimeout):
		return
	case backend.WasRejected(err):
		claim.RecordRefusal()
		return
	case !backend.MayHaveArrived(err) || errors.Is(context.Cause(ctx), errTryTimeout):
		claim.RecordOutcome(schedule.Dead)
	default:
		claim.RecordOutcome(schedule.Failed)
	}
	g.failedEngines = append(g.failedEngines, claim.Endpoint.ID)
}

// decodePrefilled sends a prefilled call to decode engines until one accepts it, and streams the
// response. fetched reports whether an engine may have fetched the KV cache.
func (g *generation) decodePrefilled(
	ctx context.Context, h backend.Handle, claim *schedule.Claim, prefilledAt clock.Instant,
) (fetched bool, err error) {
	var rejectedBy []traffic.EndpointID
	for n := 1; ; n++ {
		fetched, err = g.decode(ctx, claim, &h)
		claim.Release()
		if err == nil || fetched || ctx.Err() != nil {
			return fetched, err
		}
		rejectedBy = append(rejectedBy, claim.Endpoint.ID)
		wait := g.handleTTL() - handleExpiryMargin - g.dispatcher.opts.Clock.Now().Sub(prefilledAt)
		if n >= maxDecodes || wait <= 0 {
			return false, err
		}
		if backend.MayHaveArrived(err) && !g.consumeRetryBudget("decode rejected") {
			return false, &attemptError{err: err, final: true}
		}
		ask := g.newAsk(traffic.Decode, h.Endpoint.DataCentre, rejectedBy)
		ask.SkipQueue = true
		next, placeErr := g.place(ctx, ask, g.elapsed()+wait)
		if placeErr != nil {
			return false, err
		}
		claim = next
	}
}

func (g *generation) handleTTL() time.Duration {
	if g.call.Service.Engine == nil {
		return 0
	}
	return g.call.Service.Engine.HandleTTL
}

// decodeWithoutPrefill runs both prefill and decode on one engine.
func (g *generation) decodeWithoutPrefill(ctx context.Context, claim *schedule.Claim) error {
	defer claim.Release()
	g.prefills++
	_, err := g.decode(ctx, claim, nil)
	return err
}

// loadUnknown is logged if an engine did not report how many calls it is running.
const loadUnknown = -1

// decode sends the call to a decode engine and forwards its events to the caller.
func (g *generation) decode(ctx context.Context, claim *schedule.Claim, h *backend.Handle) (fetched bool, err error) {
	req := g.newRequest(claim.Endpoint)
	req.Source = h
	if lastID := g.stream.lastID; lastID != "" {
		req.LastEventID = lastID
	}
	g.decodes++
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := g.startStallTimer(cancel)
	defer stall.Stop()
	running := loadUnknown
	reply, err := g.dispatcher.opts.Backend.Run(tryCtx, req)
	if err == nil {
		defer func() { _ = reply.Body.Close() }()
		claim.RecordLoad(reply.Load)
		if reply.Load != nil {
			running = reply.Load.Running
		}
		if reply.NotRun {
			err = &backend.SendError{Sent: true, Rejected: true, Err: errRejected}
		}
	}
	g.countSend(err)
	if err == nil {
		err = g.forward(reply, stall)
	}
	g.log.Info("decoded", zap.String("endpoint", claim.Endpoint.ID.Name), zap.String("after", req.LastEventID),
		zap.Int("events", g.stream.events),
		zap.Int("running", running), zap.Duration("elapsed", g.elapsed()), zap.Error(err))
	if err == nil {
		claim.RecordOutcome(schedule.Succeeded)
		return true, nil
	}
	g.recordFailure(tryCtx, claim, err)
	return backend.MayHaveRun(err), err
}

// forward delivers the response of an engine that accepted the call.
func (g *generation) forward(reply *backend.Response, stall *stallTimer) error {
	if reply.Status >= http.StatusMultipleChoices {
		return g.forwardError(reply)
	}
	return g.stream.forward(reply, stall)
}

// forwardError delivers an engine's error response, unless the call may be retried elsewhere.
func (g *generation) forwardError(reply *backend.Response) error {
	if g.responseStarted || g.call.Route.Retryable() && g.runs < g.call.Route.MaxAttempts {
		return &backend.SendError{Sent: true, Err: errEngineResponse}
	}
	return g.stream.forward(reply, nil)
}

var errEngineResponse = errors.New("the engine responded with an error status")

// stallTimer aborts a try that has received no data for its timeout. A nil stallTimer does nothing.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

// Stop stops the timer.
func (t *stallTimer) Stop() {
	if t != nil {
		t.timer.Stop()
	}
}

func (t *stallTimer) reset() {
	if t != nil {
		t.timer.Reset(t.timeout)
	}
}

// startStallTimer starts the stall timer of a stream that can be resumed elsewhere. It returns nil if
// no other attempt may follow.
func (g *generation) startStallTimer(cancel context.CancelCauseFunc) *stallTimer {
	r := g.call.Route
	if !r.Retryable() || g.runs+1 >= r.MaxAttempts {
		return nil
	}
	timeout := max(stallMin, stallFactor*r.MaxEventGap)
	return &stallTimer{timer: time.AfterFunc(timeout, func() { cancel(errTryTimeout) }), timeout: timeout}
}
