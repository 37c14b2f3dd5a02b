package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// Measured is all that a run gave.
type Measured struct {
	Spec     Spec
	Fleet    Fleet
	Policy   string
	Load     float64
	Seed     uint64
	Outcomes []Outcome
	Engines  EngineTotals
	// Withdrawn tells when the keys of workspaces were withdrawn, from the start of the run.
	Withdrawn map[string]time.Duration
}

// analysis gathers a report.
type analysis struct {
	m                  Measured
	report             Report
	first, gap, plain  *hdrhistogram.Histogram
	good               int
	chats, chatsWithin int
	chatsGood          int
}

// Analyze computes a report. What only the fleet knows is left for the caller to add.
func Analyze(m Measured) Report {
	a := &analysis{
		m:     m,
		first: newHistogram(), gap: newHistogram(), plain: newHistogram(),
		report: Report{
			Policy: m.Policy, Layout: m.Spec.Layout, Load: m.Load, Seed: m.Seed, Engines: m.Engines,
			Misses: make(map[string]int), WorstWorkspace: 1,
		},
	}
	typical := typicalTime(m.Outcomes)
	for _, w := range m.Fleet.Workspaces {
		a.workspace(w, typical)
	}
	return a.finish()
}

func (a *analysis) workspace(w Workspace, typical time.Duration) {
	var own []Outcome
	for _, o := range a.m.Outcomes {
		if o.Call.Workspace == w.Name {
			own = append(own, o)
		}
	}
	within := WithinPlan(w.Plan, own, typical)
	wr := WorkspaceReport{
		Name: w.Name, Behaved: true,
		OverspendTokens: int(Overspend(w.Plan, own)), RefusedWithTokensLeft: RefusedWithTokensLeft(w.Plan, own),
	}
	for i, o := range own {
		a.audit(o)
		if a.withdrawn(o) {
			continue
		}
		wr.Behaved = wr.Behaved && within[i]
		if o.Call.At >= a.m.Spec.Warmup() {
			a.call(&wr, o, within[i])
		}
	}
	wr.Goodput = share(wr.Good, wr.WithinPlan)
	a.add(wr)
}

// withdrawn reports whether a call's key was withdrawn before the call ended.
func (a *analysis) withdrawn(o Outcome) bool {
	at, ok := a.m.Withdrawn[o.Call.Workspace]
	return ok && o.Ended > at
}

func (a *analysis) audit(o Outcome) {
	audit := &a.report.Audit
	if o.Corrupt != "" {
		audit.CorruptAnswers++
		audit.Note(o.RequestID + ": " + o.Corrupt)
	}
	if at, ok := a.m.Withdrawn[o.Call.Workspace]; ok && o.Whole && o.Sent > at+WithdrawalLimit {
		audit.LateKeyUses++
		audit.Note(o.RequestID + ": key of " + o.Call.Workspace + " was withdrawn")
	}
}

// call counts one measured call.
func (a *analysis) call(wr *WorkspaceReport, o Outcome, within bool) {
	chat := o.Call.Kind == Chat
	wr.Offered++
	a.record(o)
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
	cause := missCause(o, a.m.Fleet.Model)
	bin := a.bin(o.Sent)
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

// bin gives the part of the timeline that holds a moment.
func (a *analysis) bin(at time.Duration) *Bin {
	i := int(at.Seconds()) / BinSeconds
	for len(a.report.Timeline) <= i {
		next := Bin{FromSeconds: len(a.report.Timeline) * BinSeconds, Misses: make(map[string]int)}
		a.report.Timeline = append(a.report.Timeline, next)
	}
	return &a.report.Timeline[i]
}

func (a *analysis) add(wr WorkspaceReport) {
	r := &a.report
	if wr.Behaved && wr.Goodput < r.WorstWorkspace {
		r.WorstWorkspace, r.WorstWorkspaceName = wr.Goodput, wr.Name
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
	r.Goodput = share(a.good, r.WithinPlan)
	r.ChatGoodput = share(a.chatsGood, a.chatsWithin)
	r.ChatsPerSecond = float64(a.chats) / (a.m.Spec.Duration() - a.m.Spec.Warmup()).Seconds()
	if e := a.m.Engines; e.PrefillTokens > 0 {
		r.WastedPrefill = 1 - float64(e.PrefillTokensDecoded)/float64(e.PrefillTokens)
	}
	r.FirstToken, r.Gap, r.Plain = quantiles(a.first), quantiles(a.gap), quantiles(a.plain)
	return r
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// missCause tells why a call was not good; empty when it was.
func missCause(o Outcome, m configuration.Model) string {
	switch {
	case o.Corrupt != "":
		return "corrupt"
	case o.NoAnswer:
		return "no answer"
	case !o.Whole:
		return string(o.Kind)
	case o.Call.Kind != Chat:
		return ""
	case o.Call.Class == configuration.Urgent && o.FirstToken-o.Sent > time.Duration(m.FirstTokenMillis)*time.Millisecond:
		return "first token late"
	case o.Gap > time.Duration(m.GapMillis)*time.Millisecond:
		return "gap too long"
	default:
		return ""
	}
}

// typicalTime is the median time of whole chats.
func typicalTime(outcomes []Outcome) time.Duration {
	var took []time.Duration
	for _, o := range outcomes {
		if o.Whole && o.Call.Kind == Chat {
			took = append(took, o.Ended-o.Sent)
		}
	}
	if len(took) == 0 {
		return time.Second
	}
	slices.SortFunc(took, cmp.Compare[time.Duration])
	return took[len(took)/2]
}

const (
	histogramMaxMicros = 120_000_000
	histogramDigits    = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
}

// record counts the times of a whole answer.
func (a *analysis) record(o Outcome) {
	if !o.Whole {
		return
	}
	if o.Call.Kind != Chat {
		_ = a.plain.RecordValue((o.Ended - o.Sent).Microseconds())
		return
	}
	if o.Call.Class == configuration.Urgent {
		_ = a.first.RecordValue((o.FirstToken - o.Sent).Microseconds())
	}
	if o.Tokens > 1 {
		_ = a.gap.RecordValue(o.Gap.Microseconds())
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}
