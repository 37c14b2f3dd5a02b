package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// recoverItems is the most workspaces that one recover request asks for.
	recoverItems = 16
	// recoverPercent is the part of its burst below which a share asks others for what they
	// lost.
	recoverPercent = 50
	// recoverLife is the longest that an answer is waited for.
	recoverLife = time.Second
	// roomFractions is the number of fractions of the present room that are asked for in
	// turn: less room has been there for longer.
	roomFractions = 4
)

// recovery is the part of a holder that makes good what skewed arrivals would waste: while
// one share stands at its cap and loses what it accrues, another pays for the requests. The
// low share asks the others for what they lost while it had room.
type recovery struct {
	timer  timer
	number uint64
	// turn counts the requests of each shard, to take the data centres in turn.
	turn    [Shards]int
	pending map[uint64]offer
}

// offer is a recover request on its way. slots tell since when there is room for each item.
type offer struct {
	sent  clock.Instant
	shard int
	term  uint64
	items []RecoverItem
	slots []int64
}

func newRecovery() recovery { return recovery{pending: map[uint64]offer{}} }

// recover asks another data centre for what it lost while shares here had room.
func (h *Holder) recover(now clock.Instant) {
	for number, o := range h.recovery.pending {
		if now.Sub(o.sent) > recoverLife {
			delete(h.recovery.pending, number)
		}
	}
	if h.snapshot == nil || h.fence != 0 {
		return
	}
	for i := range h.shards {
		if h.shards[i].phase == phaseGranting {
			h.offer(now, i)
		}
	}
}

func (h *Holder) offer(now clock.Instant, i int) {
	s := &h.shards[i]
	o := offer{sent: now, shard: i, term: s.term}
	fraction := h.recovery.turn[i] / max(1, len(h.snapshot.Document.DataCentres)) % roomFractions
	for _, name := range sorted(s.buckets) {
		if len(o.items) < recoverItems {
			s.buckets[name].want(now, name, fraction, &o)
		}
	}
	to, ok := h.nextDataCentre(i)
	if len(o.items) == 0 || !ok {
		return
	}
	h.recovery.number++
	h.recovery.pending[h.recovery.number] = o
	h.emit(RecoverOut{Number: h.recovery.number, DataCentre: to, Shard: i, Items: o.items})
}

// want adds what a bucket has had room for, and since when.
func (b *bucket) want(now clock.Instant, workspace string, fraction int, o *offer) {
	b.advance(now)
	if b.level >= b.limit()/100*recoverPercent {
		return
	}
	room := (b.limit() - b.level) >> fraction
	slot, ok := b.overflow.roomyFrom(now, room, b.limit())
	if room < unit || !ok {
		return
	}
	o.items = append(o.items, RecoverItem{Workspace: workspace, Age: now.Sub(slotStart(slot)), Tokens: room / unit})
	o.slots = append(o.slots, slot)
}

// nextDataCentre takes the other data centres in turn.
func (h *Holder) nextDataCentre(i int) (string, bool) {
	names := sorted(h.snapshot.Document.DataCentres)
	for range names {
		h.recovery.turn[i]++
		name := names[h.recovery.turn[i]%len(names)]
		if name != h.dataCentre {
			return name, true
		}
	}
	return "", false
}

// giveLost answers with what the shares here lost while the asking ones had room.
func (h *Holder) giveLost(now clock.Instant, in RecoverIn) {
	out := RecoveredOut{Call: in.Call, Tokens: make([]int64, len(in.Items))}
	for k, item := range in.Items {
		if b, ok := h.grants(item.Workspace); ok && b != nil && item.Age >= 0 {
			b.advance(now)
			out.Tokens[k] = b.overflow.give(now, now.Add(-item.Age), item.Tokens)
		}
	}
	h.emit(out)
}

// onRecovered deposits what another share had lost. A late answer is void.
func (h *Holder) onRecovered(now clock.Instant, in RecoveredIn) {
	o, ok := h.recovery.pending[in.Number]
	delete(h.recovery.pending, in.Number)
	s := &h.shards[o.shard]
	if !ok || s.phase != phaseGranting || s.term != o.term || len(in.Tokens) != len(o.items) {
		return
	}
	for k, item := range o.items {
		if b := s.buckets[item.Workspace]; b != nil && in.Tokens[k] > 0 {
			b.deposit(now, o.slots[k], min(in.Tokens[k], item.Tokens))
		}
	}
}
