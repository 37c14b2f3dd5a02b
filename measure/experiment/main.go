// Command experiment runs fleets of daemon processes under the load and faults that an experiment file
// specifies, compares policies over several seeds, and writes the results as JSON, text and plots.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
)

type command struct {
	Spec    string    `arg:"" type:"existingfile" help:"Experiment file (TOML)."`
	Out     string    `help:"Directory for the result files." default:"out"`
	Binary  string    `help:"Path of a fulmartided binary. If empty, the binary is built." type:"existingfile" optional:""`
	Seeds   []uint64  `help:"Seeds that replace those of the experiment file."`
	Loads   []float64 `help:"Loads that replace those of the experiment file."`
	Logs    string    `help:"Directory for the logs of the daemons. If empty, they are not kept."`
	Verbose bool      `help:"Print examples of failed calls."`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Measures fleets of daemons under load and faults."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func (c *command) run(ctx context.Context) error {
	spec, err := experiment.LoadSpec(c.Spec)
	if err != nil {
		return err
	}
	if len(c.Seeds) > 0 {
		spec.Seeds = c.Seeds
	}
	if len(c.Loads) > 0 {
		spec.Loads = c.Loads
	}
	layout, ok := fleet.Layouts()[spec.Layout]
	if !ok {
		return fmt.Errorf("unknown layout %q: use partilha or hinokuni", spec.Layout)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	binary := c.Binary
	if binary == "" {
		dir, err := os.MkdirTemp("", "fulmartide-build-")
		if err != nil {
			return err
		}
		defer os.RemoveAll(dir)
		if binary, err = fleet.Build(ctx, dir, false); err != nil {
			return err
		}
	}
	var reports []experiment.Report
	for _, load := range spec.Loads {
		for _, seed := range spec.Seeds {
			for _, policy := range spec.Policies {
				r := run{spec: spec, layout: layout, policy: policy, load: load, seed: seed, binary: binary, logs: c.Logs, verbose: c.Verbose}
				report, err := r.execute(ctx)
				if err != nil {
					return fmt.Errorf("policy %s, load %g, seed %d: %w", policy.Name, load, seed, err)
				}
				reports = append(reports, report)
				fmt.Fprintf(os.Stderr, "%s load %.2f seed %d: goodput %.4f, wasted prefill %.4f, worst workspace %.4f, wrongful refusals %d, audit clean %v\n",
					policy.Name, load, seed, report.Goodput, report.WastedPrefill, report.WorstWorkspaceGoodput, report.WrongfulRefusals, report.Audit.Clean())
			}
		}
	}
	return c.writeResults(spec, reports)
}

// result is the content of the JSON result file.
type result struct {
	Spec    experiment.Spec     `json:"spec"`
	Reports []experiment.Report `json:"reports"`
}

func (c *command) writeResults(spec experiment.Spec, reports []experiment.Report) error {
	raw, err := json.MarshalIndent(result{spec, reports}, "", "  ")
	if err != nil {
		return err
	}
	base := filepath.Join(c.Out, spec.Name)
	if err := os.WriteFile(base+".json", raw, 0o644); err != nil {
		return err
	}
	text, err := os.Create(base + ".txt")
	if err != nil {
		return err
	}
	defer text.Close()
	if err := experiment.WriteText(io.MultiWriter(os.Stdout, text), spec, reports); err != nil {
		return err
	}
	files, err := experiment.SavePlots(c.Out, spec, reports)
	if err != nil {
		return err
	}
	fmt.Printf("\nwrote %s.json, %s.txt and %d plots\n", base, base, len(files))
	return nil
}
