package membership_test

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/test/spreadfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 15 * time.Second

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	started := time.Now()
	if !spreadfleet.Await(patience, holds) {
		t.Fatalf("waited %v until %s", patience, what)
	}
	t.Logf("%v until %s", time.Since(started), what)
}

func seen(vms []*spreadfleet.VM, name string, want membership.State) func() bool {
	return func() bool {
		return !slices.ContainsFunc(vms, func(v *spreadfleet.VM) bool {
			m, _ := v.Membership.View().Find(name)
			return m.State != want
		})
	}
}

func TestStopsDeathsAndRestartsAreSeenByAll(t *testing.T) {
	f := spreadfleet.New(1)
	t.Cleanup(f.Close)
	vms, err := f.StartAll(3, 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range vms {
		await(t, "all see "+v.Member.VM.Name, seen(vms, v.Member.VM.Name, membership.Alive))
	}
	stopped, rest := vms[1], append(slices.Clone(vms[:1]), vms[2:]...)
	if err := stopped.Membership.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	await(t, "all see the leaving VM", seen(rest, stopped.Member.VM.Name, membership.Leaving))
	stopped.Stop()
	await(t, "all see that it said goodbye", seen(rest, stopped.Member.VM.Name, membership.Gone))
	killed := rest[1]
	rest = slices.Delete(rest, 1, 2)
	killed.Kill()
	rest[0].Membership.Suspect(killed.Member.VM)
	await(t, "all see the killed VM", seen(rest, killed.Member.VM.Name, membership.Suspect))
	again, err := f.Start(killed.Member.VM.Name, killed.Member.DataCentre)
	if err != nil {
		t.Fatal(err)
	}
	rest = append(rest, again)
	await(t, "all see its next life", seen(rest, killed.Member.VM.Name, membership.Alive))
	for _, v := range rest {
		if !v.Membership.View().IsGone(killed.Member.VM) {
			t.Errorf("%s does not see the earlier life as gone", v.Member.VM)
		}
	}
}
