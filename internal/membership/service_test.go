package membership_test

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/test/controlfleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const awaitTimeout = 15 * time.Second

func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	started := time.Now()
	if !controlfleet.Await(awaitTimeout, condition) {
		t.Fatalf("not reached within %v: %s", awaitTimeout, description)
	}
	t.Logf("reached after %v: %s", time.Since(started), description)
}

func allSee(vms []*controlfleet.VM, name string, want membership.State) func() bool {
	return func() bool {
		return !slices.ContainsFunc(vms, func(v *controlfleet.VM) bool {
			m, _ := v.Membership.View().Find(name)
			return m.State != want
		})
	}
}

func TestAllVMsSeeLeaveKillAndRestart(t *testing.T) {
	f := controlfleet.New(1)
	t.Cleanup(f.Close)
	vms, err := f.StartAll(3, 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range vms {
		await(t, "VM is alive in all views: "+v.Member.VM.Name, allSee(vms, v.Member.VM.Name, membership.Alive))
	}
	stopped, others := vms[1], append(slices.Clone(vms[:1]), vms[2:]...)
	if err := stopped.Membership.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	await(t, "all see the VM as leaving", allSee(others, stopped.Member.VM.Name, membership.Leaving))
	stopped.Stop()
	await(t, "all see the stopped VM as gone", allSee(others, stopped.Member.VM.Name, membership.Gone))
	killed := others[1]
	others = slices.Delete(others, 1, 2)
	killed.Kill()
	others[0].Membership.ReportUnreachable(killed.Member.VM)
	await(t, "all see the killed VM as suspect", allSee(others, killed.Member.VM.Name, membership.Suspect))
	restarted, err := f.Start(killed.Member.VM.Name, killed.Member.DataCentre)
	if err != nil {
		t.Fatal(err)
	}
	others = append(others, restarted)
	await(t, "all see the restarted VM as alive", allSee(others, killed.Member.VM.Name, membership.Alive))
	for _, v := range others {
		if !v.Membership.View().IsGone(killed.Member.VM) {
			t.Errorf("%s does not see the earlier incarnation as gone", v.Member.VM)
		}
	}
}
