package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/keys"
)

// Server is the HTTP handler for calls.
type Server struct {
	opts      Options
	registry  *requestRegistry
	traces    *traceStore
	canceller *canceller
	retries   *retryBudgets
	transfers transferHistory
	services  *serviceForwarder
	metrics   *metrics.Set
	seq       atomic.Uint64
	stopping  atomic.Bool
	mux       *http.ServeMux
}

// defaultRetryAfter is the Retry-After delay of calls that are rejected because the process is at
// its request limit, has no configuration yet or is shutting down.
const defaultRetryAfter = time.Second

// New returns a Server. Run must be running while it serves.
func New(o Options) *Server {
	s := &Server{
		opts:      o,
		registry:  newRequestRegistry(o.Limits.Requests),
		traces:    newTraceStore(),
		canceller: newCanceller(o.Dialer, o.Log),
		retries:   newRetryBudgets(),
		metrics:   metrics.NewSet(),
		mux:       http.NewServeMux(),
	}
	s.services = newServiceForwarder(o, s)
	s.metrics.NewGauge("fulmartide_relay_live_requests", func() float64 { return float64(s.registry.count()) })
	s.mux.HandleFunc("POST /v1/chat/completions", s.generationHandler(apiChat))
	s.mux.HandleFunc("POST /v1/completions", s.generationHandler(apiCompletion))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.models))
	s.mux.HandleFunc("/", s.handle(s.servePlain))
	return s
}

// Run sends the cancellations of ended requests to engines, closes idle connections to services and examines
// services that abort requests, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.services.closeExpiredConns(ctx) })
	tasks.Go(func() { s.services.dispatcher.Run(ctx) })
	s.canceller.run(ctx)
	tasks.Wait()
}

// IsLive reports whether this process is still serving the request with the given ID.
func (s *Server) IsLive(request string) bool { return s.registry.contains(request) }

// IsLiveAt reports whether this process is still serving a request that may need the memory that an
// endpoint holds for it.
func (s *Server) IsLiveAt(request, endpoint string) bool {
	return s.registry.usesEndpoint(request, endpoint)
}

// Stop rejects new requests and waits for the running ones until ctx ends. It then cancels the
// remaining requests and returns their number.
func (s *Server) Stop(ctx context.Context) int { return s.registry.stop(ctx) }

// Active implements callerconn.Calls.
func (s *Server) Active() int64 { return int64(s.registry.count()) }

// RefuseNew implements callerconn.Calls.
func (s *Server) RefuseNew() { s.registry.rejectNew() }

// End implements callerconn.Calls.
func (s *Server) End() { s.registry.cancelAll() }

// AnnounceStop makes IsStopping report the shutdown, and responses end their connections, while new requests are still served.
func (s *Server) AnnounceStop() { s.stopping.Store(true) }

// IsStopping reports whether the shutdown has begun.
func (s *Server) IsStopping() bool { return s.stopping.Load() || s.registry.isStopping() }

// Explain returns the recorded steps of a request that this process served.
func (s *Server) Explain(request string) ([]TraceEvent, bool) { return s.traces.get(request) }

func (s *Server) Metrics() *metrics.Set { return s.metrics }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// call is the state of one request in the server.
type call struct {
	id        string
	requestID ident.RequestID
	w         http.ResponseWriter
	r         *http.Request
	snapshot  *configuration.Snapshot
	identity  keys.Identity
	// bodyRead is set once the body has been read to its end.
	bodyRead  bool
	arrivedAt clock.Instant
	log       *zap.Logger
	server    *Server
}

// handle wraps a handler with the steps common to all calls: it assigns a request ID, registers
// the call, takes the active configuration snapshot and writes the error response.
func (s *Server) handle(h func(ctx context.Context, c *call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requestID := ident.RequestID{VM: s.opts.Self, Seq: s.seq.Add(1)}
		c := &call{
			id:        requestID.String(),
			requestID: requestID,
			w:         &drainWriter{ResponseWriter: w, stopping: s.IsStopping},
			r:         r,
			arrivedAt: s.opts.Clock.Now(),
			server:    s,
		}
		c.log = s.opts.Log.With(zap.String("request", c.id))
		w.Header().Set("X-Request-Id", c.id)
		err := s.serve(h, c)
		unread := err != nil && !c.bodyRead && r.ContentLength != 0
		if unread && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close") // net/http would wait for the rest of the body before it sends the refusal
		}
		c.finish(err)
		if unread {
			callerconn.DiscardBody(c.w, r)
		}
	}
}

func (s *Server) serve(h func(ctx context.Context, c *call) error, c *call) error {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	if err := s.registry.add(c.id, cancel); err != nil {
		return err
	}
	defer s.registry.remove(c.id)
	if headerBytes(c.r.Header) > s.opts.Limits.HeaderBytes {
		remedy := "send at most " + strconv.Itoa(s.opts.Limits.HeaderBytes) + " bytes of headers"
		return fault.New(fault.TooLarge, remedy, "request headers are too large")
	}
	c.snapshot = s.opts.Configuration()
	if c.snapshot == nil {
		return fault.New(fault.Unavailable, "try again; this VM has not received its first configuration yet",
			"no configuration yet",
			fault.WithRetryAfter(defaultRetryAfter))
	}
	return h(ctx, c)
}

// headerBytes returns the size of the headers in HTTP/1 form.
func headerBytes(h http.Header) int {
	const separators = len(": \r\n")
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// reportedError is returned by a handler that has already sent the error to the caller.
type reportedError struct{ detail fault.Detail }

func (e reportedError) Error() string { return e.detail.Message }

func (c *call) finish(err error) {
	if err == nil {
		c.server.countResult("ok", fault.Executed)
		return
	}
	var d fault.Detail
	if reported, ok := err.(reportedError); ok {
		d = reported.detail
	} else {
		d = writeError(c.w, c.id, err)
	}
	c.server.countResult(string(d.Kind), d.Execution)
	c.trace("answer", "refused",
		zap.String("kind", string(d.Kind)), zap.String("run", string(d.Execution)), zap.String("why", d.Message))
}

// traceCut traces and counts a response that has begun and that d ends before it is complete.
func (c *call) traceCut(d fault.Detail) {
	c.server.metrics.GetOrCreateCounter(`fulmartide_responses_cut_total{reason="` + string(d.Kind) + `",obstacle=""}`).Inc()
	inForce := configuration.Version(0)
	if latest := c.server.opts.Configuration(); latest != nil {
		inForce = latest.Version
	}
	c.trace("answer", "response cut off", zap.String("reason", string(d.Kind)), zap.Uint64("configuration", uint64(c.snapshot.Version)),
		zap.Uint64("configuration_in_force", uint64(inForce)), zap.Duration("elapsed", c.elapsed()), zap.String("why", d.Message))
}

func (s *Server) countResult(kind string, run fault.Execution) {
	s.metrics.GetOrCreateCounter(`fulmartide_relay_requests_total{result="` + kind + `",run="` + string(run) + `"}`).Inc()
}

// trace logs a step of the request and records it for the explain query.
func (c *call) trace(stage, message string, fields ...zap.Field) {
	c.log.Info(message, append([]zap.Field{zap.String("stage", stage)}, fields...)...)
	e := TraceEvent{At: time.Now(), Stage: stage, Message: message, Fields: map[string]string{}}
	for _, f := range fields {
		e.Fields[f.Key] = fieldText(f)
	}
	c.server.traces.add(c.id, e)
}

// elapsed returns the time since the call arrived.
func (c *call) elapsed() time.Duration { return c.server.opts.Clock.Now().Sub(c.arrivedAt) }

// authenticate sets the call's identity from the API key that the caller sent.
func (c *call) authenticate() error {
	secret := callerSecret(c.r.Header)
	if secret == "" {
		return fault.New(fault.Unauthenticated, "send the header Authorization: Bearer KEY", "no API key was sent")
	}
	identity, err := c.server.opts.Keys.Identify(keys.HashSecret(secret))
	if err != nil {
		return err
	}
	c.identity = identity
	return nil
}

func callerSecret(h http.Header) string {
	scheme, secret, found := strings.Cut(h.Get("Authorization"), " ")
	if found && strings.EqualFold(scheme, "Bearer") {
		return strings.TrimSpace(secret)
	}
	return h.Get("X-Api-Key")
}

// plan returns the plan of the call's workspace.
func (c *call) plan() (configuration.Plan, error) {
	workspace, ok := c.snapshot.Document.Workspaces[c.identity.Workspace]
	if !ok {
		return configuration.Plan{}, fault.New(fault.Forbidden, "ask the operator to add the workspace",
			"the key's workspace is not in the configuration")
	}
	plan, ok := c.snapshot.Document.Plans[workspace.Plan]
	if !ok {
		return configuration.Plan{}, fault.New(fault.Forbidden, "ask the operator to assign a plan to the workspace",
			"the workspace has no plan")
	}
	return plan, nil
}

// cancelOnKeyWithdrawal cancels the call when its key is withdrawn.
func (c *call) cancelOnKeyWithdrawal(cancel context.CancelCauseFunc) (unregister func()) {
	return c.server.opts.Keys.OnWithdrawal(c.identity.KeyID, func() {
		cancel(fault.New(fault.Unauthenticated, "use another key", "the key was withdrawn", fault.WithExecution(fault.ExecutionUnknown)))
	})
}
