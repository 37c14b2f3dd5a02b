package configuration_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/controlfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const convergenceTimeout = 15 * time.Second

func startFleet(t *testing.T, perDataCentre ...int) (*controlfleet.Fleet, []*controlfleet.VM) {
	t.Helper()
	f := controlfleet.New(1)
	t.Cleanup(f.Close)
	vms, err := f.StartAll(perDataCentre...)
	if err != nil {
		t.Fatal(err)
	}
	discovered := func() bool {
		return !slices.ContainsFunc(vms, func(v *controlfleet.VM) bool { return len(v.Membership.View().Members) < len(vms) })
	}
	if !controlfleet.Await(convergenceTimeout, discovered) {
		t.Fatal("not all VMs discovered each other")
	}
	return f, vms
}

// testDocument returns a valid document that contains n.
func testDocument(n int) configuration.Document {
	return configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"dc-0": {Region: "r"}},
		Plans:       map[string]configuration.Plan{"gold": {TokensPerSecond: int64(n), BurstTokens: 1000}},
		Workspaces:  map[string]configuration.Workspace{"w": {Plan: "gold"}},
	}
}

func allAtVersion(vms []*controlfleet.VM, v configuration.Version) bool {
	return !slices.ContainsFunc(vms, func(vm *controlfleet.VM) bool { return vm.Configuration.CurrentVersion() < uint64(v) })
}

// watchVersions fails the test if the version of a VM does not increase with every change.
func watchVersions(t *testing.T, vms []*controlfleet.VM) {
	for _, vm := range vms {
		var last configuration.Version
		vm.Configuration.OnChange(func(s *configuration.Snapshot) {
			if s.Version <= last {
				t.Errorf("%s went from version %d to %d", vm.Member.VM, last, s.Version)
			}
			last = s.Version
		})
	}
}

func TestAcceptedVersionReachesAllVMs(t *testing.T) {
	f, vms := startFleet(t, 3, 2, 1)
	watchVersions(t, vms)
	var current configuration.Version
	for n := range 5 {
		started := time.Now()
		v, err := vms[n].Configuration.Apply(t.Context(), testDocument(n+1), current)
		if err != nil {
			t.Fatal(err)
		}
		if !controlfleet.Await(convergenceTimeout, func() bool { return allAtVersion(vms, v) }) {
			t.Fatalf("version %d did not reach all VMs: %+v", v, vms[0].Configuration.Confirmations())
		}
		t.Logf("version %d reached %d VMs after %v", v, len(vms), time.Since(started))
		current = v
	}
	for _, dc := range vms[5].Configuration.Confirmations() {
		for _, vm := range dc.VMs {
			if !vm.Answered || vm.Version != current {
				t.Errorf("%s: %+v", dc.DataCentre, vm)
			}
		}
	}
	revisions, err := vms[2].Configuration.History(t.Context())
	if err != nil || len(revisions) != 5 || revisions[4].Objects[0] != "plans/gold" {
		t.Fatalf("history %+v, %v", revisions, err)
	}
	f.Platform.SetUnavailable(true)
	if _, err := vms[0].Configuration.Apply(t.Context(), testDocument(9), current); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("Apply while the platform is unavailable: %v", err)
	}
	lateVM, err := f.Start("vm-0-9", "dc-0", vms[1].Member.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	if !controlfleet.Await(convergenceTimeout, func() bool { return allAtVersion([]*controlfleet.VM{lateVM}, current) }) {
		t.Fatal("a VM that started while the platform was unavailable did not receive the configuration from its peers")
	}
	if got := lateVM.Configuration.Current().Document.Plans["gold"]; got.TokensPerSecond != 5 || got.Weight != 1 {
		t.Fatalf("plan received from peers: %+v", got)
	}
}

func TestDataCentrePartitionedFromPlatformAndKilledBridges(t *testing.T) {
	f, vms := startFleet(t, 3, 3)
	watchVersions(t, vms)
	f.Platform.SetUnavailableFor("dc-1", true)
	v1, err := vms[0].Configuration.Apply(t.Context(), testDocument(1), 0)
	if err != nil {
		t.Fatal(err)
	}
	if !controlfleet.Await(convergenceTimeout, func() bool { return allAtVersion(vms, v1) }) {
		t.Fatal("the version did not reach the data centre that is partitioned from the platform")
	}
	var survivors []*controlfleet.VM
	for _, vm := range vms {
		if _, bridge := vm.Membership.View().BridgeRank(); bridge && vm.Member.DataCentre == "dc-0" {
			vm.Kill()
		} else {
			survivors = append(survivors, vm)
		}
	}
	killedAt := time.Now()
	v2, err := survivors[0].Configuration.Apply(t.Context(), testDocument(2), v1)
	if err != nil {
		t.Fatal(err)
	}
	if !controlfleet.Await(convergenceTimeout, func() bool { return allAtVersion(survivors, v2) }) {
		t.Fatal("the version did not reach all VMs after both bridges of a data centre were killed")
	}
	t.Logf("the version reached all VMs %v after both bridges of a data centre were killed", time.Since(killedAt))
}

type operation struct {
	read  bool
	base  configuration.Version
	value int64
}

type result struct {
	version configuration.Version
	value   int64
	kind    fault.Kind
}

type registerState struct {
	version configuration.Version
	value   int64
}

// registerModel is a compare-and-swap register: a write takes effect only at the version it names.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(st, in, out any) []any {
		s, o, r := st.(registerState), in.(operation), out.(result)
		switch {
		case o.read:
			if r.kind != "" || (s.version == r.version && s.value == r.value) {
				return []any{s}
			}
		case r.kind == fault.Conflict:
			if s.version != o.base {
				return []any{s}
			}
		case r.kind == fault.OutcomeUnknown:
			// The write may have taken effect at a version that only a later read returns.
			if s.version == o.base {
				return []any{s, registerState{o.base + 1, o.value}, registerState{o.base + 2, o.value}, registerState{o.base + 3, o.value}}
			}
			return []any{s}
		case r.kind != "":
			return []any{s}
		case s.version == o.base && r.version > o.base:
			return []any{registerState{r.version, o.value}}
		}
		return nil
	},
}

func TestConcurrentAppliesAreLinearizableUnderLostResponsesAndOutages(t *testing.T) {
	f, vms := startFleet(t, 2, 1)
	watchVersions(t, vms)
	f.Platform.SetWriteFaults(0.25, 0.15)
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	record := func(client int, in operation, call time.Duration, out result) {
		end := time.Since(start).Nanoseconds()
		if out.kind == fault.OutcomeUnknown {
			end = math.MaxInt64
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call.Nanoseconds(), Output: out, Return: end})
	}
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(c)))
			vm := vms[c%len(vms)]
			for n := range 12 {
				call := time.Since(start)
				got := readStored(t.Context(), f)
				record(c, operation{read: true}, call, got)
				in := operation{base: got.version, value: int64(1 + c*100 + n)}
				if rng.IntN(5) == 0 && in.base > 0 {
					in.base--
				}
				call = time.Since(start)
				v, err := vm.Configuration.Apply(t.Context(), testDocument(int(in.value)), in.base)
				out := result{version: v}
				if err != nil {
					out.kind = fault.KindOf(err)
				}
				record(c, in, call, out)
			}
		})
	}
	outages := make(chan struct{})
	go func() {
		defer close(outages)
		for range 4 {
			time.Sleep(150 * time.Millisecond)
			f.Platform.SetUnavailable(true)
			time.Sleep(100 * time.Millisecond)
			f.Platform.SetUnavailable(false)
		}
	}()
	clients.Wait()
	<-outages
	f.Platform.SetWriteFaults(0, 0)
	if !porcupine.CheckOperations(registerModel.ToModel(), history) {
		t.Fatal("the history is not linearizable")
	}
	t.Logf("%d operations: %s", len(history), countOutcomes(history))
	final := readStored(t.Context(), f)
	if !controlfleet.Await(convergenceTimeout, func() bool { return allAtVersion(vms, final.version) }) {
		t.Fatal("the last version did not reach all VMs")
	}
	for _, vm := range vms {
		if got := vm.Configuration.Current().Document.Plans["gold"].TokensPerSecond; got != final.value {
			t.Errorf("%s has document %d, but the platform stores %d", vm.Member.VM, got, final.value)
		}
	}
}

func readStored(ctx context.Context, f *controlfleet.Fleet) result {
	obj, err := f.Platform.ClientFor("operator").Get(ctx, configuration.ObjectName)
	if fault.Is(err, fault.NotFound) {
		return result{}
	}
	if err != nil {
		return result{kind: fault.KindOf(err)}
	}
	entries, err := configuration.DecodeEntries(obj.Value)
	if err != nil {
		return result{kind: fault.KindOf(err)}
	}
	doc, err := configuration.FromEntries(entries)
	if err != nil {
		return result{kind: fault.KindOf(err)}
	}
	return result{version: configuration.Version(obj.Version), value: doc.Plans["gold"].TokensPerSecond}
}

func countOutcomes(history []porcupine.Operation) string {
	count := map[fault.Kind]int{}
	for _, o := range history {
		if !o.Input.(operation).read {
			count[o.Output.(result).kind]++
		}
	}
	return fmt.Sprint(count)
}
