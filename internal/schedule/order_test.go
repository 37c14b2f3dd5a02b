package schedule

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestFreedCapacityIsClaimedOnce checks that when a VM frees capacity, the calls queued at the
// other VMs try to claim it one VM after the other, so that the claim of one is known to the next.
func TestFreedCapacityIsClaimedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 2 * time.Millisecond // of a message
		order := []ident.VM{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
		x := traffic.EndpointID{Name: "x"}
		var claims atomic.Int32
		fleet := make([]*Scheduler, len(order))
		report := func(from int, seq uint64, w Work) {
			for j, s := range fleet {
				if j != from {
					time.AfterFunc(latency, func() { s.UpdateWork(order[from], seq, x, w) })
				}
			}
		}
		for i := range order {
			fleet[i], _ = newTestScheduler(newEngine("x", "a", traffic.Decode))
			fleet[i].SetPeerOrder(order, i, 1)
		}
		report(0, 1, Work{Calls: 9, Tokens: testCapacity - 100}) // the engine is full
		time.Sleep(2 * latency)
		for i, s := range fleet[1:] {
			go func() {
				entry := s.Enqueue(decodeRequest())
				defer entry.Leave()
				for {
					freed := s.CapacityFreed()
					if c, err := s.Place(decodeRequest(), entry); err == nil {
						claims.Add(1)
						report(i+1, 1, c.work)
						return
					}
					select {
					case <-freed:
					case <-t.Context().Done():
						return
					}
				}
			}()
		}
		synctest.Wait()
		report(0, 2, Work{Calls: 8, Tokens: testCapacity - 6000}) // capacity for one more call
		time.Sleep(2*latency + time.Duration(len(order))*wakeSlot)
		synctest.Wait()
		if claims.Load() != 1 {
			t.Errorf("%d calls were placed, want 1", claims.Load())
		}
		report(0, 3, Work{}) // capacity for all calls
		time.Sleep(2*latency + time.Duration(len(order))*wakeSlot)
		synctest.Wait()
		if claims.Load() != 3 {
			t.Errorf("%d calls were placed, want 3", claims.Load())
		}
	})
}

// TestWakeSlotsOfSubsets checks that in a large data centre the VMs that are told of freed capacity claim it
// in slots that follow each other directly.
func TestWakeSlotsOfSubsets(t *testing.T) {
	order := make([]ident.VM, 48)
	for i := range order {
		order[i].Name = string(rune('A' + i))
	}
	for _, tc := range []struct {
		self, subsets int
		want          time.Duration
	}{
		{self: 0, subsets: 1, want: 0},
		{self: 45, subsets: 1, want: 45 * wakeSlot},
		{self: 3, subsets: 3, want: wakeSlot},
		{self: 45, subsets: 3, want: 15 * wakeSlot},
	} {
		s, _ := newTestScheduler()
		s.SetPeerOrder(order, tc.self, tc.subsets)
		if got := s.wakeDelay(order[0]); got != tc.want {
			t.Errorf("VM %d of 48 in %d subsets waits %s, want %s", tc.self, tc.subsets, got, tc.want)
		}
	}
}
