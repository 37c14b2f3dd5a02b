package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/settings"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

const (
	// settleTime is given to a new fleet before load, as an operator would.
	settleTime = 2 * time.Second
	// freeLimit is how long engines may hold memory after the last call.
	freeLimit = 5 * time.Second
	// maxTries bounds the VMs that a call is sent to when none takes its connection.
	maxTries = 4
)

// run is one fleet under one load.
type run struct {
	spec    experiment.Spec
	layout  fleet.Layout
	policy  experiment.Policy
	load    float64
	seed    uint64
	binary  string
	logs    string
	verbose bool

	fleet     *fleet.Fleet
	balancer  *balancer
	client    experiment.Client
	start     time.Time
	mu        sync.Mutex
	withdrawn map[string]time.Duration
}

func (r *run) execute(ctx context.Context) (experiment.Report, error) {
	r.scalePlans()
	f, err := fleet.Start(ctx, fleet.Options{
		Layout: r.layout, Binary: r.binary, Dir: r.logDir(), Policy: settings.Policy{Placement: r.policy.Placement, Limiter: r.policy.Limiter},
	})
	if err != nil {
		return experiment.Report{}, err
	}
	r.fleet, r.withdrawn = f, make(map[string]time.Duration)
	time.Sleep(settleTime)
	before := r.sample()
	outcomes := r.drive(ctx)
	elapsed := time.Since(r.start)
	r.show(outcomes)
	report := experiment.Analyze(experiment.Measured{
		Spec: r.spec, Fleet: r.measuredFleet(), Policy: r.policy.Name, Load: r.load, Seed: r.seed,
		Outcomes: outcomes, Engines: r.engineTotals(), Withdrawn: r.withdrawn,
	})
	r.addUsage(&report, before, elapsed)
	r.audit(ctx, &report, outcomes)
	if err := f.Stop(); err != nil {
		report.Audit.UncleanStops++
		report.Audit.Note(err.Error())
	}
	return report, ctx.Err()
}

// logDir names the directory for the logs of this run; empty keeps none.
func (r *run) logDir() string {
	if r.logs == "" {
		return ""
	}
	return filepath.Join(r.logs, fmt.Sprintf("%s-%s-%g-%d", r.spec.Name, r.policy.Name, r.load, r.seed))
}

// scalePlans sizes the plans as the experiment file asks.
func (r *run) scalePlans() {
	if r.spec.PlanHeadroom == 0 {
		return
	}
	f := r.measuredFleet()
	r.layout.Plans = maps.Clone(r.layout.Plans)
	for name, p := range r.layout.Plans {
		r.layout.Plans[name] = f.ScalePlan(p, r.load, r.spec.PlanHeadroom, r.spec.PlanBurstSeconds)
	}
}

// drive sends the load while the fault script runs, and waits for the last answer.
func (r *run) drive(ctx context.Context) []experiment.Outcome {
	r.client = experiment.Client{
		HTTP: experiment.NewHTTPClient(), Model: r.layout.ModelName, Secret: fleet.Secret, Token: engine.TokenForTag,
	}
	r.client.ReadPath, r.client.CommitPath = r.layout.ReadPath, r.layout.CommitPath
	defer r.client.HTTP.CloseIdleConnections()
	r.balancer = newBalancer(r.fleet)
	r.balancer.probeAll()
	calls := experiment.Arrivals(r.spec, r.measuredFleet(), r.load, r.seed)
	r.start = time.Now()
	calls = experiment.Stamp(calls, r.start)
	script, stop := context.WithCancel(ctx)
	defer stop()
	var background, inFlight sync.WaitGroup
	background.Add(2)
	go func() {
		defer background.Done()
		r.balancer.run(script)
	}()
	go func() {
		defer background.Done()
		r.causeFaults(script)
	}()
	outcomes := make([]experiment.Outcome, len(calls))
	for i, c := range calls {
		time.Sleep(time.Until(r.start.Add(c.At)))
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			outcomes[i] = r.send(ctx, c)
		}()
	}
	inFlight.Wait()
	stop()
	background.Wait()
	return outcomes
}

// send makes a call. A VM that takes no connection is passed over, as a balancer does.
func (r *run) send(ctx context.Context, c experiment.Call) experiment.Outcome {
	vms := r.balancer.targets()
	first := r.spec.VMIndex(c, len(vms))
	var o experiment.Outcome
	for try := range min(maxTries, len(vms)) {
		o = r.client.Do(ctx, r.start, vms[(first+try)%len(vms)], c)
		if !o.NoConnection {
			return o
		}
	}
	if len(vms) == 0 {
		o = experiment.Outcome{Call: c, Sent: time.Since(r.start), NoAnswer: true, Run: fault.NotRun, Message: "no VM is ready"}
		o.Ended = o.Sent
	}
	return o
}

func (r *run) measuredFleet() experiment.Fleet {
	f := experiment.Fleet{Model: r.layout.Model, Slots: r.layout.Slots}
	for _, dc := range r.layout.DataCentres {
		f.PrefillEngines += dc.Prefill
		f.DecodeSlots += dc.Decode * r.layout.Slots
	}
	for _, w := range r.layout.Workspaces {
		f.Workspaces = append(f.Workspaces, experiment.Workspace{Name: w.Name, Plan: r.layout.Plans[w.Plan]})
	}
	return f
}

func (r *run) engineTotals() experiment.EngineTotals {
	var t experiment.EngineTotals
	for _, e := range r.fleet.Engines {
		s := e.Stats()
		t.PrefillTokens += s.PrefillTokens
		t.PrefillTokensDecoded += s.PrefillTokensDecoded
		t.DecodedTokens += s.DecodedTokens
	}
	return t
}

// maxShown is how many calls of each cause are shown.
const maxShown = 2

// show names some calls that were not whole, for each cause.
func (r *run) show(outcomes []experiment.Outcome) {
	if !r.verbose {
		return
	}
	shown := make(map[string]int)
	for _, o := range outcomes {
		cause := fmt.Sprintf("%s %q run %q %v", o.Call.Kind, o.Kind, o.Run, o.Corrupt != "")
		shown[cause]++
		if o.Whole || shown[cause] > maxShown {
			continue
		}
		fmt.Fprintf(os.Stderr, "  %s %s by %s through %s, sent %s, ended %s: kind %q run %q %s%s after %d tokens\n",
			o.RequestID, o.Call.Kind, o.Call.Workspace, o.VM, o.Sent.Round(time.Millisecond), o.Ended.Round(time.Millisecond),
			o.Kind, o.Run, o.Message, o.Corrupt, o.Tokens)
	}
}
