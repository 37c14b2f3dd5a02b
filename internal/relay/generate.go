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

func (s *Server) generationHandler(api apiKind) http.HandlerFunc {
	return s.handle(func(ctx context.Context, c *call) error { return s.generate(ctx, c, api) })
}

// generate serves one generation call: it authenticates, validates, admits, places and runs it.
func (s *Server) generate(ctx context.Context, c *call, api apiKind) error {
	if err := c.authenticate(); err != nil {
		return err
	}
	raw, err := c.readBody(ctx)
	if err != nil {
		return err
	}
	g, err := parseGeneration(api, raw, s.opts.Limits.PromptTokens)
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
	defer c.cancelOnKeyWithdrawal(cancel)()
	ctx, stop := context.WithTimeout(ctx, deadlineOrDefault(model.DeadlineMillis, defaultDeadline))
	defer stop()
	return c.admit(ctx, g, plan, model)
}

func deadlineOrDefault(millis int64, fallback time.Duration) time.Duration {
	if millis <= 0 {
		return fallback
	}
	return time.Duration(millis) * time.Millisecond
}

// checkPlan checks that the plan includes the model and the adapter, and limits the output length.
func (c *call) checkPlan(g *generation, plan configuration.Plan) (configuration.Model, error) {
	model, ok := c.snapshot.Document.Models[g.model]
	if !ok {
		return model, fault.New(fault.NotFound, "use a model listed by GET /v1/models", "unknown model "+g.model)
	}
	if !slices.Contains(plan.Models, g.model) {
		return model, fault.New(fault.Forbidden, "use a model listed by GET /v1/models",
			"the plan does not include model "+g.model)
	}
	if g.adapter != "" && !slices.Contains(plan.Adapters, g.adapter) {
		return model, fault.New(fault.Forbidden, "use an adapter included in the plan, or none",
			"the plan does not include adapter "+g.adapter)
	}
	limit := cmp.Or(model.MaxOutputTokens, defaultMaxOutput)
	if g.maxTokens == 0 || g.maxTokens > limit {
		g.maxTokens = limit
	}
	return model, nil
}

const defaultMaxOutput = 1024

// admit reserves the maximum number of tokens that the call can use; place settles the actual use.
func (c *call) admit(ctx context.Context, g generation, plan configuration.Plan, model configuration.Model) error {
	tokens := g.promptTokens + g.maxTokens
	reservation, err := c.server.opts.Limiter.Reserve(ctx, c.identity.Workspace, tokens)
	if err != nil {
		c.trace("admission", "rejected",
			zap.String("workspace", c.identity.Workspace), zap.Int64("tokens", tokens), zap.Error(err))
		return err
	}
	c.trace("admission", "admitted", zap.String("workspace", c.identity.Workspace), zap.Int64("tokens", tokens))
	return c.place(ctx, g, plan, model, reservation)
}

func (c *call) place(
	ctx context.Context, g generation, plan configuration.Plan, model configuration.Model, reservation limiter.Reservation,
) error {
	req := c.placementRequest(g, plan, model)
	lease, err := c.server.opts.Placer.Place(ctx, req)
	if err != nil {
		reservation.Settle(0)
		c.trace("placement", "rejected", zap.String("model", g.model), zap.Error(err))
		return contextErrorOr(ctx, err, fault.NotExecuted)
	}
	defer lease.Release()
	c.traceAssignment("placed", lease.Assignment())
	s := newSession(c, g, model, lease)
	err = s.run(ctx)
	reservation.Settle(s.usedTokens())
	return err
}

func (c *call) placementRequest(g generation, plan configuration.Plan, model configuration.Model) placement.Request {
	deadline := deadlineOrDefault(model.DeadlineMillis, defaultDeadline)
	elapsed := c.elapsed()
	class := configuration.Urgent
	if g.class == string(configuration.MayWait) {
		class = configuration.MayWait
	}
	return placement.Request{
		ID:              c.requestID,
		Workspace:       c.identity.Workspace,
		Weight:          max(1, plan.Weight),
		Model:           g.model,
		Adapter:         g.adapter,
		Class:           class,
		PromptTokens:    g.promptTokens,
		MaxOutputTokens: g.maxTokens,
		Pieces:          prefixPieceHashes(c.identity.Workspace, g.model, g.prompt, model.PieceTokens),
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

// contextErrorOr returns the cause of ctx's cancellation as a fault if ctx has ended, otherwise err.
func contextErrorOr(ctx context.Context, err error, run fault.Execution) error {
	if ctx.Err() == nil {
		return err
	}
	cause := context.Cause(ctx)
	d := fault.DetailOf(cause)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		d = fault.Detail{Kind: fault.Timeout, Message: "the call's deadline passed", Remedy: "retry the call when load is lower"}
	case errors.Is(cause, context.Canceled):
		d = fault.Detail{Kind: fault.Cancelled, Message: "the caller disconnected", Remedy: "keep the connection open"}
	}
	d.Execution = run
	return d.Err()
}
