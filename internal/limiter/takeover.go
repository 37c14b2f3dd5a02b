package limiter

import (
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// takeOver assigns new holders to shards whose holders have been gone for TakeoverGrace.
func (h *Holder) takeOver(now clock.Instant) bool {
	absent := false
	next := h.record.clone()
	reassigned := false
	for i, s := range h.record.Shards {
		if h.isReachable(s.VM) {
			delete(h.ownership.absentSince, s.VM)
			continue
		}
		absent = true
		since, gone := h.ownership.absentSince[s.VM]
		if !gone || now.Sub(since) < TakeoverGrace {
			continue
		}
		if vm, ok := h.preferredHolder(i); ok {
			next.Shards[i] = assignment{VM: vm, Term: s.Term + 1, Start: startEmpty}
			reassigned = true
		}
	}
	if absent && h.ownership.listTimer.due(now, listPeriod) {
		h.emit(ReadVMListOut{})
	}
	if reassigned {
		h.startWrite(now, next)
	}
	return reassigned
}

// isReachable reports whether the view lists a holder as alive or leaving. Holders that are not
// reachable are looked up in the platform's list of VMs.
func (h *Holder) isReachable(vm ident.VM) bool {
	for _, m := range h.view.Members {
		if m.VM == vm {
			return m.State == membership.Alive || m.State == membership.Leaving
		}
	}
	return vm == h.self
}

// hasNewerIncarnation reports whether a later incarnation of a VM is in the view.
func (h *Holder) hasNewerIncarnation(vm ident.VM) bool {
	for _, m := range h.view.Members {
		if m.VM.Name == vm.Name && m.VM.Incarnation > vm.Incarnation {
			return true
		}
	}
	return false
}

func (h *Holder) onList(now clock.Instant, in VMListIn) {
	if h.record == nil || h.view == nil {
		return
	}
	for _, vm := range h.record.holders() {
		gone := h.hasNewerIncarnation(vm) || !in.Names[vm.Name]
		_, noted := h.ownership.absentSince[vm]
		switch {
		case h.isReachable(vm) || !gone:
			delete(h.ownership.absentSince, vm)
		case !noted:
			h.ownership.absentSince[vm] = now
		}
	}
}
