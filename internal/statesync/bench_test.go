package statesync

import (
	"fmt"
	"net/netip"
	"testing"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// fixedClock is a clock that stands still.
type fixedClock struct{}

func (fixedClock) Now() clock.Instant { return start() }

// largeFleetNode returns a node of a fleet of 6 data centres with 49 VMs each, of which all are live,
// and the members of another data centre.
func largeFleetNode(tb testing.TB) (n *node, remote []Member) {
	tb.Helper()
	return largeFleetNodeAt(250)
}

// largeFleetNodeAt is like largeFleetNode, for the VM of the data centre "dc-0" whose address ends in n.
func largeFleetNodeAt(last int) (n *node, remote []Member) {
	self := member(last, 1, "dc-0")
	self.Address = fleetAddress(0, last)
	n = newNode()
	n.Service = New(Options{Self: self, Clock: fixedClock{}, Transport: peer.New(peer.Options{Self: self.VM}), Registry: n, Work: n, Plans: n, Documents: n, Quarantine: newQuarantine(), Origins: newOrigins(), Log: zap.NewNop()})
	for dc := range 6 {
		for i := range 49 {
			m := member(1, 1, fmt.Sprint("dc-", dc))
			m.VM.Name = fmt.Sprint("vm-", dc, "-", i)
			m.Address = fleetAddress(dc, i)
			n.members.applyHeartbeat(start(), &heartbeat{From: m, Full: true})
			if dc == 1 {
				remote = append(remote, m)
			}
		}
	}
	return n, remote
}

func fleetAddress(dc, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), 1, byte(i)}), 7600)
}

// BenchmarkDigest measures a digest of a data centre with 49 VMs.
func BenchmarkDigest(b *testing.B) {
	n, remote := largeFleetNode(b)
	d := &digest{From: remote[0], Members: remote}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := n.onDigest(b.Context(), remote[0].VM, d); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHeartbeat measures a heartbeat of a direct peer.
func BenchmarkHeartbeat(b *testing.B) {
	n, _ := largeFleetNode(b)
	m := member(1, 1, "dc-0")
	m.VM.Name, m.Address = "vm-0-1", fleetAddress(0, 1)
	hb := &heartbeat{From: m}
	b.ReportAllocs()
	for b.Loop() {
		n.onHeartbeat(b.Context(), m.VM, hb)
	}
}
