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
	// maxPrefills is the most times that a prompt is read for one call.
	maxPrefills = 3
	// maxDecodes is the most endpoints that one read prompt is offered to.
	maxDecodes = 5
	// keptMargin is left of the time for which a prompt is kept when it is offered once more.
	keptMargin = 60 * time.Millisecond
	// prefillSlack and prefillFactor bound the reading of a prompt by its predicted time.
	prefillSlack  = 350 * time.Millisecond
	prefillFactor = 2
	// stallFactor times the longest allowed pause without an event, and at least stallMin, ends
	// the try of a stream that may go on elsewhere.
	stallFactor = 3
	stallMin    = 900 * time.Millisecond
	// roomPart is the part of the latency objective for which a generation waits for memory.
	roomPart = 0.6
	// readPart is the part of the latency objective that the reading of a prompt may take by
	// prediction; what would take longer waits here, where it goes to the engine that is free
	// first and costs nothing if its caller leaves.
	readPart = 0.4
	// lateRoom is how long a call whose answer has begun waits for memory to go on.
	lateRoom = 3 * time.Second
)

// generation runs a call on engines that split prefill and decode.
type generation struct {
	*flight
	prefills int
	decodes  int
	stream   *stream
	// lost holds engines whose failure the call has seen.
	lost []traffic.EndpointID
}

func (f *flight) generate(ctx context.Context) error {
	g := &generation{flight: f, stream: newStream(f)}
	for {
		err := g.attempt(ctx)
		if err == nil {
			return nil
		}
		if !g.goesOn(ctx, err) {
			return g.outcome(ctx, err)
		}
	}
}

// stepError is the failure of an attempt; final ones are not followed by another.
type stepError struct {
	err   error
	final bool
}

func (e *stepError) Error() string { return e.err.Error() }

// Unwrap gives the cause.
func (e *stepError) Unwrap() error { return e.err }

// goesOn decides whether another attempt follows a failed one.
func (g *generation) goesOn(ctx context.Context, err error) bool {
	var step *stepError
	if ctx.Err() != nil || errors.As(err, &step) && step.final || g.prefills >= maxPrefills {
		return false
	}
	if g.ran && (!g.c.Route.Retryable() || g.runs >= max(1, g.c.Route.MaxAttempts)) {
		return false
	}
	return g.spend(err.Error())
}

// attempt claims both engines, has the prompt read, and streams the answer.
func (g *generation) attempt(ctx context.Context) error {
	prefill, decode, err := g.placeBoth(ctx)
	if err != nil {
		return &stepError{err: err, final: true}
	}
	if prefill == nil {
		return g.decodeAlone(ctx, decode)
	}
	h, err := g.read(ctx, prefill)
	if err != nil {
		decode.Release()
		return err
	}
	begun := g.d.opts.Clock.Now()
	taken, err := g.offer(ctx, h, decode, begun)
	if !taken {
		g.d.free(h)
	}
	return err
}

// roomLimit is how long after its arrival the call may still wait for memory.
func (g *generation) roomLimit() time.Duration {
	if g.started {
		return g.elapsed() + lateRoom
	}
	return time.Duration(roomPart * float64(g.c.Route.LatencyTarget))
}

// placeBoth claims the engine that will decode, then the one that reads the prompt. The latter
// is nil where there is none.
func (g *generation) placeBoth(ctx context.Context) (prefill, decode *schedule.Claim, err error) {
	if !g.d.opts.Scheduler.HasStage(g.c.Service.Name, traffic.Prefill) {
		decode, err = g.place(ctx, g.ask(traffic.Decode, "", nil), g.roomLimit())
		return nil, decode, err
	}
	decode, err = g.place(ctx, g.ask(traffic.Decode, "", nil), g.roomLimit())
	if err != nil {
		return nil, nil, err
	}
	ask := g.ask(traffic.Prefill, decode.Endpoint.DataCentre, nil)
	ask.Patience = time.Duration(readPart * float64(g.c.Route.LatencyTarget))
	prefill, err = g.place(ctx, ask, g.roomLimit())
	if err != nil {
		decode.Release()
		return nil, nil, err
	}
	return prefill, decode, nil
}

func (g *generation) ask(stage traffic.Stage, near string, avoid []traffic.EndpointID) *schedule.Ask {
	return &schedule.Ask{
		Service: g.c.Service.Name, Stage: stage, Tokens: g.c.Tokens, Near: near,
		Avoid: append(avoid, g.lost...), Once: stage == traffic.Decode && !g.c.Route.Retryable(),
	}
}

// read has the prompt read by the claimed engine.
func (g *generation) read(ctx context.Context, claim *schedule.Claim) (backend.Handle, error) {
	defer claim.Release()
	g.prefills++
	begun := g.d.opts.Clock.Now()
	limit := prefillFactor*claim.Expected + prefillSlack
	trying, cancel := context.WithTimeoutCause(ctx, limit, errTryOver)
	defer cancel()
	h, err := g.d.opts.Backend.Prefill(trying, g.order(claim.Endpoint))
	took := g.d.opts.Clock.Now().Sub(begun)
	g.log.Info("prompt read", zap.String("endpoint", claim.Endpoint.ID.Name), zap.Int64("tokens", g.c.Tokens.Prompt),
		zap.Duration("expected", claim.Expected), zap.Duration("took", took), zap.Error(err))
	g.d.opts.Metrics.GetOrCreateHistogram(`fulmartide_prefill_seconds`).Update(took.Seconds())
	if err == nil {
		claim.Record(schedule.Good)
		claim.WasRead(g.c.Tokens.Prompt, took)
		return h, nil
	}
	g.judgeSend(trying, claim, err)
	return h, err
}

// judgeSend tells the scheduler of a send that failed.
func (g *generation) judgeSend(ctx context.Context, claim *schedule.Claim, err error) {
	switch {
	case callerGone(ctx) || errors.Is(context.Cause(ctx), errOutOfTime):
		return
	case backend.WasRejected(err):
		claim.Full()
		return
	case !backend.Arrived(err) || errors.Is(context.Cause(ctx), errTryOver):
		claim.Record(schedule.Dead)
	default:
		claim.Record(schedule.Failed)
	}
	g.lost = append(g.lost, claim.Endpoint.ID)
}

// offer gives a read prompt to decode engines until one takes it, and streams its answer.
// taken tells whether an engine may have fetched the prompt.
func (g *generation) offer(ctx context.Context, h backend.Handle, claim *schedule.Claim, begun clock.Instant) (taken bool, err error) {
	var refused []traffic.EndpointID
	for n := 1; ; n++ {
		taken, err = g.decode(ctx, claim, &h)
		claim.Release()
		if err == nil || taken || ctx.Err() != nil {
			return taken, err
		}
		refused = append(refused, claim.Endpoint.ID)
		rest := g.kept() - keptMargin - g.d.opts.Clock.Now().Sub(begun)
		if n >= maxDecodes || rest <= 0 {
			return false, err
		}
		if backend.Arrived(err) && !g.spend("decode refused") {
			return false, &stepError{err: err, final: true}
		}
		ask := g.ask(traffic.Decode, h.Endpoint.DataCentre, refused)
		ask.Pressing = true
		next, placeErr := g.place(ctx, ask, g.elapsed()+rest)
		if placeErr != nil {
			return false, err
		}
		claim = next
	}
}

func (g *generation) kept() time.Duration {
	if g.c.Service.Engine == nil {
		return 0
	}
	return g.c.Service.Engine.HandleTTL
}

// decodeAlone has one engine read the prompt and decode.
func (g *generation) decodeAlone(ctx context.Context, claim *schedule.Claim) error {
	defer claim.Release()
	g.prefills++
	_, err := g.decode(ctx, claim, nil)
	return err
}

// loadUnknown stands in log lines for an engine that did not state how many calls it runs.
const loadUnknown = -1

// decode sends the call to a decode engine and hands its events on.
func (g *generation) decode(ctx context.Context, claim *schedule.Claim, h *backend.Handle) (taken bool, err error) {
	o := g.order(claim.Endpoint)
	o.Source = h
	if after := g.stream.last; after != "" {
		o.After = after
	}
	g.decodes++
	trying, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := g.watchStall(cancel)
	defer stall.Stop()
	running := loadUnknown
	reply, err := g.d.opts.Backend.Run(trying, o)
	if err == nil {
		defer func() { _ = reply.Body.Close() }()
		claim.Reported(reply.Load)
		if reply.Load != nil {
			running = reply.Load.Running
		}
		if reply.NotRun {
			err = &backend.SendError{Sent: true, Rejected: true, Err: errRejected}
		}
	}
	g.countSend(err)
	if err == nil {
		err = g.take(reply, stall)
	}
	g.log.Info("decoded", zap.String("endpoint", claim.Endpoint.ID.Name), zap.String("after", o.After), zap.Int("events", g.stream.events),
		zap.Int("running", running), zap.Duration("elapsed", g.elapsed()), zap.Error(err))
	if err == nil {
		claim.Record(schedule.Good)
		return true, nil
	}
	g.judgeSend(trying, claim, err)
	return backend.MayHaveRun(err), err
}

// take hands on the answer of an engine that took the call.
func (g *generation) take(reply *backend.Reply, stall *stallTimer) error {
	if reply.Status >= http.StatusMultipleChoices {
		return g.takeFailure(reply)
	}
	return g.stream.pass(reply, stall)
}

// takeFailure hands on an engine's own error, unless the call goes on elsewhere.
func (g *generation) takeFailure(reply *backend.Reply) error {
	if g.started || g.c.Route.Retryable() && g.runs < g.c.Route.MaxAttempts {
		return &backend.SendError{Sent: true, Err: errEngine}
	}
	return g.stream.pass(reply, nil)
}

var errEngine = errors.New("the engine answered with an error of its own")

// stallTimer ends a try that gives no event for too long. A nil one never does.
type stallTimer struct {
	timer *time.Timer
	limit time.Duration
}

// Stop ends the watch.
func (t *stallTimer) Stop() {
	if t != nil {
		t.timer.Stop()
	}
}

func (t *stallTimer) progress() {
	if t != nil {
		t.timer.Reset(t.limit)
	}
}

// watchStall watches the progress of a stream that may go on elsewhere.
func (g *generation) watchStall(cancel context.CancelCauseFunc) *stallTimer {
	r := g.c.Route
	if !r.Retryable() || g.runs+1 >= r.MaxAttempts {
		return nil
	}
	limit := max(stallMin, stallFactor*r.MaxEventGap)
	return &stallTimer{timer: time.AfterFunc(limit, func() { cancel(errTryOver) }), limit: limit}
}
