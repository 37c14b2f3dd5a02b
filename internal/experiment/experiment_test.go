package experiment

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testFleet() Fleet {
	return Fleet{
		Workspaces: []Workspace{
			{"a", configuration.Plan{TokensPerSecond: 3000, BurstTokens: 30000}},
			{"b", configuration.Plan{TokensPerSecond: 1000, BurstTokens: 30000}},
		},
		Model: configuration.Model{
			PrefillTokensPerSecond: 30_000, GapBaseMicros: 12_000, GapPerSlotMicros: 1200, PieceTokens: 2048, FirstTokenMillis: 820, GapMillis: 57,
		},
		PrefillEngines: 4, DecodeSlots: 160, SlotsPerEngine: 20,
	}
}

var uuid7 = regexp.MustCompile(`^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$`)

// TestArrivals checks that the calls of a seed are reproducible, have the requested rate and bursts,
// and contain valid tags and idempotency keys.
func TestArrivals(t *testing.T) {
	s, f := DefaultSpec(), testFleet()
	s.DurationSeconds = 60
	calls := Arrivals(s, f, 0.5, 7)
	if again := Arrivals(s, f, 0.5, 7); !slices.Equal(calls, again) {
		t.Fatal("the same seed generated different calls")
	}
	if other := Arrivals(s, f, 0.5, 8); slices.Equal(calls, other) {
		t.Fatal("different seeds generated the same calls")
	}
	chats := map[string]int{}
	start := time.UnixMilli(1_700_000_000_000)
	for i, c := range StampKeys(calls, start) {
		if i > 0 && c.At < calls[i-1].At {
			t.Fatal("calls are not ordered by time")
		}
		if c.Kind == Commit && (!uuid7.MatchString(c.IdempotencyKey) || c.IdempotencyKey[:4] != "018b") {
			t.Fatalf("idempotency key %q is not a version 7 UUID of the start time", c.IdempotencyKey)
		}
		if c.Kind != Chat {
			continue
		}
		chats[c.Workspace]++
		if !strings.Contains(c.Prompt, "{tag:"+c.Tag+"}") || !strings.Contains(c.Prompt, fmt.Sprintf("{stop:%d}", c.StopAt)) || c.MaxTokens < c.StopAt {
			t.Fatalf("chat without its tag, its length or a sufficient max_tokens: %+v", c)
		}
	}
	want := f.Capacity() * 0.5 * 60
	if got := float64(chats["a"] + chats["b"]); got < 0.8*want || got > 1.2*want || chats["a"] < 2*chats["b"] {
		t.Fatalf("got %v chats, want about %.0f in total and three quarters of them from a", chats, want)
	}
	scaled := 0.0
	for _, w := range f.Workspaces {
		scaled += float64(f.ScalePlan(w.Plan, 0.5, 2, 1).TokensPerSecond)
	}
	reserved := 0.0
	for _, c := range calls {
		reserved += float64(c.ReservedTokens()) / 60
	}
	if scaled < 1.6*reserved || scaled > 2.4*reserved {
		t.Fatalf("plans scaled to %.0f tokens/s, want about twice the demand of %.0f tokens/s", scaled, reserved)
	}
	s.Bursts = []Burst{{Workspace: 1, Factor: 4, FromSeconds: 0, ToSeconds: 60}}
	burst := 0
	for _, c := range Arrivals(s, f, 0.5, 7) {
		if c.Kind == Chat && c.Workspace == "b" {
			burst++
		}
	}
	if burst < 3*chats["b"] {
		t.Fatalf("got %d chats in a burst, want about four times %d", burst, chats["b"])
	}
}

func TestVMIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "vms")
		s := Spec{Balance: rapid.SampledFrom([]string{BalanceUniform, BalanceSkewed, BalanceMoving}).Draw(t, "balance")}
		counts := make([]int, n)
		at := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "at"))
		for i := range 1000 {
			counts[s.VMIndex(Call{Pick: float64(i) / 1000, At: at}, n)]++
		}
		if n > 1 && s.Balance != BalanceUniform && slices.Max(counts) != 800 {
			t.Fatalf("%s over %d VMs: got %v calls per VM, want a maximum of 800", s.Balance, n, counts)
		}
		if slices.Min(counts) == 0 {
			t.Fatalf("%s over %d VMs: a VM gets no calls: %v", s.Balance, n, counts)
		}
	})
}

func genOutcomes(t *rapid.T) []Outcome {
	var out []Outcome
	at := time.Duration(0)
	for range rapid.IntRange(1, 40).Draw(t, "calls") {
		at += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait"))
		c := Call{
			Kind: Chat, Prompt: strings.Repeat("x", rapid.IntRange(1, 2000).Draw(t, "prompt")),
			MaxTokens: 100, StopAt: rapid.Int64Range(1, 100).Draw(t, "stop"),
		}
		answered := at + time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "answered"))
		ended := answered + time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "took"))
		out = append(out, Outcome{Call: c, SentAt: at, HeadersAt: answered, EndedAt: ended, Complete: true})
	}
	return out
}

// TestWithinPlanAndOverspendAgree checks that the calls that a central token bucket admits are never
// reported as overspend, and that simultaneous calls that use twice the burst always are.
func TestWithinPlanAndOverspendAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := configuration.Plan{
			TokensPerSecond: rapid.Int64Range(1, 2000).Draw(t, "rate"),
			BurstTokens:     rapid.Int64Range(1, 3000).Draw(t, "burst"),
		}
		outcomes := genOutcomes(t)
		within := WithinPlan(p, outcomes, time.Second)
		var admitted []Outcome
		for i, o := range outcomes {
			if within[i] {
				admitted = append(admitted, o)
			}
		}
		if len(outcomes) > 0 && within[0] != (outcomes[0].Call.ReservedTokens() <= p.BurstTokens) {
			t.Fatalf("first call of %d tokens with a burst of %d: within plan = %v", outcomes[0].Call.ReservedTokens(), p.BurstTokens, within[0])
		}
		replayed := slices.Clone(outcomes)
		for i := range replayed {
			if !within[i] {
				replayed[i].Complete, replayed[i].Kind, replayed[i].Execution = false, fault.PlanExceeded, fault.NotExecuted
			}
		}
		if n := RefusedWithTokensLeft(p, replayed); n != 0 {
			t.Fatalf("got %d refusals with tokens left from a central token bucket, want 0", n)
		}
		for i := range replayed {
			replayed[i].Complete, replayed[i].Kind, replayed[i].Execution = false, fault.PlanExceeded, fault.NotExecuted
		}
		if n := RefusedWithTokensLeft(p, replayed); n < len(admitted) {
			t.Fatalf("got %d refusals with tokens left if all calls are refused, want at least %d", n, len(admitted))
		}
		if over := Overspend(p, admitted); over > 1 {
			t.Fatalf("calls admitted by a central token bucket overspend the plan by %f tokens", over)
		}
		if len(admitted) == 0 {
			return
		}
		var doubled []Outcome
		for range 2*p.BurstTokens/admitted[0].Call.UsedTokens() + 2 {
			o := admitted[0]
			o.HeadersAt, o.EndedAt = o.SentAt, o.SentAt
			doubled = append(doubled, o)
		}
		if Overspend(p, doubled) < float64(p.BurstTokens) {
			t.Fatalf("%d simultaneous calls with twice the burst were not reported as overspend", len(doubled))
		}
	})
}

// TestClient checks how the client classifies correct, corrupt, truncated and refused answers.
func TestClient(t *testing.T) {
	token := func(tag string, i int64) string { return fmt.Sprintf("%s%d ", tag, i) }
	chunk := func(text string) string {
		return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
	}
	const end = "data: {\"choices\":[{\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
	const errorEvent = "data: {\"error\":{\"kind\":\"unavailable\",\"message\":\"m\",\"run\":\"unknown\"}}\n\n"
	cases := map[string]struct {
		status   int
		body     string
		complete bool
		want     func(Outcome) bool
	}{
		"complete":               {200, chunk("x0 ") + chunk("x1 ") + end, true, func(o Outcome) bool { return o.Tokens == 2 && o.FirstTokenAt > 0 }},
		"two tokens in an event": {200, chunk("x0 x1 ") + end, true, func(o Outcome) bool { return o.Tokens == 2 }},
		"missing token":          {200, chunk("x0 ") + end, false, func(o Outcome) bool { return o.Corrupt != "" }},
		"additional token":       {200, chunk("x0 ") + chunk("x1 ") + chunk("x2 ") + end, false, func(o Outcome) bool { return o.Corrupt != "" }},
		"repeated token":         {200, chunk("x0 ") + chunk("x0 ") + end, false, func(o Outcome) bool { return o.Corrupt != "" }},
		"token of another chat":  {200, chunk("y0 ") + chunk("x1 ") + end, false, func(o Outcome) bool { return o.Corrupt != "" }},
		"interrupted":            {200, chunk("x0 "), false, func(o Outcome) bool { return o.NoAnswer && o.Execution == fault.ExecutionUnknown && o.Corrupt == "" }},
		"failed mid-stream":      {200, chunk("x0 ") + errorEvent, false, func(o Outcome) bool { return o.Kind == fault.Unavailable && !o.Refused() }},
		"refused":                {429, `{"error":{"kind":"over_plan","message":"m","run":"not_run"}}`, false, Outcome.Refused},
		"not a router response":  {502, "<html>", false, func(o Outcome) bool { return o.NoAnswer && !o.Refused() }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Authorization") != "Bearer sk" {
					t.Error("request without the API key")
				}
				w.Header().Set("X-Request-Id", "r.a.1.1")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			client := Client{HTTP: NewHTTPClient(), Secret: func(string) string { return "sk" }, ExpectedToken: token}
			defer client.HTTP.CloseIdleConnections()
			to := Target{VM: "a", Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}
			o := client.Do(t.Context(), time.Now(), to, Call{Kind: Chat, Tag: "x", MaxTokens: 5, StopAt: 2})
			if o.Complete != c.complete || !c.want(o) || o.RequestID != "r.a.1.1" {
				t.Fatalf("outcome %+v", o)
			}
		})
	}
}

// TestAnalyze checks the report of a handwritten run, and the comparison table and plots made from it.
func TestAnalyze(t *testing.T) {
	s, f := DefaultSpec(), testFleet()
	s.Name, s.WarmupSeconds = "byhand", 1
	chat := func(workspace string, at time.Duration, size int) Outcome {
		c := Call{At: at, Workspace: workspace, Kind: Chat, Class: configuration.Urgent, Prompt: strings.Repeat("x", size), MaxTokens: 10, StopAt: 5}
		return Outcome{
			Call: c, SentAt: at, HeadersAt: at, FirstTokenAt: at + 100*time.Millisecond, EndedAt: at + time.Second, Complete: true, Tokens: 5, Gap: 20 * time.Millisecond,
		}
	}
	fail := func(o Outcome, kind fault.Kind, run fault.Execution) Outcome {
		o.Complete, o.Kind, o.Execution = false, kind, run
		return o
	}
	late := chat("a", 4*time.Second, 100)
	late.FirstTokenAt = late.SentAt + time.Second
	corrupt := chat("a", 5*time.Second, 100)
	corrupt.Complete, corrupt.Corrupt = false, "token 1 twice"
	m := RunData{
		Spec: s, Fleet: f, Policy: "default", Load: 0.85, Seed: 1,
		Engines:     EngineTotals{PrefillTokens: 100, PrefillTokensDecoded: 90},
		WithdrawnAt: map[string]time.Duration{"b": 7 * time.Second},
		Outcomes: []Outcome{
			chat("a", 500*time.Millisecond, 100), // warm-up
			chat("a", 2*time.Second, 100),
			fail(chat("a", 3*time.Second, 100), fault.PlanExceeded, fault.NotExecuted),
			late,
			corrupt,
			fail(chat("a", 6*time.Second, 100), fault.Overloaded, fault.NotExecuted),
			fail(chat("a", 7*time.Second, 100), fault.Unavailable, fault.ExecutionUnknown),
			fail(chat("a", 8*time.Second, 400_000), fault.PlanExceeded, fault.NotExecuted), // over the burst
			chat("b", 2*time.Second, 100),
			chat("b", 20*time.Second, 100), // long after the withdrawal
		},
	}
	r := Analyze(m)
	if r.Offered != 8 || r.WithinPlan != 7 || r.WrongfulRefusals != 1 || r.CapacityRefusals != 1 || r.RefusedWithTokensLeft != 1 {
		t.Fatalf("report %+v", r)
	}
	if r.Goodput != 2.0/7 || r.WorstWorkspaceGoodput != 1 || r.WorstWorkspaceName != "" || r.FirstToken.Count != 3 {
		t.Fatalf("report %+v", r)
	}
	if r.WastedPrefill < 0.099 || r.WastedPrefill > 0.101 || r.Audit.CorruptAnswers != 1 || r.Audit.LateKeyUses != 1 || r.Audit.Clean() {
		t.Fatalf("report %+v", r)
	}
	if b := r.Timeline[1]; b.FromSeconds != 2 || b.WithinPlan != 3 || b.Good != 2 || b.Misses["chat over_plan"] != 1 {
		t.Fatalf("timeline %+v", r.Timeline)
	}
	r.Daemons = []DaemonUsage{{VM: "lisboa-a-vm1", CPUShare: 0.125, PeakRSSBytes: 64 << 20, PeerBytesPerSecond: 2900}}
	var text bytes.Buffer
	if err := WriteText(&text, s, []Report{r, r}); err != nil || !strings.Contains(text.String(), "28.57 [28.57 28.57]") || !strings.Contains(text.String(), "2 of 2 runs not clean") ||
		!strings.Contains(text.String(), "lisboa-a-vm1: 12.5% of a core, 64 MiB at the peak, 2900 bytes/s") {
		t.Fatalf("error %v, text\n%s", err, text.String())
	}
	files, err := SavePlots(t.TempDir(), s, []Report{r})
	if err != nil || len(files) != len(Metrics()) {
		t.Fatalf("plots %v, error %v", files, err)
	}
	if raw, err := os.ReadFile(files[0]); err != nil || !bytes.Contains(raw, []byte("load (% of capacity)")) {
		t.Fatalf("plot without the label of its x axis, error %v", err)
	}
}

func TestParseSpec(t *testing.T) {
	good := "layout = \"hinokuni\"\nloads = [0.6, 1.3]\n[[faults]]\nat_seconds = 5\nkind = \"kill\"\nevery_seconds = 20\n"
	if s, err := ParseSpec([]byte(good)); err != nil || len(s.Loads) != 2 || s.Faults[0].Kind != FaultKill || s.ReadsPerChat == 0 {
		t.Fatalf("spec %+v, error %v", s, err)
	}
	for _, bad := range []string{
		"layuot = 1", "loads = []", "loads = [0.0]", "balance = \"even\"", "duration_seconds = 1.0", "[[faults]]\nkind = \"fire\"", "[[faults]]\nkind = \"kill\"\nat_seconds = -1.0", "[",
	} {
		if _, err := ParseSpec([]byte(bad)); !fault.Is(err, fault.Malformed) {
			t.Fatalf("%q: error %v", bad, err)
		}
	}
}
