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

// pair is a prefill and a decode engine with a client for each.
type pair struct {
	prefill, decode         *engine.Server
	prefillAddr, decodeAddr netip.AddrPort
	p, d                    endpoint.Engine
}

func startPair(t *testing.T, o engine.Options) *pair {
	t.Helper()
	o.Model = "summary"
	dialer := endpoint.NewHTTPDialer(endpoint.WithVM("lisboa-a-1"))
	launch := func(role string) (*engine.Server, netip.AddrPort) {
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
	var out pair
	out.prefill, out.prefillAddr = launch("prefill")
	out.decode, out.decodeAddr = launch("decode")
	out.p, out.d = dialer.Engine(out.prefillAddr), dialer.Engine(out.decodeAddr)
	return &out
}

func fast() engine.Options {
	return engine.Options{GapBase: time.Millisecond, GapPerSlot: time.Microsecond, PrefillTokensPerSecond: 1_000_000}
}

func attempt(request string) endpoint.Attempt { return endpoint.Attempt{Request: request, Number: 1} }

func (p *pair) prefillOf(t *testing.T, request, prompt string) endpoint.PrefillResult {
	t.Helper()
	order := endpoint.PrefillOrder{Attempt: attempt(request), Model: "summary", Prompt: prompt, Tokens: 1000}
	result, err := p.p.Prefill(t.Context(), order)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func (p *pair) decodeOf(t *testing.T, r endpoint.PrefillResult, offset, maxTokens int64) endpoint.Stream {
	t.Helper()
	stream, err := p.d.Decode(t.Context(), endpoint.DecodeOrder{
		Attempt: r.Attempt, Model: "summary", Source: p.prefillAddr, Handle: r.Handle, Offset: offset, MaxTokens: maxTokens,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	return stream
}

// readAll gives the tokens of a stream by offset, and how it finished.
func readAll(t *testing.T, s endpoint.Stream) (tokens []string, finish string) {
	t.Helper()
	for {
		f, err := s.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if f.Done {
			return tokens, f.Finish
		}
		if !f.Started {
			tokens = append(tokens, f.Text)
		}
	}
}

func waitFreed(t *testing.T, servers ...*engine.Server) {
	t.Helper()
	for _, s := range servers {
		for len(s.Held()) > 0 {
			if t.Context().Err() != nil {
				t.Fatalf("still held: %+v", s.Held())
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func wantFault(t *testing.T, err error, kind fault.Kind, run fault.Run) {
	t.Helper()
	if err == nil {
		t.Fatalf("no error, want %s, run %s", kind, run)
	}
	if d := fault.Describe(err); d.Kind != kind || d.Run != run {
		t.Fatalf("error is %+v, want %s, run %s", d, kind, run)
	}
}

// TestAnswerAndResume checks that any part of an answer is the same text, and that nothing
// stays held after it.
func TestAnswerAndResume(t *testing.T) {
	p := startPair(t, fast())
	whole, finish := readAll(t, p.decodeOf(t, p.prefillOf(t, "r.a.1.1", "bread {tag:x}{stop:30}"), 0, 100))
	if len(whole) != 30 || finish != "stop" {
		t.Fatalf("%d tokens, finish %q", len(whole), finish)
	}
	rest, finish := readAll(t, p.decodeOf(t, p.prefillOf(t, "r.a.1.2", "{tag:x}"), 12, 20))
	if !slices.Equal(rest, whole[12:20]) || finish != "length" {
		t.Fatalf("resumed at 12: %v, finish %q", rest, finish)
	}
	if want := engine.Token(engine.ReadPrompt("{tag:x}").Hash, 12); rest[0] != want {
		t.Fatalf("token %q, want %q", rest[0], want)
	}
	waitFreed(t, p.prefill, p.decode)
	ps, ds := p.prefill.Stats(), p.decode.Stats()
	if ps.PrefillTokens != 2000 || ds.PrefillTokensDecoded != 2000 || ds.DecodedTokens != 38 {
		t.Fatalf("prefill %+v, decode %+v", ps, ds)
	}
	if !p.decode.Saw("r.a.1.1") || p.decode.Saw("r.a.1.3") {
		t.Fatal("the engine does not know which requests came")
	}
}

// TestRefusals checks the statement about the run for each way to be refused.
func TestRefusals(t *testing.T) {
	p := startPair(t, fast())
	ctx := t.Context()
	_, err := p.p.Prefill(ctx, endpoint.PrefillOrder{Attempt: attempt("r.a.1.1"), Model: "other"})
	wantFault(t, err, fault.NotFound, fault.NotRun)
	_, err = p.d.Prefill(ctx, endpoint.PrefillOrder{Attempt: attempt("r.a.1.2"), Model: "summary"})
	wantFault(t, err, fault.Conflict, fault.NotRun)
	p.prefill.SetMode(engine.Mode{Refuse: true})
	_, err = p.p.Prefill(ctx, endpoint.PrefillOrder{Attempt: attempt("r.a.1.3"), Model: "summary"})
	wantFault(t, err, fault.Unavailable, fault.NotRun)
	closed, err := standin.Serve(http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	_, err = endpoint.NewHTTPDialer().Engine(closed.Addr()).Load(ctx)
	wantFault(t, err, fault.Unavailable, fault.NotRun)
	stream := p.decodeOf(t, endpoint.PrefillResult{Attempt: attempt("r.a.1.4"), Handle: "none"}, 0, 10)
	_, err = stream.Next(ctx)
	wantFault(t, err, fault.NotFound, fault.NotRun)
	waitFreed(t, p.prefill, p.decode)
}

// TestEngineLost cuts the connection in the middle of each kind of work.
func TestEngineLost(t *testing.T) {
	cut := func(after string) endpoint.Engine {
		s, err := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(after))
			_ = http.NewResponseController(w).Flush()
			standin.Cut(w)
		}))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return endpoint.NewHTTPDialer().Engine(s.Addr())
	}
	_, err := cut("").Prefill(t.Context(), endpoint.PrefillOrder{})
	wantFault(t, err, fault.Unavailable, fault.RunUnknown)
	_, err = cut("\n\n{\"res").Prefill(t.Context(), endpoint.PrefillOrder{})
	wantFault(t, err, fault.Unavailable, fault.RunUnknown)
	_, err = cut("\nnonsense\n").Prefill(t.Context(), endpoint.PrefillOrder{})
	wantFault(t, err, fault.Unavailable, fault.RunUnknown)
	stream, err := cut("\n"+strings.Repeat("x", 70<<10)).Decode(t.Context(), endpoint.DecodeOrder{})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	_, err = stream.Next(t.Context())
	wantFault(t, err, fault.TooLarge, fault.RunUnknown)
}

// TestSilenceBreaksStreamsButStallsDoNot: an engine at work gives signs of life.
func TestSilenceBreaksStreamsButStallsDoNot(t *testing.T) {
	t.Parallel()
	p := startPair(t, fast())
	stream := p.decodeOf(t, p.prefillOf(t, "r.a.1.1", "x"), 0, 1_000_000)
	if f, err := stream.Next(t.Context()); err != nil || !f.Started {
		t.Fatalf("first frame %+v, error %v", f, err)
	}
	p.decode.SetMode(engine.Mode{StallDecode: true})
	long, cancel := context.WithTimeout(t.Context(), endpoint.SilenceLimit+time.Second)
	defer cancel()
	var err error
	for err == nil {
		_, err = stream.Next(long)
	}
	wantFault(t, err, fault.Timeout, fault.RunUnknown)
	second := p.decodeOf(t, p.prefillOf(t, "r.a.1.2", "x"), 0, 1_000_000)
	p.decode.SetMode(engine.Mode{Silent: true})
	for err = nil; err == nil; {
		_, err = second.Next(t.Context())
	}
	wantFault(t, err, fault.Unavailable, fault.RunUnknown)
	_, err = p.d.Load(t.Context())
	wantFault(t, err, fault.Unavailable, fault.RunUnknown)
	p.decode.SetMode(engine.Mode{})
	if held := p.decode.Held(); len(held) != 2 {
		t.Fatalf("broken connections freed slots: %+v", held)
	}
	for _, r := range []string{"r.a.1.1", "r.a.1.2", "r.a.1.2"} {
		if err := p.d.Cancel(t.Context(), r); err != nil {
			t.Fatal(err)
		}
	}
	waitFreed(t, p.decode)
}

// TestSilentPoolIsDropped: after one connection went silent, the idle ones beside it are not
// used again.
func TestSilentPoolIsDropped(t *testing.T) {
	t.Parallel()
	var mute atomic.Bool
	var old sync.Map
	s, err := standin.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, known := old.Load(r.RemoteAddr); known && mute.Load() {
			<-r.Context().Done()
			return
		}
		old.Store(r.RemoteAddr, true)
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
	mute.Store(true)
	_, err = e.Load(t.Context())
	wantFault(t, err, fault.Unavailable, fault.RunUnknown)
	if _, err := e.Load(t.Context()); err != nil {
		t.Fatalf("an idle connection that is dead as well was used: %v", err)
	}
}

// TestMemory covers cancel at each stage, a result past its keep time, slots over capacity
// and a stalled link.
func TestMemory(t *testing.T) {
	t.Parallel()
	o := fast()
	o.Slots, o.Keep = 1, 200*time.Millisecond
	p := startPair(t, o)
	ctx := t.Context()
	kept := p.prefillOf(t, "r.a.1.1", "x")
	if held := p.prefill.Held(); len(held) != 1 || held[0].Stage != "kept" || held[0].Bytes == 0 {
		t.Fatalf("after a prefill the engine holds %+v", held)
	}
	waitFreed(t, p.prefill)
	late := p.decodeOf(t, kept, 0, 5)
	_, err := late.Next(ctx)
	wantFault(t, err, fault.NotFound, fault.NotRun)

	first := p.decodeOf(t, p.prefillOf(t, "r.a.1.2", "x"), 0, 1_000_000)
	if f, err := first.Next(ctx); err != nil || !f.Started {
		t.Fatalf("first frame %+v, error %v", f, err)
	}
	p.decodeOf(t, p.prefillOf(t, "r.a.1.3", "x"), 0, 5)
	if l, err := p.d.Load(ctx); err != nil || l.Running != 1 || l.Queued != 1 {
		t.Fatalf("load %+v, error %v", l, err)
	}
	for _, r := range []string{"r.a.1.3", "r.a.1.2"} {
		if err := p.d.Cancel(ctx, r); err != nil {
			t.Fatal(err)
		}
	}
	waitFreed(t, p.prefill, p.decode)

	p.decode.SetMode(engine.Mode{StallLink: true})
	stalled := p.decodeOf(t, p.prefillOf(t, "r.a.1.4", "x"), 0, 5)
	patience, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_, err = stalled.Next(patience)
	wantFault(t, err, fault.Timeout, fault.RunUnknown)
	if err := p.d.Cancel(ctx, "r.a.1.4"); err != nil {
		t.Fatal(err)
	}
	waitFreed(t, p.prefill, p.decode)
}

// TestOrdersAndCache covers fences, loading, and events with gaps.
func TestOrdersAndCache(t *testing.T) {
	t.Parallel()
	o := fast()
	o.EventGap, o.CachePieces, o.PieceTokens = 3, 4, 100
	p := startPair(t, o)
	ctx := t.Context()
	load := endpoint.Order{Fence: 7, Action: "load_adapter", Target: "notes"}
	if err := p.p.Order(ctx, load); err != nil {
		t.Fatal(err)
	}
	load.Fence = 6
	wantFault(t, p.p.Order(ctx, load), fault.Conflict, fault.NotRun)
	for {
		l, err := p.p.Load(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if slices.Contains(l.Adapters, "notes") {
			break
		}
	}
	order := endpoint.PrefillOrder{Attempt: attempt("r.a.1.1"), Model: "summary", Tokens: 300, Pieces: []uint64{1, 2, 3}}
	if _, err := p.p.Prefill(ctx, order); err != nil {
		t.Fatal(err)
	}
	order.Pieces, order.Tokens = []uint64{1, 2, 5, 6}, 400
	again, err := p.p.Prefill(ctx, order)
	if err != nil || again.CachedTokens != 200 {
		t.Fatalf("second prefill %+v, error %v", again, err)
	}
	events, err := p.p.Events(ctx, 0)
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
