package statesync

import (
	"context"
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// recorderDelay is how long after its start a VM whose registry cannot be listed waits before it takes the VMs that it
// has heard of for all.
const recorderDelay = 2 * time.Second

// Recorder returns the VM that stores the open streams of this one: the one with the lowest address of the fleet, in a
// large fleet of the data centre. ok is false until the other VMs are known, as else all VMs that start together would
// store their own.
func (s *Service) Recorder() (r origin.Recorder, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	if !s.listed && now.Sub(s.startedAt) < recorderDelay {
		return r, false
	}
	return s.members.recorder(now, s.leaving), true
}

// recorder returns the live direct peer with the lowest address, or this VM. A VM that was listed counts as live until its
// first heartbeat is overdue. A VM that is leaving chooses another one if there is any.
func (t *memberTable) recorder(now clock.Instant, leaving bool) origin.Recorder {
	best, found := t.self, !leaving
	for _, p := range t.peers {
		awaited := !p.contacted && now.Sub(p.firstSeen) < unresponsiveAfter
		if (p.unresponsive && !awaited) || !t.isDirect(p) {
			continue
		}
		if !found || p.member.Address.Compare(best.Address) < 0 {
			best, found = p.member, true
		}
	}
	return origin.Recorder{VM: best.VM.Name, Address: best.Address}
}

// SendOpenStreams sends a snapshot of the open streams of this VM to the recorder. One of the build before has no handler
// for it and drops it.
func (s *Service) SendOpenStreams(to netip.AddrPort, snapshot *origin.Snapshot) {
	sendTo(s, peer.KindOpenStreams, snapshot, []netip.AddrPort{to})
}

func (s *Service) onOpenStreams(_ context.Context, from ident.VM, m *origin.Snapshot) {
	s.opts.Origins.ReceiveSnapshot(from, *m)
}

// IsFirstListed reports whether this VM has the lowest address of its listed direct peers, whether they have been heard
// from or not.
func (s *Service) IsFirstListed() bool {
	rank, listed := s.ListedRank()
	return listed && rank == 0
}
