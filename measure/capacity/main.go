// Command capacity measures the resource usage of a daemon as the fleet or its load grows: CPU time,
// memory and traffic between VMs, each with its slope. The daemons are separate processes that
// communicate over loopback.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

type command struct {
	Axis    string        `arg:"" enum:"vms,endpoints,workspaces,requests,tokens" help:"Quantity to vary: vms, endpoints, workspaces, requests or tokens."`
	Values  []int         `arg:"" help:"Values of the quantity, such as 1 6 24."`
	Settle  time.Duration `help:"Time before the measurement." default:"4s"`
	Measure time.Duration `help:"Duration of the measurement." default:"10s"`
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Measures the resource usage of a daemon as the fleet grows."))
	k.FatalIfErrorf(c.run(context.Background()))
}

// row contains the results of one run, as means per daemon unless noted otherwise.
type row struct {
	value   int
	cpu     float64 // % of a core
	rssMiB  float64
	kinds   map[string]float64 // bytes sent to and received from other VMs by kind of message, B/s
	calls   float64            // platform calls of the fleet, 1/s
	answers int                // completed calls of the fleet
}

func (r row) bytes() float64 {
	sum := 0.0
	for _, b := range r.kinds {
		sum += b
	}
	return sum
}

// rates returns the differences of two sets of counters divided by divisor, rounded and without zeros.
func rates(before, after map[string]float64, divisor float64) map[string]float64 {
	out := map[string]float64{}
	for kind, b := range after {
		if rate := math.Round((b - before[kind]) / divisor); rate > 0 {
			out[kind] = rate
		}
	}
	return out
}

func (c *command) run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "fulmartide-capacity-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary, err := fleet.Build(ctx, dir, false)
	if err != nil {
		return err
	}
	fmt.Printf("%-12s %10s %10s %12s %14s %8s\n", c.Axis, "cpu %", "rss MiB", "peer B/s", "platform 1/s", "answers")
	var rows []row
	for _, v := range c.Values {
		r, err := c.measure(ctx, filepath.Clean(binary), v)
		if err != nil {
			return err
		}
		fmt.Printf("%-12d %10.2f %10.1f %12.0f %14.1f %8d\n", r.value, r.cpu, r.rssMiB, r.bytes(), r.calls, r.answers)
		fmt.Printf("  B/s by kind of message: %v\n", r.kinds)
		rows = append(rows, r)
	}
	fmt.Printf("slope per %s: cpu %.4f %%, rss %.4f MiB, peer %.2f B/s, platform %.3f 1/s\n", c.Axis,
		slope(rows, func(r row) float64 { return r.cpu }), slope(rows, func(r row) float64 { return r.rssMiB }),
		slope(rows, func(r row) float64 { return r.bytes() }), slope(rows, func(r row) float64 { return r.calls }))
	return nil
}

// slope returns the least-squares slope of a figure over the values.
func slope(rows []row, figure func(row) float64) float64 {
	var sx, sy, sxx, sxy float64
	for _, r := range rows {
		x, y := float64(r.value), figure(r)
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	n := float64(len(rows))
	if d := n*sxx - sx*sx; d != 0 {
		return (n*sxy - sx*sy) / d
	}
	return 0
}

// load is the load that callers offer to the fleet: chats per second, and tokens per answer.
type load struct {
	perSecond float64
	tokens    int64
}

// scenario returns the layout and the load of the run for value v.
func (c *command) scenario(v int) (fleet.Layout, load) {
	l := fleet.Partilha()
	l.OneWayDelay = 0
	var offered load
	switch c.Axis {
	case "vms":
		l.DataCentres = []fleet.DataCentre{{Name: "lisboa-a", VMs: v, Prefill: 1, Decode: 1, Services: 1}}
	case "endpoints":
		// Each of the four data centres gets a quarter of the engines: one third of them for prefill, two
		// thirds for decode.
		for i := range l.DataCentres {
			l.DataCentres[i].Prefill, l.DataCentres[i].Decode = v/12, v/6
		}
	case "workspaces":
		l.Workspaces = nil
		for i := range v {
			l.Workspaces = append(l.Workspaces, fleet.Workspace{Name: fmt.Sprintf("workspace-%04d", i), Plan: "large"})
		}
	case "requests":
		offered = load{perSecond: float64(v), tokens: 4}
	case "tokens":
		offered = load{perSecond: 20, tokens: int64(v)}
	}
	return l, offered
}

func (c *command) measure(ctx context.Context, binary string, v int) (row, error) {
	l, offered := c.scenario(v)
	f, err := fleet.Start(ctx, fleet.Options{
		Layout: l, Binary: binary,
		AdjustEngine: func(_ string, o *engine.Options) { o.GapBase, o.GapPerSlot = time.Millisecond, 0 },
		AdjustDocument: func(d *configuration.Document) {
			for name, p := range d.Plans {
				p.TokensPerSecond, p.BurstTokens = 10_000_000, 40_000_000
				d.Plans[name] = p
			}
		},
	})
	if err != nil {
		return row{}, err
	}
	stop, answers := drive(ctx, f, l, offered)
	time.Sleep(c.Settle)
	before, err := sumUsage(f)
	if err != nil {
		return row{}, err
	}
	startAnswers := answers()
	time.Sleep(c.Measure)
	after, err := sumUsage(f)
	if err != nil {
		return row{}, err
	}
	got := answers() - startAnswers
	stop()
	n, seconds := float64(len(f.Daemons())), after.at.Sub(before.at).Seconds()
	return row{
		value:   v,
		cpu:     100 * (after.cpu - before.cpu) / seconds / n,
		rssMiB:  after.rss / n / (1 << 20),
		kinds:   rates(before.kinds, after.kinds, seconds*n),
		calls:   (after.calls - before.calls) / seconds,
		answers: got,
	}, f.Stop()
}

// drive sends chats to the VMs in turn until stop is called. answers returns the number of completed
// chats.
func drive(ctx context.Context, f *fleet.Fleet, l fleet.Layout, offered load) (stop func(), answers func() int) {
	if offered.perSecond == 0 {
		return func() {}, func() int { return 0 }
	}
	ctx, cancel := context.WithCancel(ctx)
	client := experiment.Client{HTTP: experiment.NewHTTPClient(), Model: l.ModelName, Secret: fleet.Secret, ExpectedToken: engine.TokenForTag}
	var mu sync.Mutex
	completed := 0
	var wg sync.WaitGroup
	vms := f.Daemons()
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / offered.perSecond))
		defer tick.Stop()
		for i := 0; ctx.Err() == nil; i++ {
			<-tick.C
			d := vms[i%len(vms)]
			tag := fmt.Sprintf("capacity-%d", i)
			call := experiment.Call{
				Workspace: l.Workspaces[i%len(l.Workspaces)].Name, Kind: experiment.Chat, Tag: tag,
				Prompt: fmt.Sprintf("{tag:%s}{stop:%d}", tag, offered.tokens), MaxTokens: offered.tokens, StopAt: offered.tokens,
			}
			wg.Go(func() {
				if client.Do(ctx, time.Now(), experiment.Target{VM: d.VM, Address: d.Callers}, call).Complete {
					mu.Lock()
					completed++
					mu.Unlock()
				}
			})
		}
	})
	return func() { cancel(); wg.Wait() }, func() int {
		mu.Lock()
		defer mu.Unlock()
		return completed
	}
}

// usageTotals contains the counters of all daemons, added up, at one time.
type usageTotals struct {
	at              time.Time
	cpu, rss, calls float64
	kinds           map[string]float64 // bytes by kind of message
}

func sumUsage(f *fleet.Fleet) (usageTotals, error) {
	out := usageTotals{at: time.Now(), kinds: map[string]float64{}}
	for _, d := range f.Daemons() {
		cpu, rss, err := processUsage(d.PID())
		if err != nil {
			return out, err
		}
		if err := peerBytes(d, out.kinds); err != nil {
			return out, err
		}
		out.cpu += cpu
		out.rss += rss
	}
	for _, n := range f.Platform.Stats().Calls {
		out.calls += float64(n)
	}
	return out, nil
}
