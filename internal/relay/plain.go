package relay

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ledger"
)

const (
	defaultPlainDeadline = 10 * time.Second
	// finishTimeout bounds the recording of a commit's outcome.
	finishTimeout = 5 * time.Second
)

// serviceAnswer is a plain service's whole answer.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

// plain serves a call to a plain service.
func (s *Server) plain(ctx context.Context, c *call) error {
	name, route, err := findRoute(&c.snapshot.Document, c.r.Method, c.r.URL.Path)
	if err != nil {
		return err
	}
	if !route.Open || callerSecret(c.r.Header) != "" {
		if err := c.authenticate(); err != nil {
			return err
		}
	}
	body, err := readBody(c.r, s.opts.Limits.BodyBytes)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.identity.KeyID != "" {
		defer c.cutOnWithdrawal(cancel)()
	}
	ctx, stop := context.WithTimeout(ctx, deadlineOf(route.DeadlineMillis, defaultPlainDeadline))
	defer stop()
	c.trace("routing", "matched", zap.String("route", name), zap.String("service", route.Service))
	if err := c.admitPlain(ctx, route); err != nil {
		return err
	}
	if route.Commit {
		return c.commit(ctx, name, route, body)
	}
	a, err := c.forward(ctx, name, route, body)
	if err != nil {
		return causeOf(ctx, err, fault.DetailOf(err).Execution)
	}
	c.give(a)
	return nil
}

func (c *call) admitPlain(ctx context.Context, route configuration.Route) error {
	if c.identity.Workspace == "" {
		return nil
	}
	if _, err := c.plan(); err != nil {
		return err
	}
	cost := cmp.Or(route.CostTokens, 1)
	reservation, err := c.server.opts.Limiter.Reserve(ctx, c.identity.Workspace, cost)
	if err != nil {
		c.trace("admission", "rejected", zap.String("workspace", c.identity.Workspace), zap.Int64("tokens", cost), zap.Error(err))
		return err
	}
	reservation.Settle(cost)
	return nil
}

func (c *call) give(a *serviceAnswer) {
	h := c.w.Header()
	for k, v := range a.header {
		h[k] = v
	}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
}

// credentialHeaders never reach an endpoint.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization"}

func endpointHeaders(in http.Header) http.Header {
	out := connpool.EndToEndHeaders(in)
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// commit runs a call at most once for its Idempotency-Key.
func (c *call) commit(ctx context.Context, name string, route configuration.Route, body []byte) error {
	key := c.r.Header.Get("Idempotency-Key")
	if key == "" {
		return fault.New(fault.Malformed, "send the header Idempotency-Key with a new UUID of version 7", "this route needs an idempotency key")
	}
	in := ledger.Intent{Workspace: c.identity.Workspace, Key: key, Fingerprint: c.fingerprint(body), Nonce: c.id}
	known, err := c.server.opts.Ledger.Begin(ctx, in)
	if err != nil {
		c.trace("ledger", "rejected", zap.String("key", key), zap.Error(err))
		return err
	}
	if known != nil {
		return c.giveKnown(known)
	}
	c.trace("ledger", "recorded", zap.String("key", key))
	a, err := c.forward(ctx, name, route, body)
	if err != nil {
		run := fault.DetailOf(err).Execution
		if run == fault.NotExecuted {
			c.abandon(ctx, in)
		}
		return causeOf(ctx, err, run)
	}
	c.give(a)
	c.recordOutcome(ctx, in, a)
	return nil
}

// abandon lets a repeat run, after a call that certainly reached no endpoint.
func (c *call) abandon(ctx context.Context, in ledger.Intent) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer stop()
	if err := c.server.opts.Ledger.Abandon(ctx, in); err != nil {
		c.trace("ledger", "intent not abandoned", zap.String("key", in.Key), zap.Error(err))
	}
}

func (c *call) fingerprint(body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.r.Method + "\x00" + c.r.URL.RequestURI() + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

func (c *call) giveKnown(o *ledger.Outcome) error {
	c.trace("ledger", "repeated", zap.Int("status", o.Status))
	if o.Truncated {
		return fault.New(fault.Conflict, "read the result at the service", "the call ran before; its answer was too long to keep", fault.WithExecution(fault.Executed))
	}
	h := c.w.Header()
	h.Set("Content-Type", o.ContentType)
	h.Set("Idempotent-Replayed", "true")
	c.w.WriteHeader(o.Status)
	_, _ = c.w.Write(o.Body)
	return nil
}

func (c *call) recordOutcome(ctx context.Context, in ledger.Intent, a *serviceAnswer) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer stop()
	out := ledger.Outcome{Status: a.status, ContentType: a.header.Get("Content-Type"), Body: a.body}
	if len(a.body) > ledger.MaxOutcomeBody {
		out.Body, out.Truncated = nil, true
	}
	if err := c.server.opts.Ledger.Finish(ctx, in, out); err != nil {
		c.trace("ledger", "outcome not recorded", zap.String("key", in.Key), zap.Error(err))
	}
}
