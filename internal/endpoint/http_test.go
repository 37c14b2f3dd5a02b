package endpoint_test

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/standin"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// enginePair is a prefill engine and a decode engine with a client of each.
type enginePair struct {
	prefill, decode             *engine.Server
	prefillAddr, decodeAddr     netip.AddrPort
	prefillClient, decodeClient endpoint.Engine
}

func startEnginePair(t *testing.T, o engine.Options) *enginePair {
	t.Helper()
	o.Model = "summary"
	dialer := endpoint.NewHTTPDialer(endpoint.WithVM("lisboa-a-1"))
	start := func(role string) (*engine.Server, netip.AddrPort) {
		o.Role = role
		e := engine.New(o)
		s, err := standin.Serve(e.Handler())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			dialer.Close()
			e.Close()
			s.Close()
		})
		return e, s.Addr()
	}
	var pair enginePair
	pair.prefill, pair.prefillAddr = start("prefill")
	pair.decode, pair.decodeAddr = start("decode")
	pair.prefillClient, pair.decodeClient = dialer.Engine(pair.prefillAddr), dialer.Engine(pair.decodeAddr)
	return &pair
}

func fastOptions() engine.Options {
	return engine.Options{GapBase: time.Millisecond, GapPerSlot: time.Microsecond, PrefillTokensPerSecond: 1_000_000}
}

func attempt(request string) endpoint.Attempt { return endpoint.Attempt{RequestID: request, Number: 1} }

func (p *enginePair) runPrefill(t *testing.T, request, prompt string) endpoint.PrefillResult {
	t.Helper()
	req := endpoint.PrefillRequest{Attempt: attempt(request), Model: "summary", Prompt: prompt, Tokens: 1000}
	result, err := p.prefillClient.Prefill(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func (p *enginePair) startDecode(t *testing.T, r endpoint.PrefillResult, offset, maxTokens int64) endpoint.Stream {
	t.Helper()
	stream, err := p.decodeClient.Decode(t.Context(), endpoint.DecodeRequest{
		Attempt: r.Attempt, Model: "summary", Source: p.prefillAddr, Handle: r.Handle, Offset: offset, MaxTokens: maxTokens,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	return stream
}

// readTokens returns the tokens of a stream in order and the finish reason.
func readTokens(t *testing.T, s endpoint.Stream) (tokens []string, finish string) {
	t.Helper()
	for {
		f, err := s.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if f.Done {
			return tokens, f.FinishReason
		}
		if !f.Started {
			tokens = append(tokens, f.Text)
		}
	}
}

func waitUntilFreed(t *testing.T, servers ...*engine.Server) {
	t.Helper()
	for _, s := range servers {
		for len(s.Allocations()) > 0 {
			if t.Context().Err() != nil {
				t.Fatalf("memory still held: %+v", s.Allocations())
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func requireError(t *testing.T, err error, kind fault.Kind, execution fault.Execution) {
	t.Helper()
	if err == nil {
		t.Fatalf("got no error, want kind %s, execution %s", kind, execution)
	}
	if d := fault.DetailOf(err); d.Kind != kind || d.Execution != execution {
		t.Fatalf("got error %+v, want kind %s, execution %s", d, kind, execution)
	}
}

// TestDecodeAndResume checks that a resumed stream has the same tokens as the complete one, and that
// no engine memory is held afterwards.
func TestDecodeAndResume(t *testing.T) {
	p := startEnginePair(t, fastOptions())
	whole, finish := readTokens(t, p.startDecode(t, p.runPrefill(t, "r.a.1.1", "bread {tag:x}{stop:30}"), 0, 100))
	if len(whole) != 30 || finish != "stop" {
		t.Fatalf("%d tokens, finish %q", len(whole), finish)
	}
	rest, finish := readTokens(t, p.startDecode(t, p.runPrefill(t, "r.a.1.2", "{tag:x}"), 12, 20))
	if !slices.Equal(rest, whole[12:20]) || finish != "length" {
		t.Fatalf("resumed at 12: %v, finish %q", rest, finish)
	}
	if want := engine.Token(engine.ParsePrompt("{tag:x}").Hash, 12); rest[0] != want {
		t.Fatalf("token %q, want %q", rest[0], want)
	}
	waitUntilFreed(t, p.prefill, p.decode)
	ps, ds := p.prefill.Stats(), p.decode.Stats()
	if ps.PrefillTokens != 2000 || ds.PrefillTokensDecoded != 2000 || ds.DecodedTokens != 38 {
		t.Fatalf("prefill %+v, decode %+v", ps, ds)
	}
	if !p.decode.Received("r.a.1.1") || p.decode.Received("r.a.1.3") {
		t.Fatal("the decode engine must have received request r.a.1.1 and not r.a.1.3")
	}
}

// TestErrorsBeforeRun checks that each error that precedes a run states that the request was not
// run.
func TestErrorsBeforeRun(t *testing.T) {
	p := startEnginePair(t, fastOptions())
	ctx := t.Context()
	_, err := p.prefillClient.Prefill(ctx, endpoint.PrefillRequest{Attempt: attempt("r.a.1.1"), Model: "other"})
	requireError(t, err, fault.NotFound, fault.NotExecuted)
	_, err = p.decodeClient.Prefill(ctx, endpoint.PrefillRequest{Attempt: attempt("r.a.1.2"), Model: "summary"})
	requireError(t, err, fault.Conflict, fault.NotExecuted)
	p.prefill.SetMode(engine.Mode{RejectRequests: true})
	_, err = p.prefillClient.Prefill(ctx, endpoint.PrefillRequest{Attempt: attempt("r.a.1.3"), Model: "summary"})
	requireError(t, err, fault.Unavailable, fault.NotExecuted)
	closed, err := standin.Serve(http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	_, err = endpoint.NewHTTPDialer().Engine(closed.Addr()).Load(ctx)
	requireError(t, err, fault.Unavailable, fault.NotExecuted)
	stream := p.startDecode(t, endpoint.PrefillResult{Attempt: attempt("r.a.1.4"), Handle: "none"}, 0, 10)
	_, err = stream.Next(ctx)
	requireError(t, err, fault.NotFound, fault.NotExecuted)
	waitUntilFreed(t, p.prefill, p.decode)
}

// TestBrokenResponses covers responses that end with the connection before the first line or within
// a line, and malformed and overlong lines.
func TestBrokenResponses(t *testing.T) {
	failing := func(sent string) endpoint.Engine {
		s, err := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(sent))
			_ = http.NewResponseController(w).Flush()
			standin.DropConnection(w)
		}))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return endpoint.NewHTTPDialer().Engine(s.Addr())
	}
	_, err := failing("").Prefill(t.Context(), endpoint.PrefillRequest{})
	requireError(t, err, fault.Unavailable, fault.ExecutionUnknown)
	_, err = failing("\n\n{\"res").Prefill(t.Context(), endpoint.PrefillRequest{})
	requireError(t, err, fault.Unavailable, fault.ExecutionUnknown)
	_, err = failing("\nnonsense\n").Prefill(t.Context(), endpoint.PrefillRequest{})
	requireError(t, err, fault.Unavailable, fault.ExecutionUnknown)
	stream, err := failing("\n"+strings.Repeat("x", 70<<10)).Decode(t.Context(), endpoint.DecodeRequest{})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	_, err = stream.Next(t.Context())
	requireError(t, err, fault.TooLarge, fault.ExecutionUnknown)
}

// TestOnlyUnresponsiveEngineEndsStream checks that a stalled decode, during which the engine still
// sends heartbeats, does not end the stream, whereas an engine that sends nothing does.
func TestOnlyUnresponsiveEngineEndsStream(t *testing.T) {
	t.Parallel()
	p := startEnginePair(t, fastOptions())
	stream := p.startDecode(t, p.runPrefill(t, "r.a.1.1", "x"), 0, 1_000_000)
	if f, err := stream.Next(t.Context()); err != nil || !f.Started {
		t.Fatalf("first frame %+v, error %v", f, err)
	}
	p.decode.SetMode(engine.Mode{StallDecode: true})
	longCtx, cancel := context.WithTimeout(t.Context(), endpoint.InactivityTimeout+time.Second)
	defer cancel()
	var err error
	for err == nil {
		_, err = stream.Next(longCtx)
	}
	requireError(t, err, fault.Timeout, fault.ExecutionUnknown)
	second := p.startDecode(t, p.runPrefill(t, "r.a.1.2", "x"), 0, 1_000_000)
	p.decode.SetMode(engine.Mode{Unresponsive: true})
	for err = nil; err == nil; {
		_, err = second.Next(t.Context())
	}
	requireError(t, err, fault.Unavailable, fault.ExecutionUnknown)
	_, err = p.decodeClient.Load(t.Context())
	requireError(t, err, fault.Unavailable, fault.ExecutionUnknown)
	p.decode.SetMode(engine.Mode{})
	if held := p.decode.Allocations(); len(held) != 2 {
		t.Fatalf("lost connections freed engine memory: %+v", held)
	}
	for _, r := range []string{"r.a.1.1", "r.a.1.2", "r.a.1.2"} {
		if err := p.decodeClient.Cancel(t.Context(), r); err != nil {
			t.Fatal(err)
		}
	}
	waitUntilFreed(t, p.decode)
}

// TestIdleConnectionsOfUnresponsiveEngineAreClosed checks that after one connection has become
// unresponsive, the idle ones to the same engine are not reused.
func TestIdleConnectionsOfUnresponsiveEngineAreClosed(t *testing.T) {
	t.Parallel()
	var unresponsive atomic.Bool
	var seen sync.Map
	s, err := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, known := seen.Load(r.RemoteAddr); known && unresponsive.Load() {
			<-r.Context().Done()
			return
		}
		seen.Store(r.RemoteAddr, true)
		time.Sleep(20 * time.Millisecond)
		standin.WriteJSON(w, http.StatusOK, endpoint.Load{Running: 1})
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	dialer := endpoint.NewHTTPDialer()
	defer dialer.Close()
	e := dialer.Engine(s.Addr())
	errs := make(chan error, 8)
	for range cap(errs) {
		go func() {
			_, err := e.Load(t.Context())
			errs <- err
		}()
	}
	for range cap(errs) {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	unresponsive.Store(true)
	_, err = e.Load(t.Context())
	requireError(t, err, fault.Unavailable, fault.ExecutionUnknown)
	if _, err := e.Load(t.Context()); err != nil {
		t.Fatalf("a dead idle connection was reused: %v", err)
	}
}

// TestEngineMemory checks that engine memory is freed after cancellation at each stage, after a prefill
// result has expired, with more decodes than slots, and with a stalled link.
func TestEngineMemory(t *testing.T) {
	t.Parallel()
	o := fastOptions()
	o.Slots, o.ResultTTL = 1, 200*time.Millisecond
	p := startEnginePair(t, o)
	ctx := t.Context()
	kept := p.runPrefill(t, "r.a.1.1", "x")
	if held := p.prefill.Allocations(); len(held) != 1 || held[0].Stage != "kept" || held[0].Bytes == 0 {
		t.Fatalf("memory held after a prefill: %+v", held)
	}
	waitUntilFreed(t, p.prefill)
	expired := p.startDecode(t, kept, 0, 5)
	_, err := expired.Next(ctx)
	requireError(t, err, fault.NotFound, fault.NotExecuted)

	first := p.startDecode(t, p.runPrefill(t, "r.a.1.2", "x"), 0, 1_000_000)
	if f, err := first.Next(ctx); err != nil || !f.Started {
		t.Fatalf("first frame %+v, error %v", f, err)
	}
	p.startDecode(t, p.runPrefill(t, "r.a.1.3", "x"), 0, 5)
	if l, err := p.decodeClient.Load(ctx); err != nil || l.Running != 1 || l.Queued != 1 {
		t.Fatalf("load %+v, error %v", l, err)
	}
	for _, r := range []string{"r.a.1.3", "r.a.1.2"} {
		if err := p.decodeClient.Cancel(ctx, r); err != nil {
			t.Fatal(err)
		}
	}
	waitUntilFreed(t, p.prefill, p.decode)

	p.decode.SetMode(engine.Mode{StallLink: true})
	stalled := p.startDecode(t, p.runPrefill(t, "r.a.1.4", "x"), 0, 5)
	shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err = stalled.Next(shortCtx)
	requireError(t, err, fault.Timeout, fault.ExecutionUnknown)
	if err := p.decodeClient.Cancel(ctx, "r.a.1.4"); err != nil {
		t.Fatal(err)
	}
	waitUntilFreed(t, p.prefill, p.decode)
}

// TestConfigureAndCacheEvents covers fencing tokens, loading an adapter, and cache events with gaps.
func TestConfigureAndCacheEvents(t *testing.T) {
	t.Parallel()
	o := fastOptions()
	o.EventDropInterval, o.CachePieces, o.PieceTokens = 3, 4, 100
	p := startEnginePair(t, o)
	ctx := t.Context()
	load := endpoint.ConfigureRequest{FencingToken: 7, Action: "load_adapter", Target: "notes"}
	if err := p.prefillClient.Configure(ctx, load); err != nil {
		t.Fatal(err)
	}
	load.FencingToken = 6
	requireError(t, p.prefillClient.Configure(ctx, load), fault.Conflict, fault.NotExecuted)
	for {
		l, err := p.prefillClient.Load(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(l.Adapters, "notes") {
			break
		}
	}
	req := endpoint.PrefillRequest{Attempt: attempt("r.a.1.1"), Model: "summary", Tokens: 300, Pieces: []uint64{1, 2, 3}}
	if _, err := p.prefillClient.Prefill(ctx, req); err != nil {
		t.Fatal(err)
	}
	req.Pieces, req.Tokens = []uint64{1, 2, 5, 6}, 400
	again, err := p.prefillClient.Prefill(ctx, req)
	if err != nil || again.CachedTokens != 200 {
		t.Fatalf("second prefill %+v, error %v", again, err)
	}
	events, err := p.prefillClient.Events(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	var seqs []uint64
	for _, e := range events {
		seqs = append(seqs, e.Seq)
	}
	if !slices.Equal(seqs, []uint64{1, 2, 4, 5}) {
		t.Fatalf("events %+v", events)
	}
}

// TestPrefillOfEngineThatIsSilentForASecondIsNotCut guards against answers of a sound engine that are given up because it was silent for
// 1.3 s when its next heartbeat was due.
func TestPrefillOfEngineThatIsSilentForASecondIsNotCut(t *testing.T) {
	t.Parallel()
	const heartbeatInterval, silence = 500 * time.Millisecond, 1300 * time.Millisecond
	s, err := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("\n"))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(heartbeatInterval + silence):
			_, _ = w.Write([]byte(`{"result":{"handle":"h"}}` + "\n"))
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	dialer := endpoint.NewHTTPDialer()
	defer dialer.Close()
	result, err := dialer.Engine(s.Addr()).Prefill(t.Context(), endpoint.PrefillRequest{})
	if err != nil || result.Handle != "h" {
		t.Errorf("result %+v, error %v", result, err)
	}
}
