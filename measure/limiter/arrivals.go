package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/measure/limiter/simulation"
)

const (
	workspaces = 5
	// rate and burst are the plan of every workspace, in tokens per second and tokens.
	rate  = 20000
	burst = 100000
	// warmUp is the simulated duration of a warm-up phase, which is not measured.
	warmUp = 10 * time.Second
	// vmListDelay is the delay until the platform removes a killed VM from its list of VMs.
	vmListDelay = 5 * time.Second
)

// pattern determines which VM gets each request.
type pattern struct {
	name   string
	pickVM func(rng *rand.Rand, now time.Duration, vms []string) string
	// killVM is set if a VM is killed after one third of the run and replaced after two thirds.
	killVM bool
}

func uniform(rng *rand.Rand, _ time.Duration, vms []string) string { return vms[rng.IntN(len(vms))] }

func skewed(rng *rand.Rand, _ time.Duration, vms []string) string {
	if rng.IntN(100) < 80 {
		return vms[0]
	}
	return vms[rng.IntN(len(vms))]
}

func moving(rng *rand.Rand, now time.Duration, vms []string) string {
	if rng.IntN(100) < 80 {
		return vms[int(now/(5*time.Second))%len(vms)]
	}
	return vms[rng.IntN(len(vms))]
}

var patterns = []pattern{
	{name: "uniform", pickVM: uniform},
	{name: "80% at one", pickVM: skewed},
	{name: "moving", pickVM: moving},
	{name: "VM killed", pickVM: uniform, killVM: true},
}

func newDocument() configuration.Document {
	doc := configuration.Document{
		DataCentres: map[string]configuration.DataCentre{},
		Plans:       map[string]configuration.Plan{"p": {TokensPerSecond: rate, BurstTokens: burst}},
		Workspaces:  map[string]configuration.Workspace{},
	}
	for i := range workspaces {
		doc.Workspaces[fmt.Sprintf("ws-%d", i)] = configuration.Workspace{Plan: "p"}
	}
	return doc
}

// newSmallFleet returns a fleet of 6 VMs in 4 data centres of one region.
func newSmallFleet(seed uint64, policy string) *simulation.Fleet {
	doc := newDocument()
	vms := map[string][]string{
		"lisboa-a": {"la-1", "la-2"},
		"lisboa-b": {"lb-1", "lb-2"},
		"porto-a":  {"pa-1"},
		"coimbra":  {"ca-1"},
	}
	for dc := range vms {
		doc.DataCentres[dc] = configuration.DataCentre{Region: "pt-centro", ShareWeight: 1}
	}
	f := simulation.New(simulation.Options{
		Seed: seed, Policy: policy, Document: doc, VMs: vms,
		InterRegionDelay: 15 * time.Millisecond, IntraRegionDelay: time.Millisecond, LocalDelay: 100 * time.Microsecond,
	})
	f.Run(warmUp)
	return f
}

// drive sends the requests of all workspaces as a Poisson process. The expected token usage of each
// workspace is load × rate.
func drive(f *simulation.Fleet, p pattern, load float64, o options) {
	rng := rand.New(rand.NewPCG(o.Seed, 2))
	vms := f.VMNames()
	start := f.Now
	if p.killVM {
		f.Schedule(o.Length/3, func() { f.Kill("la-1", vmListDelay) })
		f.Schedule(o.Length*2/3, func() { f.Start("la-1", "lisboa-a") })
	}
	meanUsed := float64(meanTokens) * 0.65 // the mean of the used fraction in newRequest
	gap := meanUsed / (load * rate * workspaces) * float64(time.Second)
	for f.Now.Sub(start) < o.Length {
		f.Run(time.Duration(rng.ExpFloat64() * gap))
		f.Submit(newRequest(rng, p, f.Now.Sub(start), vms))
	}
	f.Run(30 * time.Second)
}

// Sizes of requests in tokens.
const (
	smallRequest = 200
	largeRequest = 8000
	// meanTokens is the mean of requestTokens.
	meanTokens = 2114
)

// newRequest returns a random request. Its size is between smallRequest and largeRequest, and the
// logarithm of the size is uniformly distributed.
func newRequest(rng *rand.Rand, p pattern, now time.Duration, vms []string) simulation.Request {
	tokens := requestTokens(rng)
	return simulation.Request{
		Workspace: fmt.Sprintf("ws-%d", rng.IntN(workspaces)),
		VM:        p.pickVM(rng, now, vms),
		Tokens:    tokens,
		Used:      int64(float64(tokens) * (0.3 + 0.7*rng.Float64())),
		Duration:  200*time.Millisecond + time.Duration(rng.Int64N(int64(10*time.Second))),
	}
}

// runLarge simulates a fleet of 400 VMs, prints the traffic per VM, and returns the overspent tokens.
func runLarge(o options) int64 {
	const dataCentres, vmsPerDataCentre, workspaceCount, requestsPerSecond = 8, 50, 680, 5800
	doc := configuration.Document{
		DataCentres: map[string]configuration.DataCentre{},
		Plans:       map[string]configuration.Plan{"p": {TokensPerSecond: rate, BurstTokens: burst}},
		Workspaces:  map[string]configuration.Workspace{},
	}
	vms := map[string][]string{}
	for d := range dataCentres {
		dc := fmt.Sprintf("dc-%d", d)
		doc.DataCentres[dc] = configuration.DataCentre{Region: fmt.Sprintf("region-%d", d%3), ShareWeight: 1}
		for v := range vmsPerDataCentre {
			vms[dc] = append(vms[dc], fmt.Sprintf("%s-%02d", dc, v))
		}
	}
	for i := range workspaceCount {
		doc.Workspaces[fmt.Sprintf("workspace-%03d", i)] = configuration.Workspace{Plan: "p"}
	}
	f := simulation.New(simulation.Options{
		Seed: o.Seed, Policy: limiter.PolicyPooled, Document: doc, VMs: vms,
		InterRegionDelay: 15 * time.Millisecond, IntraRegionDelay: time.Millisecond, LocalDelay: 100 * time.Microsecond,
	})
	f.Run(warmUp)
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	names := f.VMNames()
	arrive := func(length time.Duration) {
		for start := f.Now; f.Now.Sub(start) < length; {
			f.Run(time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second)))
			r := newRequest(rng, patterns[0], 0, names)
			r.Workspace = fmt.Sprintf("workspace-%03d", rng.IntN(workspaceCount))
			f.Submit(r)
		}
	}
	arrive(warmUp) // until the requests in flight and the cached records reach a steady state
	f.Traffic = simulation.Traffic{}
	reads, writes, before := f.Platform.Reads, f.Platform.Writes, summarize(f).requests
	arrive(o.LargeIn)
	printLargeFleet(f, o.LargeIn.Seconds(), dataCentres*vmsPerDataCentre, summarize(f).requests-before, f.Platform.Reads-reads, f.Platform.Writes-writes)
	return summarize(f).overspend
}

// requestTokens returns a random request size. About 76 steps of 5% lead from smallRequest to
// largeRequest, and the number of steps is uniformly distributed.
func requestTokens(rng *rand.Rand) int64 {
	n := int64(smallRequest)
	for limit := rng.Float64(); n < largeRequest; n = n * 21 / 20 {
		if limit -= 1.0 / 76; limit < 0 {
			break
		}
	}
	return n
}
