// Package membership knows which VMs are live: heartbeats within a data centre, few links
// between data centres, and the platform's lagging list as evidence. Duties that need one
// owner go to VMs by rendezvous hashing over the live ones.
//
// Two VMs may both take themselves for a bridge, or for the owner of another duty, while their
// views differ. For the duties of this package that is harmless: records of a VM are totally
// ordered and each VM keeps the highest it has heard of, so it does not matter who told it, how
// often or in which order. Suspicion only moves duties; nothing but Gone ends a claim.
package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// State is what is known of a VM.
type State uint8

// The states of a VM.
const (
	// Alive: heard of within the limit.
	Alive State = iota + 1
	// Suspect: not heard of, or a call to it failed; it owns nothing new.
	Suspect
	// Leaving: it has begun a planned stop; it owns nothing new.
	Leaving
	// Gone: the platform's list has dropped it, a later incarnation has shown itself, or it
	// said goodbye. It will never act again.
	Gone
)

// Member is one VM as seen from here.
type Member struct {
	VM         ident.VM
	DataCentre string
	Region     string
	// Peer is the address for messages between VMs.
	Peer  netip.AddrPort
	State State
}

// View is an unchanging picture of the fleet. Members are sorted by name.
type View struct {
	Self    Member
	Members []Member
}

// Directory gives the present view and takes evidence from failed calls.
type Directory interface {
	View() *View
	// Suspect reports that a call to a VM failed without an answer.
	Suspect(vm ident.VM)
}

// Owner gives the member with the highest rendezvous rank for name among those that accept
// passes. ok is false when there is none.
func (v *View) Owner(name string, accept func(Member) bool) (owner Member, ok bool) {
	var best uint64
	for _, m := range v.Members {
		if m.State != Alive || !accept(m) {
			continue
		}
		rank := xxhash.Sum64String(name + "\x00" + m.VM.Name)
		if !ok || rank > best {
			owner, best, ok = m, rank, true
		}
	}
	return owner, ok
}
