package vmserver

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/explain"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// explainer serves explain.Path. It changes nothing.
type explainer struct {
	vm, dataCentre string
	configuration  func() *traffic.Configuration
	scheduler      *schedule.Scheduler
	admission      *admission.Controller
	set            *metrics.Set
	// busy is locked while a query is answered.
	busy sync.Mutex
}

const (
	// maxExplained is the maximum number of endpoints in a response.
	maxExplained = 512
	// explainTimeout bounds how long a response may take to be written, as other queries are refused meanwhile.
	explainTimeout = 5 * time.Second
)

// ServeHTTP answers one query at a time, as each one locks the scheduler for longer than a placement does.
func (x *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !x.busy.TryLock() {
		w.Header().Set("Retry-After", "1")
		x.refuse(w, http.StatusTooManyRequests, "another query is being answered; repeat it")
		return
	}
	defer x.busy.Unlock()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(explainTimeout)) // not supported by recorders of tests
	resp, err := x.explain(r)
	if err != nil {
		status := http.StatusBadRequest
		if fault.Is(err, fault.NotFound) {
			status = http.StatusNotFound
		} else if fault.Is(err, fault.Unavailable) {
			status = http.StatusServiceUnavailable
		}
		d := fault.DetailOf(err)
		x.refuse(w, status, d.Message+"; "+d.Remedy)
		return
	}
	x.count(http.StatusOK)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp) // the caller has gone
}

func (x *explainer) refuse(w http.ResponseWriter, status int, text string) {
	x.count(status)
	http.Error(w, text, status)
}

func (x *explainer) count(status int) {
	x.set.GetOrCreateCounter(`fulmartide_explanations_total{status="` + strconv.Itoa(status) + `"}`).Inc()
}

func (x *explainer) explain(r *http.Request) (*explain.Response, error) {
	q, err := explain.Parse(r.URL.Query())
	if err != nil {
		return nil, err
	}
	cfg := x.configuration()
	if cfg == nil {
		return nil, fault.New(fault.Unavailable, "ask again when the VM is ready", "no configuration is known yet")
	}
	call, services, err := callOf(cfg, q)
	if err != nil {
		return nil, err
	}
	resp := &explain.Response{
		VM: x.vm, DataCentre: x.dataCentre, Configuration: cfg.Version, Route: call.Route.Name, Service: call.Service.Name, Services: services,
		Rank: call.Rank(), Ranked: call.Ranked(), Regions: call.HomeRegions(),
	}
	if q.Rank >= 0 {
		resp.Rank = q.Rank
	}
	if call.Workspace != nil {
		resp.Plan = x.plan(call)
	}
	x.addStages(resp, call, q)
	return resp, nil
}

// callOf returns the call of a query, and the services of its route that get calls.
func callOf(cfg *traffic.Configuration, q *explain.Query) (*traffic.Call, []string, error) {
	call := &traffic.Call{Route: &traffic.Route{}}
	var services []string
	service := q.Service
	if q.Host != "" || q.Path != "" {
		if call.Route = cfg.Match(q.Host, q.Path); call.Route == nil {
			return nil, nil, fault.New(fault.NotFound, "correct the host and path", "no route matches")
		}
		targets := slices.SortedStableFunc(slices.Values(call.Route.Targets), func(a, b traffic.Target) int { return cmp.Compare(b.Weight, a.Weight) })
		for _, t := range targets {
			if t.Weight > 0 {
				services = append(services, t.Service)
			}
		}
		if service == "" && len(services) > 0 {
			service = services[0]
		}
		if !slices.Contains(services, service) {
			return nil, nil, fault.New(fault.NotFound, "name a service of the route", "the route sends no calls to the service "+service)
		}
	}
	if call.Service = cfg.Services[service]; call.Service == nil {
		return nil, nil, fault.New(fault.NotFound, "correct the name of the service", "no service "+service+" is configured")
	}
	if q.Workspace != "" {
		if call.Workspace = cfg.Workspaces[q.Workspace]; call.Workspace == nil {
			return nil, nil, fault.New(fault.NotFound, "correct the name of the workspace", "no workspace "+q.Workspace+" has a key")
		}
	}
	if q.Prompt > 0 || q.Output > 0 {
		call.Tokens = &traffic.Tokens{Prompt: q.Prompt, MaxOutput: q.Output}
	}
	return call, services, nil
}

func (x *explainer) plan(c *traffic.Call) *explain.Plan {
	d := x.admission.Preview(c.Workspace, c.Cost())
	return &explain.Plan{
		Workspace: c.Workspace.Name, Limited: c.Workspace.Rate > 0, Cost: c.Cost(), Used: d.UsedBefore, Allowed: d.Allowed, Admitted: d.Admitted,
		RetryAfter: milliseconds(d.RetryAfter),
	}
}

// addStages explains the stages that a call takes: decode, then prefill near the decode engine and at its software version.
func (x *explainer) addStages(resp *explain.Response, call *traffic.Call, q *explain.Query) {
	newRequest := func(stage traffic.Stage) *schedule.Request {
		r := &schedule.Request{
			Service: call.Service.Name, Stage: stage, Tokens: call.Tokens, Regions: resp.Regions, MaxEventGap: call.Route.MaxEventGap,
			NotRetryable: stage != traffic.Prefill && !call.Route.Retryable(),
		}
		if q.Version != "" {
			r.Version = &q.Version
		}
		if call.Ranked() {
			r.Rank, r.Workspace = resp.Rank, q.Workspace
			if resp.Plan != nil && resp.Plan.Allowed > 0 {
				r.PlanUse = float64(resp.Plan.Used) / resp.Plan.Allowed
			}
		}
		return r
	}
	generation := call.Tokens != nil && x.scheduler.ListsStage(call.Service.Name, traffic.Decode)
	if q.Stage == "whole" || q.Stage == "" && !generation {
		x.addStage(resp, newRequest(traffic.Aggregated))
		return
	}
	prefill := newRequest(traffic.Prefill)
	prefill.MaxPrefillTime = time.Duration(dispatch.PrefillFraction * float64(call.Route.LatencyTarget))
	if q.Stage != "prefill" {
		decode := x.addStage(resp, newRequest(traffic.Decode))
		if prefill.PreferredDataCentre = decode.DataCentre; decode.ID.Name != "" {
			prefill.Version = &decode.SoftwareVersion
		}
	}
	if q.Stage == "prefill" || q.Stage == "" && x.scheduler.HasStage(call.Service.Name, traffic.Prefill, resp.Regions) {
		x.addStage(resp, prefill)
	}
}

// addStage explains a stage, and returns the endpoint that would be chosen, the zero one if none.
func (x *explainer) addStage(resp *explain.Response, r *schedule.Request) traffic.Endpoint {
	e := x.scheduler.Explain(r)
	resp.Table = e.TableVersion
	stage := explain.Stage{Stage: r.Stage.String(), Queued: e.Queued, Endpoints: []explain.Endpoint{}}
	if e.Err != nil {
		d := fault.DetailOf(e.Err)
		stage.Refused, stage.RetryAfter = d.Message, milliseconds(d.RetryAfter)
	} else {
		stage.Chosen = e.Choice.Endpoint.ID.Name
		if e.Choice.Via != nil {
			stage.Via = e.Choice.Via.VM
		}
	}
	slices.SortStableFunc(e.Candidates, compareCandidates)
	left := maxExplained
	for _, s := range resp.Stages {
		left -= len(s.Endpoints)
	}
	for i := range e.Candidates[:min(left, len(e.Candidates))] {
		stage.Endpoints = append(stage.Endpoints, explainedEndpoint(&e.Candidates[i]))
	}
	stage.Omitted = len(e.Candidates) - len(stage.Endpoints)
	resp.Stages = append(resp.Stages, stage)
	return e.Choice.Endpoint
}

// compareCandidates orders the chosen endpoint first, then those that were compared by their cost, then the others by name.
func compareCandidates(a, b schedule.Candidate) int {
	first := func(is bool) int {
		if is {
			return 0
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(first(a.Chosen), first(b.Chosen)), cmp.Compare(first(a.Compared), first(b.Compared)),
		cmp.Compare(a.Cost.Total(), b.Cost.Total()), cmp.Compare(a.Endpoint.ID.Name, b.Endpoint.ID.Name),
	)
}

func explainedEndpoint(c *schedule.Candidate) explain.Endpoint {
	out := explain.Endpoint{
		Name: c.Endpoint.ID.Name, DataCentre: c.Endpoint.DataCentre, Version: c.Endpoint.SoftwareVersion, Chosen: c.Chosen,
		Excluded: c.Excluded.String(), ExcludedFor: milliseconds(c.ExcludedFor), Calls: c.Work.Calls, Tokens: c.Work.Tokens, Slowness: c.Slowness,
		Ages: map[string]float64{},
	}
	if c.Compared {
		total := milliseconds(c.Cost.Total())
		out.Cost, out.Terms = &total, map[string]float64{}
		for name, term := range map[string]time.Duration{
			"failure": c.Cost.Failure, "path": c.Cost.Path, "cold": c.Cost.Cold, "prefill": c.Cost.Prefill, "memory": c.Cost.Memory,
			"load": c.Cost.Load, "pace": c.Cost.Pace, "distance": c.Cost.Distance, "saved": -c.Cost.Saved,
		} {
			if term != 0 {
				out.Terms[name] = milliseconds(term)
			}
		}
	}
	for name, age := range map[string]time.Duration{"pace": c.SlownessAge, "outcome": c.OutcomeAge, "load": c.LoadAge, "path_lost": c.PathLostAge} {
		if age != schedule.NotKnown {
			out.Ages[name] = milliseconds(age)
		}
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
