package limiter

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// claims is the part of a holder that deals with the record of its data centre.
type claims struct {
	verify, read, readFirst, stale, list, others, write, announce, sweep timer

	missing bool
	// first is the layout that the fleet began with.
	first *Layout
	// pending is the record of a write without a known outcome.
	pending   *Record
	ifVersion uint64
	// goneSince tells when a holder was first seen to be gone.
	goneSince map[ident.VM]clock.Instant
	// acked is the record version that each VM applies.
	acked map[ident.VM]uint64
	// balances wait for the record that makes this VM their holder.
	balances map[int][]balance
}

func newClaims() claims {
	return claims{
		goneSince: map[ident.VM]clock.Instant{},
		acked:     map[ident.VM]uint64{},
		balances:  map[int][]balance{},
	}
}

// claim does what a tick asks for: checks, reads, takeovers and handovers.
func (h *Holder) claim(now clock.Instant) {
	if h.view == nil || h.snapshot == nil {
		return
	}
	h.checkFence(now)
	if h.claims.read.due(now, h.readPeriod()) {
		h.emit(ReadRecordOut{})
	}
	h.endAwaiting(now)
	h.notePreferred(now)
	if h.claims.pending != nil {
		h.retryWrite(now)
		return
	}
	h.decideWrite(now)
}

func (h *Holder) readPeriod() time.Duration {
	if h.rec == nil {
		return retryPeriod
	}
	// VMs that started together do not read together for long.
	return recordPeriod + time.Duration(xxhash.Sum64String(h.self.Name)%uint64(recordPeriod/2))
}

func (h *Holder) checkFence(now clock.Instant) {
	if h.fence != 0 && h.claims.verify.due(now, retryPeriod) {
		h.emit(ReadRecordOut{Verify: h.fence})
	}
}

// decideWrite starts at most one write of the record.
func (h *Holder) decideWrite(now clock.Instant) {
	coordinator := h.coordinates()
	switch {
	case h.rec == nil:
		if coordinator && h.claims.missing && h.knowsFirst(now) {
			h.write(now, h.firstRecord())
		}
	case coordinator && h.takeOver(now):
	case h.give(now):
	case coordinator:
		h.advanceLayouts(now)
	}
}

func (h *Holder) coordinates() bool {
	owner, ok := h.view.Owner(RecordName(h.dataCentre), h.local)
	return ok && owner.VM == h.self
}

// local accepts the members that may hold shards here.
func (h *Holder) local(m membership.Member) bool {
	return m.DataCentre == h.dataCentre && !(h.stopping && m.VM == h.self)
}

func (h *Holder) preferredHolder(i int) (ident.VM, bool) {
	m, ok := h.view.Owner(RecordName(h.dataCentre)+"/"+strconv.Itoa(i), h.local)
	return m.VM, ok
}

// knowsFirst reports whether the fleet's first layout is known, and else asks for it.
func (h *Holder) knowsFirst(now clock.Instant) bool {
	if h.claims.first == nil && h.claims.readFirst.due(now, retryPeriod) {
		doc := &h.snapshot.Document
		h.emit(FirstLayoutOut{Layout: Layout{Version: uint64(h.snapshot.Version), Weights: WeightsOf(doc), Confirmed: true}})
	}
	return h.claims.first != nil
}

// firstRecord names the first holders. In a data centre that the fleet did not begin with,
// the first layout gives nothing, and nothing is granted before the others are seen to keep
// within the second.
func (h *Holder) firstRecord() *Record {
	r := &Record{Shards: make([]holding, Shards), Layouts: []Layout{*h.claims.first}}
	how := startFull
	if h.claims.first.Weights[h.dataCentre] == 0 {
		how = startEmpty
		r.Layouts = []Layout{
			{Weights: Weights{}, Confirmed: true},
			{Version: uint64(h.snapshot.Version), Weights: WeightsOf(&h.snapshot.Document), Confirmed: true},
		}
	}
	for i := range r.Shards {
		vm, _ := h.preferredHolder(i)
		r.Shards[i] = holding{VM: vm, Term: 1, Start: how}
	}
	return r
}

// notePreferred follows which VM should hold each shard held here.
func (h *Holder) notePreferred(now clock.Instant) {
	for i := range h.shards {
		s := &h.shards[i]
		if s.phase != phaseGranting {
			continue
		}
		vm, ok := h.preferredHolder(i)
		if !ok {
			vm = h.self
		}
		if vm != s.preferred {
			s.preferred, s.preferredSince = vm, now
		}
	}
}

// give stops granting from the shards that another VM should hold, and names that VM.
func (h *Holder) give(now clock.Instant) bool {
	next := h.rec.clone()
	given := false
	for i := range h.shards {
		s := &h.shards[i]
		move := s.phase == phaseGranting && s.preferred != h.self && !s.preferred.IsZero()
		if !move || h.fence != 0 || (!h.stopping && now.Sub(s.preferredSince) < rebalanceDelay) {
			continue
		}
		s.phase, s.target = phaseGiving, s.preferred
		next.Shards[i] = holding{VM: s.target, Term: s.term + 1, Start: startHandover}
		given = true
	}
	if given {
		h.write(now, next)
	}
	return given
}

func (h *Holder) write(now clock.Instant, r *Record) {
	h.claims.pending, h.claims.ifVersion = r, h.recVersion
	h.claims.write = timer{next: now.Add(retryPeriod)}
	h.emit(WriteRecordOut{Record: r, IfVersion: h.recVersion})
}

// retryWrite repeats a write without a known outcome: its condition makes it harmless.
func (h *Holder) retryWrite(now clock.Instant) {
	if h.claims.write.due(now, 2*retryPeriod) {
		h.emit(WriteRecordOut{Record: h.claims.pending, IfVersion: h.claims.ifVersion})
	}
}

func (h *Holder) onWritten(now clock.Instant, in WrittenIn) {
	if h.claims.pending == nil {
		return
	}
	switch in.Outcome {
	case WriteDone:
		r, former := h.claims.pending, h.rec
		h.applyRecord(now, r, in.Version)
		h.emit(AnnounceOut{Record: r, Version: in.Version, To: h.listeners(former)})
	case WriteConflict:
		h.emit(ReadRecordOut{})
	case WriteUnknown:
	}
}

// listeners gives the other VMs of this data centre that may listen, and the former holders
// that the record does not name any more, in case one still runs.
func (h *Holder) listeners(former *Record) []ident.VM {
	var out []ident.VM
	for _, m := range h.view.Members {
		if m.DataCentre == h.dataCentre && m.VM != h.self && m.State != membership.Gone {
			out = append(out, m.VM)
		}
	}
	if former == nil {
		return out
	}
	now := h.rec.holders()
	for _, vm := range former.holders() {
		if vm != h.self && !slices.Contains(now, vm) && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// hasNeighbour reports whether another VM of this data centre can hold shards.
func (h *Holder) hasNeighbour() bool {
	if h.view == nil {
		return false
	}
	_, ok := h.view.Owner("", func(m membership.Member) bool {
		return m.DataCentre == h.dataCentre && m.VM != h.self
	})
	return ok
}

func (h *Holder) onRecord(now clock.Instant, in RecordIn) {
	if in.Record == nil {
		h.claims.missing = h.rec == nil
		return
	}
	h.applyRecord(now, in.Record, in.Version)
	if in.Verify != 0 && in.Verify == h.fence {
		h.fence = 0
		h.emit(NoticeOut{Event: "checked"})
	}
}

// onReadFailed falls back on the peers: takeovers need the platform, and the VM that
// took over knows it.
func (h *Holder) onReadFailed(in ReadFailedIn) {
	if in.Verify != 0 && in.Verify == h.fence {
		h.emit(AskPeersOut(in))
	}
}

func (h *Holder) onPeers(in PeersIn) {
	if in.Verify == h.fence && in.Version <= h.recVersion {
		h.fence = 0
		h.emit(NoticeOut{Event: "checked"})
	}
}

// applyRecord puts a newer record in force.
func (h *Holder) applyRecord(now clock.Instant, r *Record, version uint64) {
	if version <= h.recVersion {
		return
	}
	h.rec, h.recVersion = r, version
	h.emit(RecordOut{Record: r, Version: version})
	h.claims.missing = false
	if h.claims.pending != nil && version > h.claims.ifVersion {
		h.claims.pending = nil
	}
	for i, s := range r.Shards {
		h.applyHolding(now, i, s)
	}
	h.applyLimits(now)
}

func (h *Holder) applyHolding(now clock.Instant, i int, to holding) {
	s := &h.shards[i]
	if to.VM != h.self {
		if s.phase == phaseGiving && to.VM == s.target && to.Term == s.term+1 {
			h.emit(HandoverOut{To: to.VM, Balances: h.balancesOf(now, i, to.Term)})
		}
		if s.phase != phaseNone {
			h.lose(i)
		}
		return
	}
	if s.phase != phaseNone && s.term == to.Term {
		if s.phase == phaseGiving {
			s.phase = phaseGranting
		}
		return
	}
	*s = shard{term: to.Term}
	if to.Start != startHandover {
		h.begin(now, i, to.Start == startEmpty)
		return
	}
	s.phase, s.since = phaseAwaiting, now
	h.receive(now, i)
}

// endAwaiting begins with no balances where those of the former holder did not come.
func (h *Holder) endAwaiting(now clock.Instant) {
	for i := range h.shards {
		s := &h.shards[i]
		if s.phase == phaseAwaiting && now.Sub(s.since) >= handoverWait {
			h.begin(now, i, true)
		}
	}
}

func (h *Holder) onHandover(now clock.Instant, in HandoverIn) {
	byShard := map[int][]balance{}
	for _, b := range in.Balances {
		i := b.Shard
		if i < 0 || i >= Shards {
			continue
		}
		byShard[i] = append(byShard[i], b)
	}
	for _, i := range sorted(byShard) {
		h.claims.balances[i] = byShard[i]
		h.receive(now, i)
	}
}

// receive begins with the former holder's balances once they and the record are here.
func (h *Holder) receive(now clock.Instant, i int) {
	s := &h.shards[i]
	list := h.claims.balances[i]
	if s.phase != phaseAwaiting || len(list) == 0 || list[0].Term != s.term {
		return
	}
	delete(h.claims.balances, i)
	s.buckets = map[string]*shareBucket{}
	for _, b := range list {
		if b.Workspace != "" {
			h.install(now, b)
		}
	}
	installed := s.buckets
	h.begin(now, i, true)
	for name, b := range installed {
		s.buckets[name] = b
	}
}
