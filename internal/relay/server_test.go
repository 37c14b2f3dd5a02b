package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/ledger"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/placement"
	"github.com/fulmartide/fulmartide/internal/settings"
)

// fixture is a Server whose dependencies are all fakes.
type fixture struct {
	server *Server
	engine *fakeEngine
	auth   *fakeAuthenticator
	limit  *fakeLimiter
	lease  *fakeLease
}

type fakeAuthenticator struct{ cancel func() }

func (f *fakeAuthenticator) Identify(h keys.Hash) (keys.Identity, error) {
	if h != keys.HashSecret("good") {
		return keys.Identity{}, fault.New(fault.Unauthenticated, "use an active key", "unknown key")
	}
	return keys.Identity{KeyID: "k1", Workspace: "w1"}, nil
}

func (f *fakeAuthenticator) OnWithdrawal(_ string, cancel func()) func() {
	f.cancel = cancel
	return func() {}
}

type fakeLimiter struct{ reserved, used int64 }

func (l *fakeLimiter) Reserve(_ context.Context, _ string, n int64) (limiter.Reservation, error) {
	l.reserved = n
	return l, nil
}
func (l *fakeLimiter) Settle(used int64) { l.used = used }

type fakeLease struct {
	reassigned []bool
	progress   []placement.Stage
	released   int
}

func (f *fakeLease) Place(context.Context, placement.Request) (placement.Lease, error) { return f, nil }

func (f *fakeLease) Assignment() placement.Assignment {
	return placement.Assignment{Prefill: "p", Decode: "d"}
}

func (f *fakeLease) Reassign(_ context.Context, _ string, needPrefill bool) (placement.Assignment, error) {
	f.reassigned = append(f.reassigned, needPrefill)
	return f.Assignment(), nil
}
func (f *fakeLease) Progress(s placement.Stage) { f.progress = append(f.progress, s) }
func (f *fakeLease) Release()                   { f.released++ }

// unusedEngine provides the methods of endpoint.Engine that the relay never calls.
type unusedEngine struct{ endpoint.Engine }

// fakeEngine returns the next script of frames for each decode attempt.
type fakeEngine struct {
	unusedEngine
	scripts   [][]endpoint.Frame
	prefills  int
	decodes   []endpoint.DecodeRequest
	cancelled chan string
	block     chan struct{}
}

func (f *fakeEngine) Engine(netip.AddrPort) endpoint.Engine { return f }

func (f *fakeEngine) Prefill(_ context.Context, o endpoint.PrefillRequest) (endpoint.PrefillResult, error) {
	f.prefills++
	return endpoint.PrefillResult{Attempt: o.Attempt, Handle: "h", TTLMillis: 900}, nil
}

func (f *fakeEngine) Decode(_ context.Context, o endpoint.DecodeRequest) (endpoint.Stream, error) {
	f.decodes = append(f.decodes, o)
	script := f.scripts[0]
	f.scripts = f.scripts[1:]
	return &fakeStream{engine: f, attempt: o.Attempt, frames: script}, nil
}

func (f *fakeEngine) Cancel(_ context.Context, request string) error {
	f.cancelled <- request
	return nil
}

type fakeStream struct {
	engine  *fakeEngine
	attempt endpoint.Attempt
	frames  []endpoint.Frame
}

var errConnectionLost = errors.New("connection lost")

func (s *fakeStream) Next(ctx context.Context) (endpoint.Frame, error) {
	if len(s.frames) == 0 {
		if s.engine.block != nil {
			s.engine.block <- struct{}{}
			<-ctx.Done()
		}
		return endpoint.Frame{}, errConnectionLost
	}
	frame := s.frames[0]
	s.frames = s.frames[1:]
	if frame.Attempt.RequestID == "" {
		frame.Attempt = s.attempt
	}
	return frame, nil
}
func (s *fakeStream) Close() {}

func newFixture(t *testing.T, scripts ...[]endpoint.Frame) *fixture {
	t.Helper()
	f := &fixture{
		engine: &fakeEngine{scripts: scripts, cancelled: make(chan string, 8)},
		auth:   &fakeAuthenticator{}, limit: &fakeLimiter{}, lease: &fakeLease{},
	}
	snapshot := &configuration.Snapshot{Version: 1, Document: configuration.Document{
		Plans:      map[string]configuration.Plan{"basic": {Models: []string{"m"}}},
		Workspaces: map[string]configuration.Workspace{"w1": {Plan: "basic"}},
		Models:     map[string]configuration.Model{"m": {MaxOutputTokens: 8}, "other": {}},
		Endpoints:  map[string]configuration.Endpoint{"p": {Address: "127.0.0.1:1"}, "d": {Address: "127.0.0.1:2"}},
	}}
	f.server = New(Options{
		Self:          ident.VM{Name: "vm", Incarnation: 1},
		Limits:        settings.Defaults().Limits,
		Configuration: func() *configuration.Snapshot { return snapshot },
		Keys:          f.auth, Limiter: f.limit, Placer: f.lease, Dialer: f.engine,
		Clock: clock.NewMonotonic(), Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.server.Run(ctx)
	return f
}

func (f *fixture) call(t *testing.T, key, body string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, r)
	return w
}

func tokenFrame(offset int64) endpoint.Frame {
	return endpoint.Frame{Offset: offset, Text: fmt.Sprintf("t%d ", offset)}
}

func endFrame(offset int64) endpoint.Frame {
	return endpoint.Frame{Offset: offset, Done: true, FinishReason: "stop"}
}

const requestBody = `{"model":"m","prompt":"twelve bytes"}`

func completionText(t *testing.T, w *httptest.ResponseRecorder) string {
	t.Helper()
	var c completion
	if err := json.Unmarshal(w.Body.Bytes(), &c); err != nil || w.Code != http.StatusOK {
		t.Fatalf("status %d, body %s", w.Code, w.Body)
	}
	return *c.Choices[0].Text
}

func TestCompletionIsExactDespiteFailuresAndStrayFrames(t *testing.T) {
	started := endpoint.Frame{Started: true}
	otherRequest := endpoint.Frame{
		Attempt: endpoint.Attempt{RequestID: "r.other.1.1", Number: 1}, Offset: 1, Text: "foreign",
	}
	cases := map[string]struct {
		scripts    [][]endpoint.Frame
		reassigned []bool // needPrefill of each reassignment
		prefills   int
	}{
		"single attempt": {
			[][]endpoint.Frame{{started, tokenFrame(0), tokenFrame(1), endFrame(2)}}, nil, 1,
		},
		"frame of another request": {
			[][]endpoint.Frame{{started, tokenFrame(0), otherRequest, tokenFrame(1), endFrame(2)}}, nil, 1,
		},
		"duplicate frame": {
			[][]endpoint.Frame{{started, tokenFrame(0), tokenFrame(0), tokenFrame(1), endFrame(2)}}, nil, 1,
		},
		"connection lost before the transfer": {
			[][]endpoint.Frame{{}, {started, tokenFrame(0), tokenFrame(1), endFrame(2)}}, []bool{false}, 1,
		},
		"connection lost after the first token": {
			[][]endpoint.Frame{{started, tokenFrame(0)}, {started, tokenFrame(1), endFrame(2)}}, []bool{true}, 2,
		},
		"skipped token": {
			[][]endpoint.Frame{{started, tokenFrame(1)}, {started, tokenFrame(0), tokenFrame(1), endFrame(2)}}, []bool{true}, 2,
		},
		"end at an unexpected offset": {
			[][]endpoint.Frame{{started, tokenFrame(0), endFrame(5)}, {started, tokenFrame(1), endFrame(2)}}, []bool{true}, 2,
		},
		"resumed from an earlier offset": {
			[][]endpoint.Frame{{started, tokenFrame(0)}, {started, tokenFrame(0), tokenFrame(1), endFrame(2)}}, []bool{true}, 2,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, tc.scripts...)
			if got := completionText(t, f.call(t, "good", requestBody)); got != "t0 t1 " {
				t.Errorf("text %q", got)
			}
			if fmt.Sprint(f.lease.reassigned) != fmt.Sprint(tc.reassigned) || f.engine.prefills != tc.prefills {
				t.Errorf("reassigned %v, prefills %d", f.lease.reassigned, f.engine.prefills)
			}
			if f.limit.reserved != 3+8 || f.limit.used != 3+2 || f.lease.released == 0 {
				t.Errorf("reserved %d, used %d, released %d", f.limit.reserved, f.limit.used, f.lease.released)
			}
			if last := f.engine.decodes[len(f.engine.decodes)-1]; len(tc.scripts) > 1 && tc.reassigned[0] && last.Offset+2 < 2 {
				t.Errorf("resumed at %d", last.Offset)
			}
		})
	}
}

func TestExhaustedAttemptsReportUnknownExecutionAndCancelEngines(t *testing.T) {
	f := newFixture(t, nil, nil, nil, nil)
	w := f.call(t, "good", requestBody)
	var e errorBody
	if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
		t.Fatal(err)
	}
	if e.Error.Run != fault.ExecutionUnknown || len(f.engine.decodes) != maxAttempts {
		t.Errorf("run %s after %d attempts", e.Error.Run, len(f.engine.decodes))
	}
	for range 2 {
		if got := <-f.engine.cancelled; got != w.Header().Get("X-Request-Id") {
			t.Errorf("engine was asked to cancel request %s", got)
		}
	}
}

func TestKeyWithdrawalCancelsRunningStream(t *testing.T) {
	f := newFixture(t, []endpoint.Frame{{Started: true}, tokenFrame(0)})
	f.engine.block = make(chan struct{})
	go func() {
		<-f.engine.block
		f.auth.cancel()
	}()
	w := f.call(t, "good", `{"model":"m","prompt":"x","stream":true}`)
	if !strings.Contains(w.Body.String(), string(fault.Unauthenticated)) || strings.Contains(w.Body.String(), "[DONE]") {
		t.Errorf("body %s", w.Body)
	}
	<-f.engine.cancelled
}

func TestErrorsIncludeKindExecutionAndRemedy(t *testing.T) {
	cases := map[string]struct {
		key, body string
		status    int
		kind      fault.Kind
	}{
		"no key":              {"", requestBody, 401, fault.Unauthenticated},
		"unknown key":         {"bad", requestBody, 401, fault.Unauthenticated},
		"not JSON":            {"good", `{"model"`, 400, fault.Malformed},
		"two JSON values":     {"good", requestBody + requestBody, 400, fault.Malformed},
		"no model":            {"good", `{"prompt":"x"}`, 400, fault.Malformed},
		"no prompt":           {"good", `{"model":"m"}`, 400, fault.Malformed},
		"two choices":         {"good", `{"model":"m","prompt":"x","n":2}`, 400, fault.Malformed},
		"zero max_tokens":     {"good", `{"model":"m","prompt":"x","max_tokens":0}`, 400, fault.Malformed},
		"unknown model":       {"good", `{"model":"q","prompt":"x"}`, 404, fault.NotFound},
		"model not in plan":   {"good", `{"model":"other","prompt":"x"}`, 403, fault.Forbidden},
		"adapter not in plan": {"good", `{"model":"m","prompt":"x","adapter":"a"}`, 403, fault.Forbidden},
		"long prompt":         {"good", `{"model":"m","prompt":"` + strings.Repeat("x", 300_000) + `"}`, 413, fault.TooLarge},
		"long body":           {"good", strings.Repeat(" ", 2<<20), 413, fault.TooLarge},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			w := f.call(t, tc.key, tc.body)
			var e errorBody
			if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil {
				t.Fatal(err)
			}
			if w.Code != tc.status || e.Error.Kind != tc.kind || e.Error.Run != fault.NotExecuted || e.Error.Remedy == "" {
				t.Errorf("status %d, error %+v", w.Code, e.Error)
			}
		})
	}
}

func TestOversizedHeadersAreRejected(t *testing.T) {
	f := newFixture(t)
	r := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
	r.Header.Set("X-Long", strings.Repeat("x", f.server.opts.Limits.HeaderBytes))
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, r)
	if w.Code != http.StatusRequestEntityTooLarge || !strings.Contains(w.Body.String(), "bytes of headers") {
		t.Errorf("status %d, body %s", w.Code, w.Body)
	}
}

func TestNextAction(t *testing.T) {
	cases := map[string]struct {
		f    failure
		want recoveryAction
	}{
		"prefill failed": {
			failure{stage: stagePrefill, attempts: 1, timeLeft: time.Second}, actionPrefillAgain,
		},
		"transfer failed, prefill result retained": {
			failure{stage: stageTransfer, attempts: 1, timeLeft: time.Second, prefillTTL: 400 * time.Millisecond},
			actionDecodeElsewhere,
		},
		"transfer failed, prefill result expired": {
			failure{stage: stageTransfer, attempts: 1, timeLeft: time.Second}, actionPrefillAgain,
		},
		"transfer failed, prefill result lost": {
			failure{stage: stageTransfer, attempts: 1, timeLeft: time.Second, prefillTTL: time.Second, prefillLost: true},
			actionPrefillAgain,
		},
		"decode failed": {
			failure{stage: stageDecode, attempts: 1, timeLeft: time.Second, prefillTTL: time.Second}, actionPrefillAgain,
		},
		"too many attempts": {
			failure{stage: stageDecode, attempts: maxAttempts, timeLeft: time.Second}, actionGiveUp,
		},
		"deadline passed": {
			failure{stage: stageDecode, attempts: 1}, actionGiveUp,
		},
		"permanent failure": {
			failure{stage: stageDecode, attempts: 1, timeLeft: time.Second, permanent: true}, actionGiveUp,
		},
	}
	for name, tc := range cases {
		if got := nextAction(tc.f); got != tc.want {
			t.Errorf("%s: got %s, want %s", name, got, tc.want)
		}
	}
}

func TestFindRoutePrefersExactPathThenLongestPrefix(t *testing.T) {
	doc := &configuration.Document{Routes: map[string]configuration.Route{
		"short prefix": {Method: "GET", Path: "/lots/"},
		"long prefix":  {Method: "GET", Path: "/lots/deep/"},
		"exact":        {Method: "GET", Path: "/lots/deep/one"},
	}}
	for path, want := range map[string]string{
		"/lots/7": "short prefix", "/lots/deep/7": "long prefix", "/lots/deep/one": "exact", "/none": "",
	} {
		if got, _, _ := findRoute(doc, "GET", path); got != want {
			t.Errorf("%s: got %q, want %q", path, got, want)
		}
	}
	if _, _, err := findRoute(doc, "POST", "/lots/7"); !fault.Is(err, fault.NotFound) {
		t.Errorf("wrong method: got error %v, want not found", err)
	}
}

type fakeLedger struct{ finished []ledger.Outcome }

func (*fakeLedger) Begin(context.Context, ledger.Intent) (*ledger.Outcome, error) { return nil, nil }

func (*fakeLedger) Abandon(context.Context, ledger.Intent) error { return nil }
func (l *fakeLedger) Finish(_ context.Context, _ ledger.Intent, o ledger.Outcome) error {
	l.finished = append(l.finished, o)
	return nil
}

// TestCommitIsSentToOneEndpointOnce guards against a duplicate commit after the endpoint closes a
// reused connection once it has read the call. In this case net/http's client would itself resend
// a request that has an Idempotency-Key header and no body.
func TestCommitIsSentToOneEndpointOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		idempotent bool
		wantCalls  int64
		status     int
	}{"commit": {false, 1, 502}, "idempotent read": {true, 2, 200}} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Authorization") != "" || r.Header.Get("Cookie") != "" {
					t.Error("a credential reached the endpoint")
				}
				if r.URL.Path == "/warm" {
					return
				}
				if calls.Add(1) == 1 {
					nc, _, _ := w.(http.Hijacker).Hijack()
					_ = nc.Close()
				}
			}))
			defer backend.Close()
			f := newFixture(t)
			snapshot := f.server.opts.Configuration()
			for _, name := range []string{"s1", "s2"} { // a call is not sent twice to one endpoint
				snapshot.Document.Endpoints[name] = configuration.Endpoint{
					Service: "s", Address: backend.Listener.Addr().String(),
				}
			}
			snapshot.Document.Routes = map[string]configuration.Route{
				"warm": {Method: "POST", Path: "/warm", Service: "s", Idempotent: tc.idempotent},
				"book": {Method: "POST", Path: "/book", Service: "s", Idempotent: tc.idempotent, Commit: !tc.idempotent},
			}
			f.server.opts.Ledger = &fakeLedger{}
			var status int
			for _, path := range []string{"/warm", "/book"} {
				r := httptest.NewRequest(http.MethodPost, path, nil)
				r.Header.Set("Authorization", "Bearer good")
				r.Header.Set("Cookie", "session=1")
				r.Header.Set("Idempotency-Key", "k")
				w := httptest.NewRecorder()
				f.server.ServeHTTP(w, r)
				status = w.Code
			}
			if calls.Load() != tc.wantCalls || status != tc.status {
				t.Errorf("%d calls, status %d", calls.Load(), status)
			}
		})
	}
}

func TestLostResponseReportsUnknownExecution(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nc, _, _ := w.(http.Hijacker).Hijack()
		_ = nc.Close()
	}))
	defer backend.Close()
	f := newFixture(t)
	doc := &f.server.opts.Configuration().Document
	doc.Endpoints["s"] = configuration.Endpoint{Service: "s", Address: backend.Listener.Addr().String()}
	doc.Routes = map[string]configuration.Route{
		"read": {Method: "GET", Path: "/read", Service: "s", Idempotent: true, AllowAnonymous: true},
	}
	w := httptest.NewRecorder()
	f.server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/read", nil))
	var e errorBody
	if err := json.Unmarshal(w.Body.Bytes(), &e); err != nil || e.Error.Run != fault.ExecutionUnknown {
		t.Errorf("decode error %v, error body %+v", err, e.Error)
	}
}

func TestStopCancelsRemainingRequests(t *testing.T) {
	r := newRequestRegistry(2)
	var cause error
	if err := r.add("a", func(err error) { cause = err }); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if cancelled := r.stop(ctx); cancelled != 1 || !fault.Is(cause, fault.Stopping) {
		t.Errorf("cancelled %d requests, cause %v", cancelled, cause)
	}
	if err := r.add("b", nil); !fault.Is(err, fault.Stopping) {
		t.Errorf("add while stopping: got error %v", err)
	}
	r.remove("a")
	if cancelled := r.stop(t.Context()); cancelled != 0 {
		t.Errorf("cancelled %d requests after all had ended", cancelled)
	}
}

func FuzzParseGeneration(f *testing.F) {
	f.Add([]byte(requestBody))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"max_tokens":4}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, api := range []apiKind{apiChat, apiCompletion} {
			g, err := parseGeneration(api, raw, 100)
			if err == nil && (g.model == "" || g.promptTokens < 1 || g.promptTokens > 100 || g.maxTokens < 0) {
				t.Fatalf("accepted %+v", g)
			}
		}
	})
}
