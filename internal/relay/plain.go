package relay

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ledger"
)

const (
	defaultPlainDeadline = 10 * time.Second
	// maxServiceBody is the most of a service's answer.
	maxServiceBody = 8 << 20
	// serviceTryLimit bounds one try at an idempotent call, so that a silent connection leaves
	// time for another.
	serviceTryLimit = 2 * time.Second
	// maxServiceTries bounds the tries at an idempotent call.
	maxServiceTries = 3
	// finishTimeout bounds the recording of a commit's outcome.
	finishTimeout = 5 * time.Second
	// dialTimeout bounds one connection attempt to a service.
	dialTimeout = 500 * time.Millisecond
)

// newServiceClient makes a client for plain services. Without reuse each call has a new
// connection, and net/http never sends a call a second time by itself, as it may do with an
// idempotency key on a reused connection that broke.
func newServiceClient(reuse bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
			DisableKeepAlives:   !reuse,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

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
		return c.commit(ctx, route, body)
	}
	a, err := c.forward(ctx, route, body)
	if err != nil {
		return causeOf(ctx, err, fault.Describe(err).Run)
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

// forward calls the service, again elsewhere where that is safe.
func (c *call) forward(ctx context.Context, route configuration.Route, body []byte) (*serviceAnswer, error) {
	var avoid []string
	run := fault.NotRun
	c.server.retries.earn(route.Service)
	for try := 1; ; try++ {
		name, done, err := c.server.opts.Picker.Pick(route.Service, avoid)
		if err != nil {
			return nil, withRun(err, run)
		}
		c.trace("placement", "placed", zap.String("endpoint", name), zap.Int("try", try))
		begin := c.server.opts.Clock.Now()
		a, err := c.try(ctx, route, name, body)
		done(err, c.server.opts.Clock.Now().Sub(begin))
		if err == nil {
			return a, nil
		}
		again := try < maxServiceTries && ctx.Err() == nil && mayRepeat(route, err) && c.server.retries.spend(route.Service)
		c.trace("recovery", "attempt failed", zap.String("endpoint", name), zap.Bool("again", again), zap.Error(err))
		run = worseRun(run, fault.Describe(err).Run)
		if !again {
			return nil, withRun(err, run)
		}
		avoid = append(avoid, name)
		pause(ctx, try)
	}
}

// worseRun gives the statement that is true of two tries together.
func worseRun(a, b fault.Run) fault.Run {
	if a == fault.NotRun {
		return b
	}
	return a
}

func withRun(err error, run fault.Run) error {
	d := fault.Describe(err)
	d.Run = run
	return d.Error()
}

// mayRepeat allows another try at an idempotent call, and at any call whose first byte
// certainly did not leave.
func mayRepeat(route configuration.Route, err error) bool {
	return route.Idempotent || fault.Describe(err).Run == fault.NotRun
}

func (c *call) try(ctx context.Context, route configuration.Route, name string, body []byte) (*serviceAnswer, error) {
	addr, ok := endpointAddress(c.snapshot, name)
	if !ok {
		return nil, fault.New(fault.Unavailable, "try again", "endpoint "+name+" is not in the configuration")
	}
	if route.Idempotent {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, serviceTryLimit)
		defer stop()
	}
	target := *c.r.URL
	target.Scheme = "http"
	target.Host = addr.String()
	req, err := http.NewRequestWithContext(ctx, c.r.Method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "correct the request line", "request")
	}
	req.Header = endpointHeaders(c.r.Header)
	req.Header.Set("X-Request-Id", c.id)
	req.Header.Set("X-Workspace", c.identity.Workspace)
	client := c.server.once
	if route.Idempotent {
		client = c.server.services
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, callFault(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp)
}

func callFault(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.Wrap(err, fault.Unavailable, "try again", "the endpoint took no connection")
	}
	return fault.Wrap(err, fault.OutcomeUnknown, "find out at the service whether the call ran", "the endpoint's answer was lost", fault.WithRun(fault.RunUnknown))
}

func readAnswer(resp *http.Response) (*serviceAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceBody+1))
	if err != nil {
		return nil, callFault(err)
	}
	if len(body) > maxServiceBody {
		return nil, fault.New(fault.TooLarge, "ask for less in one call", "the service's answer is too large", fault.WithRun(fault.Ran))
	}
	header := resp.Header.Clone()
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del("Content-Length")
	return &serviceAnswer{status: resp.StatusCode, header: header, body: body}, nil
}

// credentialHeaders never reach an endpoint.
var credentialHeaders = []string{"Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization"}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func endpointHeaders(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// commit runs a call at most once for its Idempotency-Key.
func (c *call) commit(ctx context.Context, route configuration.Route, body []byte) error {
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
	a, err := c.forward(ctx, route, body)
	if err != nil {
		run := fault.Describe(err).Run
		if run == fault.NotRun {
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
		return fault.New(fault.Conflict, "read the result at the service", "the call ran before; its answer was too long to keep", fault.WithRun(fault.Ran))
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
