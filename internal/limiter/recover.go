package limiter

import (
	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// recoverItems is the most debits that one recover request offers.
	recoverItems = 16
	// recoverPercent is the part of its burst below which a share asks others to take over
	// debits.
	recoverPercent = 75
)

// recovery is the part of a holder that makes good what skewed arrivals would waste: while
// one share stands at its cap and loses what it accrues, another pays for the requests. The
// full share takes over debits of the other for which its overflow would have paid.
type recovery struct {
	timer  timer
	number uint64
	// turn counts the requests of each shard, to take the data centres in turn.
	turn    [Shards]int
	pending map[uint64]offer
}

// offer is a recover request on its way.
type offer struct {
	sent  clock.Instant
	shard int
	term  uint64
	// page chooses among the debits of a bucket that do not fit one request.
	page  int
	items []RecoverItem
	ids   []partID
}

func newRecovery() recovery { return recovery{pending: map[uint64]offer{}} }

// recover offers the settled debits of low shares to another data centre.
func (h *Holder) recover(now clock.Instant) {
	for number, o := range h.recovery.pending {
		if now.Sub(o.sent) > recoverTransit {
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
	o := offer{sent: now, shard: i, term: s.term, page: h.recovery.turn[i] / max(1, len(h.snapshot.Document.DataCentres))}
	for _, name := range sorted(s.buckets) {
		s.buckets[name].offer(now, name, &o)
	}
	to, ok := h.nextDataCentre(i)
	if len(o.items) == 0 || !ok {
		return
	}
	h.recovery.number++
	h.recovery.pending[h.recovery.number] = o
	h.emit(RecoverOut{Number: h.recovery.number, DataCentre: to, Shard: i, Items: o.items})
}

// offer adds debits that would raise the balance if they had been made elsewhere.
func (b *bucket) offer(now clock.Instant, workspace string, o *offer) {
	b.advance(now)
	if b.settled == 0 || b.level >= b.limit()/100*recoverPercent {
		return
	}
	room := b.limit() - b.level
	skip := o.page % (b.settled/recoverItems + 1) * recoverItems
	for i := len(b.held) - 1; i >= 0 && len(o.items) < recoverItems; i-- {
		p := b.held[i]
		room = min(room, p.room)
		tokens := min(p.tokens, room/unit)
		if tokens == 0 {
			return
		}
		if !p.settled {
			continue
		}
		if skip--; skip < 0 {
			o.items = append(o.items, RecoverItem{Workspace: workspace, Age: now.Sub(p.at), Tokens: tokens})
			o.ids = append(o.ids, p.id)
		}
	}
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

// cover takes over debits of another share as far as overflow pays for them.
func (h *Holder) cover(now clock.Instant, in RecoverIn) {
	out := RecoveredOut{Call: in.Call, Tokens: make([]int64, len(in.Items))}
	for k, item := range in.Items {
		if b, ok := h.grants(item.Workspace); ok && b != nil && item.Age >= 0 && item.Tokens > 0 {
			b.advance(now)
			out.Tokens[k] = b.overflow.cover(now, now.Add(-item.Age), item.Tokens)
		}
	}
	h.emit(out)
}

// onRecovered gives back what another share took over. A late answer is void.
func (h *Holder) onRecovered(now clock.Instant, in RecoveredIn) {
	o, ok := h.recovery.pending[in.Number]
	delete(h.recovery.pending, in.Number)
	s := &h.shards[o.shard]
	if !ok || now.Sub(o.sent) > recoverTransit || s.phase != phaseGranting || s.term != o.term || len(in.Tokens) != len(o.ids) {
		return
	}
	productive := false
	for k, id := range o.ids {
		b := s.buckets[o.items[k].Workspace]
		if b == nil || in.Tokens[k] <= 0 {
			continue
		}
		productive = true
		b.recovered(now, id, min(in.Tokens[k], o.items[k].Tokens))
	}
	if productive {
		h.recovery.turn[o.shard] += len(h.snapshot.Document.DataCentres) - 1
	}
}

// recovered takes tokens that another share took over off a settled part.
func (b *bucket) recovered(now clock.Instant, id partID, tokens int64) {
	b.advance(now)
	i, ok := b.find(id)
	if !ok || !b.held[i].settled {
		return
	}
	b.refund(i, min(tokens, b.held[i].tokens))
}
