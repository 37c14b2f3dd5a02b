package schedule

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestOneVMAtATimeAsksForRoom: when a VM gives room back, calls that wait at the others ask for it
// one VM after the other, so that the claim of the first is known to the next.
func TestOneVMAtATimeAsksForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const way = 2 * time.Millisecond // of a message
		order := []ident.VM{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
		x := traffic.EndpointID{Name: "x"}
		var claims atomic.Int32
		fleet := make([]*Scheduler, len(order))
		tell := func(from int, seq uint64, w Work) {
			for j, s := range fleet {
				if j != from {
					time.AfterFunc(way, func() { s.HeardWork(order[from], seq, x, w) })
				}
			}
		}
		for i := range order {
			fleet[i], _ = newTestScheduler(endpoint("x", "a", traffic.Decode))
			fleet[i].SetOrder(order, i)
		}
		tell(0, 1, Work{Calls: 9, Tokens: testMemory - 100}) // all that the engine has
		time.Sleep(2 * way)
		for i, s := range fleet[1:] {
			go func() {
				turn := s.Queue(decodeAsk())
				defer turn.Leave()
				for {
					freed := s.Freed()
					if c, err := s.Place(decodeAsk(), turn); err == nil {
						claims.Add(1)
						tell(i+1, 1, c.work)
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
		tell(0, 2, Work{Calls: 8, Tokens: testMemory - 6000}) // room for one more
		time.Sleep(2*way + time.Duration(len(order))*slotTime)
		synctest.Wait()
		if claims.Load() != 1 {
			t.Errorf("%d calls claimed the room of one", claims.Load())
		}
		tell(0, 3, Work{}) // room for all
		time.Sleep(2*way + time.Duration(len(order))*slotTime)
		synctest.Wait()
		if claims.Load() != 3 {
			t.Errorf("%d calls were placed in the end, want 3", claims.Load())
		}
	})
}
