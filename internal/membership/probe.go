package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/ident"
)

func (m *machine) handleTick() {
	m.expireGone()
	m.pingLocal()
	m.probeUnreachable()
	m.pingLinks()
	m.joinUnknown()
	m.refreshList()
}

// detectPause discards this VM's own calls in flight if this process was paused; pings made for
// other VMs continue, as their outcomes only go into replies. It runs before any input is processed,
// as the outcomes of discarded calls may arrive before the first tick.
func (m *machine) detectPause(in input) {
	paused := m.lastTick != 0 && m.now.Sub(m.lastTick) > pauseThreshold
	if _, isTick := in.(tick); isTick || paused {
		m.lastTick = m.now
	}
	if !paused {
		return
	}
	for id, c := range m.pendingCalls {
		if c.kind != pendingPingForOther {
			delete(m.pendingCalls, id)
		}
	}
	for _, e := range m.table {
		e.probing = false
	}
	for _, l := range m.links {
		l.pinging, l.failures = false, 0
	}
	m.syncing = false
}

func (m *machine) expireGone() {
	for name, e := range m.table {
		if !e.hasAny(FlagGone) || name == m.self {
			continue
		}
		e.goneTicks++
		if e.goneTicks > int(goneRetention/TickPeriod) {
			delete(m.table, name)
			m.invalidate()
		}
	}
}

// pingLocal alternately sends a heartbeat to the next VM in the ring of the data centre and to a
// random VM of it. The ring limits the time until a dead VM is probed; the random choice spreads
// digests in a number of rounds that is logarithmic in the size of the data centre.
func (m *machine) pingLocal() {
	if m.now.Before(m.nextPing) {
		return
	}
	m.nextPing = m.now.Add(PingPeriod)
	ring := m.ring()
	if len(ring) == 0 {
		return
	}
	m.useRing = !m.useRing
	target := ring[0]
	if !m.useRing {
		target = ring[m.rng.IntN(len(ring))]
	}
	m.probe(target.VM, false)
}

// ring returns the other reachable VMs of this data centre, starting with this VM's successor.
func (m *machine) ring() []*entry {
	position := func(e *entry) uint64 { return xxhash.Sum64String("ring\x00" + e.VM.Name) }
	own := position(m.me())
	var out []*entry
	for _, e := range m.sorted() {
		st := m.stateOf(e)
		if e.VM.Name != m.self && e.DataCentre == m.me().DataCentre && (st == Alive || st == Leaving) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *entry) int { return cmp.Compare(position(a)-own, position(b)-own) })
	return out
}

// probeUnreachable probes a random VM that this VM cannot reach or that is suspected in this data
// centre.
func (m *machine) probeUnreachable() {
	if m.now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = m.now.Add(unreachableProbePeriod)
	var targets []*entry
	for _, e := range m.sorted() {
		local := e.DataCentre == m.me().DataCentre
		if !e.hasAny(FlagGone) && (e.unreachable || local && e.hasAny(FlagSuspect)) && e.VM.Name != m.self {
			targets = append(targets, e)
		}
	}
	if len(targets) > 0 {
		m.probe(targets[m.rng.IntN(len(targets))].VM, false)
	}
}

// probe pings a VM. If the VM is suspected, the ping carries its record, so that it can refute
// the suspicion.
func (m *machine) probe(vm ident.VM, final bool) {
	e := m.table[vm.Name]
	if e == nil || e.VM != vm || vm.Name == m.self || e.probing && !final || e.hasAny(FlagGone) {
		return
	}
	e.probing = true
	msg := m.pingMessage()
	if e.hasAny(FlagSuspect) {
		msg.Records = []Record{e.Record}
	}
	m.call(m.addressOf(e), msg, pendingCall{kind: pendingPing, target: vm, final: final})
}

func (m *machine) pingMessage() *Message { return &Message{Op: OpPing, Sum: m.table.sum()} }

func (m *machine) call(to netip.AddrPort, msg *Message, c pendingCall) {
	m.lastCallID++
	c.at = m.now
	m.pendingCalls[m.lastCallID] = c
	m.emit(call{callID: m.lastCallID, to: to, indirect: msg.Op == OpIndirect, msg: msg})
}

func (m *machine) handleOutcome(in outcome) {
	c, ok := m.pendingCalls[in.callID]
	if !ok {
		return
	}
	delete(m.pendingCalls, in.callID)
	if in.reply != nil {
		m.markReachable(in.reply.From)
	}
	switch c.kind {
	case pendingPing:
		m.handlePingOutcome(c, in.reply)
	case pendingIndirect:
		m.handleIndirectReply(c, in.reply)
	case pendingPingForOther:
		m.emit(reply{id: c.requestID, msg: m.withSender(&Message{Answered: in.reply != nil})})
	case pendingSync:
		m.handleSyncOutcome(c, in.reply)
	}
}

// markReachable records that a VM has answered.
func (m *machine) markReachable(vm ident.VM) {
	e := m.table[vm.Name]
	if e == nil || e.VM != vm {
		return
	}
	if e.unreachable {
		before := m.stateOf(e)
		e.unreachable = false
		m.recordChange(e, before, "reachable again")
	}
	m.markLinkUp(e.DataCentre)
}

func (m *machine) handlePingOutcome(c pendingCall, r *Message) {
	e := m.table[c.target.Name]
	if e != nil && e.VM == c.target {
		e.probing = false
	}
	if r == nil || r.From != c.target {
		m.recordLinkOutcome(c, false)
		m.handlePingFailure(c, e)
		if r != nil {
			m.sync(m.addressByName(c.target.Name), r.From)
		}
		return
	}
	m.recordLinkOutcome(c, true)
	m.merge(r.Records, "reported by itself")
	if r.Digest != nil && e != nil {
		d := *r.Digest
		d.RequestedAt = c.at
		m.emit(digestSeen{from: m.member(e), digest: d})
	}
	m.syncIfDifferent(r.Sum, m.addressByName(c.target.Name), r.From)
}

func (m *machine) addressByName(name string) netip.AddrPort {
	if e := m.table[name]; e != nil {
		return m.addressOf(e)
	}
	return m.listedAddresses[name].addr
}

// handlePingFailure starts indirect probes of a member that did not answer. It marks the member
// unreachable instead if it is in another data centre or the ping was final, and suspect if no VM can
// make the probes.
func (m *machine) handlePingFailure(c pendingCall, e *entry) {
	if e == nil || e.VM != c.target || e.hasAny(FlagSuspect) || e.hasAny(FlagGone) {
		return
	}
	if c.final || e.DataCentre != m.me().DataCentre {
		m.markUnreachable(e, "no answer to this VM")
		return
	}
	probers := m.indirectProbers(e)
	if len(probers) == 0 {
		m.markSuspect(e, "no answer")
		return
	}
	e.probing = true
	round := &indirectRound{waiting: len(probers)}
	for _, prober := range probers {
		msg := &Message{Op: OpIndirect, Target: e.VM, TargetAddress: m.addressOf(e)}
		m.call(m.addressOf(prober), msg, pendingCall{kind: pendingIndirect, target: e.VM, round: round})
	}
}

// indirectProbers chooses VMs of this data centre for indirect probes, or bridges of other data
// centres if there are none.
func (m *machine) indirectProbers(e *entry) []*entry {
	out := slices.DeleteFunc(m.ring(), func(prober *entry) bool { return prober == e })
	if len(out) == 0 {
		for _, dc := range m.dataCentres() {
			if dc != m.me().DataCentre {
				out = append(out, m.bridgesOf(dc)...)
			}
		}
	}
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxIndirectProbes)]
}

func (m *machine) handleIndirectReply(c pendingCall, r *Message) {
	c.round.waiting--
	c.round.reached = c.round.reached || r != nil && r.Answered
	if c.round.waiting > 0 {
		return
	}
	e := m.table[c.target.Name]
	if e == nil || e.VM != c.target {
		return
	}
	e.probing = false
	if c.round.reached {
		m.probe(e.VM, true)
		return
	}
	m.markSuspect(e, "no answer to this VM or to indirect probes")
}

func (m *machine) markUnreachable(e *entry, reason string) {
	if e.unreachable {
		return
	}
	before := m.stateOf(e)
	e.unreachable = true
	m.recordChange(e, before, reason)
}

// markSuspect marks a member of this data centre as suspect and broadcasts it.
func (m *machine) markSuspect(e *entry, reason string) {
	if e.hasAny(FlagSuspect | FlagGone) {
		return
	}
	before := m.stateOf(e)
	e.Flags |= FlagSuspect
	m.recordChange(e, before, reason)
	m.broadcast(e.Record)
}

// handleRequest processes a message from another VM. The message does not prove that this VM can
// reach the sender, so an unreachable sender is not marked as reachable but probed immediately.
func (m *machine) handleRequest(in request) {
	m.probeIfUnreachable(in.from)
	switch in.msg.Op {
	case OpPing:
		m.replyToPing(in)
	case OpIndirect:
		m.call(in.msg.TargetAddress, m.pingMessage(), pendingCall{kind: pendingPingForOther, target: in.msg.Target, requestID: in.id})
	case OpUpdate:
		m.mergeAndForward(in.msg.Records, in.from, "reported by "+in.from.Name)
	case OpSync:
		out := &Message{Records: m.table.differing(in.msg.Buckets), Buckets: m.table.buckets()}
		m.mergeAndForward(in.msg.Records, in.from, "reported by "+in.from.Name)
		m.emit(reply{id: in.id, msg: m.withSender(out)})
	}
}

func (m *machine) probeIfUnreachable(vm ident.VM) {
	e := m.table[vm.Name]
	if e == nil || e.VM != vm {
		return
	}
	if e.unreachable {
		m.probe(vm, false)
	}
	if l := m.links[e.DataCentre]; l != nil && l.down && !l.pinging {
		l.nextPing = m.now
	}
}

func (m *machine) withSender(msg *Message) *Message {
	msg.From = m.me().VM
	return msg
}

func (m *machine) replyToPing(in request) {
	seq := m.me().Seq
	m.mergeAndForward(in.msg.Records, in.from, "reported by "+in.from.Name)
	out := m.withSender(&Message{Op: OpPing, Sum: m.table.sum()})
	if m.me().Seq != seq {
		out.Records = []Record{m.me().Record}
	}
	m.emit(reply{id: in.id, msg: out})
	e := m.table[in.from.Name]
	if e == nil || e.VM.Incarnation < in.from.Incarnation {
		// The VM or incarnation is unknown. Its next heartbeat has a different checksum, which
		// triggers a sync.
		return
	}
	if in.msg.Digest != nil && e.VM == in.from {
		m.emit(digestSeen{from: m.member(e), digest: *in.msg.Digest})
	}
}

// mergeAndForward merges records. A bridge forwards changes from another data centre to the VMs
// of its own.
func (m *machine) mergeAndForward(records []Record, from ident.VM, reason string) {
	changed := m.merge(records, reason)
	if len(changed) == 0 || !m.isBridge() {
		return
	}
	if e := m.table[from.Name]; e != nil && e.DataCentre != m.me().DataCentre {
		m.broadcastLocal(&Message{Op: OpUpdate, Records: changed}, from)
	}
}

// syncIfDifferent starts a sync with a VM whose records differ, unless there were recent changes.
func (m *machine) syncIfDifferent(sum uint32, addr netip.AddrPort, vm ident.VM) {
	if sum != m.table.sum() && m.now.Sub(m.lastChange) >= syncQuietPeriod {
		m.sync(addr, vm)
	}
}

// sync requests the records that differ from another VM's, or all of them until the first sync
// has succeeded.
func (m *machine) sync(addr netip.AddrPort, vm ident.VM) {
	if m.syncing || !addr.IsValid() {
		return
	}
	m.syncing = true
	msg := &Message{Op: OpSync, Records: []Record{m.me().Record}}
	if m.joined {
		msg.Buckets = m.table.buckets()
	}
	m.call(addr, msg, pendingCall{kind: pendingSync, target: vm})
}

func (m *machine) handleSyncOutcome(c pendingCall, r *Message) {
	m.syncing = false
	if r == nil {
		return
	}
	first := !m.joined
	m.joined = true
	newer := m.newerThan(r)
	m.mergeAndForward(r.Records, r.From, "reported by "+r.From.Name)
	m.markReachable(r.From)
	if first {
		m.broadcast(m.me().Record)
		return
	}
	if e := m.table[r.From.Name]; e != nil && len(newer) > 0 {
		m.emit(send{to: m.addressOf(e), msg: &Message{Op: OpUpdate, Records: newer}})
	}
}

// newerThan returns the local records that supersede those in a sync reply, within the buckets
// that differ.
func (m *machine) newerThan(r *Message) []Record {
	theirs := map[string]*Record{}
	for i := range r.Records {
		theirs[r.Records[i].VM.Name] = &r.Records[i]
	}
	var out []Record
	for _, own := range m.table.differing(r.Buckets) {
		if t := theirs[own.VM.Name]; t == nil || own.supersedes(t) {
			out = append(out, own)
		}
	}
	return out
}
