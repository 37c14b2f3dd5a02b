package statesync

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

func TestRestartReplacesEarlierIncarnation(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	table.applyHeartbeat(start(), &heartbeat{From: member(2, 5, "a")})
	c := table.applyHeartbeat(start(), &heartbeat{From: member(2, 6, "a"), Full: true, Counters: []counter{{Name: "w", Total: 900}}})
	if c.replaced != (ident.VM{Name: "vm-2", Incarnation: 5}) {
		t.Errorf("replaced %v, want incarnation 5 of vm-2", c.replaced)
	}
	if len(c.increments) != 0 {
		t.Errorf("usage admitted before the first heartbeat of the new incarnation is counted: %v", c.increments)
	}
	if c := table.applyHeartbeat(start(), &heartbeat{From: member(2, 5, "a")}); !c.stale {
		t.Error("a heartbeat of the earlier incarnation was accepted")
	}
}

// TestRestartAfterClockWasSetBack: a VM that restarts after its wall clock was set back has a lower
// incarnation number than before.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	table.applyHeartbeat(start(), &heartbeat{From: member(2, 5, "a")})
	if c := table.applyHeartbeat(start(), &heartbeat{From: member(2, 3, "a")}); !c.stale {
		t.Error("a lower incarnation replaced a live one")
	}
	later := start().Add(unresponsiveAfter + time.Millisecond)
	table.expire(later)
	if c := table.applyHeartbeat(later, &heartbeat{From: member(2, 3, "a")}); c.stale || c.replaced != (ident.VM{Name: "vm-2", Incarnation: 5}) {
		t.Errorf("after the earlier incarnation became unresponsive: %+v", c)
	}
	if c := table.applyHeartbeat(later, &heartbeat{From: member(2, 5, "a")}); !c.stale {
		t.Error("a stale heartbeat brought the earlier incarnation back")
	}
}

func TestStaleHeartbeatAfterLeaving(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	table.applyHeartbeat(start(), &heartbeat{From: member(2, 5, "a")})
	table.applyHeartbeat(start(), &heartbeat{From: member(2, 5, "a"), Leaving: true})
	if c := table.applyHeartbeat(start(), &heartbeat{From: member(2, 5, "a")}); !c.stale {
		t.Error("a stale heartbeat brought the VM back")
	}
	if known, _ := table.size(); known != 1 {
		t.Errorf("%d VMs known, want 1", known)
	}
}

func TestExpiry(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	table.applyHeartbeat(start(), &heartbeat{From: member(2, 5, "a")})
	unresponsive, removed := table.expire(start().Add(unresponsiveAfter + time.Millisecond))
	if len(unresponsive) != 1 || len(removed) != 0 {
		t.Fatalf("unresponsive %v, removed %v, want one unresponsive VM", unresponsive, removed)
	}
	if known, live := table.size(); known != 2 || live != 1 {
		t.Errorf("known %d, live %d, want 2 and 1: an unresponsive VM may still be serving behind a partition", known, live)
	}
	if _, removed = table.expire(start().Add(removeAfter + time.Millisecond)); len(removed) != 1 {
		t.Errorf("removed %v, want one VM", removed)
	}
}

// TestRegistryDoesNotRestoreRemovedVM guards against a lost VM that keeps its share of the plans for
// ever: its entry stays in the registry, which is read again and again.
func TestRegistryDoesNotRestoreRemovedVM(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	lostVM := member(2, 5, "a")
	table.addListed(start(), []Member{lostVM})
	later := start().Add(removeAfter + time.Millisecond)
	table.expire(later)
	added, lost := table.addListed(later, []Member{lostVM, member(3, 1, "a")})
	if len(added) != 1 || added[0].VM.Name != "vm-3" || len(lost) != 1 || lost[0].VM != lostVM.VM {
		t.Fatalf("added %v, lost %v", added, lost)
	}
	if c := table.applyHeartbeat(later, &heartbeat{From: lostVM}); !c.joined || c.stale {
		t.Errorf("heartbeat of the lost VM: %+v, want it to join again", c)
	}
	if restarted := member(2, 6, "a"); len(table.gone) != 0 || table.peers[restarted.Address] == nil {
		t.Errorf("lost VMs %v, members %v", table.gone, table.peers)
	}
}

func TestCounterIncrements(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	from := member(2, 5, "a")
	table.applyHeartbeat(start(), &heartbeat{From: from, Full: true, Counters: []counter{{Name: "w", Total: 100}}})
	if got := table.applyCounters(start(), from.VM, from.Address, []counter{{Name: "w", Total: 250}})[admission.CounterKey{Name: "w"}]; got != 150 {
		t.Errorf("increment %d, want 150", got)
	}
	c := table.applyHeartbeat(start(), &heartbeat{From: from, Full: true, Counters: []counter{{Name: "w", Total: 250}}})
	if got := c.increments[admission.CounterKey{Name: "w"}]; got != 0 {
		t.Errorf("the heartbeat counts %d tokens again", got)
	}
	if got := table.applyCounters(start(), ident.VM{Name: "vm-2", Incarnation: 4}, from.Address, []counter{{Name: "w", Total: 900}})[admission.CounterKey{Name: "w"}]; got != 0 {
		t.Errorf("an update of an earlier incarnation counts %d tokens", got)
	}
}

// TestSharesDuringPartition checks that the share of a data centre does not depend on its number of
// VMs: in a partition between two data centres each gets half, so the shares add up to 1.
func TestSharesDuringPartition(t *testing.T) {
	single, other := newMemberTable(member(1, 1, "a")), newMemberTable(member(2, 1, "b"))
	for n := 1; n <= 6; n++ {
		m := member(n, 1, map[bool]string{true: "a", false: "b"}[n == 1])
		if n != 1 {
			single.applyHeartbeat(start(), &heartbeat{From: m})
		}
		if n != 2 {
			other.applyHeartbeat(start(), &heartbeat{From: m})
		}
	}
	if single.liveShare() != 1 || other.liveShare() != 1 {
		t.Fatalf("before the partition the shares are %v and %v, want 1", single.liveShare(), other.liveShare())
	}
	later := start().Add(unresponsiveAfter + time.Millisecond)
	single.expire(later)
	for n := 3; n <= 6; n++ {
		other.applyHeartbeat(later, &heartbeat{From: member(n, 1, "b")})
	}
	other.expire(later)
	if single.liveShare() != 0.5 || other.liveShare() != 0.5 {
		t.Errorf("during the partition the shares are %v and %v, want 0.5", single.liveShare(), other.liveShare())
	}
}

func TestDirectPeersOfLargeFleet(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	for n := 2; n <= largeFleet+1; n++ {
		table.applyHeartbeat(start(), &heartbeat{From: member(n, 1, "ab"[n%2:n%2+1])})
	}
	direct, remote := 0, 0
	for _, p := range table.peers {
		if table.isDirect(p) {
			direct++
		} else {
			remote++
		}
	}
	if direct != largeFleet/2 || remote != largeFleet/2 {
		t.Errorf("%d direct and %d remote peers, want half of each", direct, remote)
	}
	if got := table.remainderShare(); got != 0.5 {
		t.Errorf("one of two data centres may use %v of the remaining tokens, want 0.5", got)
	}
	if !table.hasLowestAddress() || table.rank() != 0 {
		t.Errorf("VM with the lowest address: hasLowestAddress() = %v, rank() = %d, want true and 0", table.hasLowestAddress(), table.rank())
	}
}

// TestUpdateShowsThatAVMIsUp checks that a VM whose heartbeats are rare is not taken for unresponsive
// while its updates arrive.
func TestUpdateShowsThatAVMIsUp(t *testing.T) {
	n, _ := largeFleetNode(t)
	table := n.members
	direct, _ := table.heartbeatTimeouts()
	if period := table.heartbeatPeriod(); direct < 2*period || direct > period+maxSilence {
		t.Fatalf("a VM that sends a heartbeat every %s counts as unresponsive after %s", period, direct)
	}
	busy := table.peers[fleetAddress(0, 1)]
	table.applyCounters(start().Add(direct), busy.member.VM, busy.member.Address, nil)
	unresponsive, _ := table.expire(start().Add(direct + time.Millisecond))
	for _, m := range unresponsive {
		if m.VM == busy.member.VM {
			t.Errorf("%v counts as unresponsive after its update", m.VM)
		}
	}
	if len(unresponsive) == 0 {
		t.Error("no VM counts as unresponsive")
	}
}

// TestHeartbeatWithoutCountersKeepsTotals checks that a heartbeat that is not full neither sets nor
// resets the counters of a VM.
func TestHeartbeatWithoutCountersKeepsTotals(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	from := member(2, 5, "a")
	full := func(tokens int64) *heartbeat {
		return &heartbeat{From: from, Full: true, Counters: []counter{{Name: "w", Total: tokens}}}
	}
	table.applyHeartbeat(start(), &heartbeat{From: from})
	if c := table.applyHeartbeat(start(), full(900)); len(c.increments) != 0 {
		t.Errorf("usage admitted before the first full heartbeat is counted: %v", c.increments)
	}
	table.applyHeartbeat(start(), &heartbeat{From: from})
	if c := table.applyHeartbeat(start(), full(950)); c.increments[admission.CounterKey{Name: "w"}] != 50 {
		t.Errorf("increments %v after a heartbeat without counters, want 50", c.increments)
	}
}
