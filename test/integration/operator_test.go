package integration

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/cli"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/operator/api"
	"github.com/fulmartide/fulmartide/test/fleet"
)

func (b *testFleet) operatorClient(vm string) *api.Client {
	c := api.NewClient([]netip.AddrPort{b.Daemon(vm).Operator}, 10*time.Second)
	b.t.Cleanup(c.Close)
	return c
}

// TestConcurrentEditsOfOneVersionConflict applies two concurrent edits of the same version through
// different VMs. One must fail with a conflict, and the other must reach every VM.
func TestConcurrentEditsOfOneVersionConflict(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	clients := []*api.Client{b.operatorClient(vm1), b.operatorClient("porto-a-vm1")}
	for round := range 5 {
		base, err := clients[0].Configuration(t.Context())
		b.must(err)
		var wg sync.WaitGroup
		errs := make([]error, len(clients))
		versions := make([]configuration.Version, len(clients))
		for i, c := range clients {
			doc := base.Document
			plans := map[string]configuration.Plan{}
			for name, p := range doc.Plans {
				p.TokensPerSecond += int64(1 + round*2 + i)
				plans[name] = p
			}
			doc.Plans = plans
			wg.Go(func() {
				out, err := c.Apply(t.Context(), api.ApplyRequest{Document: doc, IfVersion: base.Version})
				errs[i], versions[i] = err, out.Version
			})
		}
		wg.Wait()
		accepted := 0
		for i, err := range errs {
			if err == nil {
				accepted++
				b.awaitVersion(versions[i])
			} else if !fault.Is(err, fault.Conflict) {
				t.Errorf("round %d: %v", round, err)
			}
		}
		if accepted != 1 {
			t.Errorf("round %d: %d edits of the same version were accepted, want 1", round, accepted)
		}
	}
}

func (b *testFleet) awaitVersion(v configuration.Version) {
	for _, d := range b.Daemons() {
		c := b.operatorClient(d.VM)
		b.await("the configuration version at "+d.VM, func() bool {
			got, err := c.Configuration(b.t.Context())
			return err == nil && got.Version >= v
		})
	}
}

// TestKeyWithdrawalDuringPlatformOutage withdraws a key during a platform outage. Every VM must
// reject the key, and the withdrawal must be stored after the outage.
func TestKeyWithdrawalDuringPlatformOutage(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	c := b.operatorClient(vm1)
	issued, err := c.Give(t.Context(), api.GiveRequest{Workspace: b.layout.Workspaces[0].Name})
	b.must(err)
	secret := func(string) string { return issued.Secret }
	for _, d := range b.Daemons() {
		b.await("the key at "+d.VM, func() bool { return b.chatWithSecret(secret, d.VM).Complete })
	}
	b.SetPlatformOutage(true)
	out, err := c.Withdraw(t.Context(), api.WithdrawRequest{KeyID: issued.ID})
	b.must(err)
	if out.Stored || len(out.Confirmed) != 4 {
		t.Errorf("withdrawal: %+v", out)
	}
	for _, d := range b.Daemons() {
		if o := b.chatWithSecret(secret, d.VM); o.Kind != fault.Unauthenticated {
			t.Errorf("%s did not reject the withdrawn key: %+v", d.VM, o)
		}
	}
	b.SetPlatformOutage(false)
	b.await("the withdrawal to be stored", func() bool {
		got, err := c.KeyConfirmations(context.Background(), issued.ID)
		return err == nil && got.Stored
	})
}

func TestExplainRequestThroughAnotherVM(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	o := b.chat(vm1, 1, 3)
	var text, problems bytes.Buffer
	args := []string{"--vm", b.Daemon("porto-a-vm1").Operator.String(), "explain", o.RequestID}
	if code := cli.Run(t.Context(), args, "test", cli.Streams{Out: &text, Err: &problems}); code != 0 {
		t.Fatalf("exit code %d: %s", code, &problems)
	}
	for _, want := range []string{"admitted", "placed", "first token", "whole"} {
		if !bytes.Contains(text.Bytes(), []byte(want)) {
			t.Errorf("%q is missing in\n%s", want, &text)
		}
	}
}
