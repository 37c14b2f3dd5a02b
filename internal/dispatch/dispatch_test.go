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

// send is one order that reached the fake back ends.
type send struct {
	stage    string // run, prefill or free
	endpoint string
	source   string
	after    string
}

// fake answers orders by scripts; a nil script answers well.
type fake struct {
	mu      sync.Mutex
	sends   []send
	run     func(n int, ctx context.Context, o backend.Order) (*backend.Reply, error)
	prefill func(n int, o backend.Order) error
	runs    int
	reads   int
}

func (f *fake) note(s send) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends = append(f.sends, s)
}

func (f *fake) Run(ctx context.Context, o backend.Order) (*backend.Reply, error) {
	s := send{stage: "run", endpoint: o.Endpoint.ID.Name, after: o.After}
	if o.Source != nil {
		s.source = o.Source.Name
	}
	f.note(s)
	f.runs++
	if f.run == nil {
		return reply(http.StatusOK, events(1, 3)), nil
	}
	return f.run(f.runs, ctx, o)
}

func (f *fake) Prefill(_ context.Context, o backend.Order) (backend.Handle, error) {
	f.note(send{stage: "prefill", endpoint: o.Endpoint.ID.Name})
	f.reads++
	if f.prefill != nil {
		if err := f.prefill(f.reads, o); err != nil {
			return backend.Handle{}, err
		}
	}
	return backend.Handle{Endpoint: o.Endpoint, Name: "h" + strconv.Itoa(f.reads)}, nil
}

func (f *fake) Free(_ context.Context, h backend.Handle) error {
	f.note(send{stage: "free", endpoint: h.Endpoint.ID.Name, source: h.Name})
	return nil
}

func (f *fake) count(stage string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sends {
		if s.stage == stage {
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

func reply(status int, body string) *backend.Reply {
	return &backend.Reply{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

// cut is a reply whose body breaks off behind text.
func cut(text string) *backend.Reply {
	r := reply(http.StatusOK, "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader(text), broken{}))
	return r
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func rejected() *backend.Reply {
	r := reply(http.StatusServiceUnavailable, "")
	r.NotRun = true
	return r
}

func notSent() error { return &backend.SendError{Err: errors.New("no connection")} }

func lost() error { return &backend.SendError{Sent: true, Err: errors.New("reset")} }

// caller takes an answer.
type caller struct {
	status int
	body   strings.Builder
}

func (c *caller) Head(status int, _ map[string][]string, _ int64) error {
	c.status = status
	return nil
}

func (c *caller) Data(p []byte) error {
	c.body.Write(p)
	return nil
}

// routes of the test configuration, by path.
const (
	oncePath      = "/once/"
	repeatPath    = "/repeat/"
	streamPath    = "/stream/"
	resumablePath = "/resumable/"
)

func testConfiguration() *traffic.Configuration {
	route := func(prefix string, kind traffic.Kind, service string) *traffic.Route {
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
		[]*traffic.Service{{Name: "plain"}, {Name: "engines", Engine: &traffic.Engine{KVCapacity: 50_000, HandleTTL: 500 * time.Millisecond}}},
		keys, traffic.Limits{})
	c.RequiresKey = true
	return c
}

func testEndpoints() traffic.Endpoints {
	make := func(name, service string, stage traffic.Stage) traffic.Endpoint {
		return traffic.Endpoint{ID: traffic.EndpointID{Name: name}, Service: service, Stage: stage, Slots: 8, DataCentre: "a"}
	}
	return traffic.Endpoints{Version: 1, List: []traffic.Endpoint{
		make("p1", "plain", traffic.Aggregated), make("p2", "plain", traffic.Aggregated), make("p3", "plain", traffic.Aggregated),
		make("f1", "engines", traffic.Prefill), make("f2", "engines", traffic.Prefill),
		make("d1", "engines", traffic.Decode), make("d2", "engines", traffic.Decode), make("d3", "engines", traffic.Decode),
	}}
}

// serve runs one call against the fake in a bubble of test time.
func serve(t *testing.T, f *fake, call *traffic.Call) (*caller, error) {
	t.Helper()
	out, err := &caller{}, error(nil)
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewProcess()
		cfg := testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.Update(testEndpoints(), cfg.Services)
		time.Sleep(time.Minute) // plans count from the start
		gate := admission.NewGate(now, admission.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}, admission.PlanBounds{Window: 8 * time.Second}, 1, nil)
		time.Sleep(time.Minute)
		d := dispatch.New(dispatch.Options{
			Clock: now, Configuration: func() *traffic.Configuration { return cfg }, Scheduler: s, Backend: f, Gate: gate,
			Log: zap.NewNop(), Metrics: metrics.NewSet(), Seed: 1,
		})
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		err = d.Serve(t.Context(), call, out)
		synctest.Wait()
		stop()
		synctest.Wait()
		if _, held := s.Held(); len(held) != 0 {
			t.Errorf("after the call %v is held", held)
		}
	})
	return out, err
}

func callTo(path string) *traffic.Call {
	c := &traffic.Call{ID: "id", Method: http.MethodPost, RequestURI: path + "x?y", Host: "h:80", Key: "key"}
	if path == streamPath || path == resumablePath {
		c.Tokens = &traffic.Tokens{Prompt: 5000, MaxOutput: 500}
	}
	return c
}

func wantFault(t *testing.T, err error, kind fault.Kind, run fault.Run) {
	t.Helper()
	if d := fault.Describe(err); err == nil || d.Kind != kind || d.Run != run {
		t.Errorf("error %v of kind %s, run %s; want %s, run %s", err, d.Kind, d.Run, kind, run)
	}
}

func TestRefusalsBeforeARun(t *testing.T) {
	for _, tc := range []struct {
		name string
		call func(c *traffic.Call)
		kind fault.Kind
	}{
		{"no route", func(c *traffic.Call) { c.RequestURI = "/other/" }, fault.NotFound},
		{"no key", func(c *traffic.Call) { c.Key = "" }, fault.Unauthenticated},
		{"over plan", func(c *traffic.Call) { c.Tokens = &traffic.Tokens{Prompt: 95_000} }, fault.OverPlan},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, c := &fake{}, callTo(oncePath)
			tc.call(c)
			_, err := serve(t, f, c)
			wantFault(t, err, tc.kind, fault.NotRun)
			if len(f.sends) != 0 {
				t.Errorf("sends %v", f.sends)
			}
		})
	}
}

// TestPlainCalls lists what a plain call becomes, by what endpoints do.
func TestPlainCalls(t *testing.T) {
	always := func(r func() (*backend.Reply, error)) func(int, context.Context, backend.Order) (*backend.Reply, error) {
		return func(int, context.Context, backend.Order) (*backend.Reply, error) { return r() }
	}
	first := func(r func() (*backend.Reply, error)) func(int, context.Context, backend.Order) (*backend.Reply, error) {
		return func(n int, _ context.Context, _ backend.Order) (*backend.Reply, error) {
			if n == 1 {
				return r()
			}
			return reply(http.StatusOK, "good"), nil
		}
	}
	for _, tc := range []struct {
		name   string
		path   string
		run    func(int, context.Context, backend.Order) (*backend.Reply, error)
		sends  int
		status int
		kind   fault.Kind
		truth  fault.Run
	}{
		{"whole", oncePath, always(func() (*backend.Reply, error) { return reply(200, "good"), nil }), 1, 200, "", ""},
		{"no connection: another endpoint", oncePath, first(func() (*backend.Reply, error) { return nil, notSent() }), 2, 200, "", ""},
		{"rejected: another endpoint", oncePath, first(func() (*backend.Reply, error) { return rejected(), nil }), 2, 200, "", ""},
		{"lost: a call that runs once is not sent again", oncePath, first(func() (*backend.Reply, error) { return nil, lost() }), 1, 0, fault.OutcomeUnknown, fault.RunUnknown},
		{"lost: a repeatable call is", repeatPath, first(func() (*backend.Reply, error) { return nil, lost() }), 2, 200, "", ""},
		{"cut: a call that runs once is not sent again", oncePath, first(func() (*backend.Reply, error) { return cut("x"), nil }), 1, 0, fault.OutcomeUnknown, fault.RunUnknown},
		{"cut: a repeatable call is", repeatPath, first(func() (*backend.Reply, error) { return cut("x"), nil }), 2, 200, "", ""},
		{"error of its own: a call that runs once gets it", oncePath, first(func() (*backend.Reply, error) { return reply(500, "bad"), nil }), 1, 500, "", ""},
		{"error of its own: a repeatable call tries again", repeatPath, first(func() (*backend.Reply, error) { return reply(500, "bad"), nil }), 2, 200, "", ""},
		{"errors everywhere: the last is handed on", repeatPath, always(func() (*backend.Reply, error) { return reply(500, "bad"), nil }), 2, 500, "", ""},
		{"no connection anywhere", oncePath, always(func() (*backend.Reply, error) { return nil, notSent() }), 3, 0, fault.Unavailable, fault.NotRun},
		{"rejected everywhere", oncePath, always(func() (*backend.Reply, error) { return rejected(), nil }), 3, 0, fault.Unavailable, fault.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &fake{run: tc.run}
			out, err := serve(t, f, callTo(tc.path))
			if f.count("run") != tc.sends || out.status != tc.status {
				t.Errorf("%d sends, status %d; want %d, %d", f.count("run"), out.status, tc.sends, tc.status)
			}
			if tc.kind == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			wantFault(t, err, tc.kind, tc.truth)
			if tc.truth == fault.NotRun && fault.Describe(err).RetryAfter <= 0 {
				t.Error("the refusal does not say when to come back")
			}
		})
	}
}

// TestASilentEndpoint shows that a repeatable call goes on elsewhere, and that one that runs
// once waits until its time is over and says that it may have run.
func TestASilentEndpoint(t *testing.T) {
	silent := func(n int, ctx context.Context, _ backend.Order) (*backend.Reply, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, &backend.SendError{Sent: true, Err: ctx.Err()}
		}
		return reply(http.StatusOK, "good"), nil
	}
	out, err := serve(t, &fake{run: silent}, callTo(repeatPath))
	if err != nil || out.status != http.StatusOK {
		t.Errorf("repeatable: status %d, error %v", out.status, err)
	}
	_, err = serve(t, &fake{run: silent}, callTo(oncePath))
	wantFault(t, err, fault.Timeout, fault.RunUnknown)
}

func TestGenerations(t *testing.T) {
	all := events(1, 3)
	for _, tc := range []struct {
		name  string
		path  string
		fake  *fake
		reads int
		runs  int
		frees int
		body  string
		kind  fault.Kind
		truth fault.Run
	}{
		{"whole", streamPath, &fake{}, 1, 1, 0, all, "", ""},
		{"a prompt is read elsewhere when its engine fails", streamPath, &fake{prefill: func(n int, _ backend.Order) error {
			if n == 1 {
				return lost()
			}
			return nil
		}}, 2, 1, 0, all, "", ""},
		{"no engine reads the prompt", streamPath, &fake{prefill: func(int, backend.Order) error { return lost() }}, 2, 0, 0, "", fault.Unavailable, fault.NotRun},
		{"a refused prompt goes to the next engine", streamPath, &fake{run: func(n int, _ context.Context, _ backend.Order) (*backend.Reply, error) {
			if n == 1 {
				return rejected(), nil
			}
			return reply(200, all), nil
		}}, 1, 2, 0, all, "", ""},
		{"a stream that may run once ends with its engine", streamPath, &fake{run: func(int, context.Context, backend.Order) (*backend.Reply, error) {
			return cut(events(1, 2) + "id: 3\nda"), nil
		}}, 1, 1, 0, events(1, 2), fault.OutcomeUnknown, fault.RunUnknown},
		{"a resumable stream goes on elsewhere", resumablePath, &fake{run: func(n int, _ context.Context, o backend.Order) (*backend.Reply, error) {
			if n == 1 {
				return cut(events(1, 2) + "id: 3\nda"), nil
			}
			if o.After != "2" {
				return nil, errors.New("asked to go on after " + o.After)
			}
			return reply(200, events(3, 3)), nil
		}}, 2, 2, 0, all, "", ""},
		{"a prompt that no engine takes is freed", streamPath, &fake{run: func(int, context.Context, backend.Order) (*backend.Reply, error) {
			return nil, notSent()
		}}, 1, 3, 1, "", fault.Unavailable, fault.NotRun},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out, err := serve(t, tc.fake, callTo(tc.path))
			if tc.fake.count("prefill") != tc.reads || tc.fake.count("run") != tc.runs || tc.fake.count("free") < tc.frees {
				t.Errorf("sends %v", tc.fake.sends)
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
			wantFault(t, err, tc.kind, tc.truth)
		})
	}
}

// TestAStalledStreamGoesOnElsewhere shows that a resumable stream leaves a silent engine, and
// that its first run is ended before the next begins.
func TestAStalledStreamGoesOnElsewhere(t *testing.T) {
	ended := false
	f := &fake{run: func(n int, ctx context.Context, _ backend.Order) (*backend.Reply, error) {
		if n > 1 {
			if !ended {
				return nil, errors.New("the first run still goes on")
			}
			return reply(http.StatusOK, events(2, 3)), nil
		}
		r := reply(http.StatusOK, "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(events(1, 1)), hanging{ctx, &ended}))
		return r, nil
	}}
	out, err := serve(t, f, callTo(resumablePath))
	if err != nil || out.body.String() != events(1, 3) {
		t.Errorf("body %q, error %v", out.body.String(), err)
	}
}

// hanging blocks until its context ends.
type hanging struct {
	ctx   context.Context
	ended *bool
}

func (h hanging) Read([]byte) (int, error) {
	<-h.ctx.Done()
	*h.ended = true
	return 0, h.ctx.Err()
}
