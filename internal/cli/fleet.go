package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/fulmartide/fulmartide/internal/operator/api"
)

type statusCommand struct{}

// Run shows the answering VM, its members and the shares that it holds.
func (statusCommand) Run(s *session) error {
	if err := s.need(); err != nil {
		return err
	}
	resp, err := s.client.Status(s.ctx)
	if err != nil {
		return err
	}
	return s.print(resp, func(w io.Writer) { writeStatus(w, resp) })
}

func writeStatus(w io.Writer, r api.StatusResponse) {
	row(w, "vm", r.VM)
	row(w, "data centre", r.DataCentre)
	row(w, "region", r.Region)
	row(w, "configuration", r.Configuration)
	fmt.Fprintln(w)
	row(w, "VM", "DATA CENTRE", "REGION", "PEER", "STATE")
	for _, m := range r.Members {
		row(w, m.VM, m.DataCentre, m.Region, m.Peer, m.State)
	}
	if len(r.Shares) == 0 {
		return
	}
	fmt.Fprintln(w)
	row(w, "WORKSPACE", "DATA CENTRE", "TOKENS/S", "BURST", "BALANCE", "RESERVATIONS")
	for _, sh := range r.Shares {
		row(w, sh.Workspace, sh.DataCentre, sh.Rate, sh.Burst, sh.Balance, sh.Held)
	}
}

type endpointCommands struct {
	List  endpointListCommand `cmd:"" help:"List the endpoints with their load."`
	Drain drainCommand        `cmd:"" help:"Give an endpoint no new work."`
}

type endpointListCommand struct{}

// Run lists the endpoints.
func (endpointListCommand) Run(s *session) error {
	if err := s.need(); err != nil {
		return err
	}
	resp, err := s.client.Endpoints(s.ctx)
	if err != nil {
		return err
	}
	err = s.print(resp, func(w io.Writer) {
		row(w, "ENDPOINT", "ROLE", "DATA CENTRE", "ADDRESS", "SERVES", "SLOTS", "RUNNING", "QUEUED", "STATE")
		for _, e := range resp.Endpoints {
			writeEndpoint(w, e)
		}
	})
	if err == nil && len(resp.Silent) > 0 {
		fmt.Fprintf(s.Err, "fulmartide: the load known to these VMs is missing, as they did not answer: %s\n", names(resp.Silent))
		return exit(ExitPartial)
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
	row(w, e.Name, e.Role, e.DataCentre, e.Address, e.Model+e.Service, e.Slots, running, queued, state)
}

type drainCommand struct {
	Name string        `arg:"" help:"Endpoint, as endpoint list shows it."`
	Undo bool          `help:"Give it new work again."`
	Wait time.Duration `help:"Longest wait for all VMs to confirm; 0 does not wait." default:"10s"`
}

// Run marks the endpoint and waits until every VM knows.
func (c drainCommand) Run(s *session) error {
	if err := s.need(); err != nil {
		return err
	}
	resp, err := s.client.Drain(s.ctx, api.DrainRequest{Endpoint: c.Name, Undo: c.Undo})
	if err != nil {
		return err
	}
	confirmed := false
	if c.Wait > 0 {
		all, _ := s.awaitVersion(resp.Version, c.Wait)
		confirmed = whole(all, resp.Version)
	}
	err = s.print(resp, func(w io.Writer) {
		row(w, "endpoint", resp.Endpoint)
		row(w, "leaving", yesNo(resp.Leaving))
		row(w, "version", resp.Version)
		if c.Wait > 0 {
			row(w, "confirmed by all VMs", yesNo(confirmed))
		}
	})
	if err == nil && c.Wait > 0 && !confirmed {
		return exit(ExitPartial)
	}
	return err
}

type explainCommand struct {
	RequestID string `arg:"" help:"Request id, from the answer's header or a log line."`
}

// Run shows the steps of a request.
func (c explainCommand) Run(s *session) error {
	if err := s.need(); err != nil {
		return err
	}
	resp, err := s.client.Explain(s.ctx, c.RequestID)
	if err != nil {
		return err
	}
	return s.print(resp, func(w io.Writer) {
		row(w, "AT", "STAGE", "MESSAGE", "FIELDS")
		for _, e := range resp.Events {
			row(w, e.At.UTC().Format("15:04:05.000000"), e.Stage, e.Message, pairs(e.Fields))
		}
	})
}
