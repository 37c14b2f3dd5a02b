package sweep

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// maxWitnesses is the number of other VMs that are asked when one does not answer.
const maxWitnesses = 8

// witnesses gives the members that tell whether this VM or vm is out of reach: a fixed choice
// for each vm, over all data centres.
func (m *Machine) witnesses(vm ident.VM) []membership.Member {
	var all []membership.Member
	for name, member := range m.members {
		if name != vm.Name && name != m.self && member.State != membership.Gone {
			all = append(all, member)
		}
	}
	rank := func(member membership.Member) uint64 { return xxhash.Sum64String(vm.Name + "\x00" + member.VM.Name) }
	slices.SortFunc(all, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), compareVM(a.VM, b.VM))
	})
	return all[:min(len(all), maxWitnesses)]
}

// noteIsolation notes for which unanswered questions this VM may itself be cut off.
func (m *Machine) noteIsolation(now clock.Instant) {
	for vm, v := range m.vms {
		if m.unanswered(now, vm) && !m.hearsOthers(now, vm) {
			v.isolated = now
		}
	}
}

// hearsOthers reports whether at least half of the witnesses have answered lately. If not, this
// VM may be the one that is cut off, and silence proves nothing.
func (m *Machine) hearsOthers(now clock.Instant, vm ident.VM) bool {
	all := m.witnesses(vm)
	heard := 0
	for _, member := range all {
		if v := m.vms[member.VM]; v != nil && v.heard != 0 && now.Sub(v.heard) < hearingMemory {
			heard++
		}
	}
	return 2*heard >= len(all)
}

// unanswered reports whether a life leaves questions unanswered at present.
func (m *Machine) unanswered(now clock.Instant, vm ident.VM) bool {
	v := m.vms[vm]
	return v != nil && v.unanswered != 0 && !v.stale(now) && now.Sub(v.unanswered) >= hearingLimit
}

// probe asks the witnesses of VMs that leave questions unanswered.
func (m *Machine) probe(now clock.Instant) {
	var quiet []ident.VM
	for vm := range m.vms {
		if m.unanswered(now, vm) {
			quiet = append(quiet, vm)
		}
	}
	slices.SortFunc(quiet, compareVM)
	for _, vm := range quiet {
		for _, member := range m.witnesses(vm) {
			m.probeMember(now, member)
		}
	}
}

func (m *Machine) probeMember(now clock.Instant, member membership.Member) {
	v := m.vm(member.VM)
	if v.asking || (v.probed != 0 && now.Sub(v.probed) < probePeriod) {
		return
	}
	v.asking = true
	v.probed = now
	v.question(now)
	m.out = append(m.out, Action{Ask: &Ask{About: member.VM, VM: member}})
}
