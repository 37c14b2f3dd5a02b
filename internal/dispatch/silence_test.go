package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// silence is how long a sound endpoint may be silent before it goes on.
	silence = 1300 * time.Millisecond
	// silenceBeforeEvent is the longest pause before an event of such an endpoint: it falls silent when the event is due.
	silenceBeforeEvent = silence + 300*time.Millisecond
	// longSilence is beyond the time after which a stream is continued at another endpoint.
	longSilence = 2500 * time.Millisecond
)

// step is a pause of an endpoint and what it sends then.
type step struct {
	pause time.Duration
	text  string
}

// steps is a body that is sent in steps. Its connection breaks if the request is cancelled.
type steps struct {
	ctx  context.Context
	left []step
}

func (s *steps) Read(p []byte) (int, error) {
	if len(s.left) == 0 {
		return 0, io.EOF
	}
	if !clock.Sleep(s.ctx, s.left[0].pause) {
		return 0, context.Cause(s.ctx)
	}
	n := copy(p, s.left[0].text)
	s.left = s.left[1:]
	return n, nil
}

func (s *steps) Close() error { return nil }

// stallTime is the time after which a stream of the test route is continued at another endpoint.
const stallTime = schedule.MaxPause + 300*time.Millisecond

// silentFleet is a backend whose endpoints are silent during the first prefill and the first run, and go on then unless
// the request was cancelled.
type silentFleet struct {
	fakeBackend
	prefillSilence, headerSilence time.Duration
	body                          []step
	stream                        bool
	// later is what runs after the first one answer.
	later string
}

func (f *silentFleet) Prefill(ctx context.Context, req backend.Request) (backend.Handle, error) {
	h, err := f.fakeBackend.Prefill(ctx, req)
	if f.prefills == 1 && !clock.Sleep(ctx, f.prefillSilence) {
		return backend.Handle{}, &backend.SendError{Sent: true, Err: context.Cause(ctx)}
	}
	return h, err
}

func (f *silentFleet) firstRun(n int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
	r := reply(http.StatusOK, f.later)
	r.EventStream = f.stream
	if n > 1 {
		return r, nil
	}
	if !clock.Sleep(ctx, f.headerSilence) {
		return nil, &backend.SendError{Sent: true, Err: context.Cause(ctx)}
	}
	r.Body = &steps{ctx: ctx, left: f.body}
	return r, nil
}

// retrySlack is the retries that a test dispatcher may make.
const retrySlack = 100

// serveSilent runs one call against a fleet. The fleet may make slack retries.
func serveSilent(t *testing.T, f *silentFleet, call *traffic.Call, list traffic.Endpoints, slack float64) (out *recordingSink, err error) {
	t.Helper()
	f.run = f.firstRun
	out = &recordingSink{}
	synctest.Test(t, func(t *testing.T) {
		now := clock.NewMonotonic()
		cfg := testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(list, cfg.Services)
		budget := admission.RetryBudget{Window: 10 * time.Second, Slack: slack}
		gate := newTestGate(now, budget)
		time.Sleep(time.Minute)
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
	return out, err
}

// oneOfEach returns the first endpoint of each service and stage.
func oneOfEach() traffic.Endpoints {
	list := traffic.Endpoints{Version: 1}
	seen := map[traffic.Stage]bool{}
	for _, e := range testEndpoints().List {
		if !seen[e.Stage] {
			list.List = append(list.List, e)
		}
		seen[e.Stage] = true
	}
	return list
}

// versionOfEach returns endpoints of which no two of a service and stage have the same software version.
func versionOfEach() traffic.Endpoints {
	list := testEndpoints()
	for i := range list.List {
		name := list.List[i].ID.Name
		list.List[i].SoftwareVersion = name[len(name)-1:]
	}
	list.List = list.List[:len(list.List)-1] // the third decode engine has no prefill engine of its version
	return list
}

// noSuccessor are the reasons for which no other attempt may follow one whose endpoint is silent.
var noSuccessor = []struct {
	name      string
	endpoints func() traffic.Endpoints
	slack     float64
}{
	{"retry budget used up", testEndpoints, 0},
	{"no other endpoint", oneOfEach, retrySlack},
	{"other endpoints are of other versions", versionOfEach, retrySlack},
}

func TestStreamOfSilentEngineIsNotCutWhenNoOtherCanContinueIt(t *testing.T) {
	for _, tc := range noSuccessor {
		t.Run(tc.name, func(t *testing.T) {
			f := &silentFleet{stream: true, body: []step{{0, events(1, 1)}, {silenceBeforeEvent, events(2, 2)}, {longSilence, events(3, 3)}}}
			out, err := serveSilent(t, f, newCall(resumablePath), tc.endpoints(), tc.slack)
			if err != nil || out.body.String() != events(1, 3) || f.count("run") != 1 {
				t.Errorf("body %q, error %v, %d runs", out.body.String(), err, f.count("run"))
			}
		})
	}
}

func TestStreamOfEngineThatIsSilentBeforeTheFirstEventIsNotRefused(t *testing.T) {
	for _, tc := range noSuccessor[:2] {
		t.Run(tc.name, func(t *testing.T) {
			f := &silentFleet{stream: true, headerSilence: silence, body: []step{{longSilence - silence, events(1, 3)}}}
			out, err := serveSilent(t, f, newCall(resumablePath), tc.endpoints(), tc.slack)
			if err != nil || out.body.String() != events(1, 3) || f.count("run") != 1 {
				t.Errorf("body %q, error %v, %d runs", out.body.String(), err, f.count("run"))
			}
		})
	}
}

func TestSilentPrefillIsAwaitedWhenNoOtherCanFollow(t *testing.T) {
	for _, path := range []string{streamPath, resumablePath} {
		for _, tc := range noSuccessor[:2] {
			t.Run(path+" "+tc.name, func(t *testing.T) {
				f := &silentFleet{stream: true, prefillSilence: silence, body: []step{{0, events(1, 3)}}}
				out, err := serveSilent(t, f, newCall(path), tc.endpoints(), tc.slack)
				if err != nil || out.body.String() != events(1, 3) || f.count("prefill") != 1 {
					t.Errorf("body %q, error %v, %d prefills", out.body.String(), err, f.count("prefill"))
				}
			})
		}
	}
}

func TestSilentPlainEndpointIsAwaitedWhenNoOtherCanFollow(t *testing.T) {
	for _, tc := range noSuccessor[:2] {
		for name, f := range map[string]*silentFleet{
			"before the header": {headerSilence: silence, body: []step{{0, "good"}}},
			"in the body":       {body: []step{{0, "go"}, {silence, "od"}}},
		} {
			t.Run(tc.name+", "+name, func(t *testing.T) {
				out, err := serveSilent(t, f, newCall(repeatPath), tc.endpoints(), tc.slack)
				if err != nil || out.status != http.StatusOK || out.body.String() != "good" || f.count("run") != 1 {
					t.Errorf("status %d, body %q, error %v, %d runs", out.status, out.body.String(), err, f.count("run"))
				}
			})
		}
	}
}

func TestStreamOfEngineThatIsSilentForASecondIsNotRunElsewhere(t *testing.T) {
	for name, f := range map[string]*silentFleet{
		"before the header": {stream: true, headerSilence: silence, body: []step{{300 * time.Millisecond, events(1, 3)}}},
		"between events":    {stream: true, body: []step{{0, events(1, 1)}, {silenceBeforeEvent, events(2, 2)}, {silenceBeforeEvent, events(3, 3)}}},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := serveSilent(t, f, newCall(resumablePath), testEndpoints(), retrySlack)
			if err != nil || out.body.String() != events(1, 3) || f.count("run") != 1 {
				t.Errorf("body %q, error %v, %d runs", out.body.String(), err, f.count("run"))
			}
		})
	}
}

func TestSilentEndpointKeepsCallsThatRunOnce(t *testing.T) {
	for _, tc := range []struct {
		name, path, want string
		fleet            *silentFleet
	}{
		{"plain, before the header", oncePath, "good", &silentFleet{headerSilence: silence, body: []step{{0, "good"}}}},
		{"plain, in the body", oncePath, "good", &silentFleet{body: []step{{0, "go"}, {silence, "od"}}}},
		{"stream, before the header", streamPath, events(1, 3), &silentFleet{stream: true, headerSilence: silence, body: []step{{0, events(1, 3)}}}},
		{"stream, between events", streamPath, events(1, 3), &silentFleet{stream: true, body: []step{{0, events(1, 1)}, {silenceBeforeEvent, events(2, 3)}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out, err := serveSilent(t, tc.fleet, newCall(tc.path), testEndpoints(), retrySlack)
			if err != nil || out.body.String() != tc.want || tc.fleet.count("run") != 1 {
				t.Errorf("body %q, error %v, %d runs", out.body.String(), err, tc.fleet.count("run"))
			}
		})
	}
}

func TestSilentAttemptIsReplacedWithOneRetry(t *testing.T) {
	for _, tc := range []struct {
		name, path, method, want string
		fleet                    *silentFleet
	}{
		{"stream", resumablePath, "run", events(1, 3), &silentFleet{stream: true, body: []step{{0, events(1, 1)}, {time.Minute, ""}}, later: events(2, 3)}},
		{"plain", repeatPath, "run", "good", &silentFleet{headerSilence: time.Minute, later: "good"}},
		{"prefill", streamPath, "prefill", events(1, 3), &silentFleet{stream: true, prefillSilence: time.Minute, body: []step{{0, events(1, 3)}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// 0.7 of the slack is used: one retry
			out, err := serveSilent(t, tc.fleet, newCall(tc.path), testEndpoints(), 1/0.7+0.01)
			if err != nil || out.body.String() != tc.want || tc.fleet.count(tc.method) != 2 {
				t.Errorf("body %q, error %v, received %v", out.body.String(), err, tc.fleet.sends)
			}
		})
	}
}

// TestEventsAtTheEndOfTheTimeoutAreNotLost guards against events that arrive while the attempt is being replaced.
func TestEventsAtTheEndOfTheTimeoutAreNotLost(t *testing.T) {
	for range 200 {
		f := &silentFleet{stream: true, later: events(2, 3), body: []step{{0, events(1, 1)}, {stallTime, events(2, 2)}, {0, events(3, 3)}}}
		out, err := serveSilent(t, f, newCall(resumablePath), testEndpoints(), retrySlack)
		if err != nil || out.body.String() != events(1, 3) {
			t.Fatalf("body %q, error %v, received %v", out.body.String(), err, f.sends)
		}
	}
}

// TestReplacedStreamKeepsItsVersion guards against text of two versions when the first bytes arrive as the attempt is
// replaced.
func TestReplacedStreamKeepsItsVersion(t *testing.T) {
	for range 200 {
		f := &silentFleet{stream: true, later: events(1, 3), body: []step{{stallTime, events(1, 1)}, {silenceBeforeEvent, events(2, 3)}}}
		out, err := serveSilent(t, f, newCall(resumablePath), versionOfEach(), retrySlack)
		resumed := slices.ContainsFunc(f.sends, func(s sentRequest) bool { return s.after != "" })
		if err != nil || out.body.String() != events(1, 3) || resumed {
			t.Fatalf("body %q, error %v, received %v", out.body.String(), err, f.sends)
		}
	}
}

// TestAnswerThatIsDueInTimeIsNotGivenUpForAnAttemptThatCannotBe guards against calls that time out at a successor, although their first
// endpoint answers in time.
func TestAnswerThatIsDueInTimeIsNotGivenUpForAnAttemptThatCannotBe(t *testing.T) {
	f := &fakeBackend{run: func(n int, ctx context.Context, _ backend.Request) (*backend.Response, error) {
		pause := silence
		if n > 1 {
			pause = 200 * time.Millisecond
		}
		if !clock.Sleep(ctx, pause) {
			return nil, &backend.SendError{Sent: true, Err: context.Cause(ctx)}
		}
		return reply(http.StatusOK, "good"), nil
	}}
	synctest.Test(t, func(t *testing.T) {
		now, cfg, out := clock.NewMonotonic(), testConfiguration(), &recordingSink{}
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(oneOfEach(), cfg.Services)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, nil)
		time.Sleep(time.Minute)
		call := newCall(repeatPath)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(silence + 100*time.Millisecond)
		time.AfterFunc(silence-100*time.Millisecond, func() {
			more := testEndpoints()
			more.Version = 2
			s.UpdateEndpoints(more, cfg.Services)
		})
		if err := d.Serve(t.Context(), call, out); err != nil || out.body.String() != "good" {
			t.Errorf("body %q, error %v, received %v", out.body.String(), err, f.sends)
		}
	})
}

// sinkFunc is a dispatch.Sink that calls a function for each write.
type sinkFunc struct {
	recordingSink
	onWrite func()
}

func (s *sinkFunc) WriteData(p []byte) error {
	s.onWrite()
	return s.recordingSink.WriteData(p)
}

// TestSuccessorIsGivenBackBeforeTheAnswerIsDelivered guards against capacity and retries that are held while a slow caller reads.
func TestSuccessorIsGivenBackBeforeTheAnswerIsDelivered(t *testing.T) {
	f := &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
		time.Sleep(silence) // the answer has arrived when the attempt is ended
		return reply(http.StatusOK, "good"), nil
	}}
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, nil)
		time.Sleep(time.Minute)
		call := newCall(repeatPath)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		out := &sinkFunc{onWrite: func() {
			if room := s.Room(&schedule.Request{Service: "plain"}); room.Running != 0 {
				t.Errorf("capacity for %d calls is allocated while the answer is delivered", room.Running)
			}
		}}
		if err := d.Serve(t.Context(), call, out); err != nil || out.body.String() != "good" {
			t.Errorf("body %q, error %v, received %v", out.body.String(), err, f.sends)
		}
	})
}

// TestOtherVMsAreNotToldOfSuccessorsThatAreNotSent guards against messages and log lines for each silent stream, ten times a second, while
// the prefill engines are full.
func TestOtherVMsAreNotToldOfSuccessorsThatAreNotSent(t *testing.T) {
	f := &silentFleet{stream: true, body: []step{{0, events(1, 1)}, {3 * time.Second, events(2, 3)}}}
	f.run = f.firstRun
	synctest.Test(t, func(t *testing.T) {
		now, cfg, out := clock.NewMonotonic(), testConfiguration(), &recordingSink{}
		var told, before atomic.Int64
		s := schedule.New(schedule.Options{
			Clock: now, DataCentre: "a", Seed: 7,
			OnWorkChange: func(uint64, traffic.EndpointID, string, schedule.Work) { told.Add(1) },
		})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, nil)
		time.Sleep(time.Minute)
		call := newCall(resumablePath)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		time.AfterFunc(time.Second, func() {
			for {
				if _, err := s.Place(&schedule.Request{Service: "engines", Stage: traffic.Prefill, Tokens: &traffic.Tokens{Prompt: 1}}, nil); err != nil {
					break
				}
			}
			before.Store(told.Load())
		})
		err := d.Serve(t.Context(), call, out)
		if err != nil || out.body.String() != events(1, 3) {
			t.Errorf("body %q, error %v, received %v", out.body.String(), err, f.sends)
		}
		if more := told.Load() - before.Load(); more > 1 { // the end of the attempt
			t.Errorf("the other VMs were told of %d changes of this VM's work while one attempt ran", more)
		}
	})
}

// TestEnginesThatStaySilentGetNoFurtherCallsWhenNoneCanBeReplaced guards against calls that are sent to a frozen engine beside sound ones
// while the retry budget is used up.
func TestEnginesThatStaySilentGetNoFurtherCallsWhenNoneCanBeReplaced(t *testing.T) {
	var frozen atomic.Value
	f := &fakeBackend{run: func(n int, ctx context.Context, req backend.Request) (*backend.Response, error) {
		if n == 1 {
			frozen.Store(req.Endpoint.ID.Name)
		}
		pause := 200 * time.Millisecond
		if req.Endpoint.ID.Name == frozen.Load() {
			pause = time.Minute
		}
		if !clock.Sleep(ctx, pause) {
			return nil, &backend.SendError{Sent: true, Err: context.Cause(ctx)}
		}
		r := reply(http.StatusOK, events(1, 3))
		r.EventStream = true
		return r, nil
	}}
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		gate := admission.NewController(now, admission.RetryBudget{Window: 10 * time.Second}, admission.PlanOptions{Window: 8 * time.Second}, 1, nil)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, func(o *dispatch.Options) { o.Admission = gate })
		serve := func(id string) {
			call := newCall(resumablePath)
			call.ID, call.Tokens = id, &traffic.Tokens{Prompt: 50, MaxOutput: 50}
			call.ArrivedAt = now.Now()
			call.Deadline = call.ArrivedAt.Add(5 * time.Second)
			_ = d.Serve(t.Context(), call, &recordingSink{})
		}
		go serve("first")
		time.Sleep(2 * time.Second)
		for i := range 12 {
			go serve("later" + strconv.Itoa(i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
	})
	calls := 0
	for _, s := range f.sends {
		if s.method == "run" && s.endpoint == frozen.Load() {
			calls++
		}
	}
	if calls != 1 {
		t.Errorf("%d calls were sent to the frozen engine, want 1; received %v", calls, f.sends)
	}
}

// silentFree is a backend whose endpoints are silent when a handle is freed.
type silentFree struct{ fakeBackend }

func (f *silentFree) Free(ctx context.Context, h backend.Handle) error {
	if !clock.Sleep(ctx, silence) {
		return context.Cause(ctx)
	}
	return f.fakeBackend.Free(ctx, h)
}

func TestEndpointThatIsSilentWhenAHandleIsFreedIsNotAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &silentFree{}
		f.run = func(int, context.Context, backend.Request) (*backend.Response, error) { return nil, notSent() }
		now := clock.NewMonotonic()
		cfg := testConfiguration()
		var failed []string
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7, OnFailure: func(id traffic.EndpointID, _ string, _ schedule.Outcome) {
			if strings.HasPrefix(id.Name, "prefill") {
				failed = append(failed, id.Name)
			}
		}})
		s.UpdateEndpoints(testEndpoints(), cfg.Services)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, nil)
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		time.Sleep(time.Minute)
		call := newCall(streamPath)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		err := d.Serve(t.Context(), call, &recordingSink{})
		time.Sleep(2 * silence)
		stop()
		synctest.Wait()
		checkError(t, err, fault.Unavailable, fault.NotExecuted)
		if len(failed) > 0 || f.count("prefill") != 1 {
			t.Errorf("engines that failed: %v, %d prefills", failed, f.count("prefill"))
		}
	})
}
