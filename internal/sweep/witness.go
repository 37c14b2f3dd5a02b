package sweep

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// maxWitnesses is the maximum number of other VMs that are probed when one does not respond.
const maxWitnesses = 8

// witnesses returns the members whose reachability shows whether vm or this VM itself is unreachable. The
// selection is fixed for each vm and covers all data centres.
func (m *Machine) witnesses(vm ident.VM) []membership.Member {
	var witnesses []membership.Member
	for name, member := range m.members {
		if name != vm.Name && name != m.self && member.State != membership.Gone {
			witnesses = append(witnesses, member)
		}
	}
	rank := func(member membership.Member) uint64 { return xxhash.Sum64String(vm.Name + "\x00" + member.VM.Name) }
	slices.SortFunc(witnesses, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), compareVM(a.VM, b.VM))
	})
	return witnesses[:min(len(witnesses), maxWitnesses)]
}

// detectIsolation records for which VMs with unanswered queries this VM may itself be isolated.
func (m *Machine) detectIsolation(now clock.Instant) {
	for vm, v := range m.vms {
		if m.hasUnanswered(now, vm) && !m.reachesWitnesses(now, vm) {
			v.isolatedAt = now
		}
	}
}

// reachesWitnesses reports whether at least half of the witnesses have responded recently. If not, this
// VM may be the isolated one, and a missing response does not show that vm has failed.
func (m *Machine) reachesWitnesses(now clock.Instant, vm ident.VM) bool {
	witnesses := m.witnesses(vm)
	reachable := 0
	for _, member := range witnesses {
		if v := m.vms[member.VM]; v != nil && v.lastResponse != 0 && now.Sub(v.lastResponse) < reachabilityTTL {
			reachable++
		}
	}
	return 2*reachable >= len(witnesses)
}

// hasUnanswered reports whether an incarnation has recent queries that were not answered within probeDelay.
func (m *Machine) hasUnanswered(now clock.Instant, vm ident.VM) bool {
	v := m.vms[vm]
	return v != nil && v.unansweredSince != 0 && !v.stale(now) && now.Sub(v.unansweredSince) >= probeDelay
}

// probeWitnesses probes the witnesses of VMs that have left queries unanswered.
func (m *Machine) probeWitnesses(now clock.Instant) {
	var unresponsive []ident.VM
	for vm := range m.vms {
		if m.hasUnanswered(now, vm) {
			unresponsive = append(unresponsive, vm)
		}
	}
	slices.SortFunc(unresponsive, compareVM)
	for _, vm := range unresponsive {
		for _, member := range m.witnesses(vm) {
			m.probeWitness(now, member)
		}
	}
}

func (m *Machine) probeWitness(now clock.Instant, member membership.Member) {
	v := m.vm(member.VM)
	if v.queryPending || (v.lastProbe != 0 && now.Sub(v.lastProbe) < probeInterval) {
		return
	}
	v.queryPending = true
	v.lastProbe = now
	v.recordQuery(now)
	m.actions = append(m.actions, Action{Query: &Query{Subject: member.VM, Target: member}})
}
