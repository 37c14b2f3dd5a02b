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
	// TickPeriod is the interval between ticks of a Machine.
	TickPeriod = 100 * time.Millisecond
	// confirmationTTL is how long a VM's confirmation that a request is live remains valid.
	confirmationTTL = 500 * time.Millisecond
	// unresponsiveTimeout is how long a VM may leave queries unanswered, while this VM can reach
	// others, before it is considered unresponsive.
	unresponsiveTimeout = 600 * time.Millisecond
	// isolatedTimeout replaces unresponsiveTimeout while this VM reaches too few others to distinguish
	// a failed VM from its own isolation.
	isolatedTimeout = 10 * time.Second
	// probeDelay is how long a VM may leave a query unanswered before the witnesses are probed.
	probeDelay = 100 * time.Millisecond
	// probeInterval is the minimum interval between probes of one VM.
	probeInterval = 200 * time.Millisecond
	// staleAfter is the time since the last query after which unanswered queries are disregarded.
	staleAfter = 3 * TickPeriod
	// reachabilityTTL is how long after a response a VM is considered reachable.
	reachabilityTTL = 500 * time.Millisecond
	// minAge is the age that an allocation must reach before it is tracked.
	minAge = 100 * time.Millisecond
)

// Input is an input of a Machine. It is one of the types below.
type Input interface{ input() }

// AllocationsInput contains all current allocations of an endpoint.
type AllocationsInput struct {
	Endpoint    string
	Allocations []endpoint.Allocation
}

// UnwatchedInput reports that this VM no longer watches an endpoint.
type UnwatchedInput struct{ Endpoint string }

// QueryResultInput is the response to a Query. NotLive contains the queried allocations whose requests
// are not live.
type QueryResultInput struct {
	VM      ident.VM
	Queried []AllocationKey
	NotLive []AllocationKey
}

// QueryFailedInput reports that a Query was not answered.
type QueryFailedInput struct{ VM ident.VM }

// MembersInput contains the VMs of the fleet.
type MembersInput struct{ Members []membership.Member }

// TickInput is sent every TickPeriod.
type TickInput struct{}

func (AllocationsInput) input() {}
func (UnwatchedInput) input()   {}
func (QueryResultInput) input() {}
func (QueryFailedInput) input() {}
func (MembersInput) input()     {}
func (TickInput) input()        {}

// AllocationKey identifies the memory that an endpoint has allocated for a request.
type AllocationKey struct {
	Endpoint string
	Request  ident.RequestID
}

// Action is an output of a Machine. Exactly one field is set.
type Action struct {
	Query  *Query
	Cancel *Cancel
}

// Query asks a VM which requests of one of its incarnations are live. The result is one QueryResultInput
// or QueryFailedInput. Until then, no other query about the same incarnation is sent.
//
// A Query without allocations is a probe that only tests whether the VM is reachable.
type Query struct {
	// Subject is the incarnation that admitted the requests.
	Subject ident.VM
	// Target is the VM to which the query is sent.
	Target      membership.Member
	Allocations []AllocationKey
}

// Cancel cancels a request at an endpoint to free its allocation.
type Cancel struct {
	AllocationKey
	// Cause is one of the constants below.
	Cause string
}

// Values of Cancel.Cause.
const (
	// CauseNotLive means that the request's VM reported that the request is not live.
	CauseNotLive = "not_live"
	// CauseGone means that the request's VM is gone or runs a later incarnation.
	CauseGone = "gone"
	// CauseUnresponsive means that the request's VM does not respond and its connection to the engine
	// is closed.
	CauseUnresponsive = "silent"
)

// allocation is the state of a tracked allocation.
type allocation struct {
	// confirmedAt is when its VM last reported whether it is live, or 0 if it never did.
	confirmedAt clock.Instant
	// notLive is set when its VM reports that the request is not live. The allocation is cancelled if
	// the next poll still shows it, because a request that has just ended frees its own allocation.
	notLive bool
	// detached is set when the connection on which the request arrived is closed and the allocation does
	// not expire by itself. If its VM is unresponsive, an allocation is cancelled only if it is detached:
	// a VM that others cannot reach may still be serving requests.
	detached bool
}

// vmState is the state of a VM incarnation to which queries are sent or that owns allocations.
type vmState struct {
	queryPending bool
	// unansweredSince is when the earliest unanswered query was sent or due, or 0 if there is none.
	unansweredSince clock.Instant
	// lastQuery is when a query was last sent or due.
	lastQuery clock.Instant
	// isolatedAt is when this VM last reached too few others while queries were unanswered.
	isolatedAt clock.Instant
	// lastResponse is when the VM last responded.
	lastResponse clock.Instant
	// lastProbe is when the VM was last probed.
	lastProbe clock.Instant
	// unresponsive is set once the timeout has passed and the VM's detached allocations were cancelled.
	unresponsive bool
}

// Machine decides which allocations are orphaned and cancels them.
type Machine struct {
	self        string
	allocations map[AllocationKey]*allocation
	vms         map[ident.VM]*vmState
	members     map[string]membership.Member
	actions     []Action
}

// NewMachine returns a Machine for the VM self that tracks no allocations.
func NewMachine(self string) *Machine {
	return &Machine{self: self, allocations: map[AllocationKey]*allocation{}, vms: map[ident.VM]*vmState{}, members: map[string]membership.Member{}}
}

// Step processes one input and returns the resulting actions.
func (m *Machine) Step(now clock.Instant, in Input) []Action {
	m.actions = nil
	switch in := in.(type) {
	case AllocationsInput:
		m.updateAllocations(in)
		m.cancelOrphans(now, in.Endpoint)
	case UnwatchedInput:
		maps.DeleteFunc(m.allocations, func(key AllocationKey, _ *allocation) bool { return key.Endpoint == in.Endpoint })
	case QueryResultInput:
		m.handleResult(now, in)
	case QueryFailedInput:
		m.vm(in.VM).queryPending = false
	case MembersInput:
		m.setMembers(in.Members)
		m.cancelGone()
	case TickInput:
		m.detectIsolation(now)
		m.cancelUnresponsive(now)
		m.sendQueries(now)
	}
	return m.actions
}

// updateAllocations replaces the tracked allocations of an endpoint. It ignores allocations whose name is
// not a request ID, as they belong to other systems.
func (m *Machine) updateAllocations(in AllocationsInput) {
	present := map[AllocationKey]bool{}
	for _, a := range in.Allocations {
		id, err := ident.ParseRequestID(a.Attempt.RequestID)
		if err != nil {
			continue
		}
		key := AllocationKey{Endpoint: in.Endpoint, Request: id}
		present[key] = true
		if m.allocations[key] == nil && time.Duration(a.AgeMillis)*time.Millisecond >= minAge {
			m.allocations[key] = &allocation{}
		}
		if known := m.allocations[key]; known != nil {
			known.detached = !a.Attached && a.Stage != endpoint.StageKept
		}
	}
	maps.DeleteFunc(m.allocations, func(key AllocationKey, _ *allocation) bool { return key.Endpoint == in.Endpoint && !present[key] })
}

// cancelOrphans cancels the orphaned allocations of an endpoint. It runs on each poll and repeats a cancel
// until the allocation is freed.
func (m *Machine) cancelOrphans(now clock.Instant, endpointName string) {
	for _, key := range m.sortedKeys(func(key AllocationKey) bool { return key.Endpoint == endpointName }) {
		if cause, orphaned := m.orphanCause(now, key); orphaned {
			m.cancel(key, cause)
		}
	}
}

// cancelGone cancels the allocations of incarnations that have ended, without waiting for the next poll.
func (m *Machine) cancelGone() {
	for _, key := range m.sortedKeys(func(key AllocationKey) bool { return m.gone(key.Request.VM) }) {
		m.cancel(key, CauseGone)
	}
}

// cancelUnresponsive cancels the detached allocations of VMs that have just become unresponsive, without
// waiting for the next poll.
func (m *Machine) cancelUnresponsive(now clock.Instant) {
	newlyUnresponsive := map[ident.VM]bool{}
	for vm, v := range m.vms {
		if !v.unresponsive && m.unresponsive(now, vm) {
			v.unresponsive = true
			newlyUnresponsive[vm] = true
		}
	}
	for _, key := range m.sortedKeys(func(key AllocationKey) bool { return newlyUnresponsive[key.Request.VM] && m.allocations[key].detached }) {
		m.cancel(key, CauseUnresponsive)
	}
}

func (m *Machine) cancel(key AllocationKey, cause string) {
	m.actions = append(m.actions, Action{Cancel: &Cancel{AllocationKey: key, Cause: cause}})
}

// orphanCause reports whether an allocation is orphaned, and why.
func (m *Machine) orphanCause(now clock.Instant, key AllocationKey) (cause string, orphaned bool) {
	switch {
	case m.gone(key.Request.VM):
		return CauseGone, true
	case m.allocations[key].notLive:
		return CauseNotLive, true
	case m.allocations[key].detached && m.unresponsive(now, key.Request.VM):
		return CauseUnresponsive, true
	}
	return "", false
}

// gone reports whether an incarnation is known to have ended.
func (m *Machine) gone(vm ident.VM) bool {
	member, known := m.members[vm.Name]
	if !known || member.VM.Incarnation < vm.Incarnation {
		return false
	}
	return member.VM.Incarnation > vm.Incarnation || member.State == membership.Gone
}

// unresponsive reports whether an incarnation has left queries unanswered for too long.
func (m *Machine) unresponsive(now clock.Instant, vm ident.VM) bool {
	v := m.vms[vm]
	if v == nil {
		return false
	}
	if v.unansweredSince == 0 || v.stale(now) {
		return false
	}
	connectedFor := now.Sub(max(v.unansweredSince, v.isolatedAt))
	return connectedFor >= unresponsiveTimeout || now.Sub(v.unansweredSince) >= isolatedTimeout
}

// recordQuery records that a query is sent or due. If earlier unanswered queries are stale, it restarts
// the measurement of unresponsiveness.
func (v *vmState) recordQuery(now clock.Instant) {
	if v.unansweredSince == 0 || v.stale(now) {
		v.unansweredSince, v.isolatedAt, v.unresponsive = now, 0, false
	}
	v.lastQuery = now
}

// stale reports whether the last query is too old for the unanswered ones to be considered.
func (v *vmState) stale(now clock.Instant) bool { return now.Sub(v.lastQuery) > staleAfter }

func (m *Machine) vm(vm ident.VM) *vmState {
	v := m.vms[vm]
	if v == nil {
		v = &vmState{}
		m.vms[vm] = v
	}
	return v
}

// handleResult records the response to a query. Allocations that the VM reports as live are no longer
// considered orphaned.
func (m *Machine) handleResult(now clock.Instant, in QueryResultInput) {
	v := m.vm(in.VM)
	v.queryPending = false
	v.unansweredSince = 0
	v.unresponsive = false
	v.lastResponse = now
	for _, key := range in.Queried {
		if a := m.allocations[key]; a != nil {
			a.confirmedAt = now
			a.notLive = false
		}
	}
	for _, key := range in.NotLive {
		if a := m.allocations[key]; a != nil {
			a.notLive = true
		}
	}
}

func (m *Machine) setMembers(members []membership.Member) {
	clear(m.members)
	for _, member := range members {
		m.members[member.VM.Name] = member
	}
}

// sendQueries sends one query to each VM that owns allocations in need of confirmation.
func (m *Machine) sendQueries(now clock.Instant) {
	unconfirmed := map[ident.VM][]AllocationKey{}
	for _, key := range m.sortedKeys(func(key AllocationKey) bool { return m.needsConfirmation(now, key) }) {
		unconfirmed[key.Request.VM] = append(unconfirmed[key.Request.VM], key)
	}
	m.removeStaleVMs(now)
	for _, vm := range slices.SortedFunc(maps.Keys(unconfirmed), compareVM) {
		v := m.vm(vm)
		v.recordQuery(now)
		member, known := m.members[vm.Name]
		if v.queryPending || !known {
			continue
		}
		v.queryPending = true
		m.actions = append(m.actions, Action{Query: &Query{Subject: vm, Target: member, Allocations: unconfirmed[vm]}})
	}
	m.probeWitnesses(now)
}

// needsConfirmation reports whether the last confirmation of an allocation has expired.
func (m *Machine) needsConfirmation(now clock.Instant, key AllocationKey) bool {
	a := m.allocations[key]
	if m.gone(key.Request.VM) {
		return false
	}
	return a.confirmedAt == 0 || now.Sub(a.confirmedAt) >= confirmationTTL
}

// removeStaleVMs removes incarnations that own no allocations and have neither responded nor been probed
// within isolatedTimeout.
func (m *Machine) removeStaleVMs(now clock.Instant) {
	inUse := map[ident.VM]bool{}
	for key := range m.allocations {
		inUse[key.Request.VM] = true
	}
	maps.DeleteFunc(m.vms, func(vm ident.VM, v *vmState) bool {
		return !inUse[vm] && !v.queryPending && now.Sub(max(v.lastResponse, v.lastProbe)) > isolatedTimeout
	})
}

// sortedKeys returns the keys of the tracked allocations that match, in a fixed order.
func (m *Machine) sortedKeys(match func(AllocationKey) bool) []AllocationKey {
	var keys []AllocationKey
	for key := range m.allocations {
		if match(key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b AllocationKey) int {
		return cmp.Or(
			cmp.Compare(a.Endpoint, b.Endpoint),
			compareVM(a.Request.VM, b.Request.VM),
			cmp.Compare(a.Request.Seq, b.Request.Seq),
		)
	})
	return keys
}

func compareVM(a, b ident.VM) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}
