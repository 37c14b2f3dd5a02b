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

func (b *bench) operator(vm string) *api.Client {
	c := api.NewClient([]netip.AddrPort{b.Daemon(vm).Operator}, 10*time.Second)
	b.t.Cleanup(c.Close)
	return c
}

// TestTwoOperatorsAtOnceNeverOverwriteEachOther: of each pair of edits of one version, made
// through different VMs, one is refused as a conflict, and the other reaches every VM.
func TestTwoOperatorsAtOnceNeverOverwriteEachOther(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	through := []*api.Client{b.operator(vm1), b.operator("porto-a-vm1")}
	for round := range 5 {
		base, err := through[0].Configuration(t.Context())
		b.must(err)
		var wg sync.WaitGroup
		errs := make([]error, len(through))
		versions := make([]configuration.Version, len(through))
		for i, c := range through {
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
		won := 0
		for i, err := range errs {
			if err == nil {
				won++
				b.awaitVersion(versions[i])
			} else if !fault.Is(err, fault.Conflict) {
				t.Errorf("round %d: %v", round, err)
			}
		}
		if won != 1 {
			t.Errorf("round %d: %d edits of one version were accepted", round, won)
		}
	}
}

func (b *bench) awaitVersion(v configuration.Version) {
	for _, d := range b.Daemons() {
		c := b.operator(d.VM)
		b.await("the version at "+d.VM, func() bool {
			got, err := c.Configuration(b.t.Context())
			return err == nil && got.Version >= v
		})
	}
}

// TestKeysThroughTheToolWithThePlatformAway gives a key, withdraws it while the platform is
// away, and sees it refused by every VM, and stored once the platform is back.
func TestKeysThroughTheToolWithThePlatformAway(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	c := b.operator(vm1)
	given, err := c.Give(t.Context(), api.GiveRequest{Workspace: b.layout.Workspaces[0].Name})
	b.must(err)
	secret := func(string) string { return given.Secret }
	for _, d := range b.Daemons() {
		b.await("the key at "+d.VM, func() bool { return b.chatAs(secret, d.VM).Complete })
	}
	b.Outage(true)
	out, err := c.Withdraw(t.Context(), api.WithdrawRequest{KeyID: given.ID})
	b.must(err)
	if out.Stored || len(out.Confirmed) != 4 {
		t.Errorf("withdrawal: %+v", out)
	}
	for _, d := range b.Daemons() {
		if o := b.chatAs(secret, d.VM); o.Kind != fault.Unauthenticated {
			t.Errorf("%s: %+v", d.VM, o)
		}
	}
	b.Outage(false)
	b.await("the stored withdrawal", func() bool {
		got, err := c.KeyConfirmations(context.Background(), given.ID)
		return err == nil && got.Stored
	})
}

func TestToolExplainsARequestThroughAnyVM(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
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
