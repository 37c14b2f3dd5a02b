package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// RunData is the raw data of one run.
type RunData struct {
	Spec     Spec
	Fleet    Fleet
	Policy   string
	Load     float64
	Seed     uint64
	Outcomes []Outcome
	Engines  EngineTotals
	// WithdrawnAt maps workspaces to the time from the start of the run at which their keys were withdrawn.
	WithdrawnAt map[string]time.Duration
}

// analysis accumulates the report of one run.
type analysis struct {
	run                                RunData
	report                             Report
	firstToken, tokenGap, plainLatency *hdrhistogram.Histogram
	good                               int
	chats, chatsWithin                 int
	chatsGood                          int
}

// Analyze computes the report of a run from the outcomes of its calls. Daemons, PlatformCalls,
// PlatformCallsPerSecond and the counters of Audit that require data of the endpoints and daemons are
// left empty.
func Analyze(m RunData) Report {
	a := &analysis{
		run:        m,
		firstToken: newHistogram(), tokenGap: newHistogram(), plainLatency: newHistogram(),
		report: Report{
			Policy: m.Policy, Layout: m.Spec.Layout, Load: m.Load, Seed: m.Seed, Engines: m.Engines,
			Misses: make(map[string]int), WorstWorkspaceGoodput: 1,
		},
	}
	typicalDuration := medianDuration(m.Outcomes)
	for _, w := range m.Fleet.Workspaces {
		a.analyzeWorkspace(w, typicalDuration)
	}
	return a.finish()
}

func (a *analysis) analyzeWorkspace(w Workspace, typicalDuration time.Duration) {
	var outcomes []Outcome
	for _, o := range a.run.Outcomes {
		if o.Call.Workspace == w.Name {
			outcomes = append(outcomes, o)
		}
	}
	within := WithinPlan(w.Plan, outcomes, typicalDuration)
	report := WorkspaceReport{
		Name: w.Name, StayedWithinPlan: true,
		OverspendTokens: int(Overspend(w.Plan, outcomes)), RefusedWithTokensLeft: RefusedWithTokensLeft(w.Plan, outcomes),
	}
	for i, o := range outcomes {
		a.auditOutcome(o)
		if a.withdrawn(o) {
			continue
		}
		report.StayedWithinPlan = report.StayedWithinPlan && within[i]
		if o.Call.At >= a.run.Spec.Warmup() {
			a.countCall(&report, o, within[i])
		}
	}
	report.Goodput = ratio(report.Good, report.WithinPlan)
	a.addWorkspace(report)
}

// withdrawn reports whether a call's key was withdrawn before the call ended.
func (a *analysis) withdrawn(o Outcome) bool {
	at, ok := a.run.WithdrawnAt[o.Call.Workspace]
	return ok && o.EndedAt > at
}

func (a *analysis) auditOutcome(o Outcome) {
	audit := &a.report.Audit
	if o.Corrupt != "" {
		audit.CorruptAnswers++
		audit.AddExample(o.RequestID + ": " + o.Corrupt)
	}
	if at, ok := a.run.WithdrawnAt[o.Call.Workspace]; ok && o.Complete && o.SentAt > at+MaxWithdrawalDelay {
		audit.LateKeyUses++
		audit.AddExample(o.RequestID + ": the withdrawn key of " + o.Call.Workspace + " was accepted")
	}
}

// countCall adds a call sent after the warm-up to the counters.
func (a *analysis) countCall(wr *WorkspaceReport, o Outcome, within bool) {
	chat := o.Call.Kind == Chat
	wr.Offered++
	a.recordLatency(o)
	if chat {
		a.chats++
	}
	if !within {
		return
	}
	wr.WithinPlan++
	if chat {
		a.chatsWithin++
	}
	cause := missCause(o, a.run.Fleet.Model)
	bin := a.timelineBin(o.SentAt)
	bin.WithinPlan++
	if cause == "" {
		wr.Good++
		bin.Good++
		if chat {
			a.chatsGood++
		}
		return
	}
	a.report.Misses[string(o.Call.Kind)+" "+cause]++
	bin.Misses[string(o.Call.Kind)+" "+cause]++
	switch {
	case o.Refused() && (o.Kind == fault.Overloaded || o.Kind == fault.TargetMissed):
		a.report.CapacityRefusals++
	case o.Refused():
		wr.WrongfulRefusals++
	}
}

// timelineBin returns the timeline bin that contains time t, adding bins as needed.
func (a *analysis) timelineBin(t time.Duration) *Bin {
	i := int(t.Seconds()) / BinSeconds
	for len(a.report.Timeline) <= i {
		next := Bin{FromSeconds: len(a.report.Timeline) * BinSeconds, Misses: make(map[string]int)}
		a.report.Timeline = append(a.report.Timeline, next)
	}
	return &a.report.Timeline[i]
}

func (a *analysis) addWorkspace(wr WorkspaceReport) {
	r := &a.report
	if wr.StayedWithinPlan && wr.Goodput < r.WorstWorkspaceGoodput {
		r.WorstWorkspaceGoodput, r.WorstWorkspaceName = wr.Goodput, wr.Name
	}
	r.Offered += wr.Offered
	r.WithinPlan += wr.WithinPlan
	r.WrongfulRefusals += wr.WrongfulRefusals
	r.RefusedWithTokensLeft += wr.RefusedWithTokensLeft
	r.Audit.OverspendTokens += wr.OverspendTokens
	r.Workspaces = append(r.Workspaces, wr)
	a.good += wr.Good
}

func (a *analysis) finish() Report {
	r := a.report
	r.Goodput = ratio(a.good, r.WithinPlan)
	r.ChatGoodput = ratio(a.chatsGood, a.chatsWithin)
	r.ChatsPerSecond = float64(a.chats) / (a.run.Spec.Duration() - a.run.Spec.Warmup()).Seconds()
	if e := a.run.Engines; e.PrefillTokens > 0 {
		r.WastedPrefill = 1 - float64(e.PrefillTokensDecoded)/float64(e.PrefillTokens)
	}
	r.FirstToken, r.Gap, r.Plain = quantiles(a.firstToken), quantiles(a.tokenGap), quantiles(a.plainLatency)
	return r
}

func ratio(n, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(n) / float64(total)
}

// missCause returns why a call missed a target or failed, or "" if it was good.
func missCause(o Outcome, m configuration.Model) string {
	switch {
	case o.Corrupt != "":
		return "corrupt"
	case o.NoAnswer:
		return "no answer"
	case !o.Complete:
		return string(o.Kind)
	case o.Call.Kind != Chat:
		return ""
	case o.Call.Class == configuration.Urgent && o.FirstTokenAt-o.SentAt > time.Duration(m.FirstTokenMillis)*time.Millisecond:
		return "first token late"
	case o.Gap > time.Duration(m.GapMillis)*time.Millisecond:
		return "gap too long"
	default:
		return ""
	}
}

// medianDuration returns the median duration of the completed chats, or one second if there are none.
func medianDuration(outcomes []Outcome) time.Duration {
	var durations []time.Duration
	for _, o := range outcomes {
		if o.Complete && o.Call.Kind == Chat {
			durations = append(durations, o.EndedAt-o.SentAt)
		}
	}
	if len(durations) == 0 {
		return time.Second
	}
	slices.SortFunc(durations, cmp.Compare[time.Duration])
	return durations[len(durations)/2]
}

const (
	histogramMaxMicros = 120_000_000
	histogramDigits    = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
}

// recordLatency adds the latencies of a completed call to the histograms.
func (a *analysis) recordLatency(o Outcome) {
	if !o.Complete {
		return
	}
	if o.Call.Kind != Chat {
		_ = a.plainLatency.RecordValue((o.EndedAt - o.SentAt).Microseconds())
		return
	}
	if o.Call.Class == configuration.Urgent {
		_ = a.firstToken.RecordValue((o.FirstTokenAt - o.SentAt).Microseconds())
	}
	if o.Tokens > 1 {
		_ = a.tokenGap.RecordValue(o.Gap.Microseconds())
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}
