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

// runAttempt runs the remaining stages on the current assignment.
func (s *session) runAttempt(ctx context.Context) *attemptError {
	s.attempts++
	a := s.lease.Assignment()
	if s.prefill == nil {
		if failed := s.runPrefill(ctx, a); failed != nil {
			return failed
		}
	}
	return s.runDecode(ctx, a)
}

func (s *session) attemptID() endpoint.Attempt {
	return endpoint.Attempt{RequestID: s.c.id, Number: s.attempts}
}

func (s *session) priority() int {
	if s.g.class == string(configuration.MayWait) {
		return priorityMayWait
	}
	return priorityUrgent
}

// prefillTimeout bounds one prefill by twice its nominal duration plus the expected first-token
// delay and the engine's inactivity timeout.
func (s *session) prefillTimeout(a placement.Assignment) time.Duration {
	cost := time.Duration(float64(s.g.promptTokens) / float64(max(1, s.model.PrefillTokensPerSecond)) * float64(time.Second))
	return 2*cost + a.ExpectedFirstToken + endpoint.InactivityTimeout
}

func (s *session) runPrefill(ctx context.Context, a placement.Assignment) *attemptError {
	engine, addr, err := s.useEngine(a.Prefill)
	if err != nil {
		return &attemptError{stagePrefill, a.Prefill, err}
	}
	ctx, stop := context.WithTimeout(ctx, s.prefillTimeout(a))
	defer stop()
	s.mayHaveRun = true
	result, err := engine.Prefill(ctx, endpoint.PrefillRequest{
		Attempt:  s.attemptID(),
		Model:    s.g.model,
		Adapter:  s.g.adapter,
		Prompt:   s.g.prompt,
		Tokens:   s.g.promptTokens + s.delivered,
		Pieces:   prefixPieceHashes(s.c.identity.Workspace, s.g.model, s.g.prompt, s.model.PieceTokens),
		Priority: s.priority(),
	})
	if err == nil && result.Attempt != s.attemptID() {
		err = fault.New(fault.Unavailable, "try again", "the engine responded to a different attempt",
			fault.WithExecution(fault.ExecutionUnknown))
	}
	if err != nil {
		return &attemptError{stagePrefill, a.Prefill, err}
	}
	s.prefill = &result
	s.prefillAddr = addr
	s.prefillExpiresAt = s.c.server.opts.Clock.Now().Add(time.Duration(result.TTLMillis) * time.Millisecond)
	s.lease.Progress(placement.StagePrefillDone)
	s.c.trace("prefill", "done", zap.String("endpoint", a.Prefill), zap.Int64("cached_tokens", result.CachedTokens))
	return nil
}

func (s *session) runDecode(ctx context.Context, a placement.Assignment) *attemptError {
	engine, _, err := s.useEngine(a.Decode)
	if err != nil {
		return &attemptError{stageTransfer, a.Decode, err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	checkAfter, abortAfter := s.transferTimeout(a)
	startedAt := s.c.server.opts.Clock.Now()
	watch := s.watchTransfer(checkAfter, abortAfter, func() { cancel(errTransferStalled) })
	defer watch.stop()
	stream, err := engine.Decode(ctx, endpoint.DecodeRequest{
		Attempt:   s.attemptID(),
		Model:     s.g.model,
		Adapter:   s.g.adapter,
		Source:    s.prefillAddr,
		Handle:    s.prefill.Handle,
		Offset:    s.delivered,
		MaxTokens: s.g.maxTokens,
		Priority:  s.priority(),
	})
	if err != nil {
		return &attemptError{stageTransfer, a.Decode, stallErrorOr(ctx, err)}
	}
	defer stream.Close()
	return s.forwardFrames(ctx, a, stream, func() {
		watch.stop()
		s.c.server.transfers.record(startedAt, s.c.server.opts.Clock.Now())
	})
}

// errTransferStalled is the cancellation cause of a context whose KV transfer stalled.
var errTransferStalled = errors.New("the transfer stalled")

// stallErrorOr returns a timeout fault if ctx was cancelled because of a stall, otherwise err.
func stallErrorOr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errTransferStalled) {
		return fault.Wrap(errTransferStalled, fault.Timeout, "try again", "decode", fault.WithExecution(fault.ExecutionUnknown))
	}
	return err
}

const (
	// transferTimeoutBase is the part of a transfer's stall-check delay that is independent of its size.
	transferTimeoutBase = 150 * time.Millisecond
	// transferTimeoutFactor multiplies the nominal duration of a transfer, unless the predicted
	// duration is longer.
	transferTimeoutFactor = 3
)

// transferTimeout returns the time after the decode request at which stall checks begin and the
// time at which the transfer is aborted. The abort comes before the prefill result expires, as
// the transfer can be repeated only until then. If the remaining TTL is too short for a repeat,
// only the longest pause of a healthy engine applies.
func (s *session) transferTimeout(a placement.Assignment) (checkAfter, abortAfter time.Duration) {
	ttl := s.prefillExpiresAt.Sub(s.c.server.opts.Clock.Now())
	if ttl <= 2*minTransferTTL {
		return endpoint.MaxPause, endpoint.MaxPause
	}
	abortAfter = ttl - minTransferTTL
	rate := s.linkRate(a)
	if rate <= 0 {
		return abortAfter, abortAfter
	}
	nominal := time.Duration(float64(s.prefill.KVBytes) / float64(rate) * float64(time.Second))
	predicted := max(0, s.expectedFirstTokenAt.Sub(s.c.server.opts.Clock.Now()))
	return min(max(predicted, transferTimeoutFactor*nominal)+transferTimeoutBase, abortAfter), abortAfter
}

// linkRate returns the bandwidth of an assignment's slower link in bytes per second, or 0 if unknown.
func (s *session) linkRate(a placement.Assignment) int64 {
	endpoints := s.c.snapshot.Document.Endpoints
	return min(endpoints[a.Prefill].LinkBytesPerSecond, endpoints[a.Decode].LinkBytesPerSecond)
}

// forwardFrames writes the stream's tokens to the caller, each offset once and in order. It calls
// onTransferDone at the first frame that shows that the transfer is complete.
func (s *session) forwardFrames(
	ctx context.Context, a placement.Assignment, stream endpoint.Stream, onTransferDone func(),
) *attemptError {
	currentStage := stageTransfer
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return &attemptError{currentStage, a.Decode, stallErrorOr(ctx, err)}
		}
		if frame.Attempt != s.attemptID() {
			s.c.server.metrics.GetOrCreateCounter(`fulmartide_relay_frames_dropped_total{why="attempt"}`).Inc()
			continue
		}
		if currentStage == stageTransfer && (frame.Started || frame.Text != "" || frame.Done) {
			currentStage = stageDecode
			onTransferDone()
			s.lease.Progress(placement.StageTransferDone)
		}
		done, failed := s.handleFrame(frame, a)
		if failed != nil || done {
			return failed
		}
	}
}

func (s *session) handleFrame(frame endpoint.Frame, a placement.Assignment) (done bool, failed *attemptError) {
	switch {
	case frame.Done:
		return s.handleFinalFrame(frame, a)
	case frame.Text == "":
		return false, nil
	case frame.Offset < s.delivered:
		s.c.server.metrics.GetOrCreateCounter(`fulmartide_relay_frames_dropped_total{why="offset"}`).Inc()
		return false, nil
	case frame.Offset > s.delivered:
		err := fault.New(fault.Unavailable, "try again", "the engine skipped tokens", fault.WithExecution(fault.ExecutionUnknown))
		return false, &attemptError{stageDecode, a.Decode, err}
	}
	if s.delivered == 0 {
		s.traceFirstToken(a)
	}
	s.delivered++
	if err := s.writer.writeToken(frame.Text); err != nil {
		return false, s.callerWriteError(err)
	}
	return false, nil
}

func (s *session) handleFinalFrame(frame endpoint.Frame, a placement.Assignment) (bool, *attemptError) {
	if frame.Offset != s.delivered {
		err := fault.New(fault.Unavailable, "try again", "the engine ended the stream at an unexpected offset",
			fault.WithExecution(fault.ExecutionUnknown))
		return false, &attemptError{stageDecode, a.Decode, err}
	}
	s.finished = true
	s.lease.Progress(placement.StageReleased)
	total := usage{
		PromptTokens: s.g.promptTokens, CompletionTokens: s.delivered, TotalTokens: s.g.promptTokens + s.delivered,
	}
	if err := s.writer.finish(frame.FinishReason, total); err != nil {
		return false, s.callerWriteError(err)
	}
	s.c.trace("answer", "whole", zap.Int64("tokens", s.delivered), zap.Duration("took", s.c.elapsed()))
	return true, nil
}

// callerWriteError reports a failed write to the caller. It leaves the stage empty, which
// recovery treats as permanent.
func (s *session) callerWriteError(err error) *attemptError {
	return &attemptError{err: fault.Wrap(err, fault.Cancelled, "keep the connection open", "write to the caller",
		fault.WithExecution(fault.ExecutionUnknown))}
}

func (s *session) traceFirstToken(a placement.Assignment) {
	took := s.c.elapsed()
	s.c.server.metrics.GetOrCreateHistogram(`fulmartide_relay_first_token_seconds`).Update(took.Seconds())
	s.c.trace("decode", "first token", zap.String("endpoint", a.Decode), zap.Duration("took", took))
}
