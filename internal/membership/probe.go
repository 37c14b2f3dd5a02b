package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/ident"
)

func (m *machine) tick() {
	m.forgetGone()
	m.pingNeighbour()
	m.probeUnheard()
	m.tickLinks()
	m.tickJoin()
	m.tickList()
}

// notePause disowns all calls under way when this process has stood still. It runs before any
// input, as the outcomes of such calls may come before the first tick.
func (m *machine) notePause(in input) {
	paused := m.lastTick != 0 && m.now.Sub(m.lastTick) > pauseGap
	if _, ticked := in.(tick); ticked || paused {
		m.lastTick = m.now
	}
	if !paused {
		return
	}
	for op, c := range m.calls {
		if c.op != pendingForOther {
			delete(m.calls, op)
		}
	}
	for _, e := range m.table {
		e.probing = false
	}
	for _, l := range m.links {
		l.pinging, l.fails = false, 0
	}
	m.syncing = false
}

func (m *machine) forgetGone() {
	for name, e := range m.table {
		if !e.has(FlagGone) || name == m.self {
			continue
		}
		e.goneTicks++
		if e.goneTicks > int(goneKeep/TickPeriod) {
			delete(m.table, name)
			m.touch()
		}
	}
}

// pingNeighbour sends a heartbeat, in turn to the next VM of the data centre's ring and to a
// random one. The ring bounds the time until a dead VM is probed; the random choice spreads
// digests in a number of rounds that grows with the logarithm of the data centre's size.
func (m *machine) pingNeighbour() {
	if m.now.Before(m.nextPing) {
		return
	}
	m.nextPing = m.now.Add(PingPeriod)
	ring := m.ring()
	if len(ring) == 0 {
		return
	}
	m.ringTurn = !m.ringTurn
	target := ring[0]
	if !m.ringTurn {
		target = ring[m.rng.IntN(len(ring))]
	}
	m.probe(target.VM, false)
}

// ring gives the other VMs of this data centre that are heard, from this VM's successor on.
func (m *machine) ring() []*entry {
	place := func(e *entry) uint64 { return xxhash.Sum64String("ring\x00" + e.VM.Name) }
	own := place(m.me())
	var out []*entry
	for _, e := range m.sorted() {
		st := m.stateOf(e)
		if e.VM.Name != m.self && e.DataCentre == m.me().DataCentre && (st == Alive || st == Leaving) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(place(a)-own, place(b)-own) })
	return out
}

// probeUnheard probes one VM of this data centre that is suspect, or one elsewhere that this
// VM alone does not hear.
func (m *machine) probeUnheard() {
	if m.now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = m.now.Add(reprobePeriod)
	var unheard []*entry
	for _, e := range m.sorted() {
		own := e.DataCentre == m.me().DataCentre
		if !e.has(FlagGone) && (e.unheard || own && e.has(FlagSuspect)) && e.VM.Name != m.self {
			unheard = append(unheard, e)
		}
	}
	if len(unheard) > 0 {
		m.probe(unheard[m.rng.IntN(len(unheard))].VM, false)
	}
}

// probe pings a VM. A suspect one is told of the suspicion, so that it can refute it.
func (m *machine) probe(vm ident.VM, second bool) {
	e := m.table[vm.Name]
	if e == nil || e.VM != vm || vm.Name == m.self || e.probing && !second || e.has(FlagGone) {
		return
	}
	e.probing = true
	msg := m.pingMessage()
	if e.has(FlagSuspect) {
		msg.Records = []Record{e.Record}
	}
	m.call(m.addressOf(e), msg, asked{op: pendingPing, target: vm, second: second})
}

func (m *machine) pingMessage() *Message { return &Message{Op: OpPing, Sum: m.table.sum()} }

func (m *machine) call(to netip.AddrPort, msg *Message, a asked) {
	m.nextOp++
	a.at = m.now
	m.calls[m.nextOp] = a
	m.act(call{op: m.nextOp, to: to, indirect: msg.Op == OpIndirect, msg: msg})
}

func (m *machine) outcome(in outcome) {
	c, ok := m.calls[in.op]
	if !ok {
		return
	}
	delete(m.calls, in.op)
	if in.reply != nil {
		m.heard(in.reply.From)
	}
	switch c.op {
	case pendingPing:
		m.pinged(c, in.reply)
	case pendingIndirect:
		m.indirectAnswer(c, in.reply)
	case pendingForOther:
		m.act(reply{id: c.request, msg: m.answer(&Message{Answered: in.reply != nil})})
	case pendingSync:
		m.synced(c, in.reply)
	}
}

// heard notes that a VM has answered.
func (m *machine) heard(vm ident.VM) {
	e := m.table[vm.Name]
	if e == nil || e.VM != vm {
		return
	}
	if e.unheard {
		before := m.stateOf(e)
		e.unheard = false
		m.noteChange(e, before, "answers again")
	}
	m.heardFrom(e.DataCentre)
}

func (m *machine) pinged(c asked, r *Message) {
	e := m.table[c.target.Name]
	if e != nil && e.VM == c.target {
		e.probing = false
	}
	if r == nil || r.From != c.target {
		m.linkOutcome(c, false)
		m.unanswered(c, e)
		if r != nil {
			m.sync(m.addressByName(c.target.Name), r.From)
		}
		return
	}
	m.linkOutcome(c, true)
	m.merge(r.Records, "said so itself")
	if r.Digest != nil && e != nil {
		d := *r.Digest
		d.Asked = c.at
		m.act(digestSeen{from: m.member(e), digest: d})
	}
	m.compare(r.Sum, m.addressByName(c.target.Name), r.From)
}

func (m *machine) addressByName(name string) netip.AddrPort {
	if e := m.table[name]; e != nil {
		return m.addressOf(e)
	}
	return m.addresses[name].addr
}

// unanswered asks third VMs about a member that did not answer.
func (m *machine) unanswered(c asked, e *entry) {
	if e == nil || e.VM != c.target || e.has(FlagSuspect) || e.has(FlagGone) {
		return
	}
	if c.second || e.DataCentre != m.me().DataCentre {
		m.setUnheard(e, "no answer to this VM")
		return
	}
	third := m.thirdVMs(e)
	if len(third) == 0 {
		m.suspect(e, "no answer")
		return
	}
	e.probing = true
	stage := &indirectStage{waiting: len(third)}
	for _, h := range third {
		msg := &Message{Op: OpIndirect, Target: e.VM, TargetPeer: m.addressOf(e)}
		m.call(m.addressOf(h), msg, asked{op: pendingIndirect, target: e.VM, stage: stage})
	}
}

// thirdVMs chooses helpers in this data centre, or else bridges of others.
func (m *machine) thirdVMs(e *entry) []*entry {
	out := slices.DeleteFunc(m.ring(), func(h *entry) bool { return h == e })
	if len(out) == 0 {
		for _, dc := range m.dataCentres() {
			if dc != m.me().DataCentre {
				out = append(out, m.bridgesOf(dc)...)
			}
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), helpers)]
}

func (m *machine) indirectAnswer(c asked, r *Message) {
	c.stage.waiting--
	c.stage.heard = c.stage.heard || r != nil && r.Answered
	if c.stage.waiting > 0 {
		return
	}
	e := m.table[c.target.Name]
	if e == nil || e.VM != c.target {
		return
	}
	e.probing = false
	if c.stage.heard {
		m.probe(e.VM, true)
		return
	}
	m.suspect(e, "no answer to this VM and others")
}

func (m *machine) setUnheard(e *entry, reason string) {
	if e.unheard {
		return
	}
	before := m.stateOf(e)
	e.unheard = true
	m.noteChange(e, before, reason)
}

// suspect says of a member of this data centre that it is not heard.
func (m *machine) suspect(e *entry, reason string) {
	if e.has(FlagSuspect | FlagGone) {
		return
	}
	before := m.stateOf(e)
	e.Flags |= FlagSuspect
	m.noteChange(e, before, reason)
	m.originate(e.Record)
}

// request answers another VM. That it can reach this VM does not show that this VM can reach
// it, so one that was not heard is only probed the sooner.
func (m *machine) request(in request) {
	m.probeSoon(in.from)
	switch in.msg.Op {
	case OpPing:
		m.answerPing(in)
	case OpIndirect:
		m.call(in.msg.TargetPeer, m.pingMessage(), asked{op: pendingForOther, target: in.msg.Target, request: in.id})
	case OpUpdate:
		m.learn(in.msg.Records, in.from, "told by "+in.from.Name)
	case OpSync:
		out := &Message{Records: m.table.differing(in.msg.Buckets), Buckets: m.table.buckets()}
		m.learn(in.msg.Records, in.from, "told by "+in.from.Name)
		m.act(reply{id: in.id, msg: m.answer(out)})
	}
}

func (m *machine) probeSoon(vm ident.VM) {
	e := m.table[vm.Name]
	if e == nil || e.VM != vm {
		return
	}
	if e.unheard {
		m.probe(vm, false)
	}
	if l := m.links[e.DataCentre]; l != nil && l.cut && !l.pinging {
		l.next = m.now
	}
}

func (m *machine) answer(msg *Message) *Message {
	msg.From = m.me().VM
	return msg
}

func (m *machine) answerPing(in request) {
	seq := m.me().Seq
	m.learn(in.msg.Records, in.from, "told by "+in.from.Name)
	out := m.answer(&Message{Op: OpPing, Sum: m.table.sum()})
	if m.me().Seq != seq {
		out.Records = []Record{m.me().Record}
	}
	m.act(reply{id: in.id, msg: out})
	e := m.table[in.from.Name]
	if e == nil || e.VM.Incarnation < in.from.Incarnation {
		// An unknown VM or life: its next heartbeat differs in its sum and is followed by a sync.
		return
	}
	if in.msg.Digest != nil && e.VM == in.from {
		m.act(digestSeen{from: m.member(e), digest: *in.msg.Digest})
	}
}

// learn takes records and, on a bridge, passes news from other data centres on to its own.
func (m *machine) learn(records []Record, from ident.VM, reason string) {
	news := m.merge(records, reason)
	if len(news) == 0 || !m.isBridge() {
		return
	}
	if e := m.table[from.Name]; e != nil && e.DataCentre != m.me().DataCentre {
		m.tellDataCentre(&Message{Op: OpUpdate, Records: news}, from)
	}
}

// compare starts a sync with a VM that holds other records, once changes have settled.
func (m *machine) compare(sum uint32, addr netip.AddrPort, vm ident.VM) {
	if sum != m.table.sum() && m.now.Sub(m.lastChange) >= settleTime {
		m.sync(addr, vm)
	}
}

// sync asks a VM for the records that differ. Before the first one succeeds all are asked for.
func (m *machine) sync(addr netip.AddrPort, vm ident.VM) {
	if m.syncing || !addr.IsValid() {
		return
	}
	m.syncing = true
	msg := &Message{Op: OpSync, Records: []Record{m.me().Record}}
	if m.joined {
		msg.Buckets = m.table.buckets()
	}
	m.call(addr, msg, asked{op: pendingSync, target: vm})
}

func (m *machine) synced(c asked, r *Message) {
	m.syncing = false
	if r == nil {
		return
	}
	first := !m.joined
	m.joined = true
	back := m.laterThan(r)
	m.learn(r.Records, r.From, "told by "+r.From.Name)
	m.heard(r.From)
	if first {
		m.originate(m.me().Record)
		return
	}
	if e := m.table[r.From.Name]; e != nil && len(back) > 0 {
		m.act(send{to: m.addressOf(e), msg: &Message{Op: OpUpdate, Records: back}})
	}
}

// laterThan gives the own records that replace those of another VM, in the buckets that differ.
func (m *machine) laterThan(r *Message) []Record {
	theirs := map[string]*Record{}
	for i := range r.Records {
		theirs[r.Records[i].VM.Name] = &r.Records[i]
	}
	var out []Record
	for _, own := range m.table.differing(r.Buckets) {
		if t := theirs[own.VM.Name]; t == nil || own.newer(t) {
			out = append(out, own)
		}
	}
	return out
}
