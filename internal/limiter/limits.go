package limiter

import (
	"github.com/fulmartide/fulmartide/internal/clock"
)

// limitOf gives this data centre's share of a workspace's plan: the least that the record's
// layouts and the configuration's weights give.
func (h *Holder) limitOf(workspace string) (Limit, bool) {
	doc := &h.snapshot.Document
	plan, ok := PlanOf(doc, workspace)
	if !ok || h.rec == nil {
		return Limit{}, false
	}
	own := WeightsOf(doc).share(plan, h.dataCentre)
	recorded := h.rec.share(plan, h.dataCentre)
	return Limit{Rate: min(own.Rate, recorded.Rate), Burst: min(own.Burst, recorded.Burst)}, true
}

// applyLimits puts the present plans and layouts in force in all buckets held here.
func (h *Holder) applyLimits(now clock.Instant) {
	if h.snapshot == nil {
		return
	}
	for i := range h.shards {
		for name, b := range h.shards[i].buckets {
			h.limitBucket(now, name, b)
		}
	}
	for _, name := range sorted(h.snapshot.Document.Workspaces) {
		h.addBucket(now, name)
	}
}

func (h *Holder) limitBucket(now clock.Instant, workspace string, b *shareBucket) {
	l, ok := h.limitOf(workspace)
	if !ok && !b.removed {
		b.removed, b.removedAt = true, now
	}
	if ok {
		b.removed = false
	}
	b.change(now, l)
}

// addBucket makes the bucket of a workspace that is new to a shard held here. It is full
// unless an earlier holder may have granted from it.
func (h *Holder) addBucket(now clock.Instant, workspace string) {
	s := &h.shards[ShardOf(workspace)]
	if s.phase != phaseGranting && s.phase != phaseGiving {
		return
	}
	l, ok := h.limitOf(workspace)
	if !ok || s.buckets[workspace] != nil {
		return
	}
	b := newBucket(s.since, l, !s.empty)
	b.advance(now)
	s.buckets[workspace] = &shareBucket{bucket: b}
}

// begin makes this VM the holder of a shard.
func (h *Holder) begin(now clock.Instant, i int, empty bool) {
	s := &h.shards[i]
	s.phase = phaseGranting
	s.since = now
	s.empty = empty
	s.buckets = map[string]*shareBucket{}
	h.fillShard(now, i)
	h.emit(NoticeOut{Event: "holding", Shard: i, Term: s.term, VM: h.self})
}

func (h *Holder) fillShard(now clock.Instant, i int) {
	if h.snapshot == nil {
		return
	}
	for _, name := range sorted(h.snapshot.Document.Workspaces) {
		if ShardOf(name) == i {
			h.addBucket(now, name)
		}
	}
}

// lose ends this VM's hold on a shard.
func (h *Holder) lose(i int) {
	s := &h.shards[i]
	h.emit(NoticeOut{Event: "lost", Shard: i, Term: s.term, VM: h.self})
	*s = shard{}
}

// balancesOf gives the balances of a shard for its next holder, whose term is term.
func (h *Holder) balancesOf(now clock.Instant, i int, term uint64) []balance {
	s := &h.shards[i]
	var out []balance
	for _, name := range sorted(s.buckets) {
		b := s.buckets[name]
		b.advance(now)
		parts := make([]partState, 0, len(b.held))
		for _, p := range b.held {
			parts = append(parts, partState{VM: p.id.vm, Seq: p.id.seq, Tokens: p.tokens, Room: p.room})
		}
		out = append(out, balance{Shard: i, Workspace: name, Term: term, Level: b.level, Parts: parts})
	}
	if len(out) == 0 {
		out = append(out, balance{Shard: i, Term: term})
	}
	return out
}

// install puts a balance received from the former holder in force.
func (h *Holder) install(now clock.Instant, in balance) {
	s := &h.shards[in.Shard]
	l, ok := Limit{}, false
	if h.snapshot != nil {
		l, ok = h.limitOf(in.Workspace)
	}
	b := newBucket(now, l, false)
	b.level = min(max(in.Level, 0), b.limit())
	for _, p := range in.Parts {
		b.restore(now, partID{p.VM, p.Seq}, p.Tokens, p.Room)
	}
	b.noteRoom()
	s.buckets[in.Workspace] = &shareBucket{bucket: b, removed: !ok, removedAt: now}
}
