package limiter

import (
	"github.com/fulmartide/fulmartide/internal/clock"
)

// shareLimit returns the limit of this data centre's share of a workspace's plan. It is the
// minimum over the layouts in the record and the weights in the configuration.
func (h *Holder) shareLimit(workspace string) (Limit, bool) {
	doc := &h.snapshot.Document
	plan, ok := PlanLimit(doc, workspace)
	if !ok || h.record == nil {
		return Limit{}, false
	}
	own := ShareWeights(doc).shareOf(plan, h.dataCentre)
	recorded := h.record.shareOf(plan, h.dataCentre)
	return Limit{Rate: min(own.Rate, recorded.Rate), Burst: min(own.Burst, recorded.Burst)}, true
}

// applyLimits applies the current plans and layouts to all buckets held by this VM.
func (h *Holder) applyLimits(now clock.Instant) {
	if h.snapshot == nil {
		return
	}
	for i := range h.shards {
		for name, b := range h.shards[i].buckets {
			h.applyLimit(now, name, b)
		}
	}
	for _, name := range sortedKeys(h.snapshot.Document.Workspaces) {
		h.addBucket(now, name)
	}
}

func (h *Holder) applyLimit(now clock.Instant, workspace string, b *shareBucket) {
	l, ok := h.shareLimit(workspace)
	if !ok && !b.removed {
		b.removed, b.removedAt = true, now
	}
	if ok {
		b.removed = false
	}
	b.setLimit(now, l)
}

// addBucket creates the bucket of a workspace that is new to a shard held by this VM. The bucket
// starts full unless an earlier holder may already have granted from it.
func (h *Holder) addBucket(now clock.Instant, workspace string) {
	s := &h.shards[ShardOf(workspace)]
	if s.phase != phaseGranting && s.phase != phaseHandingOver {
		return
	}
	l, ok := h.shareLimit(workspace)
	if !ok || s.buckets[workspace] != nil {
		return
	}
	b := newBucket(s.heldSince, l, !s.startedEmpty)
	b.advance(now)
	s.buckets[workspace] = &shareBucket{bucket: b}
}

// startGranting makes this VM the granting holder of a shard.
func (h *Holder) startGranting(now clock.Instant, i int, empty bool) {
	s := &h.shards[i]
	s.phase = phaseGranting
	s.heldSince = now
	s.startedEmpty = empty
	s.buckets = map[string]*shareBucket{}
	h.addShardBuckets(now, i)
	h.emit(EventOut{Event: "holding", Shard: i, Term: s.term, VM: h.self})
}

func (h *Holder) addShardBuckets(now clock.Instant, i int) {
	if h.snapshot == nil {
		return
	}
	for _, name := range sortedKeys(h.snapshot.Document.Workspaces) {
		if ShardOf(name) == i {
			h.addBucket(now, name)
		}
	}
}

// release ends this VM's ownership of a shard.
func (h *Holder) release(i int) {
	s := &h.shards[i]
	h.emit(EventOut{Event: "released", Shard: i, Term: s.term, VM: h.self})
	*s = shard{}
}

// handoverBalances returns the bucket states of a shard for its next holder. term is the term of
// that holder.
func (h *Holder) handoverBalances(now clock.Instant, i int, term uint64) []bucketState {
	s := &h.shards[i]
	var out []bucketState
	for _, name := range sortedKeys(s.buckets) {
		b := s.buckets[name]
		b.advance(now)
		grants := make([]grantState, 0, len(b.grants))
		for _, g := range b.grants {
			grants = append(grants, grantState{VM: g.id.vm, Seq: g.id.seq, Tokens: g.tokens, Headroom: g.headroom})
		}
		out = append(out, bucketState{Shard: i, Workspace: name, Term: term, Level: b.level, Grants: grants})
	}
	if len(out) == 0 {
		out = append(out, bucketState{Shard: i, Term: term})
	}
	return out
}

// installBucket installs a bucket state received from the previous holder.
func (h *Holder) installBucket(now clock.Instant, in bucketState) {
	s := &h.shards[in.Shard]
	l, ok := Limit{}, false
	if h.snapshot != nil {
		l, ok = h.shareLimit(in.Workspace)
	}
	b := newBucket(now, l, false)
	b.level = min(max(in.Level, 0), b.capacity())
	for _, g := range in.Grants {
		b.restoreGrant(now, grantID{g.VM, g.Seq}, g.Tokens, g.Headroom)
	}
	b.updateHeadroom()
	s.buckets[in.Workspace] = &shareBucket{bucket: b, removed: !ok, removedAt: now}
}
