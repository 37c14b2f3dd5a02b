package relay

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ledger"
)

const (
	defaultServiceDeadline = 10 * time.Second
	// ledgerTimeout bounds recording a commit's outcome or abandoning its intent.
	ledgerTimeout = 5 * time.Second
)

// serviceResponse is the buffered response of a plain service.
type serviceResponse struct {
	status int
	header http.Header
	body   []byte
	// tooLarge is set if the body exceeds maxServiceResponse.
	tooLarge bool
}

// maxServiceResponse is the maximum size of the body of a plain service's response, in bytes.
const maxServiceResponse = 8 << 20

// servePlain serves a call to a plain service, an HTTP service that is not an inference engine.
func (s *Server) servePlain(ctx context.Context, c *call) error {
	routeName, route, err := findRoute(&c.snapshot.Document, c.r.Method, c.r.URL.Path)
	if err != nil {
		return err
	}
	if !route.AllowAnonymous || callerSecret(c.r.Header) != "" {
		if err := c.authenticate(); err != nil {
			return err
		}
	}
	body, err := c.readBody(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if c.identity.KeyID != "" {
		defer c.cancelOnKeyWithdrawal(cancel)()
	}
	ctx, stop := context.WithTimeout(ctx, deadlineOrDefault(route.DeadlineMillis, defaultServiceDeadline))
	defer stop()
	c.trace("routing", "matched", zap.String("route", routeName), zap.String("service", route.Service))
	if err := c.admitPlain(ctx, route); err != nil {
		return err
	}
	if route.Commit {
		return c.serveCommit(ctx, routeName, route, body)
	}
	resp, err := c.forward(ctx, routeName, route, body)
	if err != nil {
		return contextErrorOr(ctx, err, fault.DetailOf(err).Execution)
	}
	c.writeServiceResponse(resp)
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
		c.trace("admission", "rejected",
			zap.String("workspace", c.identity.Workspace), zap.Int64("tokens", cost), zap.Error(err))
		return err
	}
	reservation.Settle(cost)
	return nil
}

func (c *call) writeServiceResponse(resp *serviceResponse) {
	h := c.w.Header()
	for k, v := range resp.header {
		h[k] = v
	}
	if len(resp.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	c.w.WriteHeader(resp.status)
	_, _ = c.w.Write(resp.body)
}

// credentialHeaders are removed from requests before they are forwarded to an endpoint.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization"}

func forwardedHeaders(in http.Header) http.Header {
	out := connpool.EndToEndHeaders(in)
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	out.Del("Content-Length")
	return out
}

// serveCommit runs a call at most once per Idempotency-Key.
func (c *call) serveCommit(ctx context.Context, routeName string, route configuration.Route, body []byte) error {
	key := c.r.Header.Get("Idempotency-Key")
	if key == "" {
		return fault.New(fault.Malformed, "send an Idempotency-Key header with a new version 7 UUID",
			"this route requires an idempotency key")
	}
	intent := ledger.Intent{Workspace: c.identity.Workspace, Key: key, Fingerprint: c.fingerprint(body), Nonce: c.id}
	previous, err := c.server.opts.Ledger.Begin(ctx, intent)
	if err != nil {
		c.trace("ledger", "rejected", zap.String("key", key), zap.Error(err))
		return err
	}
	if previous != nil {
		return c.replayOutcome(previous)
	}
	c.trace("ledger", "recorded", zap.String("key", key))
	resp, err := c.forward(ctx, routeName, route, body)
	if err != nil {
		run := fault.DetailOf(err).Execution
		if run == fault.NotExecuted {
			c.abandonIntent(ctx, intent)
		}
		return contextErrorOr(ctx, err, run)
	}
	c.writeServiceResponse(resp)
	// Recording may take longer than a shutdown waits for calls.
	_ = http.NewResponseController(c.w).Flush() // fails if the caller has gone
	c.recordOutcome(ctx, intent, resp)
	return nil
}

// abandonIntent removes the ledger entry of a call that reached no endpoint, so that a repeat of
// the call may run.
func (c *call) abandonIntent(ctx context.Context, intent ledger.Intent) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer stop()
	if err := c.server.opts.Ledger.Abandon(ctx, intent); err != nil {
		c.trace("ledger", "intent not abandoned", zap.String("key", intent.Key), zap.Error(err))
	}
}

func (c *call) fingerprint(body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.r.Method + "\x00" + c.r.URL.RequestURI() + "\x00")
	_, _ = d.Write(body)
	return d.Sum64()
}

func (c *call) replayOutcome(outcome *ledger.Outcome) error {
	c.trace("ledger", "repeated", zap.Int("status", outcome.Status))
	if outcome.Truncated {
		return fault.New(fault.Conflict, "read the result from the service",
			"the call already ran; its response was too large to store", fault.WithExecution(fault.Executed))
	}
	h := c.w.Header()
	h.Set("Content-Type", outcome.ContentType)
	h.Set("Idempotent-Replayed", "true")
	c.w.WriteHeader(outcome.Status)
	_, _ = c.w.Write(outcome.Body)
	return nil
}

func (c *call) recordOutcome(ctx context.Context, intent ledger.Intent, resp *serviceResponse) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), ledgerTimeout)
	defer stop()
	outcome := ledger.Outcome{Status: resp.status, ContentType: resp.header.Get("Content-Type"), Body: resp.body}
	if len(resp.body) > ledger.MaxOutcomeBody {
		outcome.Body, outcome.Truncated = nil, true
	}
	if err := c.server.opts.Ledger.Finish(ctx, intent, outcome); err != nil {
		c.trace("ledger", "outcome not recorded", zap.String("key", intent.Key), zap.Error(err))
	}
}
