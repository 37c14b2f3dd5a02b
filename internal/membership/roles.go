package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// BridgesPerDataCentre is the number of VMs of each data centre that communicate with the other
// data centres and watch the platform.
const BridgesPerDataCentre = 2

const bridgeRole = "bridge/"

// Bridges returns the live VMs of a data centre that communicate with the other data centres and
// watch the platform, highest rendezvous rank first. It is empty if no VM of the data centre is
// live.
func (v *View) Bridges(dataCentre string) []Member {
	var live []Member
	for _, m := range v.Members {
		if m.State == Alive && m.DataCentre == dataCentre {
			live = append(live, m)
		}
	}
	return topRanked(live, bridgeRole+dataCentre, BridgesPerDataCentre)
}

// BridgeRank returns this VM's rank among the bridges of its data centre; ok is false if it is
// not a bridge.
func (v *View) BridgeRank() (rank int, ok bool) {
	for i, m := range v.Bridges(v.Self.DataCentre) {
		if m.VM == v.Self.VM {
			return i, true
		}
	}
	return 0, false
}

func topRanked(members []Member, role string, n int) []Member {
	rank := func(m Member) uint64 { return xxhash.Sum64String(role + "\x00" + m.VM.Name) }
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(rank(b), rank(a)) })
	return members[:min(n, len(members))]
}

// Find returns the member with the given name.
func (v *View) Find(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int { return cmp.Compare(m.VM.Name, n) })
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// IsGone reports whether an incarnation has ended: it is Gone, or a later incarnation of the same
// VM is known.
func (v *View) IsGone(vm ident.VM) bool {
	m, ok := v.Find(vm.Name)
	if !ok || m.VM.Incarnation < vm.Incarnation {
		return false
	}
	return m.VM.Incarnation > vm.Incarnation || m.State == Gone
}

// DataCentres returns the sorted names of the data centres with members that are not Gone.
func (v *View) DataCentres() []string {
	var out []string
	for _, m := range v.Members {
		if m.State != Gone && !slices.Contains(out, m.DataCentre) {
			out = append(out, m.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}
