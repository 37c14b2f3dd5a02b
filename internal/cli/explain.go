package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/explain"
	"github.com/fulmartide/fulmartide/internal/fault"
)

type explainCommand struct {
	RequestID string `arg:"" optional:"" help:"Request id, from the response headers or a log line. Without it, the flags describe a call and --vm names metrics addresses."`

	Host      string `help:"Host of the call." group:"Call"`
	Path      string `help:"Path of the call." group:"Call"`
	Service   string `help:"Service, instead of host and path or to name one of the route's." group:"Call"`
	Stage     string `help:"Explain only this stage: whole, prefill or decode." group:"Call"`
	Prompt    int64  `help:"Prompt tokens of the call." group:"Call"`
	MaxOutput int64  `help:"Most output tokens of the call." group:"Call"`
	Rank      int    `help:"Rank of the call, instead of that of its route and workspace." default:"-1" group:"Call"`
	Workspace string `help:"Workspace of the call." group:"Call"`
	Software  string `help:"Software version that the call needs, such as a stream that is resumed." group:"Call"`
	JSON      bool   `help:"Print JSON, as --output json does." name:"json"`
}

// Run prints the trace of a request, or where a call would be placed.
func (c explainCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	s.json = s.json || c.JSON
	if c.RequestID != "" {
		return c.trace(s)
	}
	q := &explain.Query{
		Host: c.Host, Path: c.Path, Service: c.Service, Stage: c.Stage, Prompt: c.Prompt, Output: c.MaxOutput, Rank: max(-1, c.Rank),
		Workspace: c.Workspace, Version: c.Software,
	}
	if _, err := explain.Parse(q.Values()); err != nil {
		return s.usage(err)
	}
	if len(s.vms) > maxExplainedVMs {
		return s.usage(fault.New(fault.Malformed, "name one or two metrics addresses with --vm", "a placement is explained by two VMs at most"))
	}
	return s.explainPlacement(q)
}

func (c explainCommand) trace(s *session) error {
	resp, err := s.client.Explain(s.ctx, c.RequestID)
	if err != nil {
		return err
	}
	return s.print(resp, func(w io.Writer) {
		writeRow(w, "AT", "STAGE", "MESSAGE", "FIELDS")
		for _, e := range resp.Events {
			writeRow(w, e.At.UTC().Format("15:04:05.000000"), e.Stage, e.Message, formatFields(e.Fields))
		}
	})
}

// maxExplainedVMs is the number of VMs whose columns fit side by side.
const maxExplainedVMs = 2

// usage prints a usage error and returns its exit code.
func (s *session) usage(err error) error { return exitCode(reportUsage(s.Err, err)) }

// explainPlacement asks each VM and prints the answers side by side. It exits with ExitPartial if only one VM answered.
func (s *session) explainPlacement(q *explain.Query) error {
	var all []*explain.Response
	var failure error
	for _, vm := range s.vms {
		r, err := getExplanation(s.ctx, vm, q, s.timeout)
		if err != nil {
			failure = err
			continue
		}
		all = append(all, r)
	}
	if len(all) == 0 {
		return failure
	}
	if err := s.print(all, func(w io.Writer) { writeExplanations(w, all) }); err != nil {
		return err
	}
	if failure != nil {
		reportError(s.Err, failure)
		return exitCode(ExitPartial)
	}
	return nil
}

// row writes a label and a cell for each VM.
func row(w io.Writer, label string, all []*explain.Response, cell func(*explain.Response) string) {
	cells := []any{label}
	for _, r := range all {
		cells = append(cells, cell(r))
	}
	writeRow(w, cells...)
}

func writeExplanations(w io.Writer, all []*explain.Response) {
	row(w, "vm", all, func(r *explain.Response) string { return r.VM + " (" + r.DataCentre + ")" })
	row(w, "configuration, table", all, func(r *explain.Response) string { return fmt.Sprintf("%d, %d", r.Configuration, r.Table) })
	row(w, "route", all, func(r *explain.Response) string { return r.Route })
	row(w, "service", all, formatService)
	row(w, "rank", all, formatRank)
	row(w, "regions", all, formatRegions)
	row(w, "plan", all, formatPlan)
	var stages []string
	for _, r := range all {
		for _, st := range r.Stages {
			if !slices.Contains(stages, st.Stage) {
				stages = append(stages, st.Stage)
			}
		}
	}
	for _, name := range stages {
		writeStage(w, name, all)
	}
}

func formatService(r *explain.Response) string {
	if len(r.Services) < 2 {
		return r.Service
	}
	return fmt.Sprintf("%s (of %s)", r.Service, strings.Join(r.Services, ", "))
}

func formatRank(r *explain.Response) string {
	if !r.Ranked {
		return "all alike"
	}
	return strconv.Itoa(r.Rank)
}

func formatRegions(r *explain.Response) string {
	if r.Regions == nil {
		return "any"
	}
	return joinNames(r.Regions)
}

func formatPlan(r *explain.Response) string {
	p := r.Plan
	if p == nil {
		return ""
	}
	if !p.Limited {
		return p.Workspace + ": no limit"
	}
	text := fmt.Sprintf("%s: %d of %.0f used, this call %d", p.Workspace, p.Used, p.Allowed, p.Cost)
	if !p.Admitted {
		text += ", refused for " + formatMillis(p.RetryAfter)
	}
	return text
}

// stageOf returns a stage of a response, an empty one if it is missing.
func stageOf(r *explain.Response, name string) *explain.Stage {
	for i := range r.Stages {
		if r.Stages[i].Stage == name {
			return &r.Stages[i]
		}
	}
	return &explain.Stage{}
}

func writeStage(w io.Writer, name string, all []*explain.Response) {
	fmt.Fprintln(w)
	row(w, strings.ToUpper(name), all, func(r *explain.Response) string { return formatOutcome(stageOf(r, name)) })
	var endpoints []string
	for _, r := range all {
		for _, e := range stageOf(r, name).Endpoints {
			if label := e.Name + " (" + e.DataCentre + ")"; !slices.Contains(endpoints, label) {
				endpoints = append(endpoints, label)
			}
		}
	}
	for _, label := range endpoints {
		row(w, label, all, func(r *explain.Response) string {
			for _, e := range stageOf(r, name).Endpoints {
				if e.Name+" ("+e.DataCentre+")" == label {
					return formatCandidate(&e)
				}
			}
			return "not listed"
		})
	}
}

func formatOutcome(st *explain.Stage) string {
	text := st.Chosen
	switch {
	case st.Queued:
		text = "waits behind other calls"
	case st.Chosen == "" && st.Refused != "":
		text = fmt.Sprintf("none for %s: %s", formatMillis(st.RetryAfter), st.Refused)
	case st.Via != "":
		text += " through " + st.Via
	}
	if st.Omitted > 0 {
		text += fmt.Sprintf(" (%d endpoints not shown)", st.Omitted)
	}
	return text
}

// formatCandidate formats what excluded an endpoint, or its cost by term, and its inputs.
func formatCandidate(e *explain.Endpoint) string {
	var parts []string
	if e.Chosen {
		parts = append(parts, "CHOSEN")
	}
	if e.Excluded != "" {
		parts = append(parts, e.Excluded)
	}
	if e.ExcludedFor > 0 {
		parts = append(parts, "for "+formatMillis(e.ExcludedFor))
	}
	if e.Cost != nil {
		parts = append(parts, formatMillis(*e.Cost))
		for _, name := range slices.Sorted(maps.Keys(e.Terms)) {
			parts = append(parts, name+"="+formatMillis(e.Terms[name]))
		}
	}
	parts = append(parts, fmt.Sprintf("calls=%d tokens=%d", e.Calls, e.Tokens))
	if e.Slowness > 0 {
		parts = append(parts, fmt.Sprintf("slowness=%.2g", e.Slowness))
	}
	for _, name := range slices.Sorted(maps.Keys(e.Ages)) {
		parts = append(parts, name+"_age="+formatMillis(e.Ages[name]))
	}
	return strings.Join(parts, " ")
}

func formatMillis(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}
