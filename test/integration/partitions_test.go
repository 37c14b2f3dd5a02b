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
	f := startFleet(t, fleet.Partilha(), nil)
	f.PartitionDataCentre("lisboa-a")
	f.awaitCompleteResponse(vm1)
	f.awaitCompleteResponse("porto-a-vm1")
	f.must(f.EditConfiguration(func(d *configuration.Document) { d.Workspaces["new"] = configuration.Workspace{Plan: "small"} }))
	f.awaitCompleteResponse(vm2)
	f.Heal("lisboa-a")
	f.awaitCompleteResponse(vm1)
}

func TestChatsSucceedAndCommitsAreRejectedDuringPlatformOutage(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	f.SetPlatformOutage(true)
	outs := runConcurrently(24, func(i int) experiment.Outcome { return f.chat(f.Daemons()[i%6].VM, i, 5) })
	if countComplete(outs) != len(outs) {
		t.Errorf("%d of %d responses complete: %+v", countComplete(outs), len(outs), outs)
	}
	o := f.commit(vm1, uuid())
	if o.Complete || o.Execution != fault.NotExecuted {
		t.Errorf("commit during a platform outage: got %+v, want a rejection as not executed", o)
	}
	f.must(f.Kill(vm2))
	f.must(f.Replace(t.Context(), vm2)) // The new daemon must fetch the configuration from its peers.
	f.awaitCompleteResponse(vm2)
	f.SetPlatformOutage(false)
	f.await("a successful commit", func() bool { return f.commit(vm1, uuid()).Complete })
}

func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	f.BlackholeConnections("lisboa-a")
	f.awaitCompleteResponse(vm1)
	f.awaitCompleteResponse("lisboa-b-vm1")
	f.await("a successful commit", func() bool { return f.commit(vm1, uuid()).Complete })
}

func TestPausedVMDoesNotBlockOtherVMs(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	f.must(f.Pause(vm1))
	for _, vm := range []string{vm2, "lisboa-b-vm1", "porto-a-vm1", "coimbra-a-vm1"} {
		f.awaitCompleteResponse(vm)
	}
	f.must(f.Resume(vm1))
	f.awaitCompleteResponse(vm1)
}

func TestWithdrawnKeyIsRejectedByAllVMs(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	done := make(chan experiment.Outcome)
	go func() { done <- f.chat(vm1, 0, 900) }()
	f.awaitDecoding()
	f.must(f.WithdrawKey(f.layout.Workspaces[0].Name))
	for _, d := range f.Daemons() {
		f.await("rejection of the withdrawn key by "+d.VM,
			func() bool { return f.chat(d.VM, 0, 3).Kind == fault.Unauthenticated })
	}
	if o := <-done; o.Complete || o.Kind != fault.Unauthenticated {
		t.Errorf("running stream of the withdrawn key was not aborted: %+v", o)
	}
	if o := f.chat(vm1, 1, 3); !o.Complete {
		t.Errorf("chat of another workspace failed: %+v", o)
	}
}

// TestCommitExecutesOnceWhenResponsesAreLost repeats each commit through other VMs while responses
// of the platform or the services are lost; every third commit loses none. The audit counts the
// executions.
func TestCommitExecutesOnceWhenResponsesAreLost(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	vms := f.Daemons()
	for i := range 6 {
		key := uuid()
		switch i % 3 {
		case 0:
			f.Platform.DropWriteResponses(1)
		case 1:
			for _, s := range f.Services {
				s.SetMode(service.Mode{DropResponses: 1})
			}
		}
		outs := runConcurrently(4, func(n int) experiment.Outcome { return f.commit(vms[(i+n)%len(vms)].VM, key) })
		for _, s := range f.Services {
			s.SetMode(service.Mode{})
		}
		repeat := f.commit(vms[(i+5)%len(vms)].VM, key)
		if countComplete(outs) > 0 && !repeat.Complete {
			t.Errorf("commit %d succeeded, but its repeat did not: first %+v, repeat %+v", i, outs, repeat)
		}
		if repeat.Kind != "" && repeat.Execution == fault.NotExecuted && f.executionCount(key) > 0 {
			t.Errorf("commit %d was executed, but its repeat was reported as not_run: %+v", i, repeat)
		}
	}
}

func (f *testFleet) executionCount(key string) int {
	n := 0
	for _, s := range f.Services {
		for k, executions := range s.Stats().Commits {
			if k == key {
				n += executions
			}
		}
	}
	return n
}
