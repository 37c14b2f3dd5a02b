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
	"github.com/fulmartide/fulmartide/test/controlfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitTimeout = 15 * time.Second

func startFleet(t *testing.T, limitSeconds int64, perDataCentre ...int) (*controlfleet.Fleet, []*controlfleet.VM) {
	t.Helper()
	f := controlfleet.New(1)
	t.Cleanup(f.Close)
	vms, err := f.StartAll(perDataCentre...)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "all VMs to join", func() bool {
		return !slices.ContainsFunc(vms, func(v *controlfleet.VM) bool { return len(v.Membership.View().Members) < len(vms) })
	})
	doc := configuration.Document{
		Plans:      map[string]configuration.Plan{"p": {TokensPerSecond: 1, BurstTokens: 1}},
		Workspaces: map[string]configuration.Workspace{"w": {Plan: "p"}, "limited": {Plan: "p", KeyUnconfirmedSeconds: limitSeconds}},
	}
	if _, err := vms[0].Configuration.Apply(t.Context(), doc, 0); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the configuration to be distributed", func() bool {
		return !slices.ContainsFunc(vms, func(v *controlfleet.VM) bool { return v.Configuration.Current() == nil })
	})
	return f, vms
}

func waitFor(t *testing.T, what string, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	if !controlfleet.Await(waitTimeout, condition) {
		t.Fatalf("timed out after %v waiting for %s", waitTimeout, what)
	}
	return time.Since(started)
}

func accepts(v *controlfleet.VM, secret string) bool {
	id, err := v.Keys.Identify(keys.HashSecret(secret))
	return err == nil && id.Workspace != ""
}

func allVMsAccept(vms []*controlfleet.VM, secret string, want bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(vms, func(v *controlfleet.VM) bool { return accepts(v, secret) != want })
	}
}

func createKey(t *testing.T, v *controlfleet.VM, workspace string) (id, secret string) {
	t.Helper()
	id, secret, err := v.Keys.Create(t.Context(), workspace)
	if err != nil {
		t.Fatal(err)
	}
	return id, secret
}

func TestCreateAndWithdrawReachAllVMsAndAbortRequests(t *testing.T) {
	f, vms := startFleet(t, 0, 3, 2, 1)
	if _, _, err := vms[0].Keys.Create(t.Context(), "nobody"); !fault.Is(err, fault.NotFound) {
		t.Fatalf("Create for an unknown workspace returned error %v; want kind not_found", err)
	}
	id, secret := createKey(t, vms[4], "w")
	t.Logf("new key accepted by all VMs after %v", waitFor(t, "the key to be accepted", allVMsAccept(vms, secret, true)))
	_, other := createKey(t, vms[0], "w")
	waitFor(t, "the other key to be accepted", allVMsAccept(vms, other, true))
	aborted := make(chan struct{})
	unregister := vms[5].Keys.OnWithdrawal(id, func() { close(aborted) })
	defer unregister()
	f.Platform.SetUnavailable(true)
	started := time.Now()
	w, err := vms[0].Keys.Withdraw(t.Context(), id)
	if err != nil || w.Stored || len(w.Confirmed) != 3 || len(w.Unconfirmed) != 0 {
		t.Fatalf("withdraw while the platform is unavailable: %+v, %v", w, err)
	}
	<-aborted
	if !allVMsAccept(vms, secret, false)() || !allVMsAccept(vms, other, true)() {
		t.Fatal("confirmed by all data centres, but a VM accepts the key or rejects another key")
	}
	t.Logf("withdrawal confirmed by all data centres after %v while the platform is unavailable", time.Since(started))
	vms[0].Kill()
	f.Platform.SetUnavailable(false)
	stored := func() bool { return vms[5].Keys.Confirmations(id).Stored }
	t.Logf("withdrawal stored %v after the platform recovered, with the withdrawing VM stopped", waitFor(t, "the withdrawal to be stored", stored))
	newVM, err := f.Start("vm-1-7", "dc-1")
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a new VM to load the list", func() bool { return accepts(newVM, other) })
	if accepts(newVM, secret) {
		t.Fatal("new VM accepts a withdrawn key")
	}
	if _, err := vms[1].Keys.Withdraw(t.Context(), "never-given"); !fault.Is(err, fault.NotFound) {
		t.Fatalf("withdraw of an unknown key: %v", err)
	}
}

func TestVMStartedDuringPlatformOutageLoadsWithdrawalsFromPeers(t *testing.T) {
	f, vms := startFleet(t, 0, 2, 1)
	id, secret := createKey(t, vms[0], "w")
	_, other := createKey(t, vms[0], "w")
	waitFor(t, "the keys", func() bool { return allVMsAccept(vms, secret, true)() && allVMsAccept(vms, other, true)() })
	f.Platform.SetUnavailable(true)
	if _, err := vms[2].Keys.Withdraw(t.Context(), id); err != nil {
		t.Fatal(err)
	}
	for _, v := range vms[1:] {
		v.Kill()
	}
	newVM, err := f.Start("vm-0-5", "dc-0", vms[0].Member.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := newVM.Keys.Identify(keys.HashSecret(other)); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("before the key list is loaded: %v", err)
	}
	took := waitFor(t, "keys to be loaded from peers", func() bool {
		if accepts(newVM, secret) {
			t.Error("accepted a key that its only peer knows to be withdrawn")
		}
		return accepts(newVM, other)
	})
	t.Logf("keys loaded from peers after %v", took)
	vms[0].Kill()
	f.Platform.SetUnavailable(false)
	waitFor(t, "the withdrawal to be stored", func() bool { return newVM.Keys.Confirmations(id).Stored })
}

// A VM that starts while the key list does not contain a withdrawal yet must get pending withdrawals
// from a peer before it accepts any key.
func TestStartBeforeWithdrawalIsStored(t *testing.T) {
	f, vms := startFleet(t, 0, 2, 1)
	id, secret := createKey(t, vms[0], "w")
	_, other := createKey(t, vms[0], "w")
	waitFor(t, "the keys", func() bool { return allVMsAccept(vms, secret, true)() && allVMsAccept(vms, other, true)() })
	f.Platform.SetReadOnly(true)
	if w, err := vms[2].Keys.Withdraw(t.Context(), id); err != nil || w.Stored {
		t.Fatalf("%+v, %v", w, err)
	}
	newVM, err := f.Start("vm-1-4", "dc-1")
	if err != nil {
		t.Fatal(err)
	}
	took := waitFor(t, "the new VM to accept keys", func() bool {
		if accepts(newVM, secret) {
			t.Error("accepted a key that its peers know to be withdrawn")
		}
		return accepts(newVM, other)
	})
	t.Logf("new VM accepts keys after %v", took)
}

// Contact with another data centre counts as confirmation like contact with the platform. Without
// either, only the keys of workspaces with a limit are rejected.
func TestLimitForUnconfirmedUse(t *testing.T) {
	f, vms := startFleet(t, 4, 2, 1)
	_, limitedSecret := createKey(t, vms[0], "limited")
	_, unlimitedSecret := createKey(t, vms[0], "w")
	waitFor(t, "the keys", func() bool {
		return allVMsAccept(vms, limitedSecret, true)() && allVMsAccept(vms, unlimitedSecret, true)()
	})
	f.Platform.SetUnavailable(true)
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if !allVMsAccept(vms, limitedSecret, true)() {
			t.Fatal("rejected despite contact with another data centre")
		}
	}
	vms[2].Kill()
	vms = vms[:2]
	took := waitFor(t, "the limit to be enforced", allVMsAccept(vms, limitedSecret, false))
	t.Logf("rejected by all VMs %v after losing contact, limit 4s", took)
	if _, err := vms[1].Keys.Identify(keys.HashSecret(limitedSecret)); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("after the limit: %v", err)
	}
	if !allVMsAccept(vms, unlimitedSecret, true)() {
		t.Fatal("key of a workspace without a limit is rejected")
	}
	f.Platform.SetUnavailable(false)
	waitFor(t, "the key to be accepted again", allVMsAccept(vms, limitedSecret, true))
}

// Types of the model that checks the history of one key at one VM. A withdrawal takes effect between its call and
// its confirmation. Identify first reports the key as unknown, then as valid, then as withdrawn, and
// never returns to an earlier state.
type (
	keyOp     struct{ key, vm, operation string }
	keyResult struct{ ok bool }
)

var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKeyAndVM := map[keyOp][]porcupine.Operation{}
		for _, o := range history {
			in := o.Input.(keyOp)
			keyAndVM := keyOp{key: in.key, vm: in.vm}
			byKeyAndVM[keyAndVM] = append(byKeyAndVM[keyAndVM], o)
		}
		var out [][]porcupine.Operation
		for _, p := range byKeyAndVM {
			out = append(out, p)
		}
		return out
	},
	Init: func() any { return "unknown" },
	Step: func(state, in, out any) (bool, any) {
		switch {
		case in.(keyOp).operation == "withdraw":
			return true, "withdrawn"
		case out.(keyResult).ok:
			return state != "withdrawn", "valid"
		}
		return state != "valid", state
	},
}

func TestKeyHistoriesWithLostResponsesAndOutages(t *testing.T) {
	f, vms := startFleet(t, 0, 2, 2)
	f.Platform.SetWriteFaults(0.2, 0.1)
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
				id, secret, err := vms[c].Keys.Create(ctx, "w")
				if err != nil {
					continue
				}
				secrets.Store(id, secret)
				time.Sleep(50 * time.Millisecond)
				if n == 1 {
					f.Platform.SetUnavailable(true)
				}
				call := time.Since(start)
				w, err := vms[(c+1)%len(vms)].Keys.Withdraw(ctx, id)
				f.Platform.SetUnavailable(false)
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
	f.Platform.SetWriteFaults(0, 0)
	waitFor(t, "all withdrawals to be stored", func() bool {
		return !slices.ContainsFunc(withdrawn, func(id string) bool { return !vms[3].Keys.Confirmations(id).Stored })
	})
	cancel()
	readers.Wait()
	if !porcupine.CheckOperations(keyModel, history) {
		t.Fatal("history is not linearizable: a VM accepted a key after rejecting it")
	}
	t.Logf("%d operations on %d keys", len(history), len(withdrawn))
}
