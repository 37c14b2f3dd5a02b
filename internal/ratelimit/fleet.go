// Package ratelimit divides the rate of requests that an endpoint takes among the VMs of a fleet, without messages.
// A rate of R requests a second issues a permit every 1/R seconds of the wall clock. Each permit belongs to one VM,
// which all VMs compute from the addresses in the fleet by rendezvous hashing, and is valid for a short time. Two VMs
// that know of each other never use the same permit, whatever else each of them knows; a VM that is unreachable, or
// knows of more VMs than there are, only leaves permits unused.
package ratelimit

import (
	"net/netip"
	"slices"

	"github.com/fulmartide/fulmartide/internal/rendezvous"
)

// Fleet is the VMs that share a rate, as one of them knows them.
type Fleet struct {
	self   uint64
	others []uint64
}

// NewFleet returns the fleet of a VM and others, by the addresses at which VMs reach each other. They are the same
// after a restart.
func NewFleet(self netip.AddrPort, others []netip.AddrPort) *Fleet {
	f := &Fleet{self: rendezvous.Hash(self.String())}
	for _, addr := range others {
		f.others = append(f.others, rendezvous.Hash(addr.String()))
	}
	slices.Sort(f.others)
	return f
}

// Equal reports whether both fleets have the same VMs.
func (f *Fleet) Equal(o *Fleet) bool {
	return o != nil && f.self == o.self && slices.Equal(f.others, o.others)
}

// size returns the number of VMs.
func (f *Fleet) size() int { return len(f.others) + 1 }

// owns reports whether a permit of an endpoint belongs to this VM: the one with the highest weight for it.
func (f *Fleet) owns(endpoint, number uint64) bool {
	key := rendezvous.Mix(endpoint ^ rendezvous.Mix(number))
	own := rendezvous.Weight(key, f.self)
	for _, other := range f.others {
		if rendezvous.Weight(key, other) > own {
			return false
		}
	}
	return true
}
