package fleet

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// node is one VM life: the holder machine and the requester side.
type node struct {
	f        *Fleet
	self     membership.Member
	machine  *limiter.Holder
	hints    limiter.Hints
	snapshot *configuration.Snapshot
	records  map[string]*limiter.Record
	versions map[string]uint64
	asked    map[string]bool
	seq      uint64
	calls    map[uint64]func(limiter.ReserveReply)
	recovers map[uint64]func([]int64)
	nextCall uint64
	queue    map[ident.VM][]limiter.Settlement
	view     *membership.View
	epoch    uint64
	local    map[string]*replay
	dead     bool
	paused   bool
	leaving  bool
	backlog  []func()
}

func newNode(f *Fleet, self membership.Member) *node {
	return &node{
		f:        f,
		self:     self,
		machine:  limiter.NewHolder(self.VM, self.DataCentre),
		hints:    limiter.Hints{},
		snapshot: f.snapshot,
		records:  map[string]*limiter.Record{},
		versions: map[string]uint64{},
		asked:    map[string]bool{},
		calls:    map[uint64]func(limiter.ReserveReply){},
		recovers: map[uint64]func([]int64){},
		queue:    map[ident.VM][]limiter.Settlement{},
		local:    map[string]*replay{},
	}
}

// do runs something on the VM: not when it is dead, later when it is paused.
func (n *node) do(run func()) {
	switch {
	case n.dead:
	case n.paused:
		n.backlog = append(n.backlog, func() { n.do(run) })
	default:
		run()
	}
}

func (n *node) every(period time.Duration, run func()) {
	if n.dead {
		return
	}
	n.f.after(period+time.Duration(n.f.rng.Int64N(int64(time.Millisecond))), func() {
		n.do(func() {
			run()
			n.every(period, run)
		})
	})
}

func (n *node) apply(snap *configuration.Snapshot) {
	if n.f.CutConfiguration && n.f.cut[n.self.DataCentre] {
		n.f.after(tickPeriod, func() { n.apply(snap) })
		return
	}
	n.do(func() {
		if snap.Version > n.snapshot.Version {
			n.snapshot = snap
		}
	})
}

func (n *node) currentView() *membership.View {
	if n.view == nil || n.epoch != n.f.epoch {
		n.view, n.epoch = n.f.view(n), n.f.epoch
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
		if call := n.calls[a.Call]; call != nil {
			delete(n.calls, a.Call)
			call(a.Reply)
		}
	case limiter.RecordAppliedOut:
		n.learn(n.self.DataCentre, a.Record, a.Version)
	case limiter.ReadRecordOut:
		n.platform(func() func() {
			r, version := f.Platform.get(limiter.RecordName(n.self.DataCentre))
			return func() { n.step(limiter.RecordIn{Record: r, Version: version, CheckID: a.CheckID}) }
		}, func() { n.step(limiter.ReadFailedIn(a)) })
	case limiter.WriteRecordOut:
		n.writeRecord(a)
	case limiter.ReadVMListOut:
		n.platform(func() func() {
			names := map[string]bool{}
			for name := range f.Platform.vms {
				names[name] = true
			}
			return func() { n.step(limiter.VMListIn{Names: names}) }
		}, func() {})
	case limiter.EnsureFirstLayoutOut:
		n.platform(func() func() {
			f.Platform.put(limiter.FirstLayoutName, a.Layout.Encode(), 0)
			first, err := limiter.DecodeLayout(f.Platform.objects[limiter.FirstLayoutName].value)
			if err != nil {
				panic(err)
			}
			return func() { n.step(limiter.FirstLayoutIn{Layout: first}) }
		}, func() {})
	case limiter.ReadOtherRecordsOut:
		n.readOthers(a)
	case limiter.QueryPeersOut:
		n.askPeers(a)
	case limiter.AnnounceOut:
		for _, vm := range a.To {
			n.announce(vm, a)
		}
	case limiter.ReclaimedOut:
		if call := n.recovers[a.Call]; call != nil {
			delete(n.recovers, a.Call)
			call(a.Tokens)
		}
	case limiter.ReclaimOut:
		n.recover(a)
	case limiter.HandoverOut:
		n.toLife(a.To, Control, a.Balances, func(to *node) { to.step(limiter.HandoverIn{Balances: a.Balances}) })
	case limiter.ForwardSettlementsOut:
		n.toLife(a.To, Settle, &a.Batch, func(to *node) { to.step(limiter.SettleIn{From: n.self.VM, Batch: a.Batch}) })
	}
}

// platform makes one call: act happens there, its result comes back or failed runs.
func (n *node) platform(act func() func(), failed func()) {
	f := n.f
	if f.Platform.Away || f.cut[n.self.DataCentre] {
		f.after(platformTimeout, func() { n.do(failed) })
		return
	}
	f.after(platformDelay, func() {
		result := act()
		f.after(platformDelay, func() { n.do(result) })
	})
}

func (n *node) writeRecord(a limiter.WriteRecordOut) {
	n.platform(func() func() {
		version, ok := n.f.Platform.put(limiter.RecordName(n.self.DataCentre), a.Record.Encode(), a.IfVersion)
		out := limiter.WriteResultIn{Outcome: limiter.WriteConflict}
		if ok {
			out = limiter.WriteResultIn{Outcome: limiter.WriteDone, Version: version}
		}
		if n.f.chance(n.f.Faults.LostAnswers) {
			out = limiter.WriteResultIn{Outcome: limiter.WriteUnknown}
		}
		return func() { n.step(out) }
	}, func() { n.step(limiter.WriteResultIn{Outcome: limiter.WriteUnknown}) })
}

func (n *node) readOthers(a limiter.ReadOtherRecordsOut) {
	n.platform(func() func() {
		out := map[string]*limiter.Record{}
		for dc := range n.f.VMs {
			if dc == n.self.DataCentre {
				continue
			}
			if r, version := n.f.Platform.get(limiter.RecordName(dc)); r != nil {
				out[dc] = r
				n.learn(dc, r, version)
			}
		}
		return func() { n.step(limiter.OtherRecordsIn{Records: out, Version: a.Version}) }
	}, func() {})
}

func (n *node) learn(dataCentre string, r *limiter.Record, version uint64) {
	if version > n.versions[dataCentre] {
		n.records[dataCentre], n.versions[dataCentre] = r, version
	}
}

// askPeers follows the rule of the daemon: a live VM that is silent leaves the check open.
func (n *node) askPeers(a limiter.QueryPeersOut) {
	open, asked, answered, highest := false, 0, 0, uint64(0)
	for _, m := range n.currentView().Members {
		if m.VM == n.self.VM || m.DataCentre != n.self.DataCentre || m.State == membership.Gone {
			continue
		}
		asked++
		to := n.f.nodes[m.VM.Name]
		silent := to.dead || to.paused || n.f.chance(n.f.Faults.Loss)
		if silent {
			open = open || m.State != membership.Suspect
			continue
		}
		answered++
		highest = max(highest, to.versions[n.self.DataCentre])
		n.step(limiter.RecordIn{Record: to.records[n.self.DataCentre], Version: to.versions[n.self.DataCentre]})
	}
	if !open && (asked == 0 || answered > 0) {
		n.step(limiter.PeerVersionsIn{Version: highest, CheckID: a.CheckID})
	}
}

func (n *node) announce(vm ident.VM, a limiter.AnnounceOut) {
	n.toLife(vm, Control, a.Record.Encode(), func(to *node) {
		to.step(limiter.RecordIn{Record: a.Record, Version: a.Version})
		version := to.versions[n.self.DataCentre]
		to.toLife(n.self.VM, Control, version, func(back *node) {
			back.step(limiter.RecordAckIn{VM: vm, Version: version})
		})
	})
}

// recover carries a request for overflow to a holder and its answer back.
func (n *node) recover(a limiter.ReclaimOut) {
	vm, ok := n.holder(a.DataCentre, a.Shard)
	if !ok {
		return
	}
	n.toLife(vm, Recover, a.Items, func(to *node) {
		to.nextCall++
		to.recovers[to.nextCall] = func(tokens []int64) {
			to.toLife(n.self.VM, Recover, tokens, func(back *node) {
				back.step(limiter.ReclaimedIn{ReclaimID: a.ReclaimID, Tokens: tokens})
			})
		}
		to.step(limiter.ReclaimIn{Call: to.nextCall, Items: a.Items})
	})
}

// life finds one VM life.
func (f *Fleet) lifeOf(vm ident.VM) *node {
	if n := f.nodes[vm.Name]; n != nil && n.self.VM == vm {
		return n
	}
	return nil
}

func (n *node) toLife(vm ident.VM, kind Kind, body any, deliver func(*node)) bool {
	to := n.f.lifeOf(vm)
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

// flush sends the queued settlements.
func (n *node) flush() {
	queue := n.queue
	n.queue = map[ident.VM][]limiter.Settlement{}
	for _, name := range sortedNames(n.f.nodes) {
		vm := n.f.nodes[name].self.VM
		if items := queue[vm]; len(items) > 0 {
			n.sendBatch(vm, limiter.SettlementBatch{Items: items})
		}
	}
}

func (n *node) sendBatch(vm ident.VM, b limiter.SettlementBatch) {
	n.toLife(vm, Settle, &b, func(to *node) { to.step(limiter.SettleIn{From: n.self.VM, Batch: b}) })
}
