package rebalance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestLeaseOfRestoredStore restores the lease from backups at random while three VMs order moves. No
// two VMs give orders within the lease duration, and each acquisition has a higher fencing token.
func TestLeaseOfRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &fakeCluster{clock: &manualClock{now: clock.Instant(time.Hour)}, era: uint64(rapid.IntRange(0, 1).Draw(t, "era"))}
		vms := []*Rebalancer{c.newRebalancer("a"), c.newRebalancer("b"), c.newRebalancer("c")}
		for _, vm := range vms {
			vm.era = c.era
		}
		backup := c.lease
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				c.clock.now = c.clock.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"back up": func(*rapid.T) { backup = c.lease },
			"restore": func(*rapid.T) {
				c.era++
				c.lease = backup
			},
			"VM hears of the era": func(t *rapid.T) { rapid.SampledFrom(vms).Draw(t, "vm").SetStoreEra(c.era) },
			"VM restarts": func(t *rapid.T) {
				i := rapid.IntRange(0, len(vms)-1).Draw(t, "vm")
				vms[i] = c.newRebalancer(vms[i].Self)
				vms[i].eraKnownAt = 0
			},
			"move": func(t *rapid.T) {
				vm := rapid.SampledFrom(vms).Draw(t, "vm")
				_ = vm.move(t.Context(), Move{Service: "s", From: traffic.Prefill, To: traffic.Decode, Count: 1})
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(c.orders); i++ {
					previous, last := c.orders[i-1], c.orders[i]
					if last.fence <= previous.fence {
						t.Fatalf("fencing token %d of %s follows %d of %s", last.fence, last.holder, previous.fence, previous.holder)
					}
					if last.holder != previous.holder && last.at.Sub(previous.at) < vms[0].LeaseDuration {
						t.Fatalf("%s gives an order %s after %s", last.holder, last.at.Sub(previous.at), previous.holder)
					}
				}
			},
		})
	})
}
