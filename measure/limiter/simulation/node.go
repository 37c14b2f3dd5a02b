package simulation

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// node is one incarnation of a VM: the state machine of the share holder, and the state for requests to
// other holders.
type node struct {
	f               *Fleet
	self            membership.Member
	machine         *limiter.Holder
	hints           limiter.Hints
	snapshot        *configuration.Snapshot
	records         map[string]*limiter.Record
	versions        map[string]uint64
	refreshed       map[string]bool
	seq             uint64
	pendingReserves map[uint64]func(limiter.ReserveReply)
	pendingReclaims map[uint64]func([]int64)
	nextCall        uint64
	settlements     map[ident.VM][]limiter.Settlement
	view            *membership.View
	viewEpoch       uint64
	localBuckets    map[string]*referenceBucket
	dead            bool
	paused          bool
	leaving         bool
	deferred        []func()
}

func newNode(f *Fleet, self membership.Member) *node {
	return &node{
		f:               f,
		self:            self,
		machine:         limiter.NewHolder(self.VM, self.DataCentre),
		hints:           limiter.Hints{},
		snapshot:        f.snapshot,
		records:         map[string]*limiter.Record{},
		versions:        map[string]uint64{},
		refreshed:       map[string]bool{},
		pendingReserves: map[uint64]func(limiter.ReserveReply){},
		pendingReclaims: map[uint64]func([]int64){},
		settlements:     map[ident.VM][]limiter.Settlement{},
		localBuckets:    map[string]*referenceBucket{},
	}
}

// runOrDefer calls run if the VM is running. It defers the call while the VM is paused and drops it if
// the VM is dead.
func (n *node) runOrDefer(run func()) {
	switch {
	case n.dead:
	case n.paused:
		n.deferred = append(n.deferred, func() { n.runOrDefer(run) })
	default:
		run()
	}
}

func (n *node) every(period time.Duration, run func()) {
	if n.dead {
		return
	}
	n.f.schedule(period+time.Duration(n.f.rng.Int64N(int64(time.Millisecond))), func() {
		n.runOrDefer(func() {
			run()
			n.every(period, run)
		})
	})
}

func (n *node) applyConfiguration(snap *configuration.Snapshot) {
	if n.f.BlockPartitionedConfig && n.f.partitioned[n.self.DataCentre] {
		n.f.schedule(tickPeriod, func() { n.applyConfiguration(snap) })
		return
	}
	n.runOrDefer(func() {
		if snap.Version > n.snapshot.Version {
			n.snapshot = snap
		}
	})
}

func (n *node) currentView() *membership.View {
	if n.view == nil || n.viewEpoch != n.f.viewEpoch {
		n.view, n.viewEpoch = n.f.view(n), n.f.viewEpoch
	}
	return n.view
}

func (n *node) tick() {
	if n.f.Policy == limiter.PolicyPooled {
		n.step(limiter.TickIn{View: n.currentView(), Snapshot: n.snapshot})
	}
}

func (n *node) step(in limiter.Input) {
	for _, a := range n.machine.Step(n.f.Now, in) {
		n.perform(a)
	}
}

func (n *node) perform(a limiter.Action) {
	f := n.f
	switch a := a.(type) {
	case limiter.ReplyOut:
		if call := n.pendingReserves[a.Call]; call != nil {
			delete(n.pendingReserves, a.Call)
			call(a.Reply)
		}
	case limiter.RecordAppliedOut:
		n.storeRecord(n.self.DataCentre, a.Record, a.Version)
	case limiter.ReadRecordOut:
		n.callPlatform(func() func() {
			r, version := f.Platform.get(limiter.RecordName(n.self.DataCentre))
			return func() { n.step(limiter.RecordIn{Record: r, Version: version, CheckID: a.CheckID}) }
		}, func() { n.step(limiter.ReadFailedIn(a)) })
	case limiter.WriteRecordOut:
		n.writeRecord(a)
	case limiter.ReadVMListOut:
		n.callPlatform(func() func() {
			names := map[string]bool{}
			for name := range f.Platform.vms {
				names[name] = true
			}
			return func() { n.step(limiter.VMListIn{Names: names}) }
		}, func() {})
	case limiter.EnsureFirstLayoutOut:
		n.callPlatform(func() func() {
			f.Platform.put(limiter.FirstLayoutName, a.Layout.Encode(), 0)
			first, err := limiter.DecodeLayout(f.Platform.objects[limiter.FirstLayoutName].value)
			if err != nil {
				panic(err)
			}
			return func() { n.step(limiter.FirstLayoutIn{Layout: first}) }
		}, func() {})
	case limiter.ReadOtherRecordsOut:
		n.readOtherRecords(a)
	case limiter.QueryPeersOut:
		n.queryPeers(a)
	case limiter.AnnounceOut:
		for _, vm := range a.To {
			n.announce(vm, a)
		}
	case limiter.ReclaimedOut:
		if call := n.pendingReclaims[a.Call]; call != nil {
			delete(n.pendingReclaims, a.Call)
			call(a.Tokens)
		}
	case limiter.ReclaimOut:
		n.reclaim(a)
	case limiter.HandoverOut:
		n.sendTo(a.To, Control, a.Balances, func(to *node) { to.step(limiter.HandoverIn{Balances: a.Balances}) })
	case limiter.ForwardSettlementsOut:
		n.sendTo(a.To, Settle, &a.Batch, func(to *node) { to.step(limiter.SettleIn{From: n.self.VM, Batch: a.Batch}) })
	}
}

// callPlatform simulates one call to the platform. act runs at the platform and returns the function
// that processes the response on the VM. failed runs on the VM if the platform is not reachable.
func (n *node) callPlatform(act func() func(), failed func()) {
	f := n.f
	if f.Platform.Unavailable || f.partitioned[n.self.DataCentre] {
		f.schedule(platformTimeout, func() { n.runOrDefer(failed) })
		return
	}
	f.schedule(platformDelay, func() {
		result := act()
		f.schedule(platformDelay, func() { n.runOrDefer(result) })
	})
}

func (n *node) writeRecord(a limiter.WriteRecordOut) {
	n.callPlatform(func() func() {
		version, ok := n.f.Platform.put(limiter.RecordName(n.self.DataCentre), a.Record.Encode(), a.IfVersion)
		out := limiter.WriteResultIn{Outcome: limiter.WriteConflict}
		if ok {
			out = limiter.WriteResultIn{Outcome: limiter.WriteDone, Version: version}
		}
		if n.f.chance(n.f.Faults.LostResponsePerMille) {
			out = limiter.WriteResultIn{Outcome: limiter.WriteUnknown}
		}
		return func() { n.step(out) }
	}, func() { n.step(limiter.WriteResultIn{Outcome: limiter.WriteUnknown}) })
}

func (n *node) readOtherRecords(a limiter.ReadOtherRecordsOut) {
	n.callPlatform(func() func() {
		out := map[string]*limiter.Record{}
		for dc := range n.f.VMs {
			if dc == n.self.DataCentre {
				continue
			}
			if r, version := n.f.Platform.get(limiter.RecordName(dc)); r != nil {
				out[dc] = r
				n.storeRecord(dc, r, version)
			}
		}
		return func() { n.step(limiter.OtherRecordsIn{Records: out, Version: a.Version}) }
	}, func() {})
}

func (n *node) storeRecord(dataCentre string, r *limiter.Record, version uint64) {
	if version > n.versions[dataCentre] {
		n.records[dataCentre], n.versions[dataCentre] = r, version
	}
}

// queryPeers asks the other VMs of the data centre for the version of their record. As in the daemon,
// the ownership check identified by CheckID remains pending if a VM that is not suspected, or every VM,
// does not respond.
func (n *node) queryPeers(a limiter.QueryPeersOut) {
	undecided, queried, answered, highest := false, 0, 0, uint64(0)
	for _, m := range n.currentView().Members {
		if m.VM == n.self.VM || m.DataCentre != n.self.DataCentre || m.State == membership.Gone {
			continue
		}
		queried++
		to := n.f.nodes[m.VM.Name]
		unresponsive := to.dead || to.paused || n.f.chance(n.f.Faults.LossPerMille)
		if unresponsive {
			undecided = undecided || m.State != membership.Suspect
			continue
		}
		answered++
		highest = max(highest, to.versions[n.self.DataCentre])
		n.step(limiter.RecordIn{Record: to.records[n.self.DataCentre], Version: to.versions[n.self.DataCentre]})
	}
	if !undecided && (queried == 0 || answered > 0) {
		n.step(limiter.PeerVersionsIn{Version: highest, CheckID: a.CheckID})
	}
}

func (n *node) announce(vm ident.VM, a limiter.AnnounceOut) {
	n.sendTo(vm, Control, a.Record.Encode(), func(to *node) {
		to.step(limiter.RecordIn{Record: a.Record, Version: a.Version})
		version := to.versions[n.self.DataCentre]
		to.sendTo(n.self.VM, Control, version, func(back *node) {
			back.step(limiter.RecordAckIn{VM: vm, Version: version})
		})
	})
}

// reclaim asks the holder of a share for the tokens that the share lost at its burst limit, and passes
// the reply to the state machine.
func (n *node) reclaim(a limiter.ReclaimOut) {
	vm, ok := n.holder(a.DataCentre, a.Shard)
	if !ok {
		return
	}
	n.sendTo(vm, Reclaim, a.Items, func(to *node) {
		to.nextCall++
		to.pendingReclaims[to.nextCall] = func(tokens []int64) {
			to.sendTo(n.self.VM, Reclaim, tokens, func(back *node) {
				back.step(limiter.ReclaimedIn{ReclaimID: a.ReclaimID, Tokens: tokens})
			})
		}
		to.step(limiter.ReclaimIn{Call: to.nextCall, Items: a.Items})
	})
}

// nodeOf returns the node of an incarnation of a VM, or nil if it has been replaced.
func (f *Fleet) nodeOf(vm ident.VM) *node {
	if n := f.nodes[vm.Name]; n != nil && n.self.VM == vm {
		return n
	}
	return nil
}

func (n *node) sendTo(vm ident.VM, kind Kind, body any, deliver func(*node)) bool {
	to := n.f.nodeOf(vm)
	if to == nil {
		return false
	}
	raw, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	n.f.send(n, to, kind, len(raw), func() { deliver(to) })
	return true
}

// flushSettlements sends the queued settlements.
func (n *node) flushSettlements() {
	settlements := n.settlements
	n.settlements = map[ident.VM][]limiter.Settlement{}
	for _, name := range sortedNames(n.f.nodes) {
		vm := n.f.nodes[name].self.VM
		if items := settlements[vm]; len(items) > 0 {
			n.sendBatch(vm, limiter.SettlementBatch{Items: items})
		}
	}
}

func (n *node) sendBatch(vm ident.VM, b limiter.SettlementBatch) {
	n.sendTo(vm, Settle, &b, func(to *node) { to.step(limiter.SettleIn{From: n.self.VM, Batch: b}) })
}
