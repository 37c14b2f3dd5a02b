package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/fulmartide/fulmartide/internal/operator/api"
)

type keyCommands struct {
	Give     giveCommand     `cmd:"" help:"Create a key for a workspace and print its secret, which cannot be shown again."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a key permanently."`
	List     keyListCommand  `cmd:"" help:"List the keys."`
}

type giveCommand struct {
	Workspace string `arg:"" help:"Workspace that owns the key."`
}

// Run creates a key.
func (c giveCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	resp, err := s.client.Give(s.ctx, api.GiveRequest{Workspace: c.Workspace})
	if err != nil {
		return err
	}
	return s.print(resp, func(w io.Writer) {
		writeRow(w, "key id", resp.ID)
		writeRow(w, "workspace", resp.Workspace)
		writeRow(w, "secret", resp.Secret)
		fmt.Fprintln(s.Err, "The secret is not stored and not shown again.")
	})
}

type withdrawCommand struct {
	KeyID string        `arg:"" help:"Id of the key, as shown by key list."`
	Wait  time.Duration `help:"Maximum time to wait for the data centres and the platform to confirm; 0 does not wait." default:"5s"`
}

// Run withdraws a key and prints which data centres have confirmed the withdrawal.
func (c withdrawCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	resp, err := s.client.Withdraw(s.ctx, api.WithdrawRequest{KeyID: c.KeyID})
	if err != nil {
		return err
	}
	if !resp.FullyConfirmed() && c.Wait > 0 {
		resp = s.awaitWithdrawal(resp, c.Wait)
	}
	err = s.print(resp, func(w io.Writer) {
		writeRow(w, "key id", resp.KeyID)
		writeRow(w, "confirmed", joinNames(resp.Confirmed))
		writeRow(w, "not confirmed", joinNames(resp.Unconfirmed))
		writeRow(w, "stored by the platform", yesNo(resp.Stored))
	})
	if err != nil || resp.FullyConfirmed() {
		return err
	}
	fmt.Fprintln(s.Err, "fulmartide: the withdrawal is not confirmed everywhere\nremedy: repeat key withdraw later, with --vm set to a VM of each unconfirmed data centre")
	return exitCode(ExitPartial)
}

// awaitWithdrawal polls until the withdrawal is confirmed everywhere or limit has passed, and returns
// the last response.
func (s *session) awaitWithdrawal(last api.WithdrawResponse, limit time.Duration) api.WithdrawResponse {
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return last
		case <-time.After(confirmPollInterval):
		}
		resp, err := s.client.KeyConfirmations(ctx, last.KeyID)
		if err == nil {
			last = resp
		}
		if last.FullyConfirmed() {
			return last
		}
	}
}

type keyListCommand struct{}

// Run lists the keys without their secrets.
func (keyListCommand) Run(s *session) error {
	if err := s.requireVM(); err != nil {
		return err
	}
	resp, err := s.client.Keys(s.ctx)
	if err != nil {
		return err
	}
	return s.print(resp, func(w io.Writer) {
		writeRow(w, "KEY ID", "WORKSPACE", "WITHDRAWN")
		for _, k := range resp.Keys {
			writeRow(w, k.ID, k.Workspace, yesNo(k.Withdrawn))
		}
	})
}
