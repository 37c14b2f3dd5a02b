// Package membership determines which VMs are live. It uses heartbeats within a data centre, a
// few links between data centres, and the platform's eventually consistent list of VMs. Roles
// that need a single owner are assigned to live VMs by rendezvous hashing.
//
// While the views of two VMs differ, both may consider themselves a bridge, or the owner of
// another role. This is harmless for the roles in this package: the records of a VM are totally
// ordered and each VM keeps the highest one, regardless of sender, duplicates and order. Suspicion
// only reassigns roles; only Gone invalidates what a VM owns.
package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// State is the state of a VM.
type State uint8

// The states of a VM.
const (
	// Alive is a VM that has answered within the time limit.
	Alive State = iota + 1
	// Suspect is a VM that does not answer or to which a call failed; it is not assigned new
	// ownership.
	Suspect
	// Leaving is a VM that has started a graceful shutdown; it is not assigned new ownership.
	Leaving
	// Gone is a VM that was removed from the platform's list, was replaced by a later incarnation
	// or announced that it has stopped. This incarnation has ended for good.
	Gone
)

// Member is a VM as seen by this VM.
type Member struct {
	VM         ident.VM
	DataCentre string
	Region     string
	// PeerAddress is the address for messages between VMs.
	PeerAddress netip.AddrPort
	State       State
}

// View is an immutable snapshot of the fleet. Members are sorted by name.
type View struct {
	Self    Member
	Members []Member
}

// Directory provides the current view and accepts reports of failed calls.
type Directory interface {
	View() *View
	// ReportUnreachable reports that a call to a VM failed without an answer.
	ReportUnreachable(vm ident.VM)
}

// Owner returns the live member with the highest rendezvous rank for name among those that
// satisfy accept. ok is false if there is none.
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
