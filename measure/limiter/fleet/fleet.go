// Package fleet runs the limiter's pure machines of many VMs in one process, with seeded
// time, network and platform, and judges the outcome against one exact bucket.
package fleet

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

// Timing of the fakes.
const (
	tickPeriod      = 100 * time.Millisecond
	callTimeout     = 150 * time.Millisecond
	settlePeriod    = 100 * time.Millisecond
	suspectAfter    = time.Second
	platformDelay   = 3 * time.Millisecond
	platformTimeout = 300 * time.Millisecond
	configSpread    = 2 * time.Second
)

// Faults of the network and the platform.
type Faults struct {
	// Loss and Double are the chances in 1000 that a message is lost or doubled.
	Loss, Double int
	// Late is the most extra delay of a message.
	Late time.Duration
	// LostAnswers is the chance in 1000 that a platform write takes effect unanswered.
	LostAnswers int
	// PausedLose loses the messages to a paused VM, as when its connections have ended.
	PausedLose bool
}

// Options of a Fleet.
type Options struct {
	Seed     uint64
	Policy   string
	Document configuration.Document
	// VMs names each data centre's VMs.
	VMs map[string][]string
	// Far and Near are one-way delays between regions and between data centres.
	Far, Near, Local time.Duration
	Faults           Faults
	// CutConfiguration keeps new configurations from data centres that are cut off.
	CutConfiguration bool
}

// Fleet is the whole simulated installation.
type Fleet struct {
	Options
	Now      clock.Instant
	Judges   map[string]*Judge
	Traffic  Traffic
	Platform *Platform
	rng      *rand.Rand
	queue    events
	order    uint64
	nodes    map[string]*node
	all      []*node
	down     map[string]clock.Instant
	cut      map[string]bool
	epoch    uint64
	snapshot *configuration.Snapshot
	life     ident.Incarnation
	grants   map[grantID]*Grant
}

type grantID struct {
	vm  ident.VM
	seq uint64
}

// Grant is one debit of a share: Used counts at the instant At.
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

// New starts all VMs.
func New(o Options) *Fleet {
	f := &Fleet{
		Options:  o,
		Judges:   map[string]*Judge{},
		Platform: newPlatform(),
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),
		nodes:    map[string]*node{},
		down:     map[string]clock.Instant{},
		cut:      map[string]bool{},
		grants:   map[grantID]*Grant{},
		snapshot: &configuration.Snapshot{Version: 1, Document: o.Document},
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

// Start starts a VM, or a later incarnation under its name.
func (f *Fleet) Start(name, dataCentre string) {
	f.life++
	f.epoch++
	self := ident.VM{Name: name, Incarnation: f.life}
	n := newNode(f, membership.Member{VM: self, DataCentre: dataCentre, Region: f.Document.DataCentres[dataCentre].Region, State: membership.Alive})
	f.nodes[name] = n
	f.all = append(f.all, n)
	delete(f.down, name)
	f.Platform.vms[name] = true
	n.every(tickPeriod, n.tick)
	n.every(settlePeriod, n.flush)
}

// Kill ends a VM; the platform's list drops it after lag.
func (f *Fleet) Kill(name string, lag time.Duration) {
	n := f.nodes[name]
	if n == nil || n.dead {
		return
	}
	n.dead = true
	f.down[name] = f.Now
	f.epoch++
	f.after(suspectAfter, func() { f.epoch++ })
	f.after(lag, func() {
		if f.nodes[name] == n {
			delete(f.Platform.vms, name)
			f.epoch++
		}
	})
}

// Pause stops a VM for a time. Lag is when the platform's list drops it, 0 for never.
func (f *Fleet) Pause(name string, length, lag time.Duration) {
	n := f.nodes[name]
	if n == nil || n.dead || n.paused {
		return
	}
	n.paused = true
	f.down[name] = f.Now
	f.after(suspectAfter, func() { f.epoch++ })
	if lag > 0 {
		f.after(lag, func() {
			if f.nodes[name] == n {
				delete(f.Platform.vms, name)
				f.epoch++
			}
		})
	}
	f.after(length, func() {
		n.paused = false
		f.epoch++
		if f.nodes[name] == n {
			delete(f.down, name)
		}
		backlog := n.backlog
		n.backlog = nil
		for _, run := range backlog {
			run()
		}
	})
}

// Stop begins the planned stop of a VM, which ends after length.
func (f *Fleet) Stop(name string, length time.Duration) {
	n := f.nodes[name]
	if n == nil || n.dead || n.leaving {
		return
	}
	n.leaving = true
	f.epoch++
	n.step(limiter.StopIn{})
	f.after(length, func() { f.Kill(name, time.Second) })
}

// Cut separates a data centre from the others, and from the platform, or joins it again.
func (f *Fleet) Cut(dataCentre string, cut bool) {
	f.cut[dataCentre] = cut
	f.epoch++
	f.after(suspectAfter, func() { f.epoch++ })
}

// Configure puts a document in force; each VM applies it within configSpread. Changes must
// be further apart than configSpread and limiter.PauseLimit together.
func (f *Fleet) Configure(doc configuration.Document) {
	f.snapshot = &configuration.Snapshot{Version: f.snapshot.Version + 1, Document: doc}
	snap := f.snapshot
	for _, n := range f.all {
		f.after(time.Duration(f.rng.Int64N(int64(configSpread))), func() { n.apply(snap) })
	}
	for _, j := range f.Judges {
		j.plan(f.Now, snap)
	}
}

// Run passes time.
func (f *Fleet) Run(d time.Duration) {
	until := f.Now.Add(d)
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = until
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: f.Now.Add(d), order: f.order, run: run})
}

// chance is true for n in 1000.
func (f *Fleet) chance(n int) bool { return n > 0 && f.rng.IntN(1000) < n }

// separated reports whether messages between two data centres are lost.
func (f *Fleet) separated(a, b string) bool { return a != b && (f.cut[a] || f.cut[b]) }

func (f *Fleet) delay(a, b *node) time.Duration {
	d := f.Far
	switch {
	case a == b:
		return 0
	case a.self.DataCentre == b.self.DataCentre:
		d = f.Local
	case a.self.Region == b.self.Region:
		d = f.Near
	}
	if f.Faults.Late > 0 && f.chance(100) {
		d += time.Duration(f.rng.Int64N(int64(f.Faults.Late)))
	}
	return d + time.Duration(f.rng.Int64N(int64(50*time.Microsecond)))
}

// send carries one message of a number of bytes between two VM lives.
func (f *Fleet) send(from, to *node, kind Kind, bytes int, deliver func()) {
	if from != to {
		f.Traffic.count(kind, bytes)
	}
	copies := 1
	if from != to && (f.chance(f.Faults.Loss) || f.separated(from.self.DataCentre, to.self.DataCentre)) {
		copies = 0
	} else if from != to && f.chance(f.Faults.Double) {
		copies = 2
	}
	for range copies {
		f.after(f.delay(from, to), func() {
			if !to.paused || !f.Faults.PausedLose {
				to.do(deliver)
			}
		})
	}
}

// view is what a VM knows of the others.
func (f *Fleet) view(n *node) *membership.View {
	v := &membership.View{Self: n.self}
	for _, name := range sortedNames(f.nodes) {
		m := f.nodes[name].self
		since, down := f.down[name]
		switch {
		case m.VM == n.self.VM:
			m.State = membership.Alive
		case !f.Platform.vms[name]:
			m.State = membership.Gone
		case down && f.Now.Sub(since) >= suspectAfter, f.separated(n.self.DataCentre, m.DataCentre):
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

// Held gives the number of parts that live VMs hold and that were not settled.
func (f *Fleet) Held() int {
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

// Names gives the VMs that were started and not replaced.
func (f *Fleet) Names() []string { return sortedNames(f.nodes) }

// After runs something later.
func (f *Fleet) After(d time.Duration, run func()) { f.after(d, run) }

// Holder gives the VM that holds a workspace's share of a data centre.
func (f *Fleet) Holder(dataCentre, workspace string) string {
	r, _ := f.Platform.get(limiter.RecordName(dataCentre))
	return r.Shards[limiter.ShardOf(workspace)].VM.Name
}
