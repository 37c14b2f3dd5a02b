package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/prefixcache"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// maxPrefills is the maximum number of prefills for one call.
	maxPrefills = 3
	// maxDecodes is the maximum number of decode endpoints that are tried for one prefilled prompt.
	maxDecodes = 5
	// Another decode endpoint is tried only while the handle remains valid for longer than
	// handleExpiryMargin.
	handleExpiryMargin = 60 * time.Millisecond
	// The timeout of a prefill is its predicted duration times prefillFactor, plus prefillSlack.
	prefillSlack  = 350 * time.Millisecond
	prefillFactor = 2
	// memoryWaitFraction is the fraction of the latency target after which a generation stops
	// waiting for engine memory.
	memoryWaitFraction = 0.6
	// PrefillFraction is the maximum predicted prefill time, as a fraction of the latency target. A
	// call that is predicted to take longer stays queued in this VM, where it can use any engine
	// that becomes free, and uses no engine if the caller cancels.
	PrefillFraction = 0.4
	// resumeMemoryWait is how long a stream that has begun, in this call or in an earlier one of its
	// caller, waits for engine memory to continue.
	resumeMemoryWait = 3 * time.Second
)

// generation runs a call on model engines, with or without a separate prefill stage.
type generation struct {
	*inflightCall
	prefills int
	decodes  int
	// prefilled is set once an engine has accepted a prefill of the call.
	prefilled bool
	stream    *eventStream
	// failedEngines holds the engines that failed during this call.
	failedEngines []traffic.EndpointID
	// prefix is the parts of the prompt that engines may hold.
	prefix prefixcache.Chain
}

func (f *inflightCall) generate(ctx context.Context) error {
	g := &generation{inflightCall: f, stream: newEventStream(f), prefix: prefixcache.NewChain(f.call.Prefix)}
	defer g.dropNext()
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

// isFinal reports whether no other attempt may follow a failed one.
func isFinal(err error) bool {
	var attemptErr *attemptError
	return errors.As(err, &attemptErr) && attemptErr.final
}

// shouldRetry reports whether to make another attempt after a failed one. If so, it deducts the
// attempt from the retry budget.
func (g *generation) shouldRetry(ctx context.Context, err error) bool {
	if ctx.Err() == nil && !isFinal(err) && !endsCall(err) && g.next != nil {
		return true
	}
	if ctx.Err() != nil || isFinal(err) || endsCall(err) || g.prefills >= maxPrefills || len(g.unsent) >= maxUnsentAttempts {
		return false
	}
	if !connected(err) {
		return true // nothing arrived, so this is no retry
	}
	if g.mayHaveRun && (!g.call.Route.Retryable() || g.runs >= max(1, g.call.Route.MaxAttempts)) {
		return false
	}
	if g.sends == 0 { // the call has reached no decode engine, and prefills are counted by themselves
		g.log.Info("another prefill", zap.Error(err), zap.Int("prefills", g.prefills))
		return true
	}
	return g.consumeRetryBudget(ctx, err.Error())
}

// connected reports whether a send with the given result got as far as a connection to its engine, or was held back
// from an engine that has one.
func connected(err error) bool {
	return err == nil || backend.MayHaveArrived(err) || errors.Is(err, errHeldBack)
}

// attempt claims the engines, runs the prefill if the service has prefill engines, and streams the
// response of the decode.
func (g *generation) attempt(ctx context.Context) error {
	if err := g.confirmOrigin(ctx); err != nil {
		return &attemptError{err: err, final: true}
	}
	prefill, decode, err := g.takePlaces(ctx)
	if err != nil {
		return &attemptError{err: err, final: true}
	}
	if prefill != nil && !g.holdPrefill() {
		prefill.Release()
		prefill = nil
	}
	if prefill == nil {
		return g.runOnOneEngine(ctx, decode)
	}
	h, err := g.prefill(ctx, prefill, decode)
	if err != nil && g.next != nil {
		g.next.decode = decode // only the prefill is repeated
		return err
	}
	if err != nil {
		decode.Release()
		return err
	}
	g.dropNext()
	prefilledAt := g.dispatcher.opts.Clock.Now()
	fetched, err := g.decodePrefilled(ctx, h, decode, prefilledAt)
	if !fetched {
		h.Regions = g.regions
		g.dispatcher.free(h)
	}
	return err
}

// takePlaces returns the claimed engines of the next attempt.
func (g *generation) takePlaces(ctx context.Context) (prefill, decode *schedule.Claim, err error) {
	if next := g.takeNext(); next != nil {
		return next.prefill, next.decode, nil
	}
	if err := g.checkQuarantine(); err != nil {
		return nil, nil, err
	}
	return g.placeStages(ctx)
}

// memoryWaitLimit returns the deadline for waiting for engine memory, as a duration since the call's
// arrival.
func (g *generation) memoryWaitLimit() time.Duration {
	if g.responseStarted {
		return g.elapsed() + resumeMemoryWait
	}
	if g.resumesStream() {
		return resumeMemoryWait
	}
	return time.Duration(memoryWaitFraction * float64(g.call.Route.LatencyTarget))
}

// claimStages claims the decode engine and then a prefill engine of its software version. The prefill claim is nil if
// there is none: then the decode engine computes the prefill.
func (g *generation) claimStages(ctx context.Context) (prefill, decode *schedule.Claim, err error) {
	decode, err = g.place(ctx, g.newPlacementRequest(traffic.Decode, "", nil), g.memoryWaitLimit())
	if err != nil || !g.dispatcher.opts.Scheduler.HasStage(g.call.Service.Name, traffic.Prefill, g.regions) {
		return nil, decode, err
	}
	prefill, err = g.placePrefill(ctx, decode.Endpoint)
	if err != nil {
		decode.Release()
		return nil, nil, err
	}
	return prefill, decode, nil
}

// placePrefill claims a prefill engine of the decode engine's software version. The claim is nil if only other versions
// can prefill.
func (g *generation) placePrefill(ctx context.Context, decode traffic.Endpoint) (*schedule.Claim, error) {
	request := g.prefillRequest(*g.newPlacementRequest(traffic.Prefill, "", nil), decode)
	claim, err := g.place(ctx, &request, g.memoryWaitLimit())
	if err != nil && g.leftToDecode(decode, err) {
		return nil, nil
	}
	return claim, err
}

// leftToDecode reports whether the decode engine computes the prefill, as the error of placing the prefill is that only
// other software versions have engines for it.
func (g *generation) leftToDecode(decode traffic.Endpoint, err error) bool {
	if !fault.Is(err, fault.Unavailable) || !g.dispatcher.opts.Scheduler.HasOtherVersion(g.call.Service.Name, traffic.Prefill, decode.SoftwareVersion) {
		return false
	}
	g.log.Info("prefill left to the decode engine", zap.String("endpoint", decode.ID.Name), zap.String("software", decode.SoftwareVersion), zap.Error(err))
	return true
}

func (g *generation) newPlacementRequest(stage traffic.Stage, dataCentre string, exclude []traffic.EndpointID) *schedule.Request {
	return &schedule.Request{
		Service: g.call.Service.Name, Stage: stage, Tokens: g.call.Tokens, PreferredDataCentre: dataCentre,
		Exclude: append(exclude, g.failedEngines...), Unsent: g.unsent, NotRetryable: stage == traffic.Decode && !g.call.Route.Retryable(),
		Version: g.requiredVersion(), Prefix: g.prefix, Regions: g.regions, MaxEventGap: g.call.Route.MaxEventGap, BodyBytes: len(g.call.Body),
	}
}

// startPrefillTimer starts the timer of a prefill at the claimed engine for a decode engine. It returns nil if no other
// prefill may follow.
func (g *generation) startPrefillTimer(claim, decode *schedule.Claim, cancel context.CancelCauseFunc) *silenceTimer {
	if g.prefills+1 >= maxPrefills {
		return nil
	}
	timeout := prefillFactor*claim.ExpectedPrefill + prefillSlack
	request := g.prefillRequest(*g.newPlacementRequest(traffic.Prefill, "", []traffic.EndpointID{claim.Endpoint.ID}), decode.Endpoint)
	claimNext := func(bool) (*successor, error) {
		other, err := g.claimNow(request)
		return &successor{prefill: other}, err
	}
	return g.startSilenceTimer(silenceOptions{at: claim, timeout: timeout, examine: true, claim: claimNext, cancel: cancel})
}

// prefill runs the prefill for a decode engine on the claimed engine.
func (g *generation) prefill(ctx context.Context, claim, decode *schedule.Claim) (backend.Handle, error) {
	defer claim.Release()
	if err := g.startSend(claim); err != nil {
		g.prefills++
		g.settlePrefill(claim, err)
		return backend.Handle{}, err
	}
	start := g.dispatcher.opts.Clock.Now()
	stageCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := g.startPrefillTimer(claim, decode, cancel)
	h, err := g.dispatcher.opts.Backend.Prefill(stageCtx, g.newRequest(claim))
	g.next = timer.Stop()
	g.settlePrefill(claim, err)
	claim.RecordLoad(h.Load)
	took := g.dispatcher.opts.Clock.Now().Sub(start)
	if connected(err) {
		g.prefills++
	}
	g.failureLog(err).Info("prompt read", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Int64("tokens", g.call.Tokens.Prompt),
		zap.Duration("expected", claim.ExpectedPrefill), zap.Duration("took", took), zap.Int("parts_expected", claim.Held.Parts),
		zap.Int64("tokens_saved", claim.SavedTokens), zap.Error(err))
	g.dispatcher.opts.Metrics.GetOrCreateHistogram(`fulmartide_prefill_seconds`).Update(took.Seconds())
	if err == nil {
		claim.RecordOutcome(schedule.Succeeded)
		claim.RecordPrefill(g.call.Tokens.Prompt, took)
		claim.RecordHeld()
		return h, nil
	}
	g.recordFailure(stageCtx, claim, err)
	g.examineAbort(stageCtx, claim, err)
	return h, err
}

// recordFailure reports a failed send to the scheduler and, unless the engine rejected the call,
// excludes the engine from later attempts. It ignores failures that the caller's cancellation or the
// call's timeout caused.
func (g *generation) recordFailure(ctx context.Context, claim *schedule.Claim, err error) {
	switch {
	case callerGone(ctx, err) || errors.Is(context.Cause(ctx), errCallTimeout):
		return
	case backend.WasRejected(err):
		claim.RecordRefusal()
		g.countRejected(claim)
		return
	case refusedLate(err):
		g.recordLateRefusal(ctx, claim, err)
		return
	case !backend.MayHaveArrived(err):
		g.recordUnreachable(claim, err)
		return
	case errors.Is(context.Cause(ctx), errEndpointTimeout) && g.next != nil:
		claim.RecordSilence(g.next.silence)
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
		if err == nil || fetched || ctx.Err() != nil || isFinal(err) || endsCall(err) || g.next != nil {
			return fetched, err
		}
		if connected(err) {
			rejectedBy = append(rejectedBy, claim.Endpoint.ID)
		}
		wait := g.handleTTL() - handleExpiryMargin - g.dispatcher.opts.Clock.Now().Sub(prefilledAt)
		if n >= maxDecodes || wait <= 0 {
			return false, err
		}
		until := g.elapsed() + wait
		if backend.MayHaveArrived(err) && !g.consumeRetryBudget(ctx, "decode rejected") {
			return false, &attemptError{err: err, final: true}
		}
		request := g.newPlacementRequest(traffic.Decode, h.Endpoint.DataCentre, rejectedBy)
		request.Version = &h.Endpoint.SoftwareVersion
		request.SkipQueue = true
		next, placeErr := g.place(ctx, request, until)
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

// runOnOneEngine runs a call of a service without prefill engines: the decode engine also computes
// the prefill.
func (g *generation) runOnOneEngine(ctx context.Context, claim *schedule.Claim) error {
	defer claim.Release()
	_, err := g.decode(ctx, claim, nil)
	if err == nil && g.stream.answered() {
		claim.RecordHeld()
	}
	if connected(err) {
		g.prefills++
	}
	return err
}

// loadUnknown is logged if an engine did not report how many calls it is running.
const loadUnknown = -1

// decode sends the call to a decode engine and forwards its events to the caller.
func (g *generation) decode(ctx context.Context, claim *schedule.Claim, h *backend.Handle) (fetched bool, err error) {
	req := g.newRequest(claim)
	req.Source = h
	if lastID := g.stream.lastID; lastID != "" {
		req.LastEventID = lastID
	}
	if err := g.checkQuarantine(); err != nil {
		return false, &attemptError{err: &backend.SendError{Err: err}, final: true}
	}
	if err := g.startSend(claim); err != nil {
		return false, err
	}
	g.decodes++
	g.stream.beginResponse()
	stageCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := g.startStallTimer(claim, g.prefillsAfter(h), cancel)
	running, delimited := loadUnknown, false
	stopWatch := g.watchSilence(claim)
	reply, err := g.dispatcher.opts.Backend.Run(stageCtx, req)
	stopWatch()
	if err == nil {
		defer func() { _ = reply.Body.Close() }()
		claim.RecordLoad(reply.Load)
		delimited = reply.Delimited
		if reply.Load != nil {
			running = reply.Load.Running
		}
		if reply.Rejected {
			err = &backend.SendError{Sent: true, Rejected: true, Err: errRejected}
		}
	}
	g.recordSend(claim, err)
	g.countSend(err)
	if err == nil {
		stall.countEvents(reply.EventStream)
		body := g.newReadAhead(reply.Body, stall, claim, cancel)
		defer body.close()
		err = g.forward(reply, body)
		g.noteBroken(stageCtx, claim, err)
	}
	g.next = stall.Stop()
	g.failureLog(err).Info("decoded", zap.String("endpoint", claim.Endpoint.ID.Name), zap.String("software", claim.Endpoint.SoftwareVersion), zap.String("after", req.LastEventID),
		zap.Int("events", g.stream.events), zap.Bool("delimited", delimited), zap.String("end", string(reply.EndEvidence())), zap.Int("trailing", g.stream.trailing),
		zap.Uint64("id_gap", g.stream.order.gap), zap.Int("running", running), zap.Duration("elapsed", g.elapsed()), zap.Error(err))
	if err == nil {
		claim.RecordOutcome(schedule.Succeeded)
		if reply.EventStream {
			g.recordDecode(claim)
			g.stream.recordStart()
		}
		g.recordAnswer()
		return true, nil
	}
	g.recordFailure(stageCtx, claim, err)
	if g.stream.beginning() {
		g.examineAbort(stageCtx, claim, err)
		if reply != nil && crashed(stageCtx, err) {
			g.dispatcher.opts.Quarantine.RecordCrash(quarantine.Crash{
				Endpoint: claim.Endpoint.ID, Call: g.call.ID, Parts: g.call.PromptParts, Ran: g.dispatcher.opts.Clock.Now().Sub(g.sentAt),
			})
		}
	}
	return backend.MayHaveRun(err), err
}

// prefillsAfter returns the number of prefills of the call after a decode, which computes one itself if h is nil.
func (g *generation) prefillsAfter(h *backend.Handle) int {
	if h == nil {
		return g.prefills + 1
	}
	return g.prefills
}

// recordDecode records how long the events of a complete stream took.
func (g *generation) recordDecode(claim *schedule.Claim) {
	s := g.stream
	if s.begunAt == 0 {
		return
	}
	claim.RecordDecode(s.begunAt.Sub(g.sentAt), s.readBy.Sub(s.begunAt), s.events-s.eventsBefore-1)
}

// forward delivers the response of an engine that accepted the call.
func (g *generation) forward(reply *backend.Response, body *readAhead) error {
	if reply.Status >= http.StatusMultipleChoices {
		return g.forwardError(reply, body)
	}
	return g.stream.forward(reply, body)
}

// forwardError delivers an engine's error response. If the response to the caller has already
// started, or the call may be retried at another engine, it returns an error instead.
func (g *generation) forwardError(reply *backend.Response, body *readAhead) error {
	if g.responseStarted || g.call.Route.Retryable() && g.runs < g.call.Route.MaxAttempts {
		return &backend.SendError{Sent: true, Err: errEngineErrorStatus}
	}
	return g.stream.forward(reply, body)
}

var errEngineErrorStatus = errors.New("the engine responded with an error status")
