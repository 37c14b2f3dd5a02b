package sweep

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	// TickPeriod is the time between a Machine's ticks.
	TickPeriod = 100 * time.Millisecond
	// confirmPeriod is how long a VM's word that a request is live counts.
	confirmPeriod = 500 * time.Millisecond
	// silenceLimit is how long a VM may leave questions unanswered, while this VM hears others,
	// before its requests count as dead.
	silenceLimit = 600 * time.Millisecond
	// isolatedLimit is the same while this VM hears too few others to tell a dead VM from its
	// own isolation.
	isolatedLimit = 10 * time.Second
	// hearingLimit is how long a VM may leave a question unanswered before others are asked.
	hearingLimit = 100 * time.Millisecond
	// probePeriod is the time between two probes of one VM.
	probePeriod = 200 * time.Millisecond
	// staleAfter is how long after the last question silence counts for nothing.
	staleAfter = 3 * TickPeriod
	// hearingMemory is how long an answer shows that this VM hears another.
	hearingMemory = 500 * time.Millisecond
	// grace is the age below which a holding is left alone.
	grace = 100 * time.Millisecond
)

// Input is what a Machine takes: one of the types below.
type Input interface{ input() }

// HeldInput is all that one endpoint holds.
type HeldInput struct {
	Endpoint string
	Holdings []endpoint.Allocation
}

// UnwatchedInput tells that this VM no longer watches an endpoint.
type UnwatchedInput struct{ Endpoint string }

// AnswerInput is a VM's answer to an Ask: the holdings that it does not claim.
type AnswerInput struct {
	VM    ident.VM
	Asked []Held
	Dead  []Held
}

// NoAnswerInput tells that a VM did not answer an Ask.
type NoAnswerInput struct{ VM ident.VM }

// MembersInput brings the fleet's VMs.
type MembersInput struct{ Members []membership.Member }

// TickInput marks the passing of time.
type TickInput struct{}

func (HeldInput) input()      {}
func (UnwatchedInput) input() {}
func (AnswerInput) input()    {}
func (NoAnswerInput) input()  {}
func (MembersInput) input()   {}
func (TickInput) input()      {}

// Held names one request's memory at one endpoint.
type Held struct {
	Endpoint string
	Request  ident.RequestID
}

// Action is what a Machine decides. One field is set.
type Action struct {
	Ask    *Ask
	Cancel *Cancel
}

// Ask asks a VM which requests of one of its lives are live. It is answered by one AnswerInput
// or NoAnswerInput, and until then no other is put about that life.
//
// An Ask without requests only finds out whether this VM hears the other.
type Ask struct {
	// About is the life that the requests name; VM is who is asked.
	About ident.VM
	VM    membership.Member
	Held  []Held
}

// Cancel frees what an endpoint holds for a request that no VM claims.
type Cancel struct {
	Held
	// Cause is not_live, gone or silent.
	Cause string
}

// The causes of a Cancel.
const (
	// CauseNotLive: the request's VM does not claim it.
	CauseNotLive = "not_live"
	// CauseGone: the request's VM is gone or lives under a later incarnation.
	CauseGone = "gone"
	// CauseSilent: the request's VM does not answer, and its connection to the engine is broken.
	CauseSilent = "silent"
)

// holding is what is known of one Held.
type holding struct {
	// confirmed is when its VM last claimed it, 0 for never.
	confirmed clock.Instant
	// disclaimed says that its VM does not claim it. It is dead once the next look shows that
	// it is still held: a request that has just ended frees itself.
	disclaimed bool
	// orphaned says that the connection on which its order came is broken, and that it does not
	// lapse by itself. Only such a holding is dead when its VM is silent: a VM that others do
	// not hear may still be serving.
	orphaned bool
}

// vmState is what is known of one life of a VM that requests name.
type vmState struct {
	asking bool
	// unanswered is when the first question of those without an answer was put, 0 for none.
	unanswered clock.Instant
	// asked is when a question was last put or due.
	asked clock.Instant
	// isolated is when this VM last heard too few others while questions were unanswered.
	isolated clock.Instant
	// heard is when the VM last answered.
	heard clock.Instant
	// probed is when the VM was last asked only to hear from it.
	probed clock.Instant
	// silent is set once the silence has passed its limit and its holdings were cancelled.
	silent bool
}

// Machine decides which holdings are dead.
type Machine struct {
	self    string
	held    map[Held]*holding
	vms     map[ident.VM]*vmState
	members map[string]membership.Member
	out     []Action
}

// NewMachine makes a Machine of the VM self that watches nothing.
func NewMachine(self string) *Machine {
	return &Machine{self: self, held: map[Held]*holding{}, vms: map[ident.VM]*vmState{}, members: map[string]membership.Member{}}
}

// Step takes one input.
func (m *Machine) Step(now clock.Instant, in Input) []Action {
	m.out = nil
	switch in := in.(type) {
	case HeldInput:
		m.observe(in)
		m.cancelDead(now, in.Endpoint)
	case UnwatchedInput:
		maps.DeleteFunc(m.held, func(h Held, _ *holding) bool { return h.Endpoint == in.Endpoint })
	case AnswerInput:
		m.answered(now, in)
	case NoAnswerInput:
		m.vm(in.VM).asking = false
	case MembersInput:
		m.membersChanged(in.Members)
		m.cancelGone()
	case TickInput:
		m.noteIsolation(now)
		m.cancelSilent(now)
		m.ask(now)
	}
	return m.out
}

// observe takes over what an endpoint holds. Names that are not request ids belong to others.
func (m *Machine) observe(in HeldInput) {
	present := map[Held]bool{}
	for _, h := range in.Holdings {
		id, err := ident.ParseRequestID(h.Attempt.RequestID)
		if err != nil {
			continue
		}
		key := Held{Endpoint: in.Endpoint, Request: id}
		present[key] = true
		if m.held[key] == nil && time.Duration(h.AgeMillis)*time.Millisecond >= grace {
			m.held[key] = &holding{}
		}
		if known := m.held[key]; known != nil {
			known.orphaned = !h.Attached && h.Stage != endpoint.StageKept
		}
	}
	maps.DeleteFunc(m.held, func(h Held, _ *holding) bool { return h.Endpoint == in.Endpoint && !present[h] })
}

// cancelDead cancels what is dead at one endpoint, anew at each look while it is still held.
func (m *Machine) cancelDead(now clock.Instant, name string) {
	for _, key := range m.sorted(func(h Held) bool { return h.Endpoint == name }) {
		if cause, dead := m.dead(now, key); dead {
			m.cancel(key, cause)
		}
	}
}

// cancelGone cancels at once what process lives that are over have left.
func (m *Machine) cancelGone() {
	for _, key := range m.sorted(func(h Held) bool { return m.gone(h.Request.VM) }) {
		m.cancel(key, CauseGone)
	}
}

// cancelSilent cancels at once what VMs hold that have just passed the limit.
func (m *Machine) cancelSilent(now clock.Instant) {
	passed := map[ident.VM]bool{}
	for vm, v := range m.vms {
		if !v.silent && m.silent(now, vm) {
			v.silent = true
			passed[vm] = true
		}
	}
	for _, key := range m.sorted(func(h Held) bool { return passed[h.Request.VM] && m.held[h].orphaned }) {
		m.cancel(key, CauseSilent)
	}
}

func (m *Machine) cancel(key Held, cause string) {
	m.out = append(m.out, Action{Cancel: &Cancel{Held: key, Cause: cause}})
}

func (m *Machine) dead(now clock.Instant, key Held) (cause string, dead bool) {
	switch {
	case m.gone(key.Request.VM):
		return CauseGone, true
	case m.held[key].disclaimed:
		return CauseNotLive, true
	case m.held[key].orphaned && m.silent(now, key.Request.VM):
		return CauseSilent, true
	}
	return "", false
}

// gone reports whether a process life is known to be over.
func (m *Machine) gone(vm ident.VM) bool {
	member, known := m.members[vm.Name]
	if !known || member.VM.Incarnation < vm.Incarnation {
		return false
	}
	return member.VM.Incarnation > vm.Incarnation || member.State == membership.Gone
}

func (m *Machine) silent(now clock.Instant, vm ident.VM) bool {
	v := m.vms[vm]
	if v == nil {
		return false
	}
	if v.unanswered == 0 || v.stale(now) {
		return false
	}
	hearing := now.Sub(max(v.unanswered, v.isolated))
	return hearing >= silenceLimit || now.Sub(v.unanswered) >= isolatedLimit
}

// question notes that a question is put or due. One long after the last begins anew.
func (v *vmState) question(now clock.Instant) {
	if v.unanswered == 0 || v.stale(now) {
		v.unanswered, v.isolated, v.silent = now, 0, false
	}
	v.asked = now
}

// stale reports whether the unanswered questions are of an earlier time.
func (v *vmState) stale(now clock.Instant) bool { return now.Sub(v.asked) > staleAfter }

func (m *Machine) vm(vm ident.VM) *vmState {
	v := m.vms[vm]
	if v == nil {
		v = &vmState{}
		m.vms[vm] = v
	}
	return v
}

// answered takes a VM's word. A holding it claims is live, whatever was thought before.
func (m *Machine) answered(now clock.Instant, in AnswerInput) {
	v := m.vm(in.VM)
	v.asking = false
	v.unanswered = 0
	v.silent = false
	v.heard = now
	for _, key := range in.Asked {
		if h := m.held[key]; h != nil {
			h.confirmed = now
			h.disclaimed = false
		}
	}
	for _, key := range in.Dead {
		if h := m.held[key]; h != nil {
			h.disclaimed = true
		}
	}
}

func (m *Machine) membersChanged(members []membership.Member) {
	clear(m.members)
	for _, member := range members {
		m.members[member.VM.Name] = member
	}
}

// ask puts one question to each VM that has holdings to confirm.
func (m *Machine) ask(now clock.Instant) {
	due := map[ident.VM][]Held{}
	for _, key := range m.sorted(func(h Held) bool { return m.due(now, h) }) {
		due[key.Request.VM] = append(due[key.Request.VM], key)
	}
	m.forgetVMs(now)
	for _, vm := range slices.SortedFunc(maps.Keys(due), compareVM) {
		v := m.vm(vm)
		v.question(now)
		member, known := m.members[vm.Name]
		if v.asking || !known {
			continue
		}
		v.asking = true
		m.out = append(m.out, Action{Ask: &Ask{About: vm, VM: member, Held: due[vm]}})
	}
	m.probe(now)
}

// due reports whether a holding's last confirmation has run out.
func (m *Machine) due(now clock.Instant, key Held) bool {
	h := m.held[key]
	if m.gone(key.Request.VM) {
		return false
	}
	return h.confirmed == 0 || now.Sub(h.confirmed) >= confirmPeriod
}

// forgetVMs drops lives that no holding names and that were not asked for long.
func (m *Machine) forgetVMs(now clock.Instant) {
	named := map[ident.VM]bool{}
	for key := range m.held {
		named[key.Request.VM] = true
	}
	maps.DeleteFunc(m.vms, func(vm ident.VM, v *vmState) bool {
		return !named[vm] && !v.asking && now.Sub(max(v.heard, v.probed)) > isolatedLimit
	})
}

// sorted gives the holdings that accept passes, in a fixed order.
func (m *Machine) sorted(accept func(Held) bool) []Held {
	var out []Held
	for key := range m.held {
		if accept(key) {
			out = append(out, key)
		}
	}
	slices.SortFunc(out, func(a, b Held) int {
		return cmp.Or(
			cmp.Compare(a.Endpoint, b.Endpoint),
			compareVM(a.Request.VM, b.Request.VM),
			cmp.Compare(a.Request.Seq, b.Request.Seq),
		)
	})
	return out
}

func compareVM(a, b ident.VM) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}
