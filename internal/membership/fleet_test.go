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

// fleet runs machines over a network that delays, loses, repeats and cuts, in simulated time.
type fleet struct {
	now    clock.Instant
	rng    *rand.Rand
	nodes  map[string]*node
	byAddr map[netip.AddrPort]*node
	order  []string
	events events
	seq    int
	lives  uint64
	loss   float64
	repeat float64
	cut    map[[2]string]bool
	listUp bool
	listed map[string]bool
}

type node struct {
	m              *machine
	vm             ident.VM
	dc             string
	addr, listAddr netip.AddrPort
	alive, paused  bool
	waiting        []func()
	view           *View
	requestReplies map[uint64]func(*Message)
	nextReq        uint64
}

type event struct {
	at  clock.Instant
	seq int
	do  func()
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
		now: 1, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, byAddr: map[netip.AddrPort]*node{}, cut: map[[2]string]bool{}, listUp: true,
		listed: map[string]bool{},
	}
	for d, n := range perDataCentre {
		for i := range n {
			name := fmt.Sprintf("vm-%d-%d", d, i)
			f.order = append(f.order, name)
			f.listed[name] = true
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 0, byte(i)}), 7000)
			f.nodes[name] = &node{dc: fmt.Sprintf("dc-%d", d), addr: addr, listAddr: addr}
		}
	}
	for _, name := range f.order {
		f.boot(name)
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now.Add(d), f.seq, do})
}

// boot starts a new life of a VM.
func (f *fleet) boot(name string) {
	n := f.nodes[name]
	f.lives++
	f.byAddr[n.addr] = n
	n.vm = ident.VM{Name: name, Incarnation: ident.Incarnation(f.lives)}
	n.alive, n.paused, n.waiting = true, false, nil
	n.requestReplies = map[uint64]func(*Message){}
	n.m = newMachine(Member{VM: n.vm, DataCentre: n.dc, Region: "r", Peer: n.addr}, nil)
	n.view = n.m.view
	f.listed[name] = true
	life := n.vm
	var tickLoop func()
	tickLoop = func() {
		if n.vm != life || !n.alive {
			return
		}
		f.after(TickPeriod, tickLoop)
		if !n.paused {
			f.step(n, tick{})
		}
	}
	f.after(time.Duration(f.rng.Int64N(int64(TickPeriod))), tickLoop)
}

func (f *fleet) kill(name string) { f.nodes[name].alive = false }

// resume lets a paused VM work off what waited for it.
func (f *fleet) resume(name string) {
	n := f.nodes[name]
	n.paused = false
	for _, do := range n.waiting {
		do()
	}
	n.waiting = nil
}

func (f *fleet) step(n *node, in input) {
	for _, a := range n.m.Step(f.now, in) {
		f.perform(n, a)
	}
}

// run advances time.
func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (f *fleet) linked(a, b *node) bool { return !f.cut[[2]string{a.dc, b.dc}] }

func (f *fleet) cutLink(a, b string, cut bool) {
	f.cut[[2]string{a, b}], f.cut[[2]string{b, a}] = cut, cut
}

func (f *fleet) delay() time.Duration { return time.Millisecond + time.Duration(f.rng.IntN(3e6)) }

// deliver hands a message to the VM at an address and gives false if it is lost.
func (f *fleet) deliver(from *node, to netip.AddrPort, do func(*node)) {
	if f.rng.Float64() < f.loss {
		return
	}
	times := 1
	if f.rng.Float64() < f.repeat {
		times = 2
	}
	for range times {
		f.after(f.delay(), func() {
			n := f.byAddr[to]
			if n == nil || n.addr != to || !n.alive || !f.linked(from, n) {
				return
			}
			if !n.paused {
				do(n)
				return
			}
			life := n.vm
			n.waiting = append(n.waiting, func() {
				if n.vm == life {
					do(n)
				}
			})
		})
	}
}

func (f *fleet) perform(n *node, a action) {
	life := n.vm
	switch a := a.(type) {
	case call:
		f.call(n, life, a)
	case send:
		msg := copyOf(a.msg)
		f.deliver(n, a.to, func(to *node) { f.step(to, request{from: life, msg: copyOf(msg)}) })
	case reply:
		if answer := n.requestReplies[a.id]; answer != nil {
			delete(n.requestReplies, a.id)
			answer(a.msg)
		}
	case publish:
		n.view = a.view
	case readList:
		f.readList(n, life)
	}
}

func (f *fleet) call(n *node, life ident.VM, a call) {
	msg := copyOf(a.msg)
	if msg.Op == OpPing {
		msg.Digest = &Digest{Configuration: 1, Keys: 1, Withdrawn: 1, Confirmed: 1000}
	}
	done := false
	called := f.now
	bound := PingTimeout
	if a.indirect {
		bound = IndirectTimeout
	}
	var finish func(r *Message)
	finish = func(r *Message) {
		if done || n.vm != life || !n.alive {
			return
		}
		if n.paused {
			n.waiting = append(n.waiting, func() { finish(r) })
			return
		}
		if f.now.Sub(called) >= bound {
			// The deadline passed in a pause, and wins over a reply that waited.
			r = nil
		}
		done = true
		f.step(n, outcome{a.op, r})
	}
	f.after(bound, func() { finish(nil) })
	f.deliver(n, a.to, func(to *node) {
		to.nextReq++
		id, answering := to.nextReq, to.vm
		to.requestReplies[id] = func(r *Message) {
			r = copyOf(r)
			if msg.Op == OpPing {
				r.Digest = &Digest{Configuration: 1, Keys: 1, Withdrawn: 1, Confirmed: 1000}
			}
			f.deliver(to, n.addr, func(*node) {
				if r.From == answering {
					finish(r)
				}
			})
		}
		f.step(to, request{id: id, from: life, msg: copyOf(msg)})
	})
}

func (f *fleet) readList(n *node, life ident.VM) {
	var vms []objectstore.VM
	for _, name := range f.order {
		if f.listed[name] {
			vms = append(vms, objectstore.VM{Name: name, DataCentre: f.nodes[name].dc, Address: f.nodes[name].listAddr})
		}
	}
	ok := f.listUp
	f.after(f.delay(), func() {
		if n.vm == life && n.alive {
			f.step(n, listRead{vms: vms, ok: ok})
		}
	})
}

func copyOf(m *Message) *Message {
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

// state gives how one VM sees another.
func (f *fleet) state(at, of string) State {
	m, ok := f.nodes[at].view.Find(of)
	if !ok {
		return 0
	}
	if m.VM != f.nodes[of].vm {
		return Suspect
	}
	return m.State
}
