package keys_test

import (
	"context"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/test/spreadfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 15 * time.Second

func startFleet(t *testing.T, bound int64, perDataCentre ...int) (*spreadfleet.Fleet, []*spreadfleet.VM) {
	t.Helper()
	f := spreadfleet.New(1)
	t.Cleanup(f.Close)
	vms, err := f.StartAll(perDataCentre...)
	if err != nil {
		t.Fatal(err)
	}
	await(t, "the VMs to meet", func() bool {
		return !slices.ContainsFunc(vms, func(v *spreadfleet.VM) bool { return len(v.Membership.View().Members) < len(vms) })
	})
	doc := configuration.Document{
		Plans:      map[string]configuration.Plan{"p": {TokensPerSecond: 1, BurstTokens: 1}},
		Workspaces: map[string]configuration.Workspace{"w": {Plan: "p"}, "bound": {Plan: "p", KeyUnconfirmedSeconds: bound}},
	}
	if _, err := vms[0].Configuration.Apply(t.Context(), doc, 0); err != nil {
		t.Fatal(err)
	}
	await(t, "the configuration", func() bool {
		return !slices.ContainsFunc(vms, func(v *spreadfleet.VM) bool { return v.Configuration.Current() == nil })
	})
	return f, vms
}

func await(t *testing.T, what string, holds func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	if !spreadfleet.Await(patience, holds) {
		t.Fatalf("waited %v for %s", patience, what)
	}
	return time.Since(started)
}

func accepts(v *spreadfleet.VM, secret string) bool {
	id, err := v.Keys.Identify(keys.HashSecret(secret))
	return err == nil && id.Workspace != ""
}

func everywhere(vms []*spreadfleet.VM, secret string, want bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(vms, func(v *spreadfleet.VM) bool { return accepts(v, secret) != want })
	}
}

func give(t *testing.T, v *spreadfleet.VM, workspace string) (id, secret string) {
	t.Helper()
	id, secret, err := v.Keys.Give(t.Context(), workspace)
	if err != nil {
		t.Fatal(err)
	}
	return id, secret
}

func TestGiveAndWithdrawReachEveryVMAndCutRequests(t *testing.T) {
	f, vms := startFleet(t, 0, 3, 2, 1)
	if _, _, err := vms[0].Keys.Give(t.Context(), "nobody"); !fault.Is(err, fault.NotFound) {
		t.Fatalf("give for an unknown workspace: %v", err)
	}
	id, secret := give(t, vms[4], "w")
	t.Logf("given key accepted by all after %v", await(t, "the key", everywhere(vms, secret, true)))
	_, other := give(t, vms[0], "w")
	await(t, "the other key", everywhere(vms, other, true))
	cut := make(chan struct{})
	detach := vms[5].Keys.Attach(id, func() { close(cut) })
	defer detach()
	f.Platform.SetAway(true)
	started := time.Now()
	w, err := vms[0].Keys.Withdraw(t.Context(), id)
	if err != nil || w.Stored || len(w.Confirmed) != 3 || len(w.Unconfirmed) != 0 {
		t.Fatalf("withdraw with the platform away: %+v, %v", w, err)
	}
	<-cut
	if !everywhere(vms, secret, false)() || !everywhere(vms, other, true)() {
		t.Fatal("confirmed everywhere, yet a VM accepts the key, or refuses another")
	}
	t.Logf("withdrawal confirmed by all after %v with the platform away", time.Since(started))
	vms[0].Kill()
	f.Platform.SetAway(false)
	stored := func() bool { return vms[5].Keys.Confirmations(id).Stored }
	t.Logf("stored %v after the platform's return, the withdrawing VM dead", await(t, "the platform to hold it", stored))
	fresh, err := f.Start("vm-1-7", "dc-1")
	if err != nil {
		t.Fatal(err)
	}
	await(t, "a new VM's list", func() bool { return accepts(fresh, other) })
	if accepts(fresh, secret) {
		t.Fatal("a new VM accepts a withdrawn key")
	}
	if _, err := vms[1].Keys.Withdraw(t.Context(), "never-given"); !fault.Is(err, fault.NotFound) {
		t.Fatalf("withdraw of an unknown key: %v", err)
	}
}

func TestVMStartedWhilePlatformIsAwayTakesWithdrawalsFromPeers(t *testing.T) {
	f, vms := startFleet(t, 0, 2, 1)
	id, secret := give(t, vms[0], "w")
	_, other := give(t, vms[0], "w")
	await(t, "the keys", func() bool { return everywhere(vms, secret, true)() && everywhere(vms, other, true)() })
	f.Platform.SetAway(true)
	if _, err := vms[2].Keys.Withdraw(t.Context(), id); err != nil {
		t.Fatal(err)
	}
	for _, v := range vms[1:] {
		v.Kill()
	}
	fresh, err := f.Start("vm-0-5", "dc-0", vms[0].Member.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fresh.Keys.Identify(keys.HashSecret(other)); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("before the first list: %v", err)
	}
	took := await(t, "keys from peers", func() bool {
		if accepts(fresh, secret) {
			t.Error("accepted a key that its only peer knows to be withdrawn")
		}
		return accepts(fresh, other)
	})
	t.Logf("keys from peers after %v", took)
	vms[0].Kill()
	f.Platform.SetAway(false)
	await(t, "the platform to hold the withdrawal", func() bool { return fresh.Keys.Confirmations(id).Stored })
}

// TestRestartBeforeTheWithdrawalIsStored starts a VM that reads a list which does not show a
// withdrawal yet. It must ask its peers before it accepts any key.
func TestRestartBeforeTheWithdrawalIsStored(t *testing.T) {
	f, vms := startFleet(t, 0, 2, 1)
	id, secret := give(t, vms[0], "w")
	_, other := give(t, vms[0], "w")
	await(t, "the keys", func() bool { return everywhere(vms, secret, true)() && everywhere(vms, other, true)() })
	f.Platform.SetReadOnly(true)
	if w, err := vms[2].Keys.Withdraw(t.Context(), id); err != nil || w.Stored {
		t.Fatalf("%+v, %v", w, err)
	}
	fresh, err := f.Start("vm-1-4", "dc-1")
	if err != nil {
		t.Fatal(err)
	}
	took := await(t, "the new VM to accept keys", func() bool {
		if accepts(fresh, secret) {
			t.Error("accepted a key that its peers know to be withdrawn")
		}
		return accepts(fresh, other)
	})
	t.Logf("a new VM accepts keys after %v", took)
}

// TestBoundForUnconfirmedUse checks that another data centre confirms as the platform does, and
// that without either a bound workspace is refused, and only such.
func TestBoundForUnconfirmedUse(t *testing.T) {
	f, vms := startFleet(t, 4, 2, 1)
	_, bound := give(t, vms[0], "bound")
	_, free := give(t, vms[0], "w")
	await(t, "the keys", func() bool { return everywhere(vms, bound, true)() && everywhere(vms, free, true)() })
	f.Platform.SetAway(true)
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if !everywhere(vms, bound, true)() {
			t.Fatal("refused although another data centre confirms")
		}
	}
	vms[2].Kill()
	vms = vms[:2]
	took := await(t, "the bound", everywhere(vms, bound, false))
	t.Logf("refused by all %v after the last confirmation was cut, bound 4s", took)
	if _, err := vms[1].Keys.Identify(keys.HashSecret(bound)); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("past the bound: %v", err)
	}
	if !everywhere(vms, free, true)() {
		t.Fatal("a workspace without a bound is refused")
	}
	f.Platform.SetAway(false)
	await(t, "the key's return", everywhere(vms, bound, true))
}

// The history of one key at one VM: withdrawals take effect between their call and their
// confirmation, and Identify shows unknown, then good, then withdrawn, never back.
type (
	keyOp     struct{ key, vm, do string }
	keyResult struct{ ok bool }
)

var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byPlace := map[keyOp][]porcupine.Operation{}
		for _, o := range history {
			in := o.Input.(keyOp)
			place := keyOp{key: in.key, vm: in.vm}
			byPlace[place] = append(byPlace[place], o)
		}
		var out [][]porcupine.Operation
		for _, p := range byPlace {
			out = append(out, p)
		}
		return out
	},
	Init: func() any { return "unknown" },
	Step: func(st, in, out any) (bool, any) {
		switch {
		case in.(keyOp).do == "withdraw":
			return true, "withdrawn"
		case out.(keyResult).ok:
			return st != "withdrawn", "good"
		}
		return st != "good", st
	},
}

func TestKeyHistoriesWithLostAnswersAndOutages(t *testing.T) {
	f, vms := startFleet(t, 0, 2, 2)
	f.Platform.SetLoss(0.2, 0.1)
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	record := func(client int, in keyOp, call time.Duration, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call.Nanoseconds(), Output: keyResult{ok}, Return: time.Since(start).Nanoseconds()})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var secrets sync.Map
	var readers, writers sync.WaitGroup
	for i, v := range vms {
		readers.Go(func() {
			for ctx.Err() == nil {
				secrets.Range(func(id, secret any) bool {
					call := time.Since(start)
					record(i, keyOp{id.(string), v.Member.VM.Name, "identify"}, call, accepts(v, secret.(string)))
					return true
				})
				time.Sleep(3 * time.Millisecond)
			}
		})
	}
	withdrawn := make([]string, 0, 6)
	for c := range 3 {
		writers.Go(func() {
			for n := range 2 {
				id, secret, err := vms[c].Keys.Give(ctx, "w")
				if err != nil {
					continue
				}
				secrets.Store(id, secret)
				time.Sleep(50 * time.Millisecond)
				if n == 1 {
					f.Platform.SetAway(true)
				}
				call := time.Since(start)
				w, err := vms[(c+1)%len(vms)].Keys.Withdraw(ctx, id)
				f.Platform.SetAway(false)
				for _, v := range vms {
					end := time.Since(start).Nanoseconds()
					if err != nil || !slices.Contains(w.Confirmed, v.Member.DataCentre) {
						end = math.MaxInt64
					}
					mu.Lock()
					history = append(history, porcupine.Operation{ClientId: 100 + c, Input: keyOp{id, v.Member.VM.Name, "withdraw"}, Call: call.Nanoseconds(), Output: keyResult{}, Return: end})
					mu.Unlock()
				}
				mu.Lock()
				withdrawn = append(withdrawn, id)
				mu.Unlock()
			}
		})
	}
	writers.Wait()
	f.Platform.SetLoss(0, 0)
	await(t, "all withdrawals to be stored", func() bool {
		return !slices.ContainsFunc(withdrawn, func(id string) bool { return !vms[3].Keys.Confirmations(id).Stored })
	})
	cancel()
	readers.Wait()
	if !porcupine.CheckOperations(keyModel, history) {
		t.Fatal("a VM accepted a key after refusing it")
	}
	t.Logf("%d operations on %d keys", len(history), len(withdrawn))
}
