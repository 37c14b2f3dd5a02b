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

func (f *testFleet) operatorClient(vm string) *api.Client {
	c := api.NewClient([]netip.AddrPort{f.Daemon(vm).Operator}, 10*time.Second)
	f.t.Cleanup(c.Close)
	return c
}

// TestConcurrentEditsOfOneVersionConflict applies two concurrent edits of the same version through
// different VMs. One must fail with a conflict, and the other must reach every VM.
func TestConcurrentEditsOfOneVersionConflict(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	clients := []*api.Client{f.operatorClient(vm1), f.operatorClient("porto-a-vm1")}
	for round := range 5 {
		base, err := clients[0].Configuration(t.Context())
		f.must(err)
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
				f.awaitVersion(versions[i])
			} else if !fault.Is(err, fault.Conflict) {
				t.Errorf("round %d: got error %v, want a conflict", round, err)
			}
		}
		if accepted != 1 {
			t.Errorf("round %d: %d edits of the same version were accepted, want 1", round, accepted)
		}
	}
}

func (f *testFleet) awaitVersion(v configuration.Version) {
	for _, d := range f.Daemons() {
		c := f.operatorClient(d.VM)
		f.await("the configuration version at "+d.VM, func() bool {
			got, err := c.Configuration(f.t.Context())
			return err == nil && got.Version >= v
		})
	}
}

// TestKeyWithdrawalDuringPlatformOutage withdraws a key during a platform outage. Every VM must
// reject the key, and the withdrawal must be stored after the outage.
func TestKeyWithdrawalDuringPlatformOutage(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	c := f.operatorClient(vm1)
	issued, err := c.Give(t.Context(), api.GiveRequest{Workspace: f.layout.Workspaces[0].Name})
	f.must(err)
	secret := func(string) string { return issued.Secret }
	for _, d := range f.Daemons() {
		f.await("acceptance of the new key by "+d.VM, func() bool { return f.chatWithSecret(secret, d.VM).Complete })
	}
	f.SetPlatformOutage(true)
	out, err := c.Withdraw(t.Context(), api.WithdrawRequest{KeyID: issued.ID})
	f.must(err)
	if out.Stored || len(out.Confirmed) != 4 {
		t.Errorf("got %+v, want a withdrawal that is not stored and is confirmed by 4 data centres", out)
	}
	for _, d := range f.Daemons() {
		if o := f.chatWithSecret(secret, d.VM); o.Kind != fault.Unauthenticated {
			t.Errorf("%s did not reject the withdrawn key: %+v", d.VM, o)
		}
	}
	f.SetPlatformOutage(false)
	f.await("the withdrawal to be stored", func() bool {
		got, err := c.KeyConfirmations(context.Background(), issued.ID)
		return err == nil && got.Stored
	})
}

func TestExplainRequestThroughAnotherVM(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	o := f.chat(vm1, 1, 3)
	var stdout, stderr bytes.Buffer
	args := []string{"--vm", f.Daemon("porto-a-vm1").Operator.String(), "explain", o.RequestID}
	if code := cli.Run(t.Context(), args, "test", cli.Streams{Out: &stdout, Err: &stderr}); code != 0 {
		t.Fatalf("exit code %d: %s", code, &stderr)
	}
	for _, want := range []string{"admitted", "placed", "first token", "whole"} {
		if !bytes.Contains(stdout.Bytes(), []byte(want)) {
			t.Errorf("%q is missing in\n%s", want, &stdout)
		}
	}
}
