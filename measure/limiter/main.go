// Command limiter compares the limiter policies on seeded arrivals in simulated time, and computes the
// messages and bytes per VM in a large fleet. It fails if the pooled policy lets a workspace exceed
// its plan.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/measure/limiter/simulation"
)

type options struct {
	Seed    uint64        `help:"Seed for arrivals, delays and faults." default:"1"`
	Length  time.Duration `help:"Simulated time of each scenario." default:"60s"`
	Large   bool          `help:"Also simulate the large fleet: 400 VMs, 680 workspaces, 5,800 requests per second." default:"true" negatable:""`
	LargeIn time.Duration `name:"large-length" help:"Simulated time of the large fleet." default:"5s"`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Compares the limiter policies by running their state machines in simulated time."))
	overspent := compare(o)
	if o.Large {
		overspent += runLarge(o)
	}
	if overspent > 0 {
		fmt.Println("FAIL: pooled policy exceeded the plans by", overspent, "tokens")
		os.Exit(1)
	}
}

func compare(o options) (overspent int64) {
	fmt.Printf("seed %d, %v each, 6 VMs in 4 data centres, 5 workspaces of 20000 tokens/s with burst 100000\n", o.Seed, o.Length)
	fmt.Println("arrivals     load  policy  requests  refused  wrongful  overspend  shares/req  msgs/req  body B/req  p50      p99")
	for _, p := range patterns {
		for _, load := range []float64{0.7, 0.95, 1.5} {
			for _, policy := range []string{limiter.PolicyPooled, limiter.PolicyStatic, limiter.PolicyHome} {
				f := newSmallFleet(o.Seed, policy)
				drive(f, p, load, o)
				r := summarize(f)
				if policy == limiter.PolicyPooled {
					overspent += r.overspend
				}
				fmt.Printf("%-12s %.2f  %-6s  %8d  %7d  %8d  %9d  %10.2f  %8.2f  %10.1f  %-7v  %v\n", p.name, load, policy,
					r.requests, r.refused, r.wrongful, r.overspend, r.perRequest(r.shareRequests), r.perRequest(r.messages), r.perRequest(r.bytes),
					r.quantile(0.5), r.quantile(0.99))
			}
		}
	}
	return overspent
}

// result contains the sums over the checkers and the traffic of one run.
type result struct {
	requests, refused, wrongful, shareRequests, messages, bytes int
	overspend                                                   int64
	latency                                                     []time.Duration
}

func summarize(f *simulation.Fleet) result {
	var r result
	for _, c := range f.Checkers {
		r.requests += c.Admitted + c.Refused
		r.refused += c.Refused
		r.wrongful += c.WronglyRefused
		r.shareRequests += c.ShareRequests
		r.overspend += c.Overspend()
		r.latency = append(r.latency, c.Latency...)
	}
	for k := range f.Traffic.Messages {
		r.messages += f.Traffic.Messages[k]
		r.bytes += f.Traffic.Bytes[k]
	}
	slices.Sort(r.latency)
	return r
}

func (r result) perRequest(n int) float64 { return float64(n) / float64(max(1, r.requests)) }

func (r result) quantile(q float64) time.Duration {
	if len(r.latency) == 0 {
		return 0
	}
	return r.latency[int(q*float64(len(r.latency)-1))].Round(10 * time.Microsecond)
}
