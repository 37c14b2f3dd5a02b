package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// maxReclaimItems is the maximum number of workspaces in one reclaim request.
	maxReclaimItems = 16
	// reclaimBelowPercent is the fill level, in percent of the burst, below which a share
	// requests tokens that other shares lost at their burst limit.
	reclaimBelowPercent = 50
	// reclaimTimeout is how long a reply to a reclaim request is awaited.
	reclaimTimeout = time.Second
	// headroomFractions is the number of fractions of the current headroom (1, 1/2, 1/4, ...)
	// that are requested in turn. A smaller amount of headroom has existed for longer.
	headroomFractions = 4
)

// reclaimState is the part of a holder that compensates for skewed arrivals. While one share is
// at its burst limit and loses what it accrues, another share pays for the requests. The share
// with the low balance reclaims tokens that the others lost while it had headroom.
type reclaimState struct {
	timer  timer
	lastID uint64
	// turns counts the requests per shard, to rotate through the data centres.
	turns   [Shards]int
	pending map[uint64]reclaimRequest
}

// reclaimRequest is a reclaim request in flight. slots contains, for each item, the first slot
// since which there has been headroom for it.
type reclaimRequest struct {
	sent  clock.Instant
	shard int
	term  uint64
	items []ReclaimItem
	slots []int64
}

func newReclaimState() reclaimState { return reclaimState{pending: map[uint64]reclaimRequest{}} }

// reclaim requests tokens for the shares held by this VM that shares of another data centre lost at
// their burst limit.
func (h *Holder) reclaim(now clock.Instant) {
	for id, o := range h.reclaims.pending {
		if now.Sub(o.sent) > reclaimTimeout {
			delete(h.reclaims.pending, id)
		}
	}
	if h.snapshot == nil || h.pendingCheck != 0 {
		return
	}
	for i := range h.shards {
		if h.shards[i].phase == phaseGranting {
			h.startReclaim(now, i)
		}
	}
}

func (h *Holder) startReclaim(now clock.Instant, i int) {
	s := &h.shards[i]
	o := reclaimRequest{sent: now, shard: i, term: s.term}
	fraction := h.reclaims.turns[i] / max(1, len(h.snapshot.Document.DataCentres)) % headroomFractions
	for _, name := range sortedKeys(s.buckets) {
		if len(o.items) < maxReclaimItems {
			s.buckets[name].addReclaimItem(now, name, fraction, &o)
		}
	}
	to, ok := h.nextDataCentre(i)
	if len(o.items) == 0 || !ok {
		return
	}
	h.reclaims.lastID++
	h.reclaims.pending[h.reclaims.lastID] = o
	h.emit(ReclaimOut{ReclaimID: h.reclaims.lastID, DataCentre: to, Shard: i, Items: o.items})
}

// addReclaimItem adds an item with the bucket's headroom and its age.
func (b *bucket) addReclaimItem(now clock.Instant, workspace string, fraction int, o *reclaimRequest) {
	b.advance(now)
	if b.level >= b.capacity()/100*reclaimBelowPercent {
		return
	}
	headroom := (b.capacity() - b.level) >> fraction
	slot, ok := b.overflow.firstSlotWithHeadroom(now, headroom, b.capacity())
	if headroom < unitsPerToken || !ok {
		return
	}
	o.items = append(o.items, ReclaimItem{Workspace: workspace, Age: now.Sub(slotStart(slot)), Tokens: headroom / unitsPerToken})
	o.slots = append(o.slots, slot)
}

// nextDataCentre rotates through the other data centres.
func (h *Holder) nextDataCentre(i int) (string, bool) {
	names := sortedKeys(h.snapshot.Document.DataCentres)
	for range names {
		h.reclaims.turns[i]++
		name := names[h.reclaims.turns[i]%len(names)]
		if name != h.dataCentre {
			return name, true
		}
	}
	return "", false
}

// serveReclaim replies with the tokens that local shares lost while the requesting shares had
// headroom.
func (h *Holder) serveReclaim(now clock.Instant, in ReclaimIn) {
	out := ReclaimedOut{Call: in.Call, Tokens: make([]int64, len(in.Items))}
	for k, item := range in.Items {
		if b, ok := h.grantingBucket(item.Workspace); ok && b != nil && item.Age >= 0 {
			b.advance(now)
			out.Tokens[k] = b.overflow.take(now, now.Add(-item.Age), item.Tokens)
		}
	}
	h.emit(out)
}

// onReclaimed deposits tokens that another share lost. Late replies are discarded.
func (h *Holder) onReclaimed(now clock.Instant, in ReclaimedIn) {
	o, ok := h.reclaims.pending[in.ReclaimID]
	delete(h.reclaims.pending, in.ReclaimID)
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
