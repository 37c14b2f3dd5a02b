package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// phase is the ownership state of a shard on this VM.
type phase uint8

const (
	// phaseNone means that another VM holds the shard.
	phaseNone phase = iota
	// phaseAwaitingBalances means that this VM is the new holder and waits for the balances of
	// the previous one.
	phaseAwaitingBalances
	// phaseGranting means that this VM holds the shard and grants from it.
	phaseGranting
	// phaseHandingOver means that this VM has stopped granting and is writing a record that
	// assigns the shard to another holder. It grants again only if a newer record shows that
	// this write failed.
	phaseHandingOver
)

// shard is this VM's state of one shard of its data centre.
type shard struct {
	phase phase
	term  uint64
	// heldSince is when this VM became the holder. startedEmpty means that it started without
	// balances.
	heldSince    clock.Instant
	startedEmpty bool
	nextHolder   ident.VM
	buckets      map[string]*shareBucket
	// preferred is the VM that has been the preferred holder since preferredSince.
	preferred      ident.VM
	preferredSince clock.Instant
}

// shareBucket is the bucket of one workspace's share.
type shareBucket struct {
	*bucket
	removed   bool
	removedAt clock.Instant
}

// waitingRequest is a request that waits for undecided grants of other requests.
type waitingRequest struct {
	request  ReserveIn
	deadline clock.Instant
}

// Holder grants tokens from the shares held by one VM. It is a pure state machine.
type Holder struct {
	self       ident.VM
	dataCentre string
	view       *membership.View
	snapshot   *configuration.Snapshot
	shards     [Shards]shard
	waiting    []waitingRequest
	ended      endedRequests
	ownership  ownership
	reclaims   reclaimState

	record        *Record
	recordVersion uint64

	stepped  bool
	lastStep clock.Instant
	// pendingCheck is the ID of the ownership check that must succeed before this VM grants
	// again, or 0 if there is none.
	pendingCheck uint64
	lastCheck    uint64
	stopping     bool
	actions      []Action
}

// NewHolder returns the state machine for one incarnation of a VM.
func NewHolder(self ident.VM, dataCentre string) *Holder {
	return &Holder{self: self, dataCentre: dataCentre, ended: newEndedRequests(), ownership: newOwnership(), reclaims: newReclaimState()}
}

// Step implements eventloop.Machine.
func (h *Holder) Step(now clock.Instant, in Input) []Action {
	h.actions = nil
	h.detectPause(now)
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
	case PeerVersionsIn:
		h.onPeers(in)
	case WriteResultIn:
		h.onWritten(now, in)
	case VMListIn:
		h.onList(now, in)
	case OtherRecordsIn:
		h.onOthers(in)
	case FirstLayoutIn:
		h.ownership.firstLayout = &in.Layout
	case HandoverIn:
		h.onHandover(now, in)
	case RecordAckIn:
		h.ownership.appliedVersions[in.VM] = max(h.ownership.appliedVersions[in.VM], in.Version)
	case StopIn:
		h.stopping = true
	case ReclaimIn:
		h.serveReclaim(now, in)
	case ReclaimedIn:
		h.onReclaimed(now, in)
	case RecordStaleIn:
		if h.ownership.staleTimer.due(now, stalePeriod) {
			h.emit(ReadRecordOut{})
		}
	case StatusIn:
		h.emit(h.status(now, in.Call))
	}
	h.retryWaiting(now)
	return h.actions
}

func (h *Holder) emit(a Action) { h.actions = append(h.actions, a) }

// detectPause suspends granting after a gap between steps, because another VM may have taken over
// the shards in the meantime.
func (h *Holder) detectPause(now clock.Instant) {
	if h.stepped && now.Sub(h.lastStep) > PauseLimit {
		h.lastCheck++
		h.pendingCheck = h.lastCheck
		h.ownership.checkTimer = timer{}
		h.emit(EventOut{Event: "grants suspended"})
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
	h.updateOwnership(now)
	if h.view != nil && h.reclaims.timer.due(now, max(reclaimPeriod, time.Duration(len(h.view.Members))*reclaimPeriodPerVM)) {
		h.reclaim(now)
	}
	if h.ownership.expireTimer.due(now, recordPeriod) {
		h.expire(now)
	}
}

// grantingBucket returns the bucket of a workspace and reports whether this VM may grant from its
// shard. The bucket is nil if the workspace is unknown.
func (h *Holder) grantingBucket(workspace string) (b *shareBucket, ok bool) {
	s := &h.shards[ShardOf(workspace)]
	if s.phase != phaseGranting || h.pendingCheck != 0 {
		return nil, false
	}
	return s.buckets[workspace], true
}

func (h *Holder) reserve(now clock.Instant, in ReserveIn) {
	b, ok := h.grantingBucket(in.Req.Workspace)
	switch {
	case !ok:
		h.sendReply(in, ReserveReply{Status: StatusNotHolder})
	case b == nil || b.removed:
		h.sendReply(in, ReserveReply{Status: StatusNoPlan})
	case in.Req.Tokens < 0 || h.ended.has(grantID{in.From, in.Req.Seq}):
		h.sendReply(in, ReserveReply{Status: statusInsufficient})
	default:
		h.grant(now, b, in)
	}
}

func (h *Holder) grant(now clock.Instant, b *shareBucket, in ReserveIn) {
	insufficient := b.available(now) < in.Req.Tokens
	contended := insufficient && b.hasTentative(now)
	if contended && in.Req.Mode == modePartialWait {
		h.waiting = append(h.waiting, waitingRequest{request: in, deadline: now.Add(contentionWait)})
		return
	}
	h.grantNow(now, b, in, contended)
}

func (h *Holder) grantNow(now clock.Instant, b *shareBucket, in ReserveIn, contended bool) {
	id := grantID{in.From, in.Req.Seq}
	balance := b.available(now)
	if i, ok := b.find(id); ok {
		h.sendReply(in, ReserveReply{Status: grantStatus(b.grants[i].tokens, in.Req.Tokens), Granted: b.grants[i].tokens, Balance: balance})
		return
	}
	granted := min(balance, in.Req.Tokens)
	if granted < in.Req.Tokens && in.Req.Mode == modeAllOrNothing {
		granted = 0
	}
	if granted > 0 {
		b.debit(now, id, granted, in.Req.Mode != modeAllOrNothing)
	} else {
		h.ended.add(id) // a duplicate of this request must not be granted tokens that accrue later
	}
	status := grantStatus(granted, in.Req.Tokens)
	if contended && status == statusInsufficient {
		status = statusContended
	}
	h.sendReply(in, ReserveReply{Status: status, Granted: granted, Balance: b.available(now)})
}

func grantStatus(granted, requested int64) reserveStatus {
	if granted >= requested {
		return statusGranted
	}
	return statusInsufficient
}

func (h *Holder) sendReply(in ReserveIn, r ReserveReply) { h.emit(ReplyOut{Call: in.Call, Reply: r}) }

// retryWaiting replies to the waiting requests that can be decided now, oldest first.
func (h *Holder) retryWaiting(now clock.Instant) {
	queue := h.waiting
	h.waiting = nil
	for _, w := range queue {
		b, ok := h.grantingBucket(w.request.Req.Workspace)
		if !ok || b == nil || b.removed || h.ended.has(grantID{w.request.From, w.request.Req.Seq}) {
			h.sendReply(w.request, ReserveReply{Status: StatusNotHolder})
			continue
		}
		enough := b.available(now) >= w.request.Req.Tokens
		contended := b.hasTentative(now)
		if enough || !contended || !now.Before(w.deadline) {
			h.grantNow(now, b, w.request, contended && !enough)
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
	forwards := map[string]*ForwardSettlementsOut{}
	for _, item := range in.Batch.Items {
		id := grantID{from, item.Seq}
		s := &h.shards[ShardOf(item.Workspace)]
		if s.phase != phaseNone {
			h.settleItem(now, s, id, item)
			continue
		}
		if to, ok := h.otherHolder(item.Workspace); ok && in.Batch.VM == nil {
			f := forwards[to.String()]
			if f == nil {
				f = &ForwardSettlementsOut{To: to, Batch: SettlementBatch{VM: &from}}
				forwards[to.String()] = f
			}
			f.Batch.Items = append(f.Batch.Items, item)
		}
	}
	for _, name := range sortedKeys(forwards) {
		h.emit(*forwards[name])
	}
}

func (h *Holder) settleItem(now clock.Instant, s *shard, id grantID, item Settlement) {
	b := s.buckets[item.Workspace]
	if item.Used == ConfirmTentative {
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

// otherHolder returns the holder of a workspace's shard, and false if it is this VM or unknown.
func (h *Holder) otherHolder(workspace string) (ident.VM, bool) {
	if h.record == nil {
		return ident.VM{}, false
	}
	vm := h.record.Shards[ShardOf(workspace)].VM
	return vm, vm != h.self
}

// expire removes grants that were never settled and the balances of workspaces removed long ago.
func (h *Holder) expire(now clock.Instant) {
	for i := range h.shards {
		for name, b := range h.shards[i].buckets {
			b.settleMatching(func(g grant) bool { return now.Sub(g.at) > refundRetention })
			if b.removed && now.Sub(b.removedAt) > removedRetention {
				delete(h.shards[i].buckets, name)
			}
		}
	}
}

// status returns the shares held by this VM.
func (h *Holder) status(now clock.Instant, call uint64) StatusOut {
	out := StatusOut{Call: call}
	for i := range h.shards {
		s := &h.shards[i]
		if s.phase != phaseNone && h.hasLocalPeer() {
			out.HandoversPending++
		}
		for _, name := range sortedKeys(s.buckets) {
			b := s.buckets[name]
			out.Shares = append(out.Shares, ShareStatus{
				Workspace:  name,
				DataCentre: h.dataCentre,
				Shard:      i,
				Term:       s.term,
				Rate:       b.rate,
				Burst:      b.burst,
				Balance:    b.available(now),
				Held:       len(b.grants),
			})
		}
	}
	return out
}
