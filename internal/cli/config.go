package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/operator/api"
)

type configCommands struct {
	Check   checkCommand   `cmd:"" help:"Check a configuration file, without calling a VM."`
	Show    showCommand    `cmd:"" help:"Show the current configuration."`
	Diff    diffCommand    `cmd:"" help:"Show the changes that a file would make."`
	Apply   applyCommand   `cmd:"" help:"Apply a configuration file."`
	History historyCommand `cmd:"" help:"List the latest changes."`
}

type checkCommand struct {
	File string `arg:"" help:"TOML file, or - for standard input."`
}

// Run validates the file and prints all errors.
func (c checkCommand) Run(s *session) error {
	_, fileErrors, err := loadDocument(c.File, s.In)
	if err != nil {
		return err
	}
	if len(fileErrors) == 0 {
		return s.print(errorList{[]fileError{}}, func(w io.Writer) { fmt.Fprintf(w, "%s: no faults\n", c.File) })
	}
	return s.printFileErrors(fileErrors)
}

type errorList struct {
	Faults []fileError `json:"faults"`
}

func (s *session) printFileErrors(fileErrors []fileError) error {
	if s.json {
		if err := s.print(errorList{fileErrors}, nil); err != nil {
			return err
		}
	}
	for _, f := range fileErrors {
		fmt.Fprintln(s.Err, f)
	}
	fmt.Fprintf(s.Err, "fulmartide: malformed: %d faults\nremedy: correct them all and check the file again\n", len(fileErrors))
	return exitCode(ExitError)
}

// loadValid reads a file and fails if it is invalid, after printing its errors.
func (s *session) loadValid(path string) (configuration.Document, error) {
	doc, fileErrors, err := loadDocument(path, s.In)
	if err == nil && len(fileErrors) > 0 {
		err = s.printFileErrors(fileErrors)
	}
	return doc, err
}

type showCommand struct{}

// Run prints the current configuration as TOML that the apply command accepts.
func (showCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	resp, err := s.client.Configuration(s.ctx)
	if err != nil {
		return err
	}
	raw, err := toml.Marshal(resp.Document)
	if err != nil {
		return err
	}
	if s.json {
		return s.print(resp, nil)
	}
	_, err = fmt.Fprintf(s.Out, "# version %d, in force since %s\n%s", resp.Version, resp.AdoptedAt.UTC().Format(time.RFC3339), raw)
	return err
}

type diffCommand struct {
	File string `arg:"" help:"TOML file, or - for standard input."`
}

// diffResult is the JSON output of the diff command.
type diffResult struct {
	Version configuration.Version  `json:"version"`
	Changes []configuration.Change `json:"changes"`
}

// Run prints the objects that the file would add, remove or change.
func (c diffCommand) Run(s *session) error {
	_, d, err := s.loadAndDiff(c.File)
	if err != nil {
		return err
	}
	return s.print(d, func(w io.Writer) {
		fmt.Fprintf(w, "against version %d:\n", d.Version)
		writeChanges(w, d.Changes)
	})
}

// loadAndDiff reads a file and compares it with a VM's current configuration.
func (s *session) loadAndDiff(file string) (configuration.Document, diffResult, error) {
	if err := s.requireVM(); err != nil {
		return configuration.Document{}, diffResult{}, err
	}
	doc, err := s.loadValid(file)
	if err != nil {
		return doc, diffResult{}, err
	}
	d, err := s.diff(doc)
	return doc, d, err
}

func (s *session) diff(doc configuration.Document) (diffResult, error) {
	resp, err := s.client.Configuration(s.ctx)
	if err != nil {
		return diffResult{}, err
	}
	changes, err := configuration.Diff(normalizeForDiff(resp.Document), doc)
	if changes == nil {
		changes = []configuration.Change{}
	}
	return diffResult{resp.Version, changes}, err
}

type applyCommand struct {
	File      string        `arg:"" help:"TOML file, or - for standard input."`
	IfVersion *uint64       `help:"Apply only if this is the current version. Default: the version that is current when the command starts." placeholder:"VERSION"`
	Wait      time.Duration `help:"Maximum time to wait for all VMs to confirm; 0 does not wait." default:"10s"`
}

// applyResult is the JSON output of the apply command. Confirmed is true if all VMs have confirmed the
// version, or if there was nothing to change, in which case no VM is queried.
type applyResult struct {
	Version     configuration.Version        `json:"version"`
	Changes     []configuration.Change       `json:"changes"`
	DataCentres []configuration.Confirmation `json:"data_centres,omitempty"`
	Confirmed   bool                         `json:"confirmed"`
}

// Run applies the file and waits until all VMs have confirmed the version. If the file contains no
// change, Run does neither.
func (c applyCommand) Run(s *session) error {
	doc, d, err := s.loadAndDiff(c.File)
	if err != nil {
		return err
	}
	base := d.Version
	if c.IfVersion != nil {
		base = configuration.Version(*c.IfVersion)
	}
	if len(d.Changes) == 0 && base == d.Version {
		return s.print(applyResult{d.Version, d.Changes, nil, true}, func(w io.Writer) { fmt.Fprintf(w, "version %d: nothing to change\n", d.Version) })
	}
	applied, err := s.client.Apply(s.ctx, api.ApplyRequest{Document: doc, IfVersion: base})
	if err != nil {
		return err
	}
	return c.confirm(s, applyResult{Version: applied.Version, Changes: d.Changes})
}

// confirm waits for the VMs to confirm the version and prints the result.
func (c applyCommand) confirm(s *session, r applyResult) error {
	var err error
	if c.Wait > 0 {
		r.DataCentres, err = s.awaitVersion(r.Version, c.Wait)
	}
	r.Confirmed = err == nil && c.Wait > 0 && allConfirmed(r.DataCentres, r.Version)
	if err != nil {
		fmt.Fprintf(s.Err, "fulmartide: version %d is accepted, but querying the VMs failed: %v\nremedy: run fulmartide status to see the version of a VM\n", r.Version, err)
	}
	if err := s.print(r, func(w io.Writer) { writeApplyResult(w, r) }); err != nil {
		return err
	}
	if c.Wait > 0 && !r.Confirmed {
		return exitCode(ExitPartial)
	}
	return nil
}

// confirmPollInterval is the time between queries for confirmations.
const confirmPollInterval = 250 * time.Millisecond

// awaitVersion polls until every VM has the version or limit has passed.
func (s *session) awaitVersion(version configuration.Version, limit time.Duration) ([]configuration.Confirmation, error) {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	var last []configuration.Confirmation
	for {
		resp, err := s.client.Confirmations(ctx)
		if err == nil {
			last = resp.DataCentres
		}
		if allConfirmed(last, version) {
			return last, nil
		}
		select {
		case <-ctx.Done():
			if last == nil {
				return nil, err
			}
			return last, nil
		case <-time.After(confirmPollInterval):
		}
	}
}

// allConfirmed reports whether every VM of every data centre has the version.
func allConfirmed(all []configuration.Confirmation, version configuration.Version) bool {
	incomplete := slices.ContainsFunc(all, func(c configuration.Confirmation) bool { return !api.AllConfirmed(c, version) })
	return len(all) > 0 && !incomplete
}

func writeApplyResult(w io.Writer, r applyResult) {
	fmt.Fprintf(w, "version %d accepted, %d objects changed\n", r.Version, len(r.Changes))
	for _, c := range r.DataCentres {
		fmt.Fprintf(w, "%s\t%s\n", c.DataCentre, describeConfirmation(c, r.Version))
	}
}

// describeConfirmation returns how many VMs of a data centre have the version, and names the others.
func describeConfirmation(c configuration.Confirmation, version configuration.Version) string {
	if len(c.VMs) == 0 {
		return "not confirmed: no VM of this data centre is known"
	}
	text := fmt.Sprintf("%d of %d VMs confirmed", api.CountConfirmed(c, version), len(c.VMs))
	for _, v := range c.VMs {
		switch {
		case !v.Answered:
			text += ", " + v.VM.Name + " did not answer"
		case v.Version < version:
			text += fmt.Sprintf(", %s is at %d", v.VM.Name, v.Version)
		}
	}
	return text
}

type historyCommand struct{}

// Run lists the latest changes, oldest first.
func (historyCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	resp, err := s.client.History(s.ctx)
	if err != nil {
		return err
	}
	return s.print(resp, func(w io.Writer) {
		writeRow(w, "REPLACED", "AT", "BY", "CHANGED", "OBJECTS")
		for _, r := range resp.Revisions {
			writeRow(w, r.Base, r.AppliedAt.UTC().Format(time.RFC3339), r.AppliedBy, r.ChangedCount, joinNames(r.Objects))
		}
	})
}
