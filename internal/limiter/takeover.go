package limiter

import (
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// takeOver names new holders for the shards whose holders are gone for long enough.
func (h *Holder) takeOver(now clock.Instant) bool {
	absent := false
	next := h.rec.clone()
	taken := false
	for i, s := range h.rec.Shards {
		if h.present(s.VM) {
			delete(h.claims.goneSince, s.VM)
			continue
		}
		absent = true
		since, gone := h.claims.goneSince[s.VM]
		if !gone || now.Sub(since) < TakeoverGrace {
			continue
		}
		if vm, ok := h.preferredHolder(i); ok {
			next.Shards[i] = holding{VM: vm, Term: s.Term + 1, Start: startEmpty}
			taken = true
		}
	}
	if absent && h.claims.list.due(now, listPeriod) {
		h.emit(ReadListOut{})
	}
	if taken {
		h.write(now, next)
	}
	return taken
}

// present reports whether a holder is heard of; an absent one is looked for in the list.
func (h *Holder) present(vm ident.VM) bool {
	for _, m := range h.view.Members {
		if m.VM == vm {
			return m.State == membership.Alive || m.State == membership.Leaving
		}
	}
	return vm == h.self
}

// replaced reports whether a later incarnation of a VM is in the view.
func (h *Holder) replaced(vm ident.VM) bool {
	for _, m := range h.view.Members {
		if m.VM.Name == vm.Name && m.VM.Incarnation > vm.Incarnation {
			return true
		}
	}
	return false
}

func (h *Holder) onList(now clock.Instant, in ListIn) {
	if h.rec == nil || h.view == nil {
		return
	}
	for _, vm := range h.rec.holders() {
		gone := h.replaced(vm) || !in.Names[vm.Name]
		_, noted := h.claims.goneSince[vm]
		switch {
		case h.present(vm) || !gone:
			delete(h.claims.goneSince, vm)
		case !noted:
			h.claims.goneSince[vm] = now
		}
	}
}
