// Command demo starts a fleet of daemon processes with stand-in engines and services, sends chat
// completions to it, prints one answer and a summary, and stops the fleet.
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
	Layout   string        `help:"Layout of the fleet: partilha or hinokuni." enum:"partilha,hinokuni" default:"partilha"`
	Requests int           `help:"Number of chat completions." default:"120"`
	Rate     float64       `help:"Requests per second." default:"20"`
	Settle   time.Duration `help:"Maximum wait for engines to release their memory." default:"5s"`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Runs a fleet with stand-in engines and shows that it answers."))
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
	outcomes := c.sendRequests(ctx, f, layout)
	settle, cancel := context.WithTimeout(ctx, c.Settle)
	defer cancel()
	releaseErr := f.AwaitFreed(settle)
	summaryErr := summarize(outcomes)
	if releaseErr == nil {
		fmt.Println("engine memory held after the last answer: 0")
	}
	stopErr := f.Stop()
	if stopErr == nil {
		fmt.Println("all daemons stopped with exit code 0")
	}
	return errors.Join(summaryErr, releaseErr, stopErr)
}

const answerTokens = 24

// sendRequests sends chat completions to the VMs in turn and waits for all answers.
func (c *command) sendRequests(ctx context.Context, f *fleet.Fleet, layout fleet.Layout) []experiment.Outcome {
	client := experiment.Client{
		HTTP: experiment.NewHTTPClient(), Model: layout.ModelName, Secret: fleet.Secret, ExpectedToken: engine.TokenOfTag,
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
			Workspace: w.Name, Kind: experiment.Chat, Tag: tag, MaxTokens: answerTokens, StopAt: answerTokens,
			Prompt: "Summarise this stock sheet. {tag:" + tag + "}" + strings.Repeat(" 12 loaves of rye bread,", 20),
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = client.Do(ctx, start, experiment.Target{VM: d.VM, Address: d.Callers}, call)
		}()
	}
	wg.Wait()
	return out
}

func summarize(outcomes []experiment.Outcome) error {
	var latencies []time.Duration
	var failed []experiment.Outcome
	for _, o := range outcomes {
		if o.Complete {
			latencies = append(latencies, o.FirstTokenAt-o.SentAt)
		} else {
			failed = append(failed, o)
		}
	}
	for _, o := range outcomes {
		if o.Complete {
			fmt.Printf("answer to %s through %s:\n  ", o.RequestID, o.VM)
			for i := range o.Tokens {
				fmt.Print(engine.TokenOfTag(o.Call.Tag, i))
			}
			fmt.Println()
			break
		}
	}
	fmt.Printf("requests: %d, complete answers: %d\n", len(outcomes), len(latencies))
	if len(latencies) > 0 {
		slices.Sort(latencies)
		fmt.Printf("time to first token: p50 %s, p95 %s\n", latencies[len(latencies)/2], latencies[len(latencies)*95/100])
	}
	if len(failed) == 0 {
		return nil
	}
	return fmt.Errorf("%d requests without a complete answer, the first: %s through %s: %s %s %s",
		len(failed), failed[0].RequestID, failed[0].VM, failed[0].Kind, failed[0].Message, failed[0].Corrupt)
}
