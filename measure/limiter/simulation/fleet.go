// Package simulation simulates the limiter of many VMs in one process. Time, network and platform are
// simulated from a seed. The results are compared with one central token bucket per workspace.
package simulation

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// Timing of the simulated VMs, network and platform.
const (
	tickPeriod      = 100 * time.Millisecond
	callTimeout     = 150 * time.Millisecond
	settlePeriod    = 100 * time.Millisecond
	suspectAfter    = time.Second
	platformDelay   = 3 * time.Millisecond
	platformTimeout = 300 * time.Millisecond
	maxConfigDelay  = 2 * time.Second
)

// Faults are injected faults of the network and the platform.
type Faults struct {
	// LossPerMille and DuplicatePerMille are the probabilities that a message is lost or duplicated.
	LossPerMille, DuplicatePerMille int
	// MaxExtraDelay is the maximum additional delay of a message. It affects a tenth of the messages.
	MaxExtraDelay time.Duration
	// LostResponsePerMille is the probability that the result of a platform write stays unknown to the VM.
	LostResponsePerMille int
	// DropWhilePaused drops messages to a paused VM, as if its connections were closed. Otherwise the VM
	// receives them when it continues.
	DropWhilePaused bool
}

// Options configures a Fleet.
type Options struct {
	Seed     uint64
	Policy   string
	Document configuration.Document
	// VMs maps each data centre to the names of its VMs.
	VMs map[string][]string
	// These are the one-way delays between regions, between the data centres of a region and within a
	// data centre.
	InterRegionDelay, IntraRegionDelay, LocalDelay time.Duration
	Faults                                         Faults
	// BlockPartitionedConfig delays new configurations in partitioned data centres until they reconnect.
	BlockPartitionedConfig bool
}

// Fleet is a simulated fleet of VMs with its platform.
type Fleet struct {
	Options
	Now             clock.Instant
	Checkers        map[string]*Checker
	Traffic         Traffic
	Platform        *Platform
	rng             *rand.Rand
	queue           events
	lastOrder       uint64
	nodes           map[string]*node
	allNodes        []*node
	downSince       map[string]clock.Instant
	partitioned     map[string]bool
	viewEpoch       uint64 // incremented whenever the membership view of a VM may change
	snapshot        *configuration.Snapshot
	lastIncarnation ident.Incarnation
	grants          map[grantID]*Grant
}

type grantID struct {
	vm  ident.VM
	seq uint64
}

// Grant is one debit of a share. The tokens in Used count as used at the time At.
type Grant struct {
	At     clock.Instant
	Tokens int64
	Used   int64
}

type event struct {
	at    clock.Instant
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// New creates a fleet and starts all its VMs.
func New(o Options) *Fleet {
	f := &Fleet{
		Options:     o,
		Checkers:    map[string]*Checker{},
		Platform:    newPlatform(),
		rng:         rand.New(rand.NewPCG(o.Seed, 1)),
		nodes:       map[string]*node{},
		downSince:   map[string]clock.Instant{},
		partitioned: map[string]bool{},
		grants:      map[grantID]*Grant{},
		snapshot:    &configuration.Snapshot{Version: 1, Document: o.Document},
	}
	dcs := make([]string, 0, len(o.VMs))
	for dc := range o.VMs {
		dcs = append(dcs, dc)
	}
	slices.Sort(dcs)
	for _, dc := range dcs {
		for _, name := range o.VMs[dc] {
			f.Start(name, dc)
		}
	}
	return f
}

// Start starts a VM or, if one with this name was started before, a new incarnation of it.
func (f *Fleet) Start(name, dataCentre string) {
	f.lastIncarnation++
	f.viewEpoch++
	self := ident.VM{Name: name, Incarnation: f.lastIncarnation}
	n := newNode(f, membership.Member{VM: self, DataCentre: dataCentre, Region: f.Document.DataCentres[dataCentre].Region, State: membership.Alive})
	f.nodes[name] = n
	f.allNodes = append(f.allNodes, n)
	delete(f.downSince, name)
	f.Platform.vms[name] = true
	n.every(tickPeriod, n.tick)
	n.every(settlePeriod, n.flushSettlements)
}

// Kill stops a VM immediately. The platform removes it from its list of VMs after delistDelay.
func (f *Fleet) Kill(name string, delistDelay time.Duration) {
	n := f.nodes[name]
	if n == nil || n.dead {
		return
	}
	n.dead = true
	f.downSince[name] = f.Now
	f.viewEpoch++
	f.schedule(suspectAfter, func() { f.viewEpoch++ })
	f.schedule(delistDelay, func() {
		if f.nodes[name] == n {
			delete(f.Platform.vms, name)
			f.viewEpoch++
		}
	})
}

// Pause suspends a VM for the duration length. The platform removes the VM from its list after
// delistDelay, or never if delistDelay is 0.
func (f *Fleet) Pause(name string, length, delistDelay time.Duration) {
	n := f.nodes[name]
	if n == nil || n.dead || n.paused {
		return
	}
	n.paused = true
	f.downSince[name] = f.Now
	f.schedule(suspectAfter, func() { f.viewEpoch++ })
	if delistDelay > 0 {
		f.schedule(delistDelay, func() {
			if f.nodes[name] == n {
				delete(f.Platform.vms, name)
				f.viewEpoch++
			}
		})
	}
	f.schedule(length, func() {
		n.paused = false
		f.viewEpoch++
		if f.nodes[name] == n {
			delete(f.downSince, name)
		}
		deferred := n.deferred
		n.deferred = nil
		for _, run := range deferred {
			run()
		}
	})
}

// Stop begins the graceful stop of a VM, which is completed after length.
func (f *Fleet) Stop(name string, length time.Duration) {
	n := f.nodes[name]
	if n == nil || n.dead || n.leaving {
		return
	}
	n.leaving = true
	f.viewEpoch++
	n.step(limiter.StopIn{})
	f.schedule(length, func() { f.Kill(name, time.Second) })
}

// SetPartitioned isolates a data centre from the other data centres and from the platform, or
// reconnects it.
func (f *Fleet) SetPartitioned(dataCentre string, partitioned bool) {
	f.partitioned[dataCentre] = partitioned
	f.viewEpoch++
	f.schedule(suspectAfter, func() { f.viewEpoch++ })
}

// Configure changes the configuration. Each VM applies it after a random delay of up to
// maxConfigDelay. The interval between two changes must be longer than the sum of maxConfigDelay and
// limiter.PauseLimit.
func (f *Fleet) Configure(doc configuration.Document) {
	f.snapshot = &configuration.Snapshot{Version: f.snapshot.Version + 1, Document: doc}
	snap := f.snapshot
	for _, n := range f.allNodes {
		f.schedule(time.Duration(f.rng.Int64N(int64(maxConfigDelay))), func() { n.applyConfiguration(snap) })
	}
	for _, c := range f.Checkers {
		c.changePlan(f.Now, snap)
	}
}

// Run advances the simulated time by d and runs the events that are due.
func (f *Fleet) Run(d time.Duration) {
	until := f.Now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = until
}

func (f *Fleet) schedule(d time.Duration, run func()) {
	f.lastOrder++
	heap.Push(&f.queue, event{at: f.Now.Add(d), order: f.lastOrder, run: run})
}

// chance returns true with a probability of n in 1000.
func (f *Fleet) chance(n int) bool { return n > 0 && f.rng.IntN(1000) < n }

// disconnected reports whether a partition separates two data centres.
func (f *Fleet) disconnected(a, b string) bool {
	return a != b && (f.partitioned[a] || f.partitioned[b])
}

func (f *Fleet) delay(a, b *node) time.Duration {
	d := f.InterRegionDelay
	switch {
	case a == b:
		return 0
	case a.self.DataCentre == b.self.DataCentre:
		d = f.LocalDelay
	case a.self.Region == b.self.Region:
		d = f.IntraRegionDelay
	}
	if f.Faults.MaxExtraDelay > 0 && f.chance(100) {
		d += time.Duration(f.rng.Int64N(int64(f.Faults.MaxExtraDelay)))
	}
	return d + time.Duration(f.rng.Int64N(int64(50*time.Microsecond)))
}

// send delivers one message between two incarnations of VMs, subject to the network faults.
func (f *Fleet) send(from, to *node, kind Kind, bytes int, deliver func()) {
	if from != to {
		f.Traffic.count(kind, bytes)
	}
	copies := 1
	if from != to && (f.chance(f.Faults.LossPerMille) || f.disconnected(from.self.DataCentre, to.self.DataCentre)) {
		copies = 0
	} else if from != to && f.chance(f.Faults.DuplicatePerMille) {
		copies = 2
	}
	for range copies {
		f.schedule(f.delay(from, to), func() {
			if !to.paused || !f.Faults.DropWhilePaused {
				to.runOrDefer(deliver)
			}
		})
	}
}

// view returns the membership as a VM sees it.
func (f *Fleet) view(n *node) *membership.View {
	v := &membership.View{Self: n.self}
	for _, name := range sortedNames(f.nodes) {
		m := f.nodes[name].self
		since, down := f.downSince[name]
		switch {
		case m.VM == n.self.VM:
			m.State = membership.Alive
		case !f.Platform.vms[name]:
			m.State = membership.Gone
		case down && f.Now.Sub(since) >= suspectAfter, f.disconnected(n.self.DataCentre, m.DataCentre):
			m.State = membership.Suspect
		case f.nodes[name].leaving:
			m.State = membership.Leaving
		default:
			m.State = membership.Alive
		}
		v.Members = append(v.Members, m)
	}
	return v
}

func sortedNames[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// HeldGrants returns the number of grants of the running VMs that are not settled.
func (f *Fleet) HeldGrants() int {
	held := 0
	for _, n := range f.nodes {
		if n.dead || n.paused {
			continue
		}
		for _, a := range n.machine.Step(f.Now, limiter.StatusIn{}) {
			if out, ok := a.(limiter.StatusOut); ok {
				for _, s := range out.Shares {
					held += s.Held
				}
			}
		}
	}
	return held
}

// VMNames returns the sorted names of all VMs that have been started.
func (f *Fleet) VMNames() []string { return sortedNames(f.nodes) }

// Schedule calls run after d of simulated time.
func (f *Fleet) Schedule(d time.Duration, run func()) { f.schedule(d, run) }

// Holder returns the name of the VM that holds the share of a workspace in a data centre.
func (f *Fleet) Holder(dataCentre, workspace string) string {
	r, _ := f.Platform.get(limiter.RecordName(dataCentre))
	return r.Shards[limiter.ShardOf(workspace)].VM.Name
}
