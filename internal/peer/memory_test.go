package peer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
)

// Guards against frames without an end that keep the memory from the frames of VMs of the fleet.
func TestFrameThatBeganFirstIsGivenUpForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory(1 << 20)
		var abandoned [2]atomic.Bool
		var strangers [2]*reading
		for i := range strangers {
			strangers[i] = m.begin(func() {
				abandoned[i].Store(true)
				strangers[i].end()
			})
			if strangers[i].grow(nil, 1<<19) == nil {
				t.Fatal("no memory for the first frames")
			}
		}
		frame := m.begin(func() { t.Error("the newest frame was given up") })
		if frame.grow(nil, 1<<18) == nil || !abandoned[0].Load() || abandoned[1].Load() {
			t.Errorf("abandoned %v, %v, want only the frame that began first", abandoned[0].Load(), abandoned[1].Load())
		}
		if !frame.takeForBody(1 << 18) {
			t.Error("no memory for a frame that has arrived whole")
		}
		frame.end()
		strangers[1].end()
		m.give(1 << 18)
		if m.inUse() != 0 {
			t.Errorf("%d bytes in use at the end", m.inUse())
		}
	})
}

// Guards against limits that the VMs of the largest fleet meet: 400 VMs behind one address, each with a connection, and 128 streams.
func TestLimitsLeaveRoomForTheLargestFleet(t *testing.T) {
	l := LimitsFor(64<<20, 2048)
	if need := 399 + 128; l.PerAddress < need || l.Connections < need+399 {
		t.Errorf("limits %+v, want %d connections from one address and %d in all", l, need, need+399)
	}
	if l.FrameBytes < 2*MaxFrameBytes {
		t.Errorf("%d bytes for frames, want two of the maximum size", l.FrameBytes)
	}
}
