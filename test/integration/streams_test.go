package integration

import (
	"testing"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

const (
	vm1 = "lisboa-a-vm1"
	vm2 = "lisboa-a-vm2"
)

// awaitDecoding waits until an engine is decoding and returns its endpoint name.
func (f *testFleet) awaitDecoding() string {
	var decoding string
	f.await("a running decode", func() bool {
		for name, allocations := range f.Allocations() {
			for _, a := range allocations {
				if a.Stage == "decode" {
					decoding = name
					return true
				}
			}
		}
		return false
	})
	return decoding
}

// awaitDecodes waits until n calls are decoding.
func (f *testFleet) awaitDecodes(n int) {
	f.await("running decodes", func() bool {
		running := 0
		for _, allocations := range f.Allocations() {
			for _, a := range allocations {
				if a.Stage == "decode" {
					running++
				}
			}
		}
		return running >= n
	})
}

// TestConcurrentStreamsReceiveOnlyTheirOwnTokens adds duplicate frames and frames of other requests
// to 64 concurrent streams. Each must deliver exactly its own tokens in order.
func TestConcurrentStreamsReceiveOnlyTheirOwnTokens(t *testing.T) {
	for name, layout := range fleet.Layouts() {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, layout, nil)
			for _, e := range f.Engines {
				e.SetMode(engine.Mode{StrayFrames: true})
			}
			vms := f.Daemons()
			outs := runConcurrently(64, func(i int) experiment.Outcome { return f.chat(vms[i%len(vms)].VM, i, 20) })
			if n := countComplete(outs); n != len(outs) {
				t.Errorf("%d of %d responses complete: %+v", n, len(outs), outs)
			}
		})
	}
}

func TestStreamsContinueOnAnotherEngineWhenOneIsUnresponsive(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	done := make(chan []experiment.Outcome)
	go func() { done <- runConcurrently(12, func(i int) experiment.Outcome { return f.chat(vm1, i, 150) }) }()
	f.Engines[f.awaitDecoding()].SetMode(engine.Mode{Unresponsive: true})
	outs := <-done
	if n := countComplete(outs); n != len(outs) {
		t.Errorf("%d of %d responses complete: %+v", n, len(outs), outs)
	}
	for _, e := range f.Engines {
		e.SetMode(engine.Mode{})
	}
}

func TestStalledTransferIsDecodedOnAnotherEngine(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	f.Engines["lisboa-a-decode1"].SetMode(engine.Mode{StallLink: true})
	outs := runConcurrently(8, func(i int) experiment.Outcome { return f.chat(vm1, i, 10) })
	if n := countComplete(outs); n != len(outs) {
		t.Errorf("%d of %d responses complete: %+v", n, len(outs), outs)
	}
	f.Engines["lisboa-a-decode1"].SetMode(engine.Mode{})
}

// TestMemoryIsFreedWhenVMIsKilledMidStream kills a VM with running streams. Each engine then drops the
// next three cancel requests. The audit waits until the engines have no allocations.
func TestMemoryIsFreedWhenVMIsKilledMidStream(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	done := make(chan []experiment.Outcome)
	go func() { done <- runConcurrently(8, func(i int) experiment.Outcome { return f.chat(vm1, i, 400) }) }()
	f.awaitDecoding()
	f.must(f.Kill(vm1))
	<-done
	for _, e := range f.Engines {
		e.SetMode(engine.Mode{DropCancels: 3})
	}
	f.must(f.Replace(t.Context(), vm1))
	f.awaitCompleteResponse(vm1)
}

func TestPlannedStopFinishesStreams(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	done := make(chan []experiment.Outcome)
	go func() { done <- runConcurrently(8, func(i int) experiment.Outcome { return f.chat(vm1, i, 100) }) }()
	f.awaitDecoding()
	f.await("8 allocations", func() bool {
		n := 0
		for _, allocations := range f.Allocations() {
			n += len(allocations)
		}
		return n >= 8
	})
	f.must(f.Terminate(vm1))
	if outs := <-done; countComplete(outs) != len(outs) {
		t.Errorf("%d of %d responses complete: %+v", countComplete(outs), len(outs), outs)
	}
	f.awaitCompleteResponse(vm2)
}

func TestDrainingEndpointReceivesNoNewRequests(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	f.must(f.DrainEndpoint("lisboa-a-decode1"))
	e := f.Engines["lisboa-a-decode1"]
	f.await("the drain to take effect", func() bool {
		before := e.Stats().Decodes
		outs := runConcurrently(12, func(i int) experiment.Outcome { return f.chat(vm2, i, 3) })
		return countComplete(outs) == len(outs) && e.Stats().Decodes == before
	})
	before := e.Stats().Decodes
	for range 4 {
		runConcurrently(12, func(i int) experiment.Outcome { return f.chat(vm1, i, 3) })
	}
	if got := e.Stats().Decodes - before; got != 0 {
		t.Errorf("draining endpoint received %d new decodes, want 0", got)
	}
}
