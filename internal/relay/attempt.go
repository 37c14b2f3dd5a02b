package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/placement"
)

const (
	priorityUrgent  = 0
	priorityMayWait = 1
)

// attempt runs the stages that remain at the present assignment.
func (s *session) attempt(ctx context.Context) *attemptFault {
	s.attempts++
	a := s.lease.Assignment()
	if s.prefill == nil {
		if f := s.runPrefill(ctx, a); f != nil {
			return f
		}
	}
	return s.runDecode(ctx, a)
}

func (s *session) name() endpoint.Attempt {
	return endpoint.Attempt{RequestID: s.c.id, Number: s.attempts}
}

func (s *session) priority() int {
	if s.g.class == string(configuration.MayWait) {
		return priorityMayWait
	}
	return priorityUrgent
}

// prefillTimeout bounds one prefill: what it costs, twice, and a wait.
func (s *session) prefillTimeout(a placement.Assignment) time.Duration {
	cost := time.Duration(float64(s.g.promptTokens) / float64(max(1, s.model.PrefillTokensPerSecond)) * float64(time.Second))
	return 2*cost + a.ExpectedFirstToken + endpoint.InactivityTimeout
}

func (s *session) runPrefill(ctx context.Context, a placement.Assignment) *attemptFault {
	engine, addr, err := s.touch(a.Prefill)
	if err != nil {
		return &attemptFault{stagePrefill, a.Prefill, err}
	}
	ctx, stop := context.WithTimeout(ctx, s.prefillTimeout(a))
	defer stop()
	s.ran = true
	result, err := engine.Prefill(ctx, endpoint.PrefillRequest{
		Attempt:  s.name(),
		Model:    s.g.model,
		Adapter:  s.g.adapter,
		Prompt:   s.g.prompt,
		Tokens:   s.g.promptTokens + s.given,
		Pieces:   prefixPieces(s.c.identity.Workspace, s.g.model, s.g.prompt, s.model.PieceTokens),
		Priority: s.priority(),
	})
	if err == nil && result.Attempt != s.name() {
		err = fault.New(fault.Unavailable, "try again", "the engine answered another attempt", fault.WithExecution(fault.ExecutionUnknown))
	}
	if err != nil {
		return &attemptFault{stagePrefill, a.Prefill, err}
	}
	s.prefill = &result
	s.source = addr
	s.keptUntil = s.c.server.opts.Clock.Now().Add(time.Duration(result.TTLMillis) * time.Millisecond)
	s.lease.Progress(placement.StagePrefillDone)
	s.c.trace("prefill", "done", zap.String("endpoint", a.Prefill), zap.Int64("cached_tokens", result.CachedTokens))
	return nil
}

func (s *session) runDecode(ctx context.Context, a placement.Assignment) *attemptFault {
	engine, _, err := s.touch(a.Decode)
	if err != nil {
		return &attemptFault{stageTransfer, a.Decode, err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	first, last := s.transferTimeout(a)
	begun := s.c.server.opts.Clock.Now()
	watch := s.watchTransfer(first, last, func() { cancel(errStalled) })
	defer watch.stop()
	stream, err := engine.Decode(ctx, endpoint.DecodeRequest{
		Attempt:   s.name(),
		Model:     s.g.model,
		Adapter:   s.g.adapter,
		Source:    s.source,
		Handle:    s.prefill.Handle,
		Offset:    s.given,
		MaxTokens: s.g.maxTokens,
		Priority:  s.priority(),
	})
	if err != nil {
		return &attemptFault{stageTransfer, a.Decode, stallOr(ctx, err)}
	}
	defer stream.Close()
	return s.relayFrames(ctx, a, stream, func() {
		watch.stop()
		s.c.server.transfers.end(begun, s.c.server.opts.Clock.Now())
	})
}

// errStalled is the cause of a context that ended because a transfer made no progress.
var errStalled = errors.New("the transfer stalled")

// stallOr gives the stall that ended ctx, if that is why err came.
func stallOr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return fault.Wrap(errStalled, fault.Timeout, "try again", "decode", fault.WithExecution(fault.ExecutionUnknown))
	}
	return err
}

const (
	// transferSlack is the part of a transfer's timeout that does not depend on its size.
	transferSlack = 150 * time.Millisecond
	// transferFactor is how many times its undisturbed time a transfer may take, where it was
	// not predicted to take longer.
	transferFactor = 3
)

// transferTimeout gives the time from the decode order after which the transfer may have
// stalled, and that after which it has: it can be made again only while the prefill's result is
// kept.
func (s *session) transferTimeout(a placement.Assignment) (first, last time.Duration) {
	kept := s.keptUntil.Sub(s.c.server.opts.Clock.Now())
	if kept <= 2*transferMargin {
		return endpoint.InactivityTimeout, endpoint.InactivityTimeout
	}
	last = kept - transferMargin
	rate := s.linkRate(a)
	if rate <= 0 {
		return last, last
	}
	undisturbed := time.Duration(float64(s.prefill.KVBytes) / float64(rate) * float64(time.Second))
	predicted := max(0, s.expected.Sub(s.c.server.opts.Clock.Now()))
	return min(max(predicted, transferFactor*undisturbed)+transferSlack, last), last
}

// linkRate gives the rate of the slower link of an assignment, in bytes a second, 0 if unknown.
func (s *session) linkRate(a placement.Assignment) int64 {
	endpoints := s.c.snapshot.Document.Endpoints
	return min(endpoints[a.Prefill].LinkBytesPerSecond, endpoints[a.Decode].LinkBytesPerSecond)
}

// relayFrames gives the stream's tokens to the caller, each offset once and in order. It calls
// transferred at the first sign that the transfer is done.
func (s *session) relayFrames(ctx context.Context, a placement.Assignment, stream endpoint.Stream, transferred func()) *attemptFault {
	at := stageTransfer
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return &attemptFault{at, a.Decode, stallOr(ctx, err)}
		}
		if frame.Attempt != s.name() {
			s.c.server.metrics.GetOrCreateCounter(`fulmartide_relay_frames_dropped_total{why="attempt"}`).Inc()
			continue
		}
		if at == stageTransfer && (frame.Started || frame.Text != "" || frame.Done) {
			at = stageDecode
			transferred()
			s.lease.Progress(placement.StageTransferDone)
		}
		done, f := s.takeFrame(frame, a)
		if f != nil || done {
			return f
		}
	}
}

func (s *session) takeFrame(frame endpoint.Frame, a placement.Assignment) (done bool, f *attemptFault) {
	switch {
	case frame.Done:
		return s.takeEnd(frame, a)
	case frame.Text == "":
		return false, nil
	case frame.Offset < s.given:
		s.c.server.metrics.GetOrCreateCounter(`fulmartide_relay_frames_dropped_total{why="offset"}`).Inc()
		return false, nil
	case frame.Offset > s.given:
		err := fault.New(fault.Unavailable, "try again", "the engine left tokens out", fault.WithExecution(fault.ExecutionUnknown))
		return false, &attemptFault{stageDecode, a.Decode, err}
	}
	if s.given == 0 {
		s.traceFirstToken(a)
	}
	s.given++
	if err := s.out.token(frame.Text); err != nil {
		return false, s.callerGone(err)
	}
	return false, nil
}

func (s *session) takeEnd(frame endpoint.Frame, a placement.Assignment) (bool, *attemptFault) {
	if frame.Offset != s.given {
		err := fault.New(fault.Unavailable, "try again", "the engine ended before its last token", fault.WithExecution(fault.ExecutionUnknown))
		return false, &attemptFault{stageDecode, a.Decode, err}
	}
	s.finished = true
	s.lease.Progress(placement.StageReleased)
	u := usage{PromptTokens: s.g.promptTokens, CompletionTokens: s.given, TotalTokens: s.g.promptTokens + s.given}
	if err := s.out.finish(frame.FinishReason, u); err != nil {
		return false, s.callerGone(err)
	}
	s.c.trace("answer", "whole", zap.Int64("tokens", s.given), zap.Duration("took", s.c.elapsed()))
	return true, nil
}

// callerGone has no stage, so that recovery gives up.
func (s *session) callerGone(err error) *attemptFault {
	return &attemptFault{err: fault.Wrap(err, fault.Cancelled, "keep the connection open", "write to the caller", fault.WithExecution(fault.ExecutionUnknown))}
}

func (s *session) traceFirstToken(a placement.Assignment) {
	took := s.c.elapsed()
	s.c.server.metrics.GetOrCreateHistogram(`fulmartide_relay_first_token_seconds`).Update(took.Seconds())
	s.c.trace("decode", "first token", zap.String("endpoint", a.Decode), zap.Duration("took", took))
}
