// Command warmup measures the first calls of a replaced VM, with and without opening
// connections before the VM says ready, in turns.
package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

type command struct {
	Rounds int `help:"Replacements of each kind." default:"20"`
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Measure the first calls of a replaced VM."))
	k.FatalIfErrorf(c.run(context.Background()))
}

const (
	vm = "lisboa-a-vm2"
	// calls is the number of calls to each new process.
	calls  = 10
	tokens = 2
)

// sample holds, for each call in order after ready, the first-token times over the rounds.
type sample struct {
	name  string
	ready []time.Duration
	times [calls][]time.Duration
}

func (c *command) run(ctx context.Context) error {
	samples := []*sample{{name: "cold"}, {name: "warm"}}
	for i, s := range samples {
		if err := c.measure(ctx, s, i == 0); err != nil {
			return err
		}
	}
	for _, s := range samples {
		fmt.Printf("%s: ready after p50 %s\n", s.name, median(s.ready).Round(time.Millisecond))
		for _, n := range []int{0, 1, 2, calls - 1} {
			fmt.Printf("  call %2d: first token p50 %s, worst %s\n", n+1, median(s.times[n]).Round(10*time.Microsecond), slices.Max(s.times[n]).Round(10*time.Microsecond))
		}
	}
	return nil
}

func median(d []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(d))
	return sorted[len(sorted)/2]
}

func (c *command) measure(ctx context.Context, s *sample, cold bool) error {
	layout := fleet.Partilha()
	f, err := fleet.Start(ctx, fleet.Options{Layout: layout, ListLag: 200 * time.Millisecond, Cold: cold})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	begin := time.Now()
	for round := range c.Rounds {
		if err := f.Kill(vm); err != nil {
			return err
		}
		replaced := time.Now()
		if err := f.Replace(ctx, vm); err != nil {
			return err
		}
		s.ready = append(s.ready, time.Since(replaced))
		client := experiment.Client{HTTP: experiment.NewHTTPClient(), Model: layout.ModelName, Secret: fleet.Secret, Token: engine.TokenOfTag}
		for n := range calls {
			tag := fmt.Sprintf("warm-%t-%d-%d", cold, round, n)
			o := client.Do(ctx, begin, experiment.Target{VM: vm, Callers: f.Daemon(vm).Callers}, experiment.Call{
				Workspace: layout.Workspaces[0].Name, Kind: experiment.Chat, Tag: tag,
				Prompt: fmt.Sprintf("{tag:%s}{stop:%d}", tag, tokens), MaxTokens: tokens, StopAt: tokens,
			})
			if !o.Whole {
				fmt.Printf("%s round %d call %d: %s %s\n", s.name, round, n+1, o.Kind, o.Message)
				continue
			}
			s.times[n] = append(s.times[n], o.FirstToken-o.Sent)
		}
	}
	return nil
}
