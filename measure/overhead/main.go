// Command overhead measures the latency that the router adds to the first token. It alternates calls
// through one VM with direct calls to the same engines.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

type command struct {
	Calls int    `help:"Number of calls through the router, and of direct calls." default:"1000"`
	Log   string `help:"Log level of the daemon." default:"info"`
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Measures the latency that the router adds to the first token."))
	k.FatalIfErrorf(c.run(context.Background()))
}

const (
	// answerTokens is the number of tokens of each answer.
	answerTokens = 2
	// engineGap and enginePrefillRate keep the latency of the engines, and its variance, small compared
	// with that of the router.
	engineGap         = 200 * time.Microsecond
	enginePrefillRate = 1_000_000
)

func (c *command) run(ctx context.Context) error {
	layout := fleet.Partilha()
	layout.DataCentres = []fleet.DataCentre{{Name: "lisboa-a", VMs: 1, Prefill: 1, Decode: 1}}
	layout.Delay = 0
	f, err := fleet.Start(ctx, fleet.Options{
		Layout: layout, LogLevel: c.Log,
		AdjustEngine: func(_ string, o *engine.Options) {
			o.GapBase, o.GapPerSlot = engineGap, 0
			o.PrefillTokensPerSecond = enginePrefillRate
		},
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	client := experiment.Client{HTTP: experiment.NewHTTPClient(), Model: layout.ModelName, Secret: fleet.Secret, ExpectedToken: engine.TokenOfTag}
	daemon := f.Daemons()[0]
	direct, routed := hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
	dialer := endpoint.NewHTTPDialer()
	begin := time.Now()
	for i := range c.Calls {
		tag := fmt.Sprintf("overhead-%d", i)
		call := experiment.Call{
			Workspace: layout.Workspaces[0].Name, Kind: experiment.Chat, Tag: tag,
			Prompt: fmt.Sprintf("{tag:%s}{stop:%d}", tag, answerTokens), MaxTokens: answerTokens, StopAt: answerTokens,
		}
		o := client.Do(ctx, begin, experiment.Target{VM: daemon.VM, Address: daemon.Callers}, call)
		if !o.Complete {
			return fmt.Errorf("call %d through the router: %+v", i, o)
		}
		latency, err := callDirect(ctx, dialer, f, i, call)
		if err != nil {
			return err
		}
		if i < c.Calls/10 {
			continue // warm-up of connections and caches
		}
		_ = routed.RecordValue(int64(o.FirstTokenAt - o.SentAt))
		_ = direct.RecordValue(int64(latency))
	}
	printLatency("direct", direct)
	printLatency("routed", routed)
	for _, q := range []float64{50, 99} {
		added := time.Duration(routed.ValueAtQuantile(q) - direct.ValueAtQuantile(q))
		fmt.Printf("added p%.0f: %s\n", q, added)
	}
	return nil
}

func printLatency(name string, h *hdrhistogram.Histogram) {
	fmt.Printf("%s first token: n=%d p50=%s p99=%s\n", name, h.TotalCount(), time.Duration(h.ValueAtQuantile(50)), time.Duration(h.ValueAtQuantile(99)))
}

// callDirect sends a call directly to the engines and returns the time to its first token.
func callDirect(ctx context.Context, dialer endpoint.Dialer, f *fleet.Fleet, i int, call experiment.Call) (time.Duration, error) {
	source, err := address(f, "lisboa-a-prefill1")
	if err != nil {
		return 0, err
	}
	target, err := address(f, "lisboa-a-decode1")
	if err != nil {
		return 0, err
	}
	attempt := endpoint.Attempt{RequestID: fmt.Sprintf("r.direct.1.%d", i), Number: 1}
	begin := time.Now()
	prefill, err := dialer.Engine(source).Prefill(ctx, endpoint.PrefillRequest{
		Attempt: attempt, Model: "summary", Prompt: "<user>" + call.Prompt + "\n", Tokens: call.PromptTokens(),
	})
	if err != nil {
		return 0, err
	}
	stream, err := dialer.Engine(target).Decode(ctx, endpoint.DecodeRequest{
		Attempt: attempt, Model: "summary", Source: source, Handle: prefill.Handle, MaxTokens: answerTokens,
	})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	latency := time.Duration(0)
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			return 0, err
		}
		if frame.Text != "" && latency == 0 {
			latency = time.Since(begin)
		}
		if frame.Done {
			return latency, nil
		}
	}
}

func address(f *fleet.Fleet, name string) (netip.AddrPort, error) {
	return netip.ParseAddrPort(f.Document.Endpoints[name].Address)
}
