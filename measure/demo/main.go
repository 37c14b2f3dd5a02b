// Command demo starts a fleet of real daemons with stand-ins, sends client traffic through
// it, prints one answer and a summary, and stops everything.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

type command struct {
	Layout   string        `help:"partilha or hinokuni." enum:"partilha,hinokuni" default:"partilha"`
	Requests int           `help:"Number of chat completions." default:"120"`
	Rate     float64       `help:"Requests a second." default:"20"`
	Settle   time.Duration `help:"Longest wait for engines to free their memory." default:"5s"`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Run a fleet with stand-ins, and show that it answers."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func (c *command) run(ctx context.Context) error {
	layout := fleet.Layouts()[c.Layout]
	fmt.Printf("starting fleet %s: building the daemon, then %d data centres\n", layout.Name, len(layout.DataCentres))
	f, err := fleet.Start(ctx, fleet.Options{Layout: layout})
	if err != nil {
		return err
	}
	fmt.Printf("ready: %d daemons, %d engines, %d service replicas\n", len(f.Daemons()), len(f.Engines), len(f.Services))
	outcomes := c.send(ctx, f, layout)
	settle, cancel := context.WithTimeout(ctx, c.Settle)
	defer cancel()
	held := f.AwaitNoAllocations(settle)
	summaryErr := summarize(outcomes)
	if held == nil {
		fmt.Println("engine memory held after the last answer: 0")
	}
	stopErr := f.Stop()
	if stopErr == nil {
		fmt.Println("all daemons stopped with exit code 0")
	}
	return errors.Join(summaryErr, held, stopErr)
}

const demoTokens = 24

// send calls every VM in turn.
func (c *command) send(ctx context.Context, f *fleet.Fleet, layout fleet.Layout) []experiment.Outcome {
	client := experiment.Client{
		HTTP: experiment.NewHTTPClient(), Model: layout.ModelName, Secret: fleet.Secret, Token: engine.TokenForTag,
	}
	defer client.HTTP.CloseIdleConnections()
	daemons := f.Daemons()
	start := time.Now()
	out := make([]experiment.Outcome, c.Requests)
	var wg sync.WaitGroup
	for i := range out {
		time.Sleep(time.Duration(rand.ExpFloat64() / c.Rate * float64(time.Second)))
		d := daemons[i%len(daemons)]
		w := layout.Workspaces[i%len(layout.Workspaces)]
		tag := fmt.Sprintf("demo-%d", i)
		call := experiment.Call{
			Workspace: w.Name, Kind: experiment.Chat, Tag: tag, MaxTokens: demoTokens, StopAt: demoTokens,
			Prompt: "Summarise this stock sheet. {tag:" + tag + "}" + strings.Repeat(" 12 loaves of rye bread,", 20),
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = client.Do(ctx, start, experiment.Target{VM: d.VM, Callers: d.Callers}, call)
		}()
	}
	wg.Wait()
	return out
}

func summarize(outcomes []experiment.Outcome) error {
	var first []time.Duration
	var bad []experiment.Outcome
	for _, o := range outcomes {
		if o.Whole {
			first = append(first, o.FirstToken-o.Sent)
		} else {
			bad = append(bad, o)
		}
	}
	for _, o := range outcomes {
		if o.Whole {
			fmt.Printf("answer to %s through %s:\n  ", o.RequestID, o.VM)
			for i := range o.Tokens {
				fmt.Print(engine.TokenForTag(o.Call.Tag, i))
			}
			fmt.Println()
			break
		}
	}
	fmt.Printf("requests: %d, whole answers: %d\n", len(outcomes), len(first))
	if len(first) > 0 {
		slices.Sort(first)
		fmt.Printf("time to first token: p50 %s, p95 %s\n", first[len(first)/2], first[len(first)*95/100])
	}
	if len(bad) == 0 {
		return nil
	}
	return fmt.Errorf("%d requests without a whole answer; the first: %s through %s: %s %s %s",
		len(bad), bad[0].RequestID, bad[0].VM, bad[0].Kind, bad[0].Message, bad[0].Corrupt)
}
