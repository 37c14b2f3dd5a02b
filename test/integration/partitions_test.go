package integration

import (
	"testing"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/service"
)

func TestCutOffDataCentreServesAndHeals(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	b.CutDataCentre("lisboa-a")
	b.awaitAnswer(vm1)
	b.awaitAnswer("porto-a-vm1")
	b.must(b.Edit(func(d *configuration.Document) { d.Workspaces["new"] = configuration.Workspace{Plan: "small"} }))
	b.awaitAnswer(vm2)
	b.Heal("lisboa-a")
	b.awaitAnswer(vm1)
}

func TestPlatformOutageDoesNotStopAnswers(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	b.Outage(true)
	outs := all(24, func(i int) experiment.Outcome { return b.chat(b.Daemons()[i%6].VM, i, 5) })
	if whole(outs) != len(outs) {
		t.Errorf("%d of %d answers whole: %+v", whole(outs), len(outs), outs)
	}
	o := b.commit(vm1, uuid())
	if o.Complete || o.Run != fault.NotExecuted {
		t.Errorf("a commit without its ledger: %+v", o)
	}
	b.must(b.Kill(vm2))
	b.must(b.Replace(t.Context(), vm2)) // takes the configuration from its peers
	b.awaitAnswer(vm2)
	b.Outage(false)
	b.await("a commit", func() bool { return b.commit(vm1, uuid()).Complete })
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	b.SilenceLinks("lisboa-a")
	b.awaitAnswer(vm1)
	b.awaitAnswer("lisboa-b-vm1")
	b.await("a commit", func() bool { return b.commit(vm1, uuid()).Complete })
}

func TestPausedVMHoldsNobodyUp(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	b.must(b.Pause(vm1))
	for _, vm := range []string{vm2, "lisboa-b-vm1", "porto-a-vm1", "coimbra-a-vm1"} {
		b.awaitAnswer(vm)
	}
	b.must(b.Continue(vm1))
	b.awaitAnswer(vm1)
}

func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	done := make(chan experiment.Outcome)
	go func() { done <- b.chat(vm1, 0, 900) }()
	b.running()
	b.must(b.Withdraw(b.layout.Workspaces[0].Name))
	for _, d := range b.Daemons() {
		b.await("the withdrawal at "+d.VM, func() bool { return b.chat(d.VM, 0, 3).Kind == fault.Unauthenticated })
	}
	if o := <-done; o.Complete || o.Kind != fault.Unauthenticated {
		t.Errorf("a running stream of the key: %+v", o)
	}
	if o := b.chat(vm1, 1, 3); !o.Complete {
		t.Errorf("another workspace: %+v", o)
	}
}

// TestCommitRunsOnceThroughLostAnswers repeats each commit through other VMs; the audit counts.
func TestCommitRunsOnceThroughLostAnswers(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	vms := b.Daemons()
	for i := range 6 {
		key := uuid()
		switch i % 3 {
		case 0:
			b.Platform.LoseAnswers(1)
		case 1:
			for _, s := range b.Services {
				s.SetMode(service.Mode{LoseAnswers: 1})
			}
		}
		outs := all(4, func(n int) experiment.Outcome { return b.commit(vms[(i+n)%len(vms)].VM, key) })
		for _, s := range b.Services {
			s.SetMode(service.Mode{})
		}
		later := b.commit(vms[(i+5)%len(vms)].VM, key)
		if whole(outs) > 0 && !later.Complete {
			t.Errorf("commit %d: first %+v, repeat %+v", i, outs, later)
		}
		if later.Kind != "" && later.Run == fault.NotExecuted && b.ran(key) > 0 {
			t.Errorf("commit %d ran, its repeat says not run: %+v", i, later)
		}
	}
}

func (b *bench) ran(key string) int {
	n := 0
	for _, s := range b.Services {
		for k, runs := range s.Stats().Commits {
			if k == key {
				n += runs
			}
		}
	}
	return n
}
