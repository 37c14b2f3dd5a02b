package admission

import (
	"math/rand/v2"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// modelStep is the time between two instants of the modelled fleet.
const modelStep = 10 * time.Millisecond

// budgetPlay is a play of a modelled fleet. Callers do not wait for answers; a failed attempt is made again after
// 50 ms, at most twice.
type budgetPlay struct {
	vms, former int // former VMs are of the build before
	slack, rate float64
	delay       time.Duration
	length      time.Duration
	// failing is the part of the attempts that fail from failFrom on, at VMs below failAt (0: all).
	failing  float64
	failFrom time.Duration
	failAt   int
	// burst is by how much the rate is multiplied from 19 to 24 s (0: not).
	burst float64
	// callsAt is the number of VMs that get calls (0: all).
	callsAt int
	// pauses lets VMs be without processor time for 0.3 to 2.6 s now and then; messages that arrive meanwhile are lost.
	pauses bool
	// restarts returns the VMs that restart at an instant, cut whether two VMs cannot reach each other.
	restarts func(at time.Duration, vms int) []int
	cut      func(at time.Duration, a, b int) bool
	seed     uint64
}

type modelVM struct {
	incarnation int
	startedAt   clock.Instant
	now         *Retries
	former      *formerRetries
	pausedUntil time.Duration
	heard       map[int]heardTotals
	attempts    map[time.Duration][]int
	backlog     int
	// asks is set if a retry was wanted in this step, so that the VM may ask others, as the Controller does.
	asks bool
}

// heardTotals are the last counters of another VM's incarnation.
type heardTotals struct {
	incarnation int
	totals      map[CounterKey]int64
}

type modelFleet struct {
	budgetPlay
	// Arrivals are drawn from rng, all else from faults, so that plays of both builds get the same calls.
	rng, faults    *rand.Rand
	at             time.Duration
	vm             []*modelVM
	messages       map[time.Duration][]func()
	calls, retries []time.Duration
	wanted         int
}

// modelStart is the instant at which the play begins; the VMs have run for an hour.
const modelStart = clock.Instant(time.Hour)

func (f *modelFleet) instant() clock.Instant { return modelStart.Add(f.at) }

func (f *modelFleet) budget() RetryBudget {
	return RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: f.slack}
}

func (f *modelFleet) start(i, incarnation int, at clock.Instant) {
	v := &modelVM{incarnation: incarnation, startedAt: at, heard: map[int]heardTotals{}, attempts: map[time.Duration][]int{}}
	if i < f.former {
		v.former = newFormerRetries(at, f.budget())
	} else {
		v.now = NewRetries(at, f.budget())
		if before := f.vm[i]; before != nil {
			v.now.SetFormerStart(FormerStart{Listed: true, Age: at.Sub(before.startedAt)})
		}
	}
	f.vm[i] = v
}

// play plays the fleet and returns it with what it sent.
func (p budgetPlay) play() *modelFleet {
	f := &modelFleet{budgetPlay: p, rng: rand.New(rand.NewPCG(p.seed, 1)), faults: rand.New(rand.NewPCG(p.seed, 2)), messages: map[time.Duration][]func(){}, vm: make([]*modelVM, p.vms)}
	for i := range f.vm {
		f.start(i, 0, 0)
	}
	for f.at = 0; f.at < p.length; f.at += modelStep {
		for _, m := range f.messages[f.at] {
			m()
		}
		delete(f.messages, f.at)
		if p.restarts != nil {
			for _, i := range p.restarts(f.at, p.vms) {
				f.start(i, f.vm[i].incarnation+1, f.instant())
			}
		}
		f.arrivals()
		for i := range f.vm {
			f.turn(i)
		}
	}
	return f
}

// arrivals lets calls of this step arrive.
func (f *modelFleet) arrivals() {
	n := f.vms
	if f.callsAt > 0 {
		n = f.callsAt
	}
	mean := f.rate * modelStep.Seconds()
	if f.burst > 0 && f.at >= 19*time.Second && f.at < 24*time.Second {
		mean *= f.burst
	}
	for ; mean > 0; mean-- {
		if f.rng.Float64() < mean {
			f.vm[f.rng.IntN(n)].backlog++
			f.calls = append(f.calls, f.at)
		}
	}
}

// turn plays one step of a VM.
func (f *modelFleet) turn(i int) {
	v := f.vm[i]
	if f.pauses && f.at >= v.pausedUntil && f.faults.Float64() < modelStep.Seconds()/4 {
		v.pausedUntil = f.at + time.Duration(300+f.faults.IntN(2300))*time.Millisecond
	}
	if f.at < v.pausedUntil {
		return
	}
	before := len(f.retries)
	for ; v.backlog > 0; v.backlog-- {
		v.countCall(f.instant())
		f.attempt(i, 0)
	}
	for at, attempts := range v.attempts {
		if at > f.at {
			continue
		}
		delete(v.attempts, at)
		for _, n := range attempts {
			f.again(i, n)
		}
	}
	if v.former != nil && len(f.retries) > before || (f.at/modelStep)%100 == time.Duration(i)%100 {
		f.report(i)
	}
	f.borrow(i)
}

func (v *modelVM) countCall(now clock.Instant) {
	if v.former != nil {
		v.former.CountCall(now, "s")
	} else {
		v.now.CountCall(now, "s")
	}
}

// attempt plays the n-th attempt of a call.
func (f *modelFleet) attempt(i, n int) {
	fails := f.at >= f.failFrom && (f.failAt == 0 || i < f.failAt) && f.faults.Float64() < f.failing
	if fails && n < 2 {
		v, due := f.vm[i], f.at+50*time.Millisecond
		v.attempts[due] = append(v.attempts[due], n)
	}
}

func (f *modelFleet) again(i, n int) {
	f.wanted++
	v, sent := f.vm[i], false
	if v.former != nil {
		reached := 0
		for j := range f.vm {
			if !f.isCut(i, j) {
				reached++
			}
		}
		_, sent = v.former.Spend(f.instant(), "s", float64(reached)/float64(f.vms), 0)
	} else {
		sent = v.now.Spend(f.instant(), "s", 1/float64(f.vms), 0)
		v.asks = true
	}
	if sent {
		f.retries = append(f.retries, f.at)
		f.attempt(i, n+1)
	}
}

func (f *modelFleet) isCut(a, b int) bool { return f.cut != nil && f.cut(f.at, a, b) }

// send delivers a message to the incarnation that is running when it arrives, unless the VM is paused or cut off.
func (f *modelFleet) send(from, to int, m func(v *modelVM)) {
	if f.isCut(from, to) {
		return
	}
	due := f.at + max(f.delay.Truncate(modelStep), modelStep)
	f.messages[due] = append(f.messages[due], func() {
		if v := f.vm[to]; f.at >= v.pausedUntil && !f.isCut(from, to) {
			m(v)
		}
	})
}

// report tells the counters of a VM to those of the former build, which alone read them.
func (f *modelFleet) report(i int) {
	if f.former == 0 {
		return
	}
	v, totals := f.vm[i], map[CounterKey]int64{}
	if v.former != nil {
		v.former.ownTotals(totals)
	} else {
		v.now.ownTotals(f.instant(), 1/float64(f.vms), totals)
	}
	for j := range f.former {
		if j != i {
			f.send(i, j, func(to *modelVM) { f.hear(to, i, heardTotals{v.incarnation, totals}) })
		}
	}
}

func (f *modelFleet) hear(to *modelVM, from int, h heardTotals) {
	last, known := to.heard[from]
	to.heard[from] = h
	if !known || last.incarnation != h.incarnation {
		return
	}
	for key, total := range h.totals {
		switch n := int(total - last.totals[key]); key.Kind {
		case ServiceCalls:
			to.former.AddFromPeer(f.instant(), key.Name, n, 0)
		case ServiceRetries:
			to.former.AddFromPeer(f.instant(), key.Name, 0, n)
		}
	}
}

// borrow asks up to three other VMs.
func (f *modelFleet) borrow(i int) {
	v := f.vm[i]
	if !v.asks {
		return
	}
	v.asks = false
	sentAt := f.instant()
	for _, need := range v.now.TakeNeeds(sentAt, 1/float64(f.vms)) {
		for _, other := range f.faults.Perm(f.vms - 1)[:min(3, f.vms-1)] {
			j := (i + 1 + other) % f.vms
			f.send(i, j, func(giver *modelVM) {
				if giver.now == nil {
					return
				}
				amount := giver.now.Grant(f.instant(), need.Service, 1/float64(f.vms), need.Amount/3)
				f.send(j, i, func(asker *modelVM) {
					if asker == v { // a reply reaches only the process that asked
						asker.now.AddGrant(f.instant(), sentAt, need.Service, amount)
					}
				})
			})
		}
	}
}

// worst returns the largest share of what is allowed that was used in any window, counted as the rule does.
func (f *modelFleet) worst() (worst float64, at time.Duration) {
	const w = 10 * time.Second
	within := func(list []time.Duration, until time.Duration) int {
		return upTo(list, until) - upTo(list, until-w)
	}
	for i, until := range f.retries {
		if i+1 < len(f.retries) && f.retries[i+1] == until {
			continue
		}
		calls := max(within(f.calls, until), within(f.calls, until-w), within(f.calls, until-w/2))
		if used := float64(within(f.retries, until)) / (0.2*float64(calls) + f.slack); used > worst {
			worst, at = used, until
		}
	}
	return worst, at
}

// upTo returns the number of entries of a sorted list that are not later than an instant.
func upTo(list []time.Duration, until time.Duration) int {
	low, high := 0, len(list)
	for low < high {
		if mid := (low + high) / 2; list[mid] <= until {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
