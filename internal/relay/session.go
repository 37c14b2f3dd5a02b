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

// session runs one placed generation through its stages, over as many attempts as it takes,
// and gives each token to the caller once.
type session struct {
	c     *call
	g     generation
	model configuration.Model
	lease placement.Lease
	out   answer
	log   *zap.Logger

	attempts  uint32
	prefill   *endpoint.PrefillResult
	source    netip.AddrPort
	keptUntil clock.Instant
	expected  clock.Instant // when the present assignment's first token is predicted
	given     int64
	ran       bool
	finished  bool
	touched   map[netip.AddrPort]struct{}
}

func newSession(c *call, g generation, model configuration.Model, lease placement.Lease) *session {
	s := &session{c: c, g: g, model: model, lease: lease, log: c.log, touched: map[netip.AddrPort]struct{}{}}
	h := newHead(c.id, g)
	if g.stream {
		s.out = &streamAnswer{head: h, w: c.w, control: http.NewResponseController(c.w), includeUsage: g.includeUsage}
	} else {
		s.out = &wholeAnswer{head: h, w: c.w}
	}
	s.expect(lease.Assignment())
	return s
}

func (s *session) expect(a placement.Assignment) {
	s.expected = s.c.server.opts.Clock.Now().Add(a.ExpectedFirstToken)
}

// used is the number of tokens that count against the plan.
func (s *session) used() int64 {
	if !s.ran {
		return 0
	}
	return s.g.promptTokens + s.given
}

// attemptFault is an attempt's failure: where, at which endpoint, and why.
type attemptFault struct {
	stage    stage
	endpoint string
	err      error
}

func (f *attemptFault) Error() string {
	return string(f.stage) + " at " + f.endpoint + ": " + f.err.Error()
}

// run tries until the answer is whole or recovery gives up.
func (s *session) run(ctx context.Context) error {
	defer s.cleanup()
	s.c.server.retries.earn(s.g.model)
	for {
		failed := s.attempt(ctx)
		if failed == nil {
			return nil
		}
		next := s.decide(ctx, failed)
		s.traceFailure(failed, next)
		if next == stepGiveUp {
			return s.giveUp(ctx, failed.err)
		}
		if err := s.reassign(ctx, failed, next); err != nil {
			return s.giveUp(ctx, err)
		}
	}
}

func (s *session) decide(ctx context.Context, f *attemptFault) step {
	deadline, _ := ctx.Deadline()
	next := nextStep(failure{
		stage:     f.stage,
		attempts:  int(s.attempts),
		keptFor:   s.keptUntil.Sub(s.c.server.opts.Clock.Now()),
		left:      time.Until(deadline),
		gone:      fault.Is(f.err, fault.NotFound),
		permanent: ctx.Err() != nil || f.stage == "",
	})
	if next != stepGiveUp && !s.c.server.retries.spend(s.g.model) {
		return stepGiveUp
	}
	return next
}

func (s *session) traceFailure(f *attemptFault, next step) {
	s.c.trace("recovery", "attempt failed",
		zap.Uint32("attempt", s.attempts),
		zap.String("failed_stage", string(f.stage)),
		zap.String("endpoint", f.endpoint),
		zap.Int64("given", s.given),
		zap.String("next", string(next)),
		zap.Error(f.err),
	)
	s.c.server.metrics.GetOrCreateCounter(`fulmartide_relay_attempts_failed_total{stage="` + string(f.stage) + `"}`).Inc()
}

func (s *session) reassign(ctx context.Context, f *attemptFault, next step) error {
	again := next == stepPrefillAgain
	s.freeFailed(ctx, f.endpoint, again)
	a, err := s.lease.Reassign(ctx, f.endpoint, again)
	if err != nil {
		return err
	}
	s.expect(a)
	s.c.traceAssignment("placed again", a)
	return nil
}

// freeTimeout bounds the wait for an endpoint that may be used again by the next attempt.
const freeTimeout = 200 * time.Millisecond

// freeFailed frees what the failed attempt left. The failed endpoint, which is not chosen
// again, is told in the background; the prefill endpoint is told first, so that a late
// cancel cannot end the next attempt there.
func (s *session) freeFailed(ctx context.Context, failed string, again bool) {
	s.c.server.registry.abandon(s.c.id, failed)
	if addr, ok := endpointAddress(s.c.snapshot, failed); ok {
		s.c.server.cancels.add(addr, s.c.id)
		delete(s.touched, addr)
	}
	if !again {
		return
	}
	s.prefill = nil
	for addr := range s.touched {
		freeing, stop := context.WithTimeout(ctx, freeTimeout)
		if s.c.server.opts.Dialer.Engine(addr).Cancel(freeing, s.c.id) == nil {
			delete(s.touched, addr)
		}
		stop()
	}
}

// giveUp tells the caller truthfully why there is no whole answer.
func (s *session) giveUp(ctx context.Context, err error) error {
	run := fault.NotExecuted
	if s.ran {
		run = fault.ExecutionUnknown
	}
	d := fault.DetailOf(causeOf(ctx, err, run))
	d.Execution = run
	if !s.out.started() {
		return d.Err()
	}
	s.out.fail(d)
	return answered{d}
}

// cleanup frees what endpoints may still hold, unless the answer is whole.
func (s *session) cleanup() {
	if s.finished {
		return
	}
	for addr := range s.touched {
		s.c.server.cancels.add(addr, s.c.id)
	}
}

func (s *session) touch(name string) (endpoint.Engine, netip.AddrPort, error) {
	addr, ok := endpointAddress(s.c.snapshot, name)
	if !ok {
		if latest := s.c.server.opts.Configuration(); latest != nil {
			addr, ok = endpointAddress(latest, name)
		}
	}
	if !ok {
		return nil, addr, fault.New(fault.Unavailable, "try again", "endpoint "+name+" is not in the configuration")
	}
	s.touched[addr] = struct{}{}
	s.c.server.registry.claim(s.c.id, name)
	return s.c.server.opts.Dialer.Engine(addr), addr, nil
}
