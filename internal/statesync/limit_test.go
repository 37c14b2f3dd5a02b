package statesync

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// await waits until a condition on what the node has recorded holds.
func (n *node) await(condition func() bool) {
	for {
		n.mu.Lock()
		ok := condition()
		n.mu.Unlock()
		if ok {
			return
		}
		<-n.changed
	}
}

// TestVMsShareTheLimitsOfEndpoints has a VM that knows a limit before the other one starts, and learns of another one
// afterwards.
func TestVMsShareTheLimitsOfEndpoints(t *testing.T) {
	var nodes [2]*node
	for i := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := member(i+1, 1, "a")
		m.Address = ln.Addr().(*net.TCPAddr).AddrPort()
		n := newNode()
		n.limits = map[traffic.EndpointID]schedule.Limit{}
		if i == 0 {
			n.limits[traffic.EndpointID{Name: "x", StartedAt: 3}] = schedule.Limit{Limited: true, Rate: 1.5}
		}
		n.Service = New(Options{
			Self: m, Clock: clock.BootTime{}, Transport: peer.New(peer.Options{Self: m.VM}), Registry: n, Work: n, Plans: n, Documents: n,
			Quarantine: newQuarantine(), Origins: newOrigins(), Log: zap.NewNop(),
		})
		if i > 0 {
			n.members.addListed(n.opts.Clock.Now(), []Member{nodes[0].opts.Self})
		}
		runNode(t, n, ln)
		nodes[i] = n
	}
	nodes[1].await(func() bool { return nodes[1].toldLimits[traffic.EndpointID{Name: "x", StartedAt: 3}].Rate == 1.5 })
	nodes[0].await(func() bool { return len(nodes[0].fleet) == 1 })
	y := traffic.EndpointID{Name: "y"}
	nodes[1].LimitChanged(y, "a", schedule.Limit{Limited: true, Rate: 7, Age: time.Second})
	nodes[0].await(func() bool { return nodes[0].toldLimits[y] == schedule.Limit{Limited: true, Rate: 7, Age: time.Second} })
}

func TestUnreachableVMKeepsItsPartOfLimits(t *testing.T) {
	self, silent, leaving := member(1, 1, "a"), member(2, 1, "a"), member(3, 1, "a")
	table := newMemberTable(self)
	for _, m := range []Member{silent, leaving} {
		table.applyHeartbeat(start(), &heartbeat{From: m})
	}
	table.applyHeartbeat(start(), &heartbeat{From: leaving, Leaving: true})
	removed := start().Add(removeAfter + time.Millisecond)
	table.expire(removed)
	want := []netip.AddrPort{silent.Address, leaving.Address}
	fleet := table.fleet()
	slices.SortFunc(fleet, netip.AddrPort.Compare)
	if len(table.peers) != 0 || !slices.Equal(fleet, want) {
		t.Errorf("fleet %v of peers %v, want %v", fleet, table.peers, want)
	}
	restarted := member(2, 2, "a")
	table.applyHeartbeat(removed, &heartbeat{From: restarted})
	if fleet := table.fleet(); len(fleet) != 2 {
		t.Errorf("fleet %v after a restart, want two vms", fleet)
	}
	table.expire(removed.Add(formerRetention + time.Millisecond))
	if _, kept := table.former[leaving.Address]; kept {
		t.Errorf("a vm that left long ago is still in the fleet: %v", table.former)
	}
}
