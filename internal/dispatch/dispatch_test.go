package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// sentRequest is one request that the fake backend received.
type sentRequest struct {
	method   string // name of the called method: run, prefill or free
	endpoint string
	source   string
	after    string
}

// fakeBackend is a backend.Client that responds as the functions run and prefill say. A nil function
// means success.
type fakeBackend struct {
	mu       sync.Mutex
	sends    []sentRequest
	run      func(n int, ctx context.Context, req backend.Request) (*backend.Response, error)
	prefill  func(n int, req backend.Request) error
	prefills int
}

// record records a send and returns how many of its method there were.
func (f *fakeBackend) record(s sentRequest) int {
	f.mu.Lock()
	f.sends = append(f.sends, s)
	f.mu.Unlock()
	return f.count(s.method)
}

func (f *fakeBackend) Run(ctx context.Context, req backend.Request) (*backend.Response, error) {
	s := sentRequest{method: "run", endpoint: req.Endpoint.ID.Name, after: req.LastEventID}
	if req.Source != nil {
		s.source = req.Source.Name
	}
	n := f.record(s)
	if f.run == nil {
		return reply(http.StatusOK, events(1, 3)), nil
	}
	return f.run(n, ctx, req)
}

func (f *fakeBackend) Prefill(_ context.Context, req backend.Request) (backend.Handle, error) {
	f.record(sentRequest{method: "prefill", endpoint: req.Endpoint.ID.Name})
	f.prefills++
	if f.prefill != nil {
		if err := f.prefill(f.prefills, req); err != nil {
			return backend.Handle{}, err
		}
	}
	return backend.Handle{Endpoint: req.Endpoint, Name: "h" + strconv.Itoa(f.prefills)}, nil
}

func (f *fakeBackend) Free(_ context.Context, h backend.Handle) error {
	f.record(sentRequest{method: "free", endpoint: h.Endpoint.ID.Name, source: h.Name})
	return nil
}

func (f *fakeBackend) Connect(context.Context, traffic.Endpoint) error { return nil }

func (f *fakeBackend) count(method string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sends {
		if s.method == method {
			n++
		}
	}
	return n
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString("id: " + strconv.Itoa(i) + "\ndata: x\n\n")
	}
	return b.String()
}

func reply(status int, body string) *backend.Response {
	return &backend.Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

// truncated returns a response whose body fails after text.
func truncated(text string) *backend.Response {
	r := reply(http.StatusOK, "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader(text), failingReader{}))
	return r
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func rejected() *backend.Response {
	r := reply(http.StatusServiceUnavailable, "")
	r.Rejected = true
	return r
}

func notSent() error { return &backend.SendError{Err: errors.New("no connection")} }

func connectionLost() error { return &backend.SendError{Sent: true, Err: errors.New("reset")} }

// recordingSink is a dispatch.Sink that records the response.
type recordingSink struct {
	status int
	body   strings.Builder
}

func (s *recordingSink) WriteHeader(status int, _ map[string][]string, _ int64) error {
	s.status = status
	return nil
}

func (s *recordingSink) WriteData(p []byte) error {
	s.body.Write(p)
	return nil
}

// Path prefixes of the routes in the test configuration.
const (
	oncePath      = "/once/"
	repeatPath    = "/repeat/"
	streamPath    = "/stream/"
	resumablePath = "/resumable/"
)

func testConfiguration() *traffic.Configuration {
	route := func(prefix string, kind traffic.RouteKind, service string) *traffic.Route {
		return &traffic.Route{
			Host: "h", Prefix: prefix, Kind: kind, Resumable: prefix == resumablePath, Timeout: 10 * time.Second, LatencyTarget: 900 * time.Millisecond,
			MaxEventGap: 300 * time.Millisecond, MaxAttempts: 2, Targets: []traffic.Target{{Service: service, Weight: 1}},
		}
	}
	keys := map[string]*traffic.Workspace{"key": {Name: "w", Rate: 10_000, Burst: 10_000, DefaultCost: 10}}
	c := traffic.NewConfiguration(1,
		[]*traffic.Route{
			route(oncePath, traffic.NonIdempotent, "plain"), route(repeatPath, traffic.Idempotent, "plain"),
			route(streamPath, traffic.Stream, "engines"), route(resumablePath, traffic.Stream, "engines"),
		},
		[]*traffic.Service{{Name: "plain"}, {Name: "engines", Engine: &traffic.EngineParameters{KVCapacity: 50_000, HandleTTL: 500 * time.Millisecond}}},
		keys, traffic.Limits{})
	c.RequiresKey = true
	return c
}

func testEndpoints() traffic.Endpoints {
	newEndpoint := func(name, service string, stage traffic.Stage) traffic.Endpoint {
		return traffic.Endpoint{ID: traffic.EndpointID{Name: name}, Service: service, Stage: stage, Slots: 8, DataCentre: "a"}
	}
	return traffic.Endpoints{Version: 1, List: []traffic.Endpoint{
		newEndpoint("plain1", "plain", traffic.Aggregated), newEndpoint("plain2", "plain", traffic.Aggregated), newEndpoint("plain3", "plain", traffic.Aggregated),
		newEndpoint("prefill1", "engines", traffic.Prefill), newEndpoint("prefill2", "engines", traffic.Prefill),
		newEndpoint("decode1", "engines", traffic.Decode), newEndpoint("decode2", "engines", traffic.Decode), newEndpoint("decode3", "engines", traffic.Decode),
	}}
}

// testRetryBudget is the retry budget of test dispatchers.
var testRetryBudget = admission.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}

// newTestGate returns the admission of the only VM of a fleet that starts for the first time.
func newTestGate(now clock.Clock, b admission.RetryBudget) *admission.Controller {
	gate := admission.NewController(now, b, admission.PlanOptions{Window: 8 * time.Second}, 1, nil)
	gate.SetFirstStart()
	return gate
}

// newTestDispatcher returns a Dispatcher of the only VM of a fleet. change, which may be nil, changes its options.
func newTestDispatcher(
	now clock.Clock, cfg *traffic.Configuration, s *schedule.Scheduler, b backend.Client, change func(*dispatch.Options),
) *dispatch.Dispatcher {
	o := dispatch.Options{
		Clock: now, Configuration: func() *traffic.Configuration { return cfg }, Scheduler: s, Backend: b,
		Admission: newTestGate(now, testRetryBudget),
		Log:       zap.NewNop(), Metrics: metrics.NewSet(), Seed: 1,
	}
	if change != nil {
		change(&o)
	}
	return dispatch.New(o)
}

// serveCall runs one call against the fake backend in a synctest bubble.
func serveCall(t *testing.T, f *fakeBackend, call *traffic.Call) (*recordingSink, error) {
	t.Helper()
	out := &recordingSink{}
	return out, serveCallTo(t, f, call, out)
}

// serveCallTo is serveCall with a given sink.
func serveCallTo(t *testing.T, f *fakeBackend, call *traffic.Call, out dispatch.Sink) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewMonotonic()
		cfg := testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		time.Sleep(time.Minute) // the first windows of the controller include time before its start
		gate := newTestGate(now, testRetryBudget)
		time.Sleep(time.Minute) // from here on the controller knows the usage in its whole windows
		d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) { o.Admission = gate })
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		err = d.Serve(t.Context(), call, out)
		synctest.Wait()
		stop()
		synctest.Wait()
		if _, held := s.OwnWork(); len(held) != 0 {
			t.Errorf("capacity %v is still allocated after the call", held)
		}
	})
	return err
}

func newCall(path string) *traffic.Call {
	c := &traffic.Call{ID: "id", Method: http.MethodPost, RequestURI: path + "x?y", Host: "h:80", Key: "key"}
	if path == streamPath || path == resumablePath {
		c.Tokens = &traffic.Tokens{Prompt: 5000, MaxOutput: 500}
	}
	return c
}

func checkError(t *testing.T, err error, kind fault.Kind, execution fault.Execution) {
	t.Helper()
	if d := fault.DetailOf(err); err == nil || d.Kind != kind || d.Execution != execution {
		t.Errorf("got error %v of kind %s, execution %s; want kind %s, execution %s", err, d.Kind, d.Execution, kind, execution)
	}
}

func TestRejectedBeforeRun(t *testing.T) {
	for _, tc := range []struct {
		name string
		call func(c *traffic.Call)
		kind fault.Kind
	}{
		{"no route", func(c *traffic.Call) { c.RequestURI = "/other/" }, fault.NotFound},
		{"no key", func(c *traffic.Call) { c.Key = "" }, fault.Unauthenticated},
		{"over plan", func(c *traffic.Call) { c.Tokens = &traffic.Tokens{Prompt: 95_000} }, fault.PlanExceeded},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, c := &fakeBackend{}, newCall(oncePath)
			tc.call(c)
			_, err := serveCall(t, f, c)
			checkError(t, err, tc.kind, fault.NotExecuted)
			if len(f.sends) != 0 {
				t.Errorf("backend received %v, want no requests", f.sends)
			}
		})
	}
}

// TestPlainCalls checks the result of a plain call for each behaviour of the endpoints.
func TestPlainCalls(t *testing.T) {
	always := func(r func() (*backend.Response, error)) func(int, context.Context, backend.Request) (*backend.Response, error) {
		return func(int, context.Context, backend.Request) (*backend.Response, error) { return r() }
	}
	first := func(r func() (*backend.Response, error)) func(int, context.Context, backend.Request) (*backend.Response, error) {
		return func(n int, _ context.Context, _ backend.Request) (*backend.Response, error) {
			if n == 1 {
				return r()
			}
			return reply(http.StatusOK, "good"), nil
		}
	}
	for _, tc := range []struct {
		name          string
		path          string
		run           func(int, context.Context, backend.Request) (*backend.Response, error)
		sends         int
		status        int
		kind          fault.Kind
		wantExecution fault.Execution
	}{
		{"success", oncePath, always(func() (*backend.Response, error) { return reply(200, "good"), nil }), 1, 200, "", ""},
		{"no connection: retried at another endpoint", oncePath, first(func() (*backend.Response, error) { return nil, notSent() }), 2, 200, "", ""},
		{"rejected: retried at another endpoint", oncePath, first(func() (*backend.Response, error) { return rejected(), nil }), 2, 200, "", ""},
		{"connection lost: at-most-once call is not retried", oncePath, first(func() (*backend.Response, error) { return nil, connectionLost() }), 1, 0, fault.OutcomeUnknown, fault.ExecutionUnknown},
		{"connection lost: retryable call is retried", repeatPath, first(func() (*backend.Response, error) { return nil, connectionLost() }), 2, 200, "", ""},
		{"truncated response: at-most-once call is not retried", oncePath, first(func() (*backend.Response, error) { return truncated("x"), nil }), 1, 0, fault.OutcomeUnknown, fault.ExecutionUnknown},
		{"truncated response: retryable call is retried", repeatPath, first(func() (*backend.Response, error) { return truncated("x"), nil }), 2, 200, "", ""},
		{"error status: delivered for an at-most-once call", oncePath, first(func() (*backend.Response, error) { return reply(500, "bad"), nil }), 1, 500, "", ""},
		{"error status: retryable call is retried", repeatPath, first(func() (*backend.Response, error) { return reply(500, "bad"), nil }), 2, 200, "", ""},
		{"error status everywhere: last response is delivered", repeatPath, always(func() (*backend.Response, error) { return reply(500, "bad"), nil }), 2, 500, "", ""},
		{"no connection to any endpoint", oncePath, always(func() (*backend.Response, error) { return nil, notSent() }), 3, 0, fault.Unavailable, fault.NotExecuted},
		{"rejected by all endpoints", oncePath, always(func() (*backend.Response, error) { return rejected(), nil }), 3, 0, fault.Unavailable, fault.NotExecuted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeBackend{run: tc.run}
			out, err := serveCall(t, f, newCall(tc.path))
			if f.count("run") != tc.sends || out.status != tc.status {
				t.Errorf("%d sends, status %d; want %d sends, status %d", f.count("run"), out.status, tc.sends, tc.status)
			}
			if tc.kind == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			checkError(t, err, tc.kind, tc.wantExecution)
			if tc.wantExecution == fault.NotExecuted && fault.DetailOf(err).RetryAfter <= 0 {
				t.Error("error has no retry delay")
			}
		})
	}
}

// TestUnresponsiveEndpoint checks that a retryable call is retried at another endpoint, and that an
// at-most-once call waits for its timeout and then reports that it may have run.
func TestUnresponsiveEndpoint(t *testing.T) {
	firstUnresponsive := func(n int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, &backend.SendError{Sent: true, Err: ctx.Err()}
		}
		return reply(http.StatusOK, "good"), nil
	}
	out, err := serveCall(t, &fakeBackend{run: firstUnresponsive}, newCall(repeatPath))
	if err != nil || out.status != http.StatusOK {
		t.Errorf("retryable: status %d, error %v", out.status, err)
	}
	_, err = serveCall(t, &fakeBackend{run: firstUnresponsive}, newCall(oncePath))
	checkError(t, err, fault.Timeout, fault.ExecutionUnknown)
}

func TestGenerations(t *testing.T) {
	all := events(1, 3)
	for _, tc := range []struct {
		name          string
		path          string
		fakeBackend   *fakeBackend
		prefills      int
		runs          int
		frees         int
		body          string
		kind          fault.Kind
		wantExecution fault.Execution
	}{
		{"success", streamPath, &fakeBackend{}, 1, 1, 0, all, "", ""},
		{"failed prefill is retried at another engine", streamPath, &fakeBackend{prefill: func(n int, _ backend.Request) error {
			if n == 1 {
				return connectionLost()
			}
			return nil
		}}, 2, 1, 0, all, "", ""},
		{"prefill fails at all engines", streamPath, &fakeBackend{prefill: func(int, backend.Request) error { return connectionLost() }}, 2, 0, 0, "", fault.Unavailable, fault.NotExecuted},
		{"rejected decode is retried at another engine", streamPath, &fakeBackend{run: func(n int, _ context.Context, _ backend.Request) (*backend.Response, error) {
			if n == 1 {
				return rejected(), nil
			}
			return reply(200, all), nil
		}}, 1, 2, 0, all, "", ""},
		{"at-most-once stream fails with its engine", streamPath, &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
			return truncated(events(1, 2) + "id: 3\nda"), nil
		}}, 1, 1, 0, events(1, 2), fault.OutcomeUnknown, fault.ExecutionUnknown},
		{"resumable stream resumes at another engine", resumablePath, &fakeBackend{run: func(n int, _ context.Context, req backend.Request) (*backend.Response, error) {
			if n == 1 {
				return truncated(events(1, 2) + "id: 3\nda"), nil
			}
			if req.LastEventID != "2" {
				return nil, errors.New("unexpected resume after event " + req.LastEventID)
			}
			return reply(200, events(3, 3)), nil
		}}, 2, 2, 0, all, "", ""},
		{"KV cache that no engine fetches is freed", streamPath, &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
			return nil, notSent()
		}}, 1, 3, 1, "", fault.Unavailable, fault.NotExecuted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out, err := serveCall(t, tc.fakeBackend, newCall(tc.path))
			if tc.fakeBackend.count("prefill") != tc.prefills || tc.fakeBackend.count("run") != tc.runs || tc.fakeBackend.count("free") < tc.frees {
				t.Errorf("unexpected number of prefills, runs or frees; backend received %v", tc.fakeBackend.sends)
			}
			if out.body.String() != tc.body {
				t.Errorf("body %q, want %q", out.body.String(), tc.body)
			}
			if tc.kind == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			checkError(t, err, tc.kind, tc.wantExecution)
		})
	}
}

// TestStalledStreamResumesAtAnotherEngine checks that a resumable stream whose engine becomes
// unresponsive is resumed at another one, and that its first run is aborted before the next one
// starts.
func TestStalledStreamResumesAtAnotherEngine(t *testing.T) {
	aborted := false
	f := &fakeBackend{run: func(n int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
		if n > 1 {
			if !aborted {
				return nil, errors.New("the first run has not been aborted")
			}
			return reply(http.StatusOK, events(2, 3)), nil
		}
		r := reply(http.StatusOK, "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(events(1, 1)), blockingReader{ctx, &aborted}))
		return r, nil
	}}
	out, err := serveCall(t, f, newCall(resumablePath))
	if err != nil || out.body.String() != events(1, 3) {
		t.Errorf("body %q, error %v", out.body.String(), err)
	}
}

// blockingReader blocks until its context ends.
type blockingReader struct {
	ctx     context.Context
	aborted *bool
}

func (r blockingReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	*r.aborted = true
	return 0, r.ctx.Err()
}
