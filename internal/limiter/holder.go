package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// phase is how far this VM holds a shard.
type phase uint8

const (
	// phaseNone: another VM holds the shard.
	phaseNone phase = iota
	// phaseAwaiting: this VM is the holder and waits for the former one's balances.
	phaseAwaiting
	// phaseGranting: this VM holds the shard.
	phaseGranting
	// phaseGiving: this VM has stopped granting for good and names another holder.
	phaseGiving
)

// shard is what this VM knows of one shard of its data centre.
type shard struct {
	phase phase
	term  uint64
	// since is when this VM began as holder; empty tells that it began with no balances.
	since   clock.Instant
	empty   bool
	target  ident.VM
	buckets map[string]*shareBucket
	// preferred is the VM that should hold the shard since preferredSince.
	preferred      ident.VM
	preferredSince clock.Instant
}

// shareBucket is one workspace's bucket at its holder.
type shareBucket struct {
	*bucket
	removed   bool
	removedAt clock.Instant
}

// waiter is a request that waits for undecided parts of others.
type waiter struct {
	in    ReserveIn
	until clock.Instant
}

// Holder decides for the shares that one VM holds. It is a pure state machine.
type Holder struct {
	self       ident.VM
	dataCentre string
	view       *membership.View
	snapshot   *configuration.Snapshot
	shards     [Shards]shard
	waiting    []waiter
	ended      endedParts
	claims     claims
	recovery   recovery

	rec        *Record
	recVersion uint64

	stepped  bool
	lastStep clock.Instant
	// fence is the number of the check that must pass before this VM grants again, 0 for none.
	fence     uint64
	lastFence uint64
	stopping  bool
	out       []Action
}

// NewHolder makes the machine of one VM life in a data centre.
func NewHolder(self ident.VM, dataCentre string) *Holder {
	return &Holder{self: self, dataCentre: dataCentre, ended: newEndedParts(), claims: newClaims(), recovery: newRecovery()}
}

// Step implements duty.Machine.
func (h *Holder) Step(now clock.Instant, in Input) []Action {
	h.out = nil
	h.notePause(now)
	switch in := in.(type) {
	case ReserveIn:
		h.reserve(now, in)
	case SettleIn:
		h.settle(now, in)
	case TickIn:
		h.tick(now, in)
	case RecordIn:
		h.onRecord(now, in)
	case ReadFailedIn:
		h.onReadFailed(in)
	case PeersIn:
		h.onPeers(in)
	case WrittenIn:
		h.onWritten(now, in)
	case ListIn:
		h.onList(now, in)
	case OthersIn:
		h.onOthers(in)
	case FirstLayoutIn:
		h.claims.first = &in.Layout
	case HandoverIn:
		h.onHandover(now, in)
	case AckIn:
		h.claims.acked[in.VM] = max(h.claims.acked[in.VM], in.Version)
	case StopIn:
		h.stopping = true
	case RecoverIn:
		h.giveLost(now, in)
	case RecoveredIn:
		h.onRecovered(now, in)
	case StaleIn:
		if h.claims.stale.due(now, stalePeriod) {
			h.emit(ReadRecordOut{})
		}
	case StatusIn:
		h.emit(h.status(now, in.Call))
	}
	h.serveWaiting(now)
	return h.out
}

func (h *Holder) emit(a Action) { h.out = append(h.out, a) }

// notePause stops granting after a gap in the steps: in the meantime another VM may have
// taken the shards.
func (h *Holder) notePause(now clock.Instant) {
	if h.stepped && now.Sub(h.lastStep) > PauseLimit {
		h.lastFence++
		h.fence = h.lastFence
		h.claims.verify = timer{}
		h.emit(NoticeOut{Event: "paused"})
	}
	h.stepped = true
	h.lastStep = now
}

func (h *Holder) tick(now clock.Instant, in TickIn) {
	if in.View != nil {
		h.view = in.View
	}
	if in.Snapshot != nil && (h.snapshot == nil || in.Snapshot.Version > h.snapshot.Version) {
		h.snapshot = in.Snapshot
		h.applyLimits(now)
	}
	h.claim(now)
	if h.view != nil && h.recovery.timer.due(now, max(recoverPeriod, time.Duration(len(h.view.Members))*recoverPeriodPerVM)) {
		h.recover(now)
	}
	if h.claims.sweep.due(now, recordPeriod) {
		h.sweep(now)
	}
}

// grants gives the bucket of a workspace if this VM may grant from it.
func (h *Holder) grants(workspace string) (b *shareBucket, ok bool) {
	s := &h.shards[ShardOf(workspace)]
	if s.phase != phaseGranting || h.fence != 0 {
		return nil, false
	}
	return s.buckets[workspace], true
}

func (h *Holder) reserve(now clock.Instant, in ReserveIn) {
	b, ok := h.grants(in.Req.Workspace)
	switch {
	case !ok:
		h.answer(in, ReserveReply{Status: StatusNotHolder})
	case b == nil || b.removed:
		h.answer(in, ReserveReply{Status: StatusNoPlan})
	case in.Req.Tokens < 0 || h.ended.has(partID{in.From, in.Req.Seq}):
		h.answer(in, ReserveReply{Status: statusShort})
	default:
		h.grant(now, b, in)
	}
}

func (h *Holder) grant(now clock.Instant, b *shareBucket, in ReserveIn) {
	short := b.available(now) < in.Req.Tokens
	contended := short && b.contended(now)
	if contended && in.Req.Mode == modePartWaiting {
		h.waiting = append(h.waiting, waiter{in: in, until: now.Add(partWait)})
		return
	}
	h.grantNow(now, b, in, contended)
}

func (h *Holder) grantNow(now clock.Instant, b *shareBucket, in ReserveIn, contended bool) {
	id := partID{in.From, in.Req.Seq}
	have := b.available(now)
	if i, ok := b.find(id); ok {
		h.answer(in, ReserveReply{Status: grantStatus(b.held[i].tokens, in.Req.Tokens), Granted: b.held[i].tokens, Balance: have})
		return
	}
	take := min(have, in.Req.Tokens)
	if take < in.Req.Tokens && in.Req.Mode == modeWhole {
		take = 0
	}
	if take > 0 {
		b.debit(now, id, take, in.Req.Mode != modeWhole)
	} else {
		h.ended.add(id) // a doubled request must not take what comes later
	}
	st := grantStatus(take, in.Req.Tokens)
	if contended && st == statusShort {
		st = statusContended
	}
	h.answer(in, ReserveReply{Status: st, Granted: take, Balance: b.available(now)})
}

func grantStatus(granted, wanted int64) status {
	if granted >= wanted {
		return statusGranted
	}
	return statusShort
}

func (h *Holder) answer(in ReserveIn, r ReserveReply) { h.emit(ReplyOut{Call: in.Call, Reply: r}) }

// serveWaiting answers the waiting requests that can be decided now, oldest first.
func (h *Holder) serveWaiting(now clock.Instant) {
	queue := h.waiting
	h.waiting = nil
	for _, w := range queue {
		b, ok := h.grants(w.in.Req.Workspace)
		if !ok || b == nil || b.removed || h.ended.has(partID{w.in.From, w.in.Req.Seq}) {
			h.answer(w.in, ReserveReply{Status: StatusNotHolder})
			continue
		}
		enough := b.available(now) >= w.in.Req.Tokens
		contended := b.contended(now)
		if enough || !contended || !now.Before(w.until) {
			h.grantNow(now, b, w.in, contended && !enough)
			continue
		}
		h.waiting = append(h.waiting, w)
	}
}

func (h *Holder) settle(now clock.Instant, in SettleIn) {
	from := in.From
	if in.Batch.VM != nil {
		from = *in.Batch.VM
	}
	pass := map[string]*ForwardOut{}
	for _, item := range in.Batch.Items {
		id := partID{from, item.Seq}
		s := &h.shards[ShardOf(item.Workspace)]
		if s.phase != phaseNone {
			h.settleOne(now, s, id, item)
			continue
		}
		if to, ok := h.holderOf(item.Workspace); ok && in.Batch.VM == nil {
			f := pass[to.String()]
			if f == nil {
				f = &ForwardOut{To: to, Batch: SettleBatch{VM: &from}}
				pass[to.String()] = f
			}
			f.Batch.Items = append(f.Batch.Items, item)
		}
	}
	for _, name := range sorted(pass) {
		h.emit(*pass[name])
	}
}

func (h *Holder) settleOne(now clock.Instant, s *shard, id partID, item Settlement) {
	b := s.buckets[item.Workspace]
	if item.Used == KeepUsed {
		if b != nil {
			b.confirm(id)
		}
		return
	}
	h.ended.add(id)
	if b != nil {
		b.settle(now, id, item.Used)
	}
}

// holderOf gives another VM that the record names as holder of a workspace's shard.
func (h *Holder) holderOf(workspace string) (ident.VM, bool) {
	if h.rec == nil {
		return ident.VM{}, false
	}
	vm := h.rec.Shards[ShardOf(workspace)].VM
	return vm, vm != h.self
}

// sweep forgets parts that were never settled and balances of workspaces long removed.
func (h *Holder) sweep(now clock.Instant) {
	for i := range h.shards {
		for name, b := range h.shards[i].buckets {
			b.settleAll(func(p part) bool { return now.Sub(p.at) > partLife })
			if b.removed && now.Sub(b.removedAt) > removedLife {
				delete(h.shards[i].buckets, name)
			}
		}
	}
}

// status describes the shares held here.
func (h *Holder) status(now clock.Instant, call uint64) StatusOut {
	out := StatusOut{Call: call}
	for i := range h.shards {
		s := &h.shards[i]
		if s.phase != phaseNone && h.hasNeighbour() {
			out.Leaving++
		}
		for _, name := range sorted(s.buckets) {
			b := s.buckets[name]
			out.Shares = append(out.Shares, ShareStatus{
				Workspace:  name,
				DataCentre: h.dataCentre,
				Shard:      i,
				Term:       s.term,
				Rate:       b.rate,
				Burst:      b.burst,
				Balance:    b.available(now),
				Held:       len(b.held),
			})
		}
	}
	return out
}
