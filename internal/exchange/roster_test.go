package exchange

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
)

func member(n int, incarnation ident.Incarnation, dataCentre string) Member {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7600)
	return Member{VM: ident.VM{Name: fmt.Sprint("vm-", n), Incarnation: incarnation}, Address: addr, DataCentre: dataCentre}
}

func start() clock.Instant { return clock.Instant(time.Hour) }

func TestARestartedVMReplacesItsEarlierLife(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	r.hear(start(), &beat{From: member(2, 5, "a")})
	c := r.hear(start(), &beat{From: member(2, 6, "a"), Full: true, Counts: []count{{Name: "w", N: 900}}})
	if c.replaced != (ident.VM{Name: "vm-2", Incarnation: 5}) {
		t.Errorf("replaced %v", c.replaced)
	}
	if len(c.counted) != 0 {
		t.Errorf("what the new life admitted before it was known counts: %v", c.counted)
	}
	if late := r.hear(start(), &beat{From: member(2, 5, "a")}); !late.late {
		t.Error("a heartbeat of the earlier life was taken")
	}
}

// TestALifeBegunAfterTheClockWasSetBackIsHeard: a VM that starts anew while its time of day is
// behind numbers its life lower than the former one.
func TestALifeBegunAfterTheClockWasSetBackIsHeard(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	r.hear(start(), &beat{From: member(2, 5, "a")})
	if late := r.hear(start(), &beat{From: member(2, 3, "a")}); !late.late {
		t.Error("a lower life took the place of one that is heard")
	}
	later := start().Add(silentAfter + time.Millisecond)
	r.pass(later)
	if c := r.hear(later, &beat{From: member(2, 3, "a")}); c.late || c.replaced != (ident.VM{Name: "vm-2", Incarnation: 5}) {
		t.Errorf("after the former life fell silent: %+v", c)
	}
	if late := r.hear(later, &beat{From: member(2, 5, "a")}); !late.late {
		t.Error("a late heartbeat brought the former life back")
	}
}

func TestAVMThatLeftDoesNotComeBack(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	r.hear(start(), &beat{From: member(2, 5, "a")})
	r.hear(start(), &beat{From: member(2, 5, "a"), Leaving: true})
	if c := r.hear(start(), &beat{From: member(2, 5, "a")}); !c.late {
		t.Error("a late heartbeat brought the VM back")
	}
	if known, _ := r.counts(); known != 1 {
		t.Errorf("%d VMs known", known)
	}
}

func TestSilentThenGone(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	r.hear(start(), &beat{From: member(2, 5, "a")})
	silent, gone := r.pass(start().Add(silentAfter + time.Millisecond))
	if len(silent) != 1 || len(gone) != 0 {
		t.Fatalf("silent %v, gone %v", silent, gone)
	}
	if known, heard := r.counts(); known != 2 || heard != 1 {
		t.Errorf("known %d, heard %d: a silent VM may be serving behind a cut", known, heard)
	}
	if _, gone = r.pass(start().Add(goneAfter + time.Millisecond)); len(gone) != 1 {
		t.Errorf("gone %v", gone)
	}
}

func TestAdmittedIsTheDifference(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	from := member(2, 5, "a")
	r.hear(start(), &beat{From: from, Full: true, Counts: []count{{Name: "w", N: 100}}})
	if got := r.changed(from.VM, from.Address, []count{{Name: "w", N: 250}})[admission.CounterKey{Name: "w"}]; got != 150 {
		t.Errorf("admitted %d, want 150", got)
	}
	c := r.hear(start(), &beat{From: from, Full: true, Counts: []count{{Name: "w", N: 250}}})
	if got := c.counted[admission.CounterKey{Name: "w"}]; got != 0 {
		t.Errorf("the heartbeat counts %d again", got)
	}
	if got := r.changed(ident.VM{Name: "vm-2", Incarnation: 4}, from.Address, []count{{Name: "w", N: 900}})[admission.CounterKey{Name: "w"}]; got != 0 {
		t.Errorf("a message of an earlier life counts %d", got)
	}
}

// TestSharesOfBothSidesOfACut shows that a data centre with one VM keeps the part of its
// callers, and that the parts of all sides add up to no more than the whole.
func TestSharesOfBothSidesOfACut(t *testing.T) {
	lone, other := newRoster(member(1, 1, "a")), newRoster(member(2, 1, "b"))
	for n := 1; n <= 6; n++ {
		m := member(n, 1, map[bool]string{true: "a", false: "b"}[n == 1])
		if n != 1 {
			lone.hear(start(), &beat{From: m})
		}
		if n != 2 {
			other.hear(start(), &beat{From: m})
		}
	}
	if lone.share() != 1 || other.share() != 1 {
		t.Fatalf("before the cut the shares are %v and %v", lone.share(), other.share())
	}
	later := start().Add(silentAfter + time.Millisecond)
	lone.pass(later)
	for n := 3; n <= 6; n++ {
		other.hear(later, &beat{From: member(n, 1, "b")})
	}
	other.pass(later)
	if lone.share() != 0.5 || other.share() != 0.5 {
		t.Errorf("during the cut the shares are %v and %v", lone.share(), other.share())
	}
}

func TestALargeFleetTellsFarVMsLess(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	for n := 2; n <= largeFleet+1; n++ {
		r.hear(start(), &beat{From: member(n, 1, "ab"[n%2:n%2+1])})
	}
	near, far := 0, 0
	for _, p := range r.peers {
		if r.near(p) {
			near++
		} else {
			far++
		}
	}
	if near != largeFleet/2 || far != largeFleet/2 {
		t.Errorf("%d near and %d far", near, far)
	}
	if got := r.split(); got != 0.5 {
		t.Errorf("one of two data centres may use %v of what is left", got)
	}
	if !r.first() || r.rank() != 0 {
		t.Errorf("the lowest address is first %v, rank %d", r.first(), r.rank())
	}
}

// TestALightHeartbeatSaysNothingOfPlans shows that only a full one is taken for what a VM admitted.
func TestALightHeartbeatSaysNothingOfPlans(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	from := member(2, 5, "a")
	full := func(tokens int64) *beat {
		return &beat{From: from, Full: true, Counts: []count{{Name: "w", N: tokens}}}
	}
	r.hear(start(), &beat{From: from})
	if c := r.hear(start(), full(900)); len(c.counted) != 0 {
		t.Errorf("what was admitted before the first full heartbeat counts: %v", c.counted)
	}
	r.hear(start(), &beat{From: from})
	if c := r.hear(start(), full(950)); c.counted[admission.CounterKey{Name: "w"}] != 50 {
		t.Errorf("after a light heartbeat %v is counted, want 50", c.counted)
	}
}
