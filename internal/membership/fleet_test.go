package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// fleet simulates machines on a network with delays, losses, duplicates and partitions.
type fleet struct {
	now           clock.Instant
	rng           *rand.Rand
	nodes         map[string]*node
	nodesByAddr   map[netip.AddrPort]*node
	order         []string
	events        events
	seq           int
	incarnations  uint64
	lossRate      float64
	duplicateRate float64
	partitioned   map[[2]string]bool
	listAvailable bool
	listed        map[string]bool
}

type node struct {
	m              *machine
	vm             ident.VM
	dataCentre     string
	addr, listAddr netip.AddrPort
	alive, paused  bool
	deferred       []func()
	view           *View
	replyHandlers  map[uint64]func(*Message)
	lastRequestID  uint64
}

type event struct {
	at  clock.Instant
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newFleet(seed uint64, perDataCentre ...int) *fleet {
	f := &fleet{
		now: 1, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, nodesByAddr: map[netip.AddrPort]*node{}, partitioned: map[[2]string]bool{}, listAvailable: true,
		listed: map[string]bool{},
	}
	for d, n := range perDataCentre {
		for i := range n {
			name := fmt.Sprintf("vm-%d-%d", d, i)
			f.order = append(f.order, name)
			f.listed[name] = true
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 7000)
			f.nodes[name] = &node{dataCentre: fmt.Sprintf("dc-%d", d), addr: addr, listAddr: addr}
		}
	}
	for _, name := range f.order {
		f.start(name)
	}
	return f
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.seq, run})
}

// start starts a new incarnation of a VM.
func (f *fleet) start(name string) {
	n := f.nodes[name]
	f.incarnations++
	f.nodesByAddr[n.addr] = n
	n.vm = ident.VM{Name: name, Incarnation: ident.Incarnation(f.incarnations)}
	n.alive, n.paused, n.deferred = true, false, nil
	n.replyHandlers = map[uint64]func(*Message){}
	n.m = newMachine(Member{VM: n.vm, DataCentre: n.dataCentre, Region: "r", PeerAddress: n.addr}, nil)
	n.view = n.m.view
	f.listed[name] = true
	incarnation := n.vm
	var tickLoop func()
	tickLoop = func() {
		if n.vm != incarnation || !n.alive {
			return
		}
		f.schedule(TickPeriod, tickLoop)
		if !n.paused {
			f.step(n, tick{})
		}
	}
	f.schedule(time.Duration(f.rng.Int64N(int64(TickPeriod))), tickLoop)
}

func (f *fleet) kill(name string) { f.nodes[name].alive = false }

// resume resumes a paused VM and processes its deferred events.
func (f *fleet) resume(name string) {
	n := f.nodes[name]
	n.paused = false
	for _, run := range n.deferred {
		run()
	}
	n.deferred = nil
}

func (f *fleet) step(n *node, in input) {
	for _, a := range n.m.Step(f.now, in) {
		f.perform(n, a)
	}
}

// run advances the simulated time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) connected(a, b *node) bool {
	return !f.partitioned[[2]string{a.dataCentre, b.dataCentre}]
}

func (f *fleet) setPartition(a, b string, partitioned bool) {
	f.partitioned[[2]string{a, b}], f.partitioned[[2]string{b, a}] = partitioned, partitioned
}

func (f *fleet) delay() time.Duration { return time.Millisecond + time.Duration(f.rng.IntN(3e6)) }

// deliver schedules the delivery of a message to an address; the message may be lost or
// duplicated.
func (f *fleet) deliver(from *node, to netip.AddrPort, receive func(*node)) {
	if f.rng.Float64() < f.lossRate {
		return
	}
	copies := 1
	if f.rng.Float64() < f.duplicateRate {
		copies = 2
	}
	for range copies {
		f.schedule(f.delay(), func() {
			n := f.nodesByAddr[to]
			if n == nil || n.addr != to || !n.alive || !f.connected(from, n) {
				return
			}
			if !n.paused {
				receive(n)
				return
			}
			incarnation := n.vm
			n.deferred = append(n.deferred, func() {
				if n.vm == incarnation {
					receive(n)
				}
			})
		})
	}
}

func (f *fleet) perform(n *node, a action) {
	incarnation := n.vm
	switch a := a.(type) {
	case call:
		f.call(n, incarnation, a)
	case send:
		msg := roundTrip(a.msg)
		f.deliver(n, a.to, func(to *node) { f.step(to, request{from: incarnation, msg: roundTrip(msg)}) })
	case reply:
		if answer := n.replyHandlers[a.id]; answer != nil {
			delete(n.replyHandlers, a.id)
			answer(a.msg)
		}
	case publish:
		n.view = a.view
	case readList:
		f.readList(n, incarnation)
	}
}

func (f *fleet) call(n *node, incarnation ident.VM, a call) {
	msg := roundTrip(a.msg)
	if msg.Op == OpPing {
		msg.Digest = &Digest{Configuration: 1, Keys: 1, WithdrawnHash: 1, ConfirmedAge: 1000}
	}
	done := false
	sentAt := f.now
	bound := PingTimeout
	if a.indirect {
		bound = IndirectTimeout
	}
	var finish func(r *Message)
	finish = func(r *Message) {
		if done || n.vm != incarnation || !n.alive {
			return
		}
		if n.paused {
			n.deferred = append(n.deferred, func() { finish(r) })
			return
		}
		if f.now.Sub(sentAt) >= bound {
			// The deadline passed during the pause and takes precedence over a deferred reply.
			r = nil
		}
		done = true
		f.step(n, outcome{a.callID, r})
	}
	f.schedule(bound, func() { finish(nil) })
	f.deliver(n, a.to, func(to *node) {
		to.lastRequestID++
		id, answering := to.lastRequestID, to.vm
		to.replyHandlers[id] = func(r *Message) {
			r = roundTrip(r)
			if msg.Op == OpPing {
				r.Digest = &Digest{Configuration: 1, Keys: 1, WithdrawnHash: 1, ConfirmedAge: 1000}
			}
			f.deliver(to, n.addr, func(*node) {
				if r.From == answering {
					finish(r)
				}
			})
		}
		f.step(to, request{id: id, from: incarnation, msg: roundTrip(msg)})
	})
}

func (f *fleet) readList(n *node, incarnation ident.VM) {
	var vms []objectstore.VM
	for _, name := range f.order {
		if f.listed[name] {
			vms = append(vms, objectstore.VM{Name: name, DataCentre: f.nodes[name].dataCentre, Address: f.nodes[name].listAddr})
		}
	}
	ok := f.listAvailable
	f.schedule(f.delay(), func() {
		if n.vm == incarnation && n.alive {
			f.step(n, listRead{vms: vms, ok: ok})
		}
	})
}

func roundTrip(m *Message) *Message {
	raw, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	var out Message
	if err := msgpack.Unmarshal(raw, &out); err != nil {
		panic(err)
	}
	return &out
}

// stateSeenBy returns the state of target in the view of observer.
func (f *fleet) stateSeenBy(observer, target string) State {
	m, ok := f.nodes[observer].view.Find(target)
	if !ok {
		return 0
	}
	if m.VM != f.nodes[target].vm {
		return Suspect
	}
	return m.State
}
