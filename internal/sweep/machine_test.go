package sweep

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	testEndpoints = 2
	testVMs       = 3
	// cancelDeadline is the maximum time from the loss of a request to the first cancel of its allocation.
	cancelDeadline = 2 * time.Second
)

// world simulates the engines and VMs with which a Machine interacts.
type world struct {
	machine *Machine
	now     clock.Instant
	seq     uint64
	// allocatedAt is when an engine accepted a request, lostAt when the request's VM stopped serving it.
	allocatedAt, lostAt map[AllocationKey]clock.Instant
	// ended contains the allocations that were cancelled or freed by the end of their requests.
	ended        map[AllocationKey]bool
	up           [testVMs]bool
	incarnations [testVMs]ident.Incarnation
	// detected is set if the member list shows that the VM is gone.
	detected [testVMs]bool
	pollIn   [testEndpoints]int
	dropNext bool
	// unresponsive VMs run but do not answer queries, as if their links to other VMs were down.
	unresponsive [testVMs]bool
	// partitionTicks is the number of ticks since the watcher was partitioned from all VMs, or 0 if it is not.
	partitionTicks int
	partitionEnd   clock.Instant
	// delayed contains the queries that are answered at the next tick.
	delayed []*Query
}

func newWorld() *world {
	w := &world{machine: NewMachine("watcher"), now: 1, allocatedAt: map[AllocationKey]clock.Instant{}, lostAt: map[AllocationKey]clock.Instant{}, ended: map[AllocationKey]bool{}}
	for i := range testVMs {
		w.up[i], w.incarnations[i] = true, 1
	}
	w.showMembers()
	return w
}

func vmName(i int) string { return fmt.Sprintf("v%d", i) }

func (w *world) showMembers() []Action {
	var ms []membership.Member
	for i := range testVMs {
		m := membership.Member{VM: ident.VM{Name: vmName(i), Incarnation: w.incarnations[i]}, State: membership.Alive}
		if !w.up[i] && w.detected[i] {
			m.State = membership.Gone
		}
		ms = append(ms, m)
	}
	return w.machine.Step(w.now, MembersInput{Members: ms})
}

func (w *world) index(name string) int { return int(name[1] - '0') }

// isLive reports whether the request's VM actually runs and serves it.
func (w *world) isLive(key AllocationKey) bool {
	i := w.index(key.Request.VM.Name)
	_, lost := w.lostAt[key]
	return w.up[i] && w.incarnations[i] == key.Request.VM.Incarnation && !lost && !w.ended[key]
}

func (w *world) handle(t *rapid.T, actions []Action) {
	for _, a := range actions {
		if a.Cancel != nil {
			w.handleCancel(t, a.Cancel)
			continue
		}
		if w.dropNext {
			w.dropNext = false
			w.delayed = append(w.delayed, a.Query)
			continue
		}
		w.answer(t, a.Query)
	}
}

func (w *world) handleCancel(t *rapid.T, c *Cancel) {
	if w.isLive(c.AllocationKey) {
		t.Fatalf("live request %v at %s was cancelled (cause %s)", c.Request, c.Endpoint, c.Cause)
	}
	if w.dropNext {
		w.dropNext = false
		return
	}
	w.ended[c.AllocationKey] = true // may be cancelled again
	delete(w.allocatedAt, c.AllocationKey)
	delete(w.lostAt, c.AllocationKey)
}

func (w *world) answer(t *rapid.T, q *Query) {
	i := w.index(q.Target.VM.Name)
	if !w.up[i] || w.unresponsive[i] || w.partitionTicks > 0 {
		w.handle(t, w.machine.Step(w.now, QueryFailedInput{VM: q.Subject}))
		return
	}
	var notLive []AllocationKey
	for _, key := range q.Allocations {
		if !w.isLive(key) {
			notLive = append(notLive, key)
		}
	}
	w.handle(t, w.machine.Step(w.now, QueryResultInput{VM: q.Subject, Queried: q.Allocations, NotLive: notLive}))
}

// tick advances the time by TickPeriod: delayed answers arrive, engines are polled in turn and the Machine ticks.
func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(TickPeriod)
	delayed := w.delayed
	w.delayed = nil
	for _, q := range delayed {
		w.answer(t, q)
	}
	for e := range testEndpoints {
		w.pollIn[e]--
		if w.pollIn[e] <= 0 {
			w.pollIn[e] = int(pollInterval / TickPeriod)
			w.poll(t, fmt.Sprintf("e%d", e))
		}
	}
	w.handle(t, w.machine.Step(w.now, TickInput{}))
	w.advancePartition()
	if w.partitionTicks > 0 {
		return
	}
	for key, lostAt := range w.lostAt {
		if _, allocated := w.allocatedAt[key]; allocated && w.now.Sub(lostAt) > cancelDeadline {
			t.Fatalf("%v at %s is still allocated %v after its loss", key.Request, key.Endpoint, w.now.Sub(lostAt))
		}
	}
}

// advancePartition ends a partition before isolatedTimeout. cancelDeadline then counts from its end.
func (w *world) advancePartition() {
	if w.partitionTicks == 0 {
		return
	}
	w.partitionTicks++
	if time.Duration(w.partitionTicks)*TickPeriod < isolatedTimeout-time.Second {
		return
	}
	w.partitionTicks, w.partitionEnd = 0, w.now
	for key := range w.lostAt {
		w.lostAt[key] = w.now
	}
}

func (w *world) poll(t *rapid.T, name string) {
	in := AllocationsInput{Endpoint: name, Allocations: []endpoint.Allocation{{Attempt: endpoint.Attempt{RequestID: "of-another-system"}, AgeMillis: 9999}}}
	for key, allocatedAt := range w.allocatedAt {
		if key.Endpoint == name {
			in.Allocations = append(in.Allocations, endpoint.Allocation{
				Attempt:   endpoint.Attempt{RequestID: key.Request.String()},
				AgeMillis: w.now.Sub(allocatedAt).Milliseconds(),
				Stage:     "decode",
				Attached:  w.isLive(key),
			})
		}
	}
	w.handle(t, w.machine.Step(w.now, in))
}

// markLost marks all matching requests as lost.
func (w *world) markLost(match func(AllocationKey) bool) {
	for key := range w.allocatedAt {
		if _, lost := w.lostAt[key]; !lost && match(key) {
			w.lostAt[key] = w.now
		}
	}
}

// TestMachineCancelsOnlyOrphans checks that live requests are never cancelled and that the allocations of lost
// requests are cancelled within cancelDeadline, despite crashes, restarts, partitions and lost messages.
func TestMachineCancelsOnlyOrphans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		vm := func(t *rapid.T) int { return rapid.IntRange(0, testVMs-1).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				i := vm(t)
				if !w.up[i] {
					t.Skip("down")
				}
				w.seq++
				id := ident.RequestID{VM: ident.VM{Name: vmName(i), Incarnation: w.incarnations[i]}, Seq: w.seq}
				w.allocatedAt[AllocationKey{Endpoint: fmt.Sprintf("e%d", rapid.IntRange(0, testEndpoints-1).Draw(t, "endpoint")), Request: id}] = w.now
			},
			"end": func(t *rapid.T) {
				n := rapid.Uint64Range(1, max(1, w.seq)).Draw(t, "seq")
				w.markLost(func(key AllocationKey) bool { return key.Request.Seq == n })
			},
			"freeByItself": func(t *rapid.T) {
				n := rapid.Uint64Range(1, max(1, w.seq)).Draw(t, "seq")
				for key := range w.allocatedAt {
					if key.Request.Seq == n {
						w.ended[key] = true
						delete(w.allocatedAt, key)
						delete(w.lostAt, key)
					}
				}
			},
			"cut": func(t *rapid.T) {
				if w.now.Sub(w.partitionEnd) < cancelDeadline {
					t.Skip("two partitions without contact in between are one long partition")
				}
				w.partitionTicks = max(w.partitionTicks, 1)
			},
			"kill": func(t *rapid.T) {
				i := vm(t)
				for other := range testVMs {
					if other != i && (!w.up[other] || w.unresponsive[other]) {
						t.Skip("the watcher would reach too few VMs")
					}
				}
				w.unresponsive[i] = false
				w.up[i], w.detected[i] = false, rapid.Bool().Draw(t, "noticed")
				w.markLost(func(key AllocationKey) bool { return key.Request.VM.Name == vmName(i) })
				w.handle(t, w.showMembers())
			},
			"restart": func(t *rapid.T) {
				i := vm(t)
				w.incarnations[i]++
				w.up[i], w.unresponsive[i] = true, false
				w.markLost(func(key AllocationKey) bool { return key.Request.VM.Name == vmName(i) })
				w.handle(t, w.showMembers())
			},
			"mute": func(t *rapid.T) {
				i := vm(t)
				for other := range testVMs {
					if other != i && (!w.up[other] || w.unresponsive[other]) {
						t.Skip("the watcher would reach too few VMs")
					}
				}
				w.unresponsive[i] = w.up[i]
			},
			"unmute":      func(t *rapid.T) { w.unresponsive[vm(t)] = false },
			"loseMessage": func(*rapid.T) { w.dropNext = true },
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 25).Draw(t, "ticks") {
					w.tick(t)
				}
			},
		})
		w.unresponsive = [testVMs]bool{}
		for range int((isolatedTimeout + 2*cancelDeadline) / TickPeriod) {
			w.tick(t)
		}
	})
}

// TestUnresponsiveVMKeepsAttachedRequests checks a VM that answers no queries while other VMs do. Requests whose
// connection to the engine is open must not be cancelled, requests without a connection must be, and a kept prefill
// result is left to expire by itself.
func TestUnresponsiveVMKeepsAttachedRequests(t *testing.T) {
	vm := ident.VM{Name: vmName(0), Incarnation: 1}
	id := func(n uint64) string { return ident.RequestID{VM: vm, Seq: n}.String() }
	in := AllocationsInput{Endpoint: "e0", Allocations: []endpoint.Allocation{
		{Attempt: endpoint.Attempt{RequestID: id(1)}, Stage: "decode", AgeMillis: 500, Attached: true},
		{Attempt: endpoint.Attempt{RequestID: id(2)}, Stage: "decode", AgeMillis: 500},
		{Attempt: endpoint.Attempt{RequestID: id(3)}, Stage: endpoint.StageKept, AgeMillis: 500},
	}}
	w := newWorld()
	cancelled := map[uint64]string{}
	step := func(in Input) {
		for _, a := range w.machine.Step(w.now, in) {
			switch {
			case a.Cancel != nil:
				cancelled[a.Cancel.Request.Seq] = a.Cancel.Cause
			case a.Query.Target.VM.Name == vmName(0):
				w.machine.Step(w.now, QueryFailedInput{VM: a.Query.Subject})
			default:
				w.machine.Step(w.now, QueryResultInput{VM: a.Query.Subject, Queried: a.Query.Allocations})
			}
		}
	}
	for range int(3 * isolatedTimeout / TickPeriod) {
		w.now = w.now.Add(TickPeriod)
		step(in)
		step(TickInput{})
	}
	if len(cancelled) != 1 || cancelled[2] != CauseUnresponsive {
		t.Errorf("cancelled %v, want only request 2", cancelled)
	}
	in.Allocations[0].Attached = false
	step(in)
	if cancelled[1] != CauseUnresponsive {
		t.Errorf("after the connection of request 1 closed: cancelled %v, want request 1 too", cancelled)
	}
}
