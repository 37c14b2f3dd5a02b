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

// running waits until some engine decodes, and gives its name.
func (b *bench) running() string {
	var busy string
	b.await("a decode", func() bool {
		for name, held := range b.Held() {
			for _, h := range held {
				if h.Stage == "decode" {
					busy = name
					return true
				}
			}
		}
		return false
	})
	return busy
}

// TestSixtyFourCallersGetTheirOwnTokensInOrder adds late and crossed frames to every stream.
func TestSixtyFourCallersGetTheirOwnTokensInOrder(t *testing.T) {
	for name, layout := range fleet.Layouts() {
		t.Run(name, func(t *testing.T) {
			b := start(t, layout, nil)
			for _, e := range b.Engines {
				e.SetMode(engine.Mode{Stray: true})
			}
			vms := b.Daemons()
			outs := all(64, func(i int) experiment.Outcome { return b.chat(vms[i%len(vms)].VM, i, 20) })
			if n := whole(outs); n != len(outs) {
				t.Errorf("%d of %d answers whole: %+v", n, len(outs), outs)
			}
		})
	}
}

func TestStreamsGoOnElsewhereWhenAnEngineFallsSilent(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	done := make(chan []experiment.Outcome)
	go func() { done <- all(12, func(i int) experiment.Outcome { return b.chat(vm1, i, 150) }) }()
	b.Engines[b.running()].SetMode(engine.Mode{Silent: true})
	outs := <-done
	if n := whole(outs); n != len(outs) {
		t.Errorf("%d of %d answers whole: %+v", n, len(outs), outs)
	}
	for _, e := range b.Engines {
		e.SetMode(engine.Mode{})
	}
}

func TestStalledTransferIsDecodedElsewhere(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	b.Engines["lisboa-a-decode1"].SetMode(engine.Mode{StallLink: true})
	outs := all(8, func(i int) experiment.Outcome { return b.chat(vm1, i, 10) })
	if n := whole(outs); n != len(outs) {
		t.Errorf("%d of %d answers whole: %+v", n, len(outs), outs)
	}
	b.Engines["lisboa-a-decode1"].SetMode(engine.Mode{})
}

// TestMemoryIsFreedWhenAVMDiesMidStream: the audit waits until engines hold nothing.
func TestMemoryIsFreedWhenAVMDiesMidStream(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	done := make(chan []experiment.Outcome)
	go func() { done <- all(8, func(i int) experiment.Outcome { return b.chat(vm1, i, 400) }) }()
	b.running()
	b.must(b.Kill(vm1))
	<-done
	for _, e := range b.Engines {
		e.SetMode(engine.Mode{DropCancels: 3})
	}
	b.must(b.Replace(t.Context(), vm1))
	b.awaitAnswer(vm1)
}

func TestPlannedStopFinishesStreams(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	done := make(chan []experiment.Outcome)
	go func() { done <- all(8, func(i int) experiment.Outcome { return b.chat(vm1, i, 100) }) }()
	b.running()
	b.await("all streams", func() bool {
		n := 0
		for _, held := range b.Held() {
			n += len(held)
		}
		return n >= 8
	})
	b.must(b.Terminate(vm1))
	if outs := <-done; whole(outs) != len(outs) {
		t.Errorf("%d of %d answers whole: %+v", whole(outs), len(outs), outs)
	}
	b.awaitAnswer(vm2)
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	b := start(t, fleet.Partilha(), nil)
	b.must(b.Drain("lisboa-a-decode1"))
	e := b.Engines["lisboa-a-decode1"]
	b.await("the drain", func() bool {
		before := e.Stats().Decodes
		outs := all(12, func(i int) experiment.Outcome { return b.chat(vm2, i, 3) })
		return whole(outs) == len(outs) && e.Stats().Decodes == before
	})
	before := e.Stats().Decodes
	for range 4 {
		all(12, func(i int) experiment.Outcome { return b.chat(vm1, i, 3) })
	}
	if got := e.Stats().Decodes - before; got != 0 {
		t.Errorf("a leaving endpoint got %d orders", got)
	}
}
