package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/placement"
)

// session runs one placed generation through its stages. It may take several attempts but delivers
// each token to the caller once.
type session struct {
	c      *call
	g      generation
	model  configuration.Model
	lease  placement.Lease
	writer completionWriter
	log    *zap.Logger

	attempts             uint32
	prefill              *endpoint.PrefillResult
	prefillAddr          netip.AddrPort
	prefillExpiresAt     clock.Instant
	expectedFirstTokenAt clock.Instant // predicted time of the current assignment's first token
	delivered            int64
	mayHaveRun           bool
	finished             bool
	usedAddrs            map[netip.AddrPort]struct{}
}

func newSession(c *call, g generation, model configuration.Model, lease placement.Lease) *session {
	s := &session{c: c, g: g, model: model, lease: lease, log: c.log, usedAddrs: map[netip.AddrPort]struct{}{}}
	h := newResponseMeta(c.id, g)
	if g.stream {
		s.writer = &streamWriter{responseMeta: h, w: c.w, controller: http.NewResponseController(c.w), includeUsage: g.includeUsage}
	} else {
		s.writer = &bufferedWriter{responseMeta: h, w: c.w}
	}
	s.setExpectedFirstToken(lease.Assignment())
	return s
}

func (s *session) setExpectedFirstToken(a placement.Assignment) {
	s.expectedFirstTokenAt = s.c.server.opts.Clock.Now().Add(a.ExpectedFirstToken)
}

// usedTokens returns the number of tokens that count against the plan.
func (s *session) usedTokens() int64 {
	if !s.mayHaveRun {
		return 0
	}
	return s.g.promptTokens + s.delivered
}

// attemptError describes a failed attempt: the stage, the endpoint and the cause.
type attemptError struct {
	stage    stage
	endpoint string
	err      error
}

func (e *attemptError) Error() string {
	return string(e.stage) + " at " + e.endpoint + ": " + e.err.Error()
}

// run makes attempts until the response is complete or no further attempt is allowed.
func (s *session) run(ctx context.Context) error {
	defer s.cancelUnfinished()
	s.c.server.retries.countCall(s.g.model)
	for {
		failed := s.runAttempt(ctx)
		if failed == nil {
			return nil
		}
		next := s.decideRecovery(ctx, failed)
		s.traceFailure(failed, next)
		if next == actionGiveUp {
			return s.failRequest(ctx, failed.err)
		}
		if err := s.reassign(ctx, failed, next); err != nil {
			return s.failRequest(ctx, err)
		}
	}
}

func (s *session) decideRecovery(ctx context.Context, failed *attemptError) recoveryAction {
	deadline, _ := ctx.Deadline()
	next := nextAction(failure{
		stage:       failed.stage,
		attempts:    int(s.attempts),
		prefillTTL:  s.prefillExpiresAt.Sub(s.c.server.opts.Clock.Now()),
		timeLeft:    time.Until(deadline),
		prefillLost: fault.Is(failed.err, fault.NotFound),
		permanent:   ctx.Err() != nil || failed.stage == "",
	})
	if next != actionGiveUp && !s.c.server.retries.spendRetry(s.g.model) {
		return actionGiveUp
	}
	return next
}

func (s *session) traceFailure(failed *attemptError, next recoveryAction) {
	s.c.trace("recovery", "attempt failed",
		zap.Uint32("attempt", s.attempts),
		zap.String("failed_stage", string(failed.stage)),
		zap.String("endpoint", failed.endpoint),
		zap.Int64("delivered", s.delivered),
		zap.String("next", string(next)),
		zap.Error(failed.err),
	)
	s.c.server.metrics.GetOrCreateCounter(`fulmartide_relay_attempts_failed_total{stage="` + string(failed.stage) + `"}`).Inc()
}

func (s *session) reassign(ctx context.Context, failed *attemptError, next recoveryAction) error {
	needPrefill := next == actionPrefillAgain
	s.releaseFailedAttempt(ctx, failed.endpoint, needPrefill)
	a, err := s.lease.Reassign(ctx, failed.endpoint, needPrefill)
	if err != nil {
		return err
	}
	s.setExpectedFirstToken(a)
	s.c.traceAssignment("reassigned", a)
	return nil
}

// releaseTimeout bounds a cancellation that must complete before the next attempt.
const releaseTimeout = 200 * time.Millisecond

// releaseFailedAttempt frees the engine memory of the failed attempt. The failed endpoint is not
// chosen again, so its cancellation runs in the background. If the prefill is repeated, the other
// endpoints are cancelled synchronously, so that a late cancellation cannot end the next attempt
// there.
func (s *session) releaseFailedAttempt(ctx context.Context, failed string, needPrefill bool) {
	s.c.server.registry.removeEndpoint(s.c.id, failed)
	if addr, ok := endpointAddress(s.c.snapshot, failed); ok {
		s.c.server.canceller.add(addr, s.c.id)
		delete(s.usedAddrs, addr)
	}
	if !needPrefill {
		return
	}
	s.prefill = nil
	for addr := range s.usedAddrs {
		cancelCtx, stop := context.WithTimeout(ctx, releaseTimeout)
		if s.c.server.opts.Dialer.Engine(addr).Cancel(cancelCtx, s.c.id) == nil {
			delete(s.usedAddrs, addr)
		}
		stop()
	}
}

// failRequest reports to the caller why the response is incomplete and whether the request may
// have run.
func (s *session) failRequest(ctx context.Context, err error) error {
	run := fault.NotExecuted
	if s.mayHaveRun {
		run = fault.ExecutionUnknown
	}
	d := fault.DetailOf(contextErrorOr(ctx, err, run))
	d.Execution = run
	if !s.writer.started() {
		return d.Err()
	}
	s.c.traceCut(d)
	s.writer.fail(d)
	return reportedError{d}
}

// cancelUnfinished cancels an unfinished request at the endpoints that may still hold memory for it.
func (s *session) cancelUnfinished() {
	if s.finished {
		return
	}
	for addr := range s.usedAddrs {
		s.c.server.canceller.add(addr, s.c.id)
	}
}

// useEngine returns the engine of the named endpoint and records that the request uses it.
func (s *session) useEngine(endpointName string) (endpoint.Engine, netip.AddrPort, error) {
	addr, ok := endpointAddress(s.c.snapshot, endpointName)
	if !ok {
		if latest := s.c.server.opts.Configuration(); latest != nil {
			addr, ok = endpointAddress(latest, endpointName)
		}
	}
	if !ok {
		return nil, addr, fault.New(fault.Unavailable, "try again", "endpoint "+endpointName+" is not in the configuration")
	}
	s.usedAddrs[addr] = struct{}{}
	s.c.server.registry.addEndpoint(s.c.id, endpointName)
	return s.c.server.opts.Dialer.Engine(addr), addr, nil
}
