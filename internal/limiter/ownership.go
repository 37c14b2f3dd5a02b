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

// ownership is the part of a holder that manages shard ownership and the record of its data
// centre.
type ownership struct {
	checkTimer, readTimer, firstLayoutTimer, staleTimer, listTimer, othersTimer, writeTimer, announceTimer, expireTimer timer

	recordMissing bool
	// firstLayout is the initial layout of the fleet, once known.
	firstLayout *Layout
	// pendingWrite is the record of a write whose outcome is not known yet.
	pendingWrite   *Record
	writeIfVersion uint64
	// absentSince is when a holder was first seen to be gone.
	absentSince map[ident.VM]clock.Instant
	// appliedVersions is the record version applied by each VM.
	appliedVersions map[ident.VM]uint64
	// pendingBalances are kept until the record that makes this VM their holder arrives.
	pendingBalances map[int][]bucketState
}

func newOwnership() ownership {
	return ownership{
		absentSince:     map[ident.VM]clock.Instant{},
		appliedVersions: map[ident.VM]uint64{},
		pendingBalances: map[int][]bucketState{},
	}
}

// updateOwnership performs the periodic work of a tick: checks, reads, takeovers and handovers.
func (h *Holder) updateOwnership(now clock.Instant) {
	if h.view == nil || h.snapshot == nil {
		return
	}
	h.requestCheck(now)
	if h.ownership.readTimer.due(now, h.readPeriod()) {
		h.emit(ReadRecordOut{})
	}
	h.expireAwaiting(now)
	h.updatePreferred(now)
	if h.ownership.pendingWrite != nil {
		h.retryWrite(now)
		return
	}
	h.decideWrite(now)
}

func (h *Holder) readPeriod() time.Duration {
	if h.record == nil {
		return retryPeriod
	}
	// The offset per VM keeps VMs that started at the same time from always reading at once.
	return recordPeriod + time.Duration(xxhash.Sum64String(h.self.Name)%uint64(recordPeriod/2))
}

func (h *Holder) requestCheck(now clock.Instant) {
	if h.pendingCheck != 0 && h.ownership.checkTimer.due(now, retryPeriod) {
		h.emit(ReadRecordOut{CheckID: h.pendingCheck})
	}
}

// decideWrite starts at most one write of the record.
func (h *Holder) decideWrite(now clock.Instant) {
	coordinator := h.isCoordinator()
	switch {
	case h.record == nil:
		if coordinator && h.ownership.recordMissing && h.firstLayoutKnown(now) {
			h.startWrite(now, h.initialRecord())
		}
	case coordinator && h.takeOver(now):
	case h.startHandovers(now):
	case coordinator:
		h.advanceLayouts(now)
	}
}

func (h *Holder) isCoordinator() bool {
	owner, ok := h.view.Owner(RecordName(h.dataCentre), h.eligible)
	return ok && owner.VM == h.self
}

// eligible reports whether a member can hold shards of this data centre.
func (h *Holder) eligible(m membership.Member) bool {
	return m.DataCentre == h.dataCentre && !(h.stopping && m.VM == h.self)
}

func (h *Holder) preferredHolder(i int) (ident.VM, bool) {
	m, ok := h.view.Owner(RecordName(h.dataCentre)+"/"+strconv.Itoa(i), h.eligible)
	return m.VM, ok
}

// firstLayoutKnown reports whether the initial layout of the fleet is known, and requests it
// otherwise.
func (h *Holder) firstLayoutKnown(now clock.Instant) bool {
	if h.ownership.firstLayout == nil && h.ownership.firstLayoutTimer.due(now, retryPeriod) {
		doc := &h.snapshot.Document
		h.emit(EnsureFirstLayoutOut{Layout: Layout{Version: uint64(h.snapshot.Version), Weights: ShareWeights(doc), Confirmed: true}})
	}
	return h.ownership.firstLayout != nil
}

// initialRecord assigns the first holders. If the data centre is not part of the initial layout,
// its shares are empty in the record's first layout. Nothing is granted until all other data
// centres have confirmed the second layout.
func (h *Holder) initialRecord() *Record {
	r := &Record{Shards: make([]assignment, Shards), Layouts: []Layout{*h.ownership.firstLayout}}
	mode := startFull
	if h.ownership.firstLayout.Weights[h.dataCentre] == 0 {
		mode = startEmpty
		r.Layouts = []Layout{
			{Weights: Weights{}, Confirmed: true},
			{Version: uint64(h.snapshot.Version), Weights: ShareWeights(&h.snapshot.Document), Confirmed: true},
		}
	}
	for i := range r.Shards {
		vm, _ := h.preferredHolder(i)
		r.Shards[i] = assignment{VM: vm, Term: 1, Start: mode}
	}
	return r
}

// updatePreferred tracks the preferred holder of each shard held by this VM.
func (h *Holder) updatePreferred(now clock.Instant) {
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

// startHandovers stops granting from shards that another VM should hold and writes a record that
// assigns them to that VM.
func (h *Holder) startHandovers(now clock.Instant) bool {
	next := h.record.clone()
	started := false
	for i := range h.shards {
		s := &h.shards[i]
		move := s.phase == phaseGranting && s.preferred != h.self && !s.preferred.IsZero()
		if !move || h.pendingCheck != 0 || (!h.stopping && now.Sub(s.preferredSince) < rebalanceDelay) {
			continue
		}
		s.phase, s.nextHolder = phaseHandingOver, s.preferred
		next.Shards[i] = assignment{VM: s.nextHolder, Term: s.term + 1, Start: startHandover}
		started = true
	}
	if started {
		h.startWrite(now, next)
	}
	return started
}

func (h *Holder) startWrite(now clock.Instant, r *Record) {
	h.ownership.pendingWrite, h.ownership.writeIfVersion = r, h.recordVersion
	h.ownership.writeTimer = timer{next: now.Add(retryPeriod)}
	h.emit(WriteRecordOut{Record: r, IfVersion: h.recordVersion})
}

// retryWrite repeats a write whose outcome is unknown. The repetition is safe because the write
// is conditional on the version.
func (h *Holder) retryWrite(now clock.Instant) {
	if h.ownership.writeTimer.due(now, 2*retryPeriod) {
		h.emit(WriteRecordOut{Record: h.ownership.pendingWrite, IfVersion: h.ownership.writeIfVersion})
	}
}

func (h *Holder) onWritten(now clock.Instant, in WriteResultIn) {
	if h.ownership.pendingWrite == nil {
		return
	}
	switch in.Outcome {
	case WriteDone:
		r, former := h.ownership.pendingWrite, h.record
		h.applyRecord(now, r, in.Version)
		h.emit(AnnounceOut{Record: r, Version: in.Version, To: h.announceTargets(former)})
	case WriteConflict:
		h.emit(ReadRecordOut{})
	case WriteUnknown:
	}
}

// announceTargets returns the other VMs of this data centre that are not gone, and the previous
// holders that are no longer in the record, in case one is still running.
func (h *Holder) announceTargets(former *Record) []ident.VM {
	var out []ident.VM
	for _, m := range h.view.Members {
		if m.DataCentre == h.dataCentre && m.VM != h.self && m.State != membership.Gone {
			out = append(out, m.VM)
		}
	}
	if former == nil {
		return out
	}
	current := h.record.holders()
	for _, vm := range former.holders() {
		if vm != h.self && !slices.Contains(current, vm) && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// hasLocalPeer reports whether another VM of this data centre can hold shards.
func (h *Holder) hasLocalPeer() bool {
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
		h.ownership.recordMissing = h.record == nil
		return
	}
	h.applyRecord(now, in.Record, in.Version)
	if in.CheckID != 0 && in.CheckID == h.pendingCheck {
		h.pendingCheck = 0
		h.emit(EventOut{Event: "grants resumed"})
	}
}

// onReadFailed falls back to querying the peers. A takeover requires the platform, and the VM
// that took over knows about it.
func (h *Holder) onReadFailed(in ReadFailedIn) {
	if in.CheckID != 0 && in.CheckID == h.pendingCheck {
		h.emit(QueryPeersOut(in))
	}
}

func (h *Holder) onPeers(in PeerVersionsIn) {
	if in.CheckID == h.pendingCheck && in.Version <= h.recordVersion {
		h.pendingCheck = 0
		h.emit(EventOut{Event: "grants resumed"})
	}
}

// applyRecord applies a record if it is newer than the current one.
func (h *Holder) applyRecord(now clock.Instant, r *Record, version uint64) {
	if version <= h.recordVersion {
		return
	}
	h.record, h.recordVersion = r, version
	h.emit(RecordAppliedOut{Record: r, Version: version})
	h.ownership.recordMissing = false
	if h.ownership.pendingWrite != nil && version > h.ownership.writeIfVersion {
		h.ownership.pendingWrite = nil
	}
	for i, s := range r.Shards {
		h.applyAssignment(now, i, s)
	}
	h.applyLimits(now)
}

func (h *Holder) applyAssignment(now clock.Instant, i int, to assignment) {
	s := &h.shards[i]
	if to.VM != h.self {
		if s.phase == phaseHandingOver && to.VM == s.nextHolder && to.Term == s.term+1 {
			h.emit(HandoverOut{To: to.VM, Balances: h.handoverBalances(now, i, to.Term)})
		}
		if s.phase != phaseNone {
			h.release(i)
		}
		return
	}
	if s.phase != phaseNone && s.term == to.Term {
		if s.phase == phaseHandingOver {
			s.phase = phaseGranting
		}
		return
	}
	*s = shard{term: to.Term}
	if to.Start != startHandover {
		h.startGranting(now, i, to.Start == startEmpty)
		return
	}
	s.phase, s.heldSince = phaseAwaitingBalances, now
	h.startFromBalances(now, i)
}

// expireAwaiting starts without balances in shards whose balances did not arrive in time.
func (h *Holder) expireAwaiting(now clock.Instant) {
	for i := range h.shards {
		s := &h.shards[i]
		if s.phase == phaseAwaitingBalances && now.Sub(s.heldSince) >= handoverTimeout {
			h.startGranting(now, i, true)
		}
	}
}

func (h *Holder) onHandover(now clock.Instant, in HandoverIn) {
	byShard := map[int][]bucketState{}
	for _, b := range in.Balances {
		i := b.Shard
		if i < 0 || i >= Shards {
			continue
		}
		byShard[i] = append(byShard[i], b)
	}
	for _, i := range sortedKeys(byShard) {
		h.ownership.pendingBalances[i] = byShard[i]
		h.startFromBalances(now, i)
	}
}

// startFromBalances starts granting with the previous holder's balances once both the balances
// and the record have arrived.
func (h *Holder) startFromBalances(now clock.Instant, i int) {
	s := &h.shards[i]
	list := h.ownership.pendingBalances[i]
	if s.phase != phaseAwaitingBalances || len(list) == 0 || list[0].Term != s.term {
		return
	}
	delete(h.ownership.pendingBalances, i)
	s.buckets = map[string]*shareBucket{}
	for _, b := range list {
		if b.Workspace != "" {
			h.installBucket(now, b)
		}
	}
	installed := s.buckets
	h.startGranting(now, i, true)
	for name, b := range installed {
		s.buckets[name] = b
	}
}
