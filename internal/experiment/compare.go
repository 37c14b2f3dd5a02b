package experiment

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// MedianRange is the median and the range of a metric over several seeds.
type MedianRange struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

func medianRange(values []float64) MedianRange {
	slices.Sort(values)
	n := len(values)
	if n == 0 {
		return MedianRange{}
	}
	return MedianRange{Median: (values[(n-1)/2] + values[n/2]) / 2, Low: values[0], High: values[n-1]}
}

// Metric is one value of a report that is compared and plotted.
type Metric struct {
	Name string
	Unit string
	// Better is "higher" or "lower".
	Better string
	Value  func(Report) float64
}

// Metrics lists the metrics that are compared and plotted.
func Metrics() []Metric {
	percent := func(of func(Report) float64) func(Report) float64 {
		return func(r Report) float64 { return 100 * of(r) }
	}
	return []Metric{
		{"goodput", "%", "higher", percent(func(r Report) float64 { return r.Goodput })},
		{"chat goodput", "%", "higher", percent(func(r Report) float64 { return r.ChatGoodput })},
		{"wasted prefill", "%", "lower", percent(func(r Report) float64 { return r.WastedPrefill })},
		{"worst workspace", "%", "higher", percent(func(r Report) float64 { return r.WorstWorkspaceGoodput })},
		{"wrongful refusals", "calls", "lower", func(r Report) float64 { return float64(r.WrongfulRefusals) }},
		{"refused with tokens left", "calls", "lower", func(r Report) float64 { return float64(r.RefusedWithTokensLeft) }},
		{"capacity refusals", "calls", "lower", func(r Report) float64 { return float64(r.CapacityRefusals) }},
		{"first token p50", "ms", "lower", func(r Report) float64 { return r.FirstToken.P50 }},
		{"first token p95", "ms", "lower", func(r Report) float64 { return r.FirstToken.P95 }},
		{"first token p99", "ms", "lower", func(r Report) float64 { return r.FirstToken.P99 }},
		{"gap p95", "ms", "lower", func(r Report) float64 { return r.Gap.P95 }},
		{"platform calls", "1/s", "lower", func(r Report) float64 { return r.PlatformCallsPerSecond }},
	}
}

// Group contains the reports of all seeds for one policy at one load.
type Group struct {
	Policy  string   `json:"policy"`
	Load    float64  `json:"load"`
	Reports []Report `json:"reports"`
}

// Groups groups reports by load and policy. The groups are sorted by load, then in the policy order of
// the spec.
func Groups(s Spec, reports []Report) []Group {
	var out []Group
	for _, load := range s.Loads {
		for _, p := range s.Policies {
			g := Group{Policy: p.Name, Load: load}
			for _, r := range reports {
				if r.Policy == p.Name && r.Load == load {
					g.Reports = append(g.Reports, r)
				}
			}
			out = append(out, g)
		}
	}
	slices.SortStableFunc(out, func(a, b Group) int { return cmp.Compare(a.Load, b.Load) })
	return out
}

// MedianRange returns the median and the range of a metric over the seeds of the group.
func (g Group) MedianRange(f Metric) MedianRange {
	values := make([]float64, 0, len(g.Reports))
	for _, r := range g.Reports {
		values = append(values, f.Value(r))
	}
	return medianRange(values)
}

// AuditFailures returns the number of runs whose audit found violations and a description of each.
func (g Group) AuditFailures() (unclean int, examples []string) {
	for _, r := range g.Reports {
		if !r.Audit.Clean() {
			unclean++
			examples = append(examples, fmt.Sprintf("seed %d: %+v", r.Seed, r.Audit))
		}
	}
	return unclean, examples
}

// WriteText writes the comparison as a table that shows medians, with the range in brackets.
func WriteText(w io.Writer, s Spec, reports []Report) error {
	groups := Groups(s, reports)
	fmt.Fprintf(w, "experiment %s, layout %s, balance %s, seeds %v, %g s measured after %g s\n\n",
		s.Name, s.Layout, s.Balance, s.Seeds, s.DurationSeconds-s.WarmupSeconds, s.WarmupSeconds)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"metric"}
	for _, g := range groups {
		header = append(header, fmt.Sprintf("%s at %.0f%%", g.Policy, 100*g.Load))
	}
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, f := range Metrics() {
		row := []string{f.Name + ", " + f.Unit}
		for _, g := range groups {
			v := g.MedianRange(f)
			row = append(row, fmt.Sprintf("%.2f [%.2f %.2f]", v.Median, v.Low, v.High))
		}
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeAudits(w, s, groups)
}

func writeAudits(w io.Writer, s Spec, groups []Group) error {
	for _, g := range groups {
		unclean, examples := g.AuditFailures()
		if _, err := fmt.Fprintf(w, "\naudit of %s at %.0f%%: %d of %d runs not clean\n", g.Policy, 100*g.Load, unclean, len(g.Reports)); err != nil {
			return err
		}
		for _, e := range examples {
			fmt.Fprintln(w, "  "+e)
		}
		for _, r := range g.Reports {
			fmt.Fprintf(w, "  seed %d: %d calls within plan, %.1f chats/s, misses %v, worst %s\n", r.Seed, r.WithinPlan, r.ChatsPerSecond, r.Misses, r.WorstWorkspaceName)
			writeUsage(w, r)
			writeTimeline(w, s, r)
		}
	}
	return nil
}

// writeTimeline writes the bins with misses if the spec injects faults.
func writeTimeline(w io.Writer, s Spec, r Report) {
	if len(s.Faults) == 0 {
		return
	}
	for _, b := range r.Timeline {
		if b.Good < b.WithinPlan {
			fmt.Fprintf(w, "    sent from %d s to %d s: %d of %d good, misses %v\n", b.FromSeconds, b.FromSeconds+BinSeconds, b.Good, b.WithinPlan, b.Misses)
		}
	}
}

// writeUsage writes the resource usage of the daemons and the number of platform calls.
func writeUsage(w io.Writer, r Report) {
	const mebibyte = 1 << 20
	for _, d := range r.Daemons {
		fmt.Fprintf(w, "    %s: %.1f%% of a core, %.0f MiB at the peak, %.0f bytes/s to other VMs\n",
			d.VM, 100*d.CPUShare, float64(d.PeakRSSBytes)/mebibyte, d.PeerBytesPerSecond)
	}
	fmt.Fprintf(w, "    platform calls: %v\n", r.PlatformCalls)
}
