package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/placement"
)

const defaultDeadline = 60 * time.Second

func (s *Server) generationHandler(f form) http.HandlerFunc {
	return s.handle(func(ctx context.Context, c *call) error { return s.generate(ctx, c, f) })
}

// generate serves one generation call: authenticate, check, admit, place, run.
func (s *Server) generate(ctx context.Context, c *call, f form) error {
	if err := c.authenticate(); err != nil {
		return err
	}
	raw, err := readBody(c.r, s.opts.Limits.BodyBytes)
	if err != nil {
		return err
	}
	g, err := parseGeneration(f, raw, s.opts.Limits.PromptTokens)
	if err != nil {
		return err
	}
	plan, err := c.plan()
	if err != nil {
		return err
	}
	model, err := c.checkPlan(&g, plan)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.cutOnWithdrawal(cancel)()
	ctx, stop := context.WithTimeout(ctx, deadlineOf(model.DeadlineMillis, defaultDeadline))
	defer stop()
	return c.admit(ctx, g, plan, model)
}

func deadlineOf(millis int64, otherwise time.Duration) time.Duration {
	if millis <= 0 {
		return otherwise
	}
	return time.Duration(millis) * time.Millisecond
}

// checkPlan sees that the plan includes the model and adapter, and bounds the output.
func (c *call) checkPlan(g *generation, plan configuration.Plan) (configuration.Model, error) {
	model, ok := c.snapshot.Document.Models[g.model]
	if !ok {
		return model, fault.New(fault.NotFound, "choose one that GET /v1/models lists", "no model "+g.model)
	}
	if !slices.Contains(plan.Models, g.model) {
		return model, fault.New(fault.Forbidden, "choose one that GET /v1/models lists", "the plan does not include model "+g.model)
	}
	if g.adapter != "" && !slices.Contains(plan.Adapters, g.adapter) {
		return model, fault.New(fault.Forbidden, "choose an adapter of the plan, or none", "the plan does not include adapter "+g.adapter)
	}
	limit := cmp.Or(model.MaxOutputTokens, defaultMaxOutput)
	if g.maxTokens == 0 || g.maxTokens > limit {
		g.maxTokens = limit
	}
	return model, nil
}

const defaultMaxOutput = 1024

// admit reserves the call's tokens and gives back what it did not use.
func (c *call) admit(ctx context.Context, g generation, plan configuration.Plan, model configuration.Model) error {
	tokens := g.promptTokens + g.maxTokens
	reservation, err := c.server.opts.Limiter.Reserve(ctx, c.identity.Workspace, tokens)
	if err != nil {
		c.trace("admission", "rejected", zap.String("workspace", c.identity.Workspace), zap.Int64("tokens", tokens), zap.Error(err))
		return err
	}
	c.trace("admission", "admitted", zap.String("workspace", c.identity.Workspace), zap.Int64("tokens", tokens))
	return c.place(ctx, g, plan, model, reservation)
}

func (c *call) place(ctx context.Context, g generation, plan configuration.Plan, model configuration.Model, reservation limiter.Reservation) error {
	req := c.placementRequest(g, plan, model)
	lease, err := c.server.opts.Placer.Place(ctx, req)
	if err != nil {
		reservation.Settle(0)
		c.trace("placement", "rejected", zap.String("model", g.model), zap.Error(err))
		return causeOf(ctx, err, fault.NotExecuted)
	}
	defer lease.Release()
	c.traceAssignment("placed", lease.Assignment())
	s := newSession(c, g, model, lease)
	err = s.run(ctx)
	reservation.Settle(s.used())
	return err
}

func (c *call) placementRequest(g generation, plan configuration.Plan, model configuration.Model) placement.Request {
	deadline := deadlineOf(model.DeadlineMillis, defaultDeadline)
	elapsed := c.elapsed()
	class := configuration.Urgent
	if g.class == string(configuration.MayWait) {
		class = configuration.MayWait
	}
	return placement.Request{
		ID:              c.rid,
		Workspace:       c.identity.Workspace,
		Weight:          max(1, plan.Weight),
		Model:           g.model,
		Adapter:         g.adapter,
		Class:           class,
		PromptTokens:    g.promptTokens,
		MaxOutputTokens: g.maxTokens,
		Pieces:          prefixPieces(c.identity.Workspace, g.model, g.prompt, model.PieceTokens),
		DataCentre:      c.server.opts.DataCentre,
		FirstToken:      time.Duration(model.FirstTokenMillis)*time.Millisecond - elapsed,
		Gap:             time.Duration(model.GapMillis) * time.Millisecond,
		Deadline:        deadline - elapsed,
		NeedPrefill:     true,
	}
}

func (c *call) traceAssignment(message string, a placement.Assignment) {
	c.trace("placement", message,
		zap.String("prefill", a.Prefill),
		zap.String("decode", a.Decode),
		zap.Int64("cached_tokens", a.CachedTokens),
		zap.Duration("expected_first_token", a.ExpectedFirstToken),
		zap.String("why", a.Reason),
	)
}

// causeOf gives the reason why ctx ended, where it did, in place of err.
func causeOf(ctx context.Context, err error, run fault.Execution) error {
	if ctx.Err() == nil {
		return err
	}
	cause := context.Cause(ctx)
	d := fault.DetailOf(cause)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		d = fault.Detail{Kind: fault.Timeout, Message: "the call's deadline passed", Remedy: "send the call again when load is lower"}
	case errors.Is(cause, context.Canceled):
		d = fault.Detail{Kind: fault.Cancelled, Message: "the caller went away", Remedy: "keep the connection open"}
	}
	d.Execution = run
	return d.Err()
}
