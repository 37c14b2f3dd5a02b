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
	// settleTime is the delay between the start of a fleet and the first call. An operator would also
	// wait before sending load to a new fleet.
	settleTime = 2 * time.Second
	// releaseTimeout is the time within which engines must release their memory after the last call.
	releaseTimeout = 5 * time.Second
	// maxConnectAttempts is the number of VMs that are tried for a call if connections cannot be opened.
	maxConnectAttempts = 4
)

// run is one run of the experiment: one policy, load and seed on a new fleet.
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
	r.applyPlanHeadroom()
	f, err := fleet.Start(ctx, fleet.Options{
		Layout: r.layout, Binary: r.binary, Dir: r.logDir(), Policy: settings.Policy{Placement: r.policy.Placement, Limiter: r.policy.Limiter},
	})
	if err != nil {
		return experiment.Report{}, err
	}
	r.fleet, r.withdrawn = f, make(map[string]time.Duration)
	time.Sleep(settleTime)
	before := r.readCounters()
	outcomes := r.drive(ctx)
	elapsed := time.Since(r.start)
	r.printFailures(outcomes)
	report := experiment.Analyze(experiment.RunData{
		Spec: r.spec, Fleet: r.measuredFleet(), Policy: r.policy.Name, Load: r.load, Seed: r.seed,
		Outcomes: outcomes, Engines: r.engineTotals(), WithdrawnAt: r.withdrawn,
	})
	r.addUsage(&report, before, elapsed)
	r.audit(ctx, &report, outcomes)
	if err := f.Stop(); err != nil {
		report.Audit.UncleanStops++
		report.Audit.AddExample(err.Error())
	}
	return report, ctx.Err()
}

// logDir returns the directory for the logs of this run, or "" if they are not kept.
func (r *run) logDir() string {
	if r.logs == "" {
		return ""
	}
	return filepath.Join(r.logs, fmt.Sprintf("%s-%s-%g-%d", r.spec.Name, r.policy.Name, r.load, r.seed))
}

// applyPlanHeadroom scales the plans of the layout if the experiment file sets plan_headroom.
func (r *run) applyPlanHeadroom() {
	if r.spec.PlanHeadroom == 0 {
		return
	}
	f := r.measuredFleet()
	r.layout.Plans = maps.Clone(r.layout.Plans)
	for name, p := range r.layout.Plans {
		r.layout.Plans[name] = f.ScalePlan(p, r.load, r.spec.PlanHeadroom, r.spec.PlanBurstSeconds)
	}
}

// drive sends the calls at their arrival times, injects the faults meanwhile, and waits for the last
// call to end.
func (r *run) drive(ctx context.Context) []experiment.Outcome {
	r.client = experiment.Client{
		HTTP: experiment.NewHTTPClient(), Model: r.layout.ModelName, Secret: fleet.Secret, ExpectedToken: engine.TokenForTag,
	}
	r.client.ReadPath, r.client.CommitPath = r.layout.ReadPath, r.layout.CommitPath
	defer r.client.HTTP.CloseIdleConnections()
	r.balancer = newBalancer(r.fleet)
	r.balancer.probeAll()
	calls := experiment.Arrivals(r.spec, r.measuredFleet(), r.load, r.seed)
	r.start = time.Now()
	calls = experiment.StampKeys(calls, r.start)
	bgCtx, stop := context.WithCancel(ctx)
	defer stop()
	var background, inFlight sync.WaitGroup
	background.Add(2)
	go func() {
		defer background.Done()
		r.balancer.run(bgCtx)
	}()
	go func() {
		defer background.Done()
		r.injectFaults(bgCtx)
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

// send sends a call to a ready VM. If the connection fails, it tries the next VM, as a load balancer
// does.
func (r *run) send(ctx context.Context, c experiment.Call) experiment.Outcome {
	vms := r.balancer.targets()
	first := r.spec.VMIndex(c, len(vms))
	var o experiment.Outcome
	for attempt := range min(maxConnectAttempts, len(vms)) {
		o = r.client.Do(ctx, r.start, vms[(first+attempt)%len(vms)], c)
		if !o.DialFailed {
			return o
		}
	}
	if len(vms) == 0 {
		o = experiment.Outcome{Call: c, SentAt: time.Since(r.start), NoAnswer: true, Execution: fault.NotExecuted, Message: "no VM is ready"}
		o.EndedAt = o.SentAt
	}
	return o
}

func (r *run) measuredFleet() experiment.Fleet {
	f := experiment.Fleet{Model: r.layout.Model, SlotsPerEngine: r.layout.Slots}
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

// maxPrintedPerCause is the number of calls that printFailures prints per cause.
const maxPrintedPerCause = 2

// printFailures prints examples of calls that did not complete, grouped by cause.
func (r *run) printFailures(outcomes []experiment.Outcome) {
	if !r.verbose {
		return
	}
	printed := make(map[string]int)
	for _, o := range outcomes {
		cause := fmt.Sprintf("%s %q execution %q %v", o.Call.Kind, o.Kind, o.Execution, o.Corrupt != "")
		printed[cause]++
		if o.Complete || printed[cause] > maxPrintedPerCause {
			continue
		}
		fmt.Fprintf(os.Stderr, "  %s %s by %s through %s, sent %s, ended %s: kind %q execution %q %s %s after %d tokens\n",
			o.RequestID, o.Call.Kind, o.Call.Workspace, o.VM, o.SentAt.Round(time.Millisecond), o.EndedAt.Round(time.Millisecond),
			o.Kind, o.Execution, o.Message, o.Corrupt, o.Tokens)
	}
}
