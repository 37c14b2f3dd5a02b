package integration

import (
	"testing"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/service"
)

func TestPartitionedDataCentreKeepsServing(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	b.PartitionDataCentre("lisboa-a")
	b.awaitCompleteResponse(vm1)
	b.awaitCompleteResponse("porto-a-vm1")
	b.must(b.EditConfiguration(func(d *configuration.Document) { d.Workspaces["new"] = configuration.Workspace{Plan: "small"} }))
	b.awaitCompleteResponse(vm2)
	b.Heal("lisboa-a")
	b.awaitCompleteResponse(vm1)
}

func TestRequestsSucceedDuringPlatformOutage(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	b.SetPlatformOutage(true)
	outs := runConcurrently(24, func(i int) experiment.Outcome { return b.chat(b.Daemons()[i%6].VM, i, 5) })
	if countComplete(outs) != len(outs) {
		t.Errorf("%d of %d responses complete: %+v", countComplete(outs), len(outs), outs)
	}
	o := b.commit(vm1, uuid())
	if o.Complete || o.Execution != fault.NotExecuted {
		t.Errorf("commit without access to the ledger was not rejected as not executed: %+v", o)
	}
	b.must(b.Kill(vm2))
	b.must(b.Replace(t.Context(), vm2)) // must fetch the configuration from its peers
	b.awaitCompleteResponse(vm2)
	b.SetPlatformOutage(false)
	b.await("a successful commit", func() bool { return b.commit(vm1, uuid()).Complete })
}

func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	b.BlackholeConnections("lisboa-a")
	b.awaitCompleteResponse(vm1)
	b.awaitCompleteResponse("lisboa-b-vm1")
	b.await("a successful commit", func() bool { return b.commit(vm1, uuid()).Complete })
}

func TestPausedVMDoesNotBlockOtherVMs(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	b.must(b.Pause(vm1))
	for _, vm := range []string{vm2, "lisboa-b-vm1", "porto-a-vm1", "coimbra-a-vm1"} {
		b.awaitCompleteResponse(vm)
	}
	b.must(b.Resume(vm1))
	b.awaitCompleteResponse(vm1)
}

func TestWithdrawnKeyIsRejectedByAllVMs(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	done := make(chan experiment.Outcome)
	go func() { done <- b.chat(vm1, 0, 900) }()
	b.awaitDecoding()
	b.must(b.WithdrawKey(b.layout.Workspaces[0].Name))
	for _, d := range b.Daemons() {
		b.await("the withdrawal at "+d.VM, func() bool { return b.chat(d.VM, 0, 3).Kind == fault.Unauthenticated })
	}
	if o := <-done; o.Complete || o.Kind != fault.Unauthenticated {
		t.Errorf("running stream of the withdrawn key was not aborted: %+v", o)
	}
	if o := b.chat(vm1, 1, 3); !o.Complete {
		t.Errorf("chat of another workspace failed: %+v", o)
	}
}

// TestCommitExecutesOnceWhenResponsesAreLost repeats each commit through other VMs while responses
// of the platform or the services are lost. The audit counts the executions.
func TestCommitExecutesOnceWhenResponsesAreLost(t *testing.T) {
	b := startFleet(t, fleet.Partilha(), nil)
	vms := b.Daemons()
	for i := range 6 {
		key := uuid()
		switch i % 3 {
		case 0:
			b.Platform.DropWriteResponses(1)
		case 1:
			for _, s := range b.Services {
				s.SetMode(service.Mode{DropResponses: 1})
			}
		}
		outs := runConcurrently(4, func(n int) experiment.Outcome { return b.commit(vms[(i+n)%len(vms)].VM, key) })
		for _, s := range b.Services {
			s.SetMode(service.Mode{})
		}
		repeat := b.commit(vms[(i+5)%len(vms)].VM, key)
		if countComplete(outs) > 0 && !repeat.Complete {
			t.Errorf("commit %d: first %+v, repeat %+v", i, outs, repeat)
		}
		if repeat.Kind != "" && repeat.Execution == fault.NotExecuted && b.executionCount(key) > 0 {
			t.Errorf("commit %d was executed, but its repeat was reported as not_run: %+v", i, repeat)
		}
	}
}

func (b *testFleet) executionCount(key string) int {
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
