// Package dispatch processes calls: it matches a route, authenticates and admits the caller, places
// the call at an endpoint, runs it, delivers the response and recovers from failures. It works on the
// types of package traffic and reaches callers and endpoints through interfaces, so all front ends
// share it.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Sink receives the response to one call. If Serve fails after WriteHeader was called, the implementation
// must make the truncated response recognizable to the caller.
type Sink interface {
	// WriteHeader starts the response. length is the length of the body, -1 if unknown.
	WriteHeader(status int, header map[string][]string, length int64) error
	// WriteData sends a part of the body to the caller without buffering. If the implementation has a method Abort(),
	// which makes a blocked WriteData fail, responses to slow callers are read ahead.
	WriteData(p []byte) error
}

// Options configures a Dispatcher.
type Options struct {
	Clock clock.Clock
	// Configuration returns the current configuration, nil before the first one has arrived.
	Configuration func() *traffic.Configuration
	// ConfigurationAge returns how long the current configuration has been in force at this VM. It may be nil.
	ConfigurationAge func() time.Duration
	Scheduler        *schedule.Scheduler
	Backend          backend.Client
	Admission        *admission.Controller
	// Quarantine keeps calls that crash endpoints from them. If nil, the Dispatcher creates one of its own.
	Quarantine *quarantine.Controller
	// Origins remembers where streams began. If nil, the Dispatcher creates one of its own.
	Origins *origin.Controller
	// ReachedElsewhere reports whether other VMs reach an endpoint. It may be nil.
	ReachedElsewhere func(context.Context, traffic.Endpoint) bool
	// OnSilent is called if an endpoint does not answer a request for some time. It must not block. It may be nil.
	OnSilent func(traffic.Endpoint)
	// Bodies is the memory for response bodies. If nil, the Dispatcher creates one of its own.
	Bodies  *bodybuffer.Budget
	Log     *zap.Logger
	Metrics *metrics.Set
	// Seed seeds the random choice between the services of a route.
	Seed uint64
}

// Dispatcher serves calls.
type Dispatcher struct {
	opts      Options
	freeQueue chan backend.Handle
	// aborted holds the sends to be examined for crashes of their endpoints.
	aborted chan abortedSend
	// slowCallers is the memory for what slow callers have not read, a part of that for bodies.
	slowCallers *bodybuffer.Budget
	// stopping ends when Stop is called, with errStopping as its cause.
	stopping context.Context
	stop     context.CancelCauseFunc

	mu     sync.Mutex
	random *rand.Rand
}

// defaultBodyMemory is the memory for response bodies of a Dispatcher with its own budget, in bytes.
const defaultBodyMemory = 32 << 20

// slowCallerFraction is the part of the memory for bodies that what slow callers have not read may take, as its inverse.
const slowCallerFraction = 2

// New returns a Dispatcher. Its Run method must be running while it serves calls.
func New(o Options) *Dispatcher {
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewController(quarantine.Options{
			Clock: o.Clock, Log: o.Log, Metrics: o.Metrics, MayTry: func() bool { return true },
		})
	}
	if o.ReachedElsewhere == nil {
		o.ReachedElsewhere = func(context.Context, traffic.Endpoint) bool { return false }
	}
	if o.ConfigurationAge == nil {
		o.ConfigurationAge = func() time.Duration { return 0 }
	}
	if o.OnSilent == nil {
		o.OnSilent = func(traffic.Endpoint) {}
	}
	if o.Origins == nil {
		o.Origins = origin.NewController(origin.Options{Clock: o.Clock, Log: o.Log, Metrics: o.Metrics})
	}
	if o.Bodies == nil {
		o.Bodies = bodybuffer.NewBudget(defaultBodyMemory, o.Metrics)
	}
	stopping, stop := context.WithCancelCause(context.Background())
	return &Dispatcher{
		stopping: stopping, stop: stop,
		opts: o, freeQueue: make(chan backend.Handle, maxQueuedFrees), aborted: make(chan abortedSend, maxAbortedSends),
		random:      rand.New(rand.NewPCG(o.Seed, 1)),
		slowCallers: o.Bodies.Part(o.Bodies.Limit()/slowCallerFraction, o.Metrics, "slow_caller"),
	}
}

// Serve processes a call from matching to delivery. If the response has not started, the returned
// error is to be sent to the caller; it states whether the call was executed, or that this is
// unknown.
func (d *Dispatcher) Serve(ctx context.Context, c *traffic.Call, sink Sink) error {
	f := &inflightCall{dispatcher: d, call: c, sink: sink, log: d.opts.Log.With(zap.String("request", c.ID))}
	ctx, done := d.untilStopped(ctx)
	defer done()
	if err := f.prepare(ctx); err != nil {
		f.finish(err)
		return err
	}
	err := f.runWithTimeout(ctx)
	if err != nil && !f.mayHaveRun {
		d.opts.Admission.Refund(c.Workspace, c.Cost())
	}
	if err != nil && f.responseStarted {
		f.reportCut(err)
	}
	f.finish(err)
	return err
}

// Forward processes a call from placement to delivery. The call must already be admitted and have its
// route and service set. The error has the same meaning as that of Serve.
func (d *Dispatcher) Forward(ctx context.Context, c *traffic.Call, sink Sink) error {
	f := &inflightCall{dispatcher: d, call: c, sink: sink, log: d.opts.Log.With(zap.String("request", c.ID))}
	ctx, done := d.untilStopped(ctx)
	defer done()
	d.opts.Admission.CountCall(c.Service.Name)
	err := f.runWithTimeout(ctx)
	f.finish(err)
	return err
}

// runWithTimeout runs the call and aborts it when its time has expired.
func (f *inflightCall) runWithTimeout(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, f.remaining(), errCallTimeout)
	defer cancel()
	defer f.returnRetry()
	return f.run(ctx)
}

// errCallTimeout is the cancellation cause when a call reaches its deadline or its route's timeout.
var errCallTimeout = errors.New("call timeout exceeded")

// inflightCall is the state of a call in progress.
type inflightCall struct {
	dispatcher *Dispatcher
	call       *traffic.Call
	sink       Sink
	log        *zap.Logger

	// configVersion is the version of the configuration that the call was matched with.
	configVersion uint64
	// sends counts the attempts that may have reached an endpoint, runs those that may have been run.
	sends, runs int
	// mayHaveRun is set once an endpoint may have run the call.
	mayHaveRun      bool
	responseStarted bool
	// sentAt is the time of the last send, sentTo its endpoint.
	sentAt clock.Instant
	sentTo traffic.Endpoint
	// origin is where the stream of the call began, nil if it has not begun.
	origin *traffic.StreamOrigin
	// lifetime is evidence of the version in origin, nil if that is known.
	lifetime backend.LifetimeEvidence
	// trialPart is the quarantined part of the prompt, or the quarantined request, that this call tries, empty if none.
	trialPart string
	// planUse is the part of its workspace's plan that was used when the call was admitted.
	planUse float64
	// shedding is what was decided about the call when it was first placed, nil if its service has calls of one rank.
	// countedPlaced is set once it was counted as placed.
	shedding      *shedding
	countedPlaced bool
	// regions are the regions in which the call is handled, nil for any.
	regions []string
	// next is what follows the last attempt, nil if that is to be decided.
	next *successor
	// tried are the endpoints that were tried, unsent those to which this VM got no connection.
	tried, unsent []traffic.EndpointID
	// receivedAt is the clock.Instant at which the last part of a response arrived.
	receivedAt atomic.Int64
	broken     brokenAttempt
	// retryAt is when the retry was deducted that the next send uses up, 0 if there is none.
	retryAt clock.Instant
	// budgetUsedUp is set if the retry budget did not allow the last retry, notPlaced if the last placement failed.
	budgetUsedUp bool
	notPlaced    error
}

func (f *inflightCall) workspaceName() string {
	if f.call.Workspace == nil {
		return ""
	}
	return f.call.Workspace.Name
}

// run selects the execution path for the service.
func (f *inflightCall) run(ctx context.Context) error {
	f.regions = f.call.HomeRegions()
	s := f.dispatcher.opts.Scheduler
	if f.call.Tokens != nil && s.ListsStage(f.call.Service.Name, traffic.Decode) {
		return f.generate(ctx)
	}
	return f.servePlain(ctx)
}

// remaining returns the time until the caller's deadline or the route's timeout, whichever is
// earlier.
func (f *inflightCall) remaining() time.Duration {
	now := f.dispatcher.opts.Clock.Now()
	remaining := f.call.Deadline.Sub(now)
	if f.call.Route.Timeout > 0 {
		remaining = min(remaining, f.call.Route.Timeout-now.Sub(f.call.ArrivedAt))
	}
	return remaining
}

func (f *inflightCall) elapsed() time.Duration {
	return f.dispatcher.opts.Clock.Now().Sub(f.call.ArrivedAt)
}

// consumeRetryBudget deducts one retry from the service's retry budget. It reserves no budget for
// other uses and returns false only if the budget is exhausted and other VMs grant nothing soon.
func (f *inflightCall) consumeRetryBudget(ctx context.Context, why string) bool {
	began := f.dispatcher.opts.Clock.Now()
	ok := f.retryAt != 0 || f.spendRetry() || f.awaitRetry(ctx) // a retry that was deducted and not sent is still there
	f.budgetUsedUp = !ok
	left := f.dispatcher.opts.Admission.RetryState(f.call.Service.Name)
	f.log.Info("another send", zap.String("why", why), zap.Bool("allowed", ok), zap.Duration("waited", f.dispatcher.opts.Clock.Now().Sub(began)),
		zap.Int("sends", f.sends), zap.Int("runs", f.runs), zap.Float64("own_left", left.Own), zap.Float64("borrowed", left.Borrowed), zap.Float64("window_calls", left.Calls),
		zap.Float64("window_retries", left.Retries), zap.Float64("slack_share", left.Share))
	return ok
}

// failureLog returns the logger for the result of a send. Only lines about failures name the request and the shared
// parts of its prompt, by which the failures of different calls can be compared.
func (f *inflightCall) failureLog(err error) *zap.Logger {
	if err == nil {
		return f.log
	}
	log := f.log.With(zap.String("request_key", f.call.RequestKey()))
	if len(f.call.PromptParts) == 0 {
		return log
	}
	return log.With(zap.Strings("prompt_parts", f.call.PromptParts))
}

// callerError converts the error that ended the call to the one sent to the caller.
func (f *inflightCall) callerError(ctx context.Context, err error) error {
	execution := fault.NotExecuted
	if f.mayHaveRun {
		execution = fault.ExecutionUnknown
	}
	switch {
	case errors.Is(context.Cause(ctx), errCallTimeout) || errors.Is(err, errCallTimeout):
		// Reported as unknown even if no endpoint has received the call.
		return fault.Wrap(err, fault.Timeout, "allow more time", "no response before the timeout",
			fault.WithExecution(fault.ExecutionUnknown))
	case fault.Is(err, fault.Cancelled):
		return err
	case stopped(ctx):
		return f.stoppedError(err)
	case ctx.Err() != nil:
		return fault.Wrap(err, fault.Cancelled, "keep the connection open", "the caller cancelled the call", fault.WithExecution(execution))
	case f.mayHaveRun:
		return fault.Wrap(err, fault.OutcomeUnknown, "check with the service whether the call ran",
			"the endpoint's answer was lost", fault.WithExecution(execution))
	}
	kind, retryAfter := fault.KindOf(err), fault.DetailOf(err).RetryAfter
	if kind != fault.Overloaded && kind != fault.Quarantined {
		kind = fault.Unavailable
	}
	return fault.Wrap(err, kind, "retry after the stated time", "the call was not run",
		fault.WithRetryAfter(max(retryAfter, minRetryAfter)))
}

// minRetryAfter is the minimum retry delay sent to a caller.
const minRetryAfter = 200 * time.Millisecond

// finish logs the result of the call and updates the metrics.
func (f *inflightCall) finish(err error) {
	result, execution := "whole", fault.Executed
	if err == nil && f.origin != nil {
		f.dispatcher.opts.Origins.Ended(f.streamKey())
	}
	if err != nil {
		d := fault.DetailOf(err)
		result, execution = string(d.Kind), d.Execution
	}
	f.dispatcher.opts.Metrics.GetOrCreateCounter(`fulmartide_calls_total{result="` + result + `"}`).Inc()
	f.dispatcher.opts.Metrics.GetOrCreateHistogram(`fulmartide_call_seconds`).Update(f.elapsed().Seconds())
	f.log.Info("ended", zap.String("result", result), zap.String("run", string(execution)), zap.Bool("started", f.responseStarted),
		zap.Int("sends", f.sends), zap.Int("runs", f.runs), zap.Duration("took", f.elapsed()), zap.Error(err))
}

// Run frees queued handles and examines aborted sends until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.examineAborts(ctx) })
	d.freeHandles(ctx)
	wg.Wait()
}
