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

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/keys"
)

// Server answers callers.
type Server struct {
	opts      Options
	registry  *registry
	traces    *traces
	cancels   *canceller
	retries   *retryBudgets
	transfers transfers
	services  *services
	metrics   *metrics.Set
	seq       atomic.Uint64
	mux       *http.ServeMux
}

// processFullWait is the time after which a caller refused by a full process may try again.
const processFullWait = time.Second

// New makes a Server. Run must be running while it serves.
func New(o Options) *Server {
	s := &Server{
		opts:     o,
		registry: newRegistry(o.Limits.Requests),
		traces:   newTraces(),
		cancels:  newCanceller(o.Dialer, o.Log),
		retries:  newRetryBudgets(),
		metrics:  metrics.NewSet(),
		mux:      http.NewServeMux(),
	}
	s.services = newServices(o, s)
	s.metrics.NewGauge("fulmartide_relay_live_requests", func() float64 { return float64(s.registry.count()) })
	s.mux.HandleFunc("POST /v1/chat/completions", s.generationHandler(formChat))
	s.mux.HandleFunc("POST /v1/completions", s.generationHandler(formCompletion))
	s.mux.HandleFunc("GET /v1/models", s.handle(s.models))
	s.mux.HandleFunc("/", s.handle(s.plain))
	return s
}

// Run carries out the cancels that finished requests leave behind, and closes connections to
// services that are not used, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.services.run(ctx) })
	s.cancels.run(ctx)
	duties.Wait()
}

// Live reports whether a request, named by its id, is still served here.
func (s *Server) Live(request string) bool { return s.registry.has(request) }

// LiveAt reports whether a request is still served here and may need what an endpoint holds.
func (s *Server) LiveAt(request, endpoint string) bool { return s.registry.hasAt(request, endpoint) }

// Stop refuses new requests and waits for the others until ctx ends. It gives the number cut.
func (s *Server) Stop(ctx context.Context) int { return s.registry.stop(ctx) }

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool { return s.registry.isStopping() }

// Explain gives the steps of a request that this process served.
func (s *Server) Explain(request string) ([]TraceEvent, bool) { return s.traces.get(request) }

// Metrics gives the server's metrics.
func (s *Server) Metrics() *metrics.Set { return s.metrics }

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// call is one request on its way through the server.
type call struct {
	id       string
	rid      ident.RequestID
	w        http.ResponseWriter
	r        *http.Request
	snapshot *configuration.Snapshot
	identity keys.Identity
	arrived  clock.Instant
	log      *zap.Logger
	server   *Server
}

// handle wraps a handler with what every call needs: an id, a place in the registry, the
// snapshot in force, and an answer for its error.
func (s *Server) handle(h func(ctx context.Context, c *call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rid := ident.RequestID{VM: s.opts.Self, Seq: s.seq.Add(1)}
		c := &call{
			id:      rid.String(),
			rid:     rid,
			w:       w,
			r:       r,
			arrived: s.opts.Clock.Now(),
			server:  s,
		}
		c.log = s.opts.Log.With(zap.String("request", c.id))
		w.Header().Set("X-Request-Id", c.id)
		err := s.serve(h, c)
		c.finish(err)
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
		return fault.New(fault.Unavailable, "try again; the VM waits for its first configuration", "no configuration yet",
			fault.WithRetryAfter(processFullWait))
	}
	return h(ctx, c)
}

// headerBytes gives the size of headers as sent.
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

// answered is the error of a call whose failure was already told to the caller.
type answered struct{ detail fault.Detail }

func (a answered) Error() string { return a.detail.Message }

func (c *call) finish(err error) {
	if err == nil {
		c.server.count("ok", fault.Executed)
		return
	}
	var d fault.Detail
	if a, ok := err.(answered); ok {
		d = a.detail
	} else {
		d = writeError(c.w, c.id, err)
	}
	c.server.count(string(d.Kind), d.Execution)
	c.trace("answer", "refused", zap.String("kind", string(d.Kind)), zap.String("run", string(d.Execution)), zap.String("why", d.Message))
}

func (s *Server) count(kind string, run fault.Execution) {
	s.metrics.GetOrCreateCounter(`fulmartide_relay_requests_total{result="` + kind + `",run="` + string(run) + `"}`).Inc()
}

// trace logs a step of the request and keeps it for the explain query.
func (c *call) trace(stage, message string, fields ...zap.Field) {
	c.log.Info(message, append([]zap.Field{zap.String("stage", stage)}, fields...)...)
	e := TraceEvent{At: time.Now(), Stage: stage, Message: message, Fields: map[string]string{}}
	for _, f := range fields {
		e.Fields[f.Key] = fieldText(f)
	}
	c.server.traces.add(c.id, e)
}

// elapsed is the time since the call arrived.
func (c *call) elapsed() time.Duration { return c.server.opts.Clock.Now().Sub(c.arrived) }

// authenticate finds the identity behind the caller's key.
func (c *call) authenticate() error {
	secret := callerSecret(c.r.Header)
	if secret == "" {
		return fault.New(fault.Unauthenticated, "send the header Authorization: Bearer KEY", "no key was sent")
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

// plan gives the plan of the call's workspace.
func (c *call) plan() (configuration.Plan, error) {
	w, ok := c.snapshot.Document.Workspaces[c.identity.Workspace]
	if !ok {
		return configuration.Plan{}, fault.New(fault.Forbidden, "ask the operator to add the workspace", "the key's workspace is not in the configuration")
	}
	p, ok := c.snapshot.Document.Plans[w.Plan]
	if !ok {
		return configuration.Plan{}, fault.New(fault.Forbidden, "ask the operator to give the workspace a plan", "the workspace has no plan")
	}
	return p, nil
}

// cutOnWithdrawal ends the call when its key is withdrawn.
func (c *call) cutOnWithdrawal(cancel context.CancelCauseFunc) (detach func()) {
	return c.server.opts.Keys.OnWithdrawal(c.identity.KeyID, func() {
		cancel(fault.New(fault.Unauthenticated, "use another key", "the key was withdrawn", fault.WithExecution(fault.ExecutionUnknown)))
	})
}
