package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/fulmartide/fulmartide/internal/operator/api"
)

type statusCommand struct{}

// Run prints the responding VM, its members and the shares that it owns.
func (statusCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	resp, err := s.client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.print(resp, func(w io.Writer) { writeStatus(w, resp) })
}

func writeStatus(w io.Writer, r api.StatusResponse) {
	writeRow(w, "vm", r.VM)
	writeRow(w, "data centre", r.DataCentre)
	writeRow(w, "region", r.Region)
	writeRow(w, "configuration", r.Configuration)
	fmt.Fprintln(w)
	writeRow(w, "VM", "DATA CENTRE", "REGION", "PEER", "STATE")
	for _, m := range r.Members {
		writeRow(w, m.VM, m.DataCentre, m.Region, m.Peer, m.State)
	}
	if len(r.Shares) == 0 {
		return
	}
	fmt.Fprintln(w)
	writeRow(w, "WORKSPACE", "DATA CENTRE", "TOKENS/S", "BURST", "BALANCE", "RESERVATIONS")
	for _, sh := range r.Shares {
		writeRow(w, sh.Workspace, sh.DataCentre, sh.Rate, sh.Burst, sh.Balance, sh.Held)
	}
}

type endpointCommands struct {
	List  endpointListCommand `cmd:"" help:"List the endpoints with their load."`
	Drain drainCommand        `cmd:"" help:"Stop sending new work to an endpoint."`
}

type endpointListCommand struct{}

// Run lists the endpoints. It exits with ExitPartial if VMs did not report their load.
func (endpointListCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	resp, err := s.client.Endpoints(s.ctx)
	if err != nil {
		return err
	}
	err = s.print(resp, func(w io.Writer) {
		writeRow(w, "ENDPOINT", "ROLE", "DATA CENTRE", "ADDRESS", "SERVES", "SLOTS", "RUNNING", "QUEUED", "STATE")
		for _, e := range resp.Endpoints {
			writeEndpoint(w, e)
		}
	})
	if err == nil && len(resp.Unresponsive) > 0 {
		fmt.Fprintf(s.Err, "fulmartide: load data is incomplete because these VMs did not answer: %s\n", joinNames(resp.Unresponsive))
		return exitCode(ExitPartial)
	}
	return err
}

func writeEndpoint(w io.Writer, e api.Endpoint) {
	state, running, queued := "known", "-", "-"
	if e.Load != nil {
		running, queued = fmt.Sprint(e.Load.Running), fmt.Sprint(e.Load.Queued)
		state = e.Load.State
	}
	if e.Leaving {
		state = "leaving"
	}
	writeRow(w, e.Name, e.Role, e.DataCentre, e.Address, e.Model+e.Service, e.Slots, running, queued, state)
}

type drainCommand struct {
	Name string        `arg:"" help:"Name of the endpoint, as shown by endpoint list."`
	Undo bool          `help:"Resume sending new work to the endpoint."`
	Wait time.Duration `help:"Maximum time to wait for all VMs to confirm; 0 does not wait." default:"10s"`
}

// Run marks the endpoint as leaving, or clears the mark, and waits until all VMs have confirmed it.
func (c drainCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	resp, err := s.client.Drain(s.ctx, api.DrainRequest{Endpoint: c.Name, Undo: c.Undo})
	if err != nil {
		return err
	}
	confirmed := false
	if c.Wait > 0 {
		all, _ := s.awaitVersion(resp.Version, c.Wait)
		confirmed = allConfirmed(all, resp.Version)
	}
	err = s.print(resp, func(w io.Writer) {
		writeRow(w, "endpoint", resp.Endpoint)
		writeRow(w, "leaving", yesNo(resp.Leaving))
		writeRow(w, "version", resp.Version)
		if c.Wait > 0 {
			writeRow(w, "confirmed by all VMs", yesNo(confirmed))
		}
	})
	if err == nil && c.Wait > 0 && !confirmed {
		return exitCode(ExitPartial)
	}
	return err
}
