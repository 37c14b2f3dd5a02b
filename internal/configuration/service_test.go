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
	"github.com/fulmartide/fulmartide/test/spreadfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 15 * time.Second

func startFleet(t *testing.T, perDataCentre ...int) (*spreadfleet.Fleet, []*spreadfleet.VM) {
	t.Helper()
	f := spreadfleet.New(1)
	t.Cleanup(f.Close)
	vms, err := f.StartAll(perDataCentre...)
	if err != nil {
		t.Fatal(err)
	}
	all := func() bool {
		return !slices.ContainsFunc(vms, func(v *spreadfleet.VM) bool { return len(v.Membership.View().Members) < len(vms) })
	}
	if !spreadfleet.Await(patience, all) {
		t.Fatal("the VMs did not meet")
	}
	return f, vms
}

// document gives a valid document that n tells from others.
func document(n int) configuration.Document {
	return configuration.Document{
		DataCentres: map[string]configuration.DataCentre{"dc-0": {Region: "r"}},
		Plans:       map[string]configuration.Plan{"gold": {TokensPerSecond: int64(n), BurstTokens: 1000}},
		Workspaces:  map[string]configuration.Workspace{"w": {Plan: "gold"}},
	}
}

func reached(vms []*spreadfleet.VM, v configuration.Version) bool {
	return !slices.ContainsFunc(vms, func(vm *spreadfleet.VM) bool { return vm.Configuration.Digest() < uint64(v) })
}

// watchVersions fails the test when a VM's version ever falls.
func watchVersions(t *testing.T, vms []*spreadfleet.VM) {
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

func TestAcceptedVersionReachesEveryVM(t *testing.T) {
	f, vms := startFleet(t, 3, 2, 1)
	watchVersions(t, vms)
	var base configuration.Version
	for n := range 5 {
		started := time.Now()
		v, err := vms[n].Configuration.Apply(t.Context(), document(n+1), base)
		if err != nil {
			t.Fatal(err)
		}
		if !spreadfleet.Await(patience, func() bool { return reached(vms, v) }) {
			t.Fatalf("version %d did not reach all: %+v", v, vms[0].Configuration.Confirmations())
		}
		t.Logf("version %d on %d VMs after %v", v, len(vms), time.Since(started))
		base = v
	}
	for _, dc := range vms[5].Configuration.Confirmations() {
		for _, vm := range dc.VMs {
			if !vm.Answered || vm.Version != base {
				t.Errorf("%s: %+v", dc.DataCentre, vm)
			}
		}
	}
	revisions, err := vms[2].Configuration.History(t.Context())
	if err != nil || len(revisions) != 5 || revisions[4].Objects[0] != "plans/gold" {
		t.Fatalf("history %+v, %v", revisions, err)
	}
	f.Platform.SetUnavailable(true)
	if _, err := vms[0].Configuration.Apply(t.Context(), document(9), base); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("apply with the platform away: %v", err)
	}
	late, err := f.Start("vm-0-9", "dc-0", vms[1].Member.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	if !spreadfleet.Await(patience, func() bool { return reached([]*spreadfleet.VM{late}, base) }) {
		t.Fatal("a VM that started while the platform is away got no configuration from its peers")
	}
	if got := late.Configuration.Current().Document.Plans["gold"]; got.TokensPerSecond != 5 || got.Weight != 1 {
		t.Fatalf("from peers: %+v", got)
	}
}

func TestDataCentreCutFromPlatformAndDeadWatcher(t *testing.T) {
	f, vms := startFleet(t, 3, 3)
	watchVersions(t, vms)
	f.Platform.SetUnavailableFor("dc-1", true)
	v1, err := vms[0].Configuration.Apply(t.Context(), document(1), 0)
	if err != nil {
		t.Fatal(err)
	}
	if !spreadfleet.Await(patience, func() bool { return reached(vms, v1) }) {
		t.Fatal("the version did not reach the data centre cut off from the platform")
	}
	var left []*spreadfleet.VM
	for _, vm := range vms {
		if _, bridge := vm.Membership.View().BridgeRank(); bridge && vm.Member.DataCentre == "dc-0" {
			vm.Kill()
		} else {
			left = append(left, vm)
		}
	}
	died := time.Now()
	v2, err := left[0].Configuration.Apply(t.Context(), document(2), v1)
	if err != nil {
		t.Fatal(err)
	}
	if !spreadfleet.Await(patience, func() bool { return reached(left, v2) }) {
		t.Fatal("the version did not reach all after both watchers of a data centre died")
	}
	t.Logf("version reached all %v after both watchers of a data centre died", time.Since(died))
}

type op struct {
	read bool
	base configuration.Version
	mark int64
}

type result struct {
	version configuration.Version
	mark    int64
	kind    fault.Kind
}

type state struct {
	version configuration.Version
	mark    int64
}

// casModel is a register that changes only from the version that the change names.
var casModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(st, in, out any) []any {
		s, o, r := st.(state), in.(op), out.(result)
		switch {
		case o.read:
			if r.kind != "" || (s.version == r.version && s.mark == r.mark) {
				return []any{s}
			}
		case r.kind == fault.Conflict:
			if s.version != o.base {
				return []any{s}
			}
		case r.kind == fault.OutcomeUnknown:
			// The write may take effect at a version that only a later read shows.
			if s.version == o.base {
				return []any{s, state{o.base + 1, o.mark}, state{o.base + 2, o.mark}, state{o.base + 3, o.mark}}
			}
			return []any{s}
		case r.kind != "":
			return []any{s}
		case s.version == o.base && r.version > o.base:
			return []any{state{r.version, o.mark}}
		}
		return nil
	},
}

func TestRacingAppliesAreLinearizableWithLostAnswersAndOutages(t *testing.T) {
	f, vms := startFleet(t, 2, 1)
	watchVersions(t, vms)
	f.Platform.SetWriteFaults(0.25, 0.15)
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	record := func(client int, in op, call time.Duration, out result) {
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
				got := read(t.Context(), f)
				record(c, op{read: true}, call, got)
				in := op{base: got.version, mark: int64(1 + c*100 + n)}
				if rng.IntN(5) == 0 && in.base > 0 {
					in.base--
				}
				call = time.Since(start)
				v, err := vm.Configuration.Apply(t.Context(), document(int(in.mark)), in.base)
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
	if !porcupine.CheckOperations(casModel.ToModel(), history) {
		t.Fatal("the history is not that of one conditional register")
	}
	t.Logf("%d operations: %s", len(history), tally(history))
	final := read(t.Context(), f)
	if !spreadfleet.Await(patience, func() bool { return reached(vms, final.version) }) {
		t.Fatal("the last version did not reach all")
	}
	for _, vm := range vms {
		if got := vm.Configuration.Current().Document.Plans["gold"].TokensPerSecond; got != final.mark {
			t.Errorf("%s has document %d, the platform %d", vm.Member.VM, got, final.mark)
		}
	}
}

func read(ctx context.Context, f *spreadfleet.Fleet) result {
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
	return result{version: configuration.Version(obj.Version), mark: doc.Plans["gold"].TokensPerSecond}
}

func tally(history []porcupine.Operation) string {
	count := map[fault.Kind]int{}
	for _, o := range history {
		if !o.Input.(op).read {
			count[o.Output.(result).kind]++
		}
	}
	return fmt.Sprint(count)
}
