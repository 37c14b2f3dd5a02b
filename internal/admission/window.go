package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// dataCentreUsage is what the VMs of a data centre had admitted in the window when they reported.
type dataCentreUsage struct {
	at     clock.Instant
	tokens map[string]int64
	// recorded is set if this was recorded before all VMs ended, so that it is the usage of the whole data centre.
	recorded bool
}

// reportHold is how long a reported total counts in full. After that its weight falls linearly to 0
// over one window.
const reportHold = 2 * time.Second

// SetDataCentreUsage sets what the VMs of another data centre admitted in the window, replacing
// their previous report.
func (p *Plans) SetDataCentreUsage(now clock.Instant, dataCentre string, tokens map[string]int64) {
	if len(tokens) == 0 {
		delete(p.dataCentres, dataCentre)
		return
	}
	p.dataCentres[dataCentre] = dataCentreUsage{at: now, tokens: tokens}
}

// dataCentreUsed returns what other data centres used of a workspace's plan in the window, according to
// their last reports, and an estimate of the usage that this stands for: what a data centre that still
// reports has used is, like this VM's own usage, that of one side of a partition.
func (p *Plans) dataCentreUsed(now clock.Instant, workspace string) (used int64, estimated float64) {
	sum := 0.0
	for _, u := range p.dataCentres {
		age := now.Sub(u.at)
		left := 1 - float64(age-reportHold)/float64(p.window)
		tokens := float64(u.tokens[workspace]) * max(0, min(1, left))
		sum += tokens
		if age <= reportHold && !u.recorded {
			tokens /= p.shares.current
		}
		estimated += tokens
	}
	return int64(sum), estimated
}

// WindowUsage returns what this VM and its direct peers admitted in the window.
func (p *Plans) WindowUsage(now clock.Instant) map[string]int64 {
	out := make(map[string]int64, len(p.accounts))
	for name, a := range p.accounts {
		if p.advance(a, now); a.sum > 0 {
			out[name] = a.sum
		}
	}
	return out
}

// WindowState is what a VM knows of the usage in the current plan window. A VM that starts adopts
// that of another one.
type WindowState struct {
	// Buckets holds the tokens that the VM and its direct peers admitted for each workspace, by age:
	// element 0 is the current bucket, and each further one is a bucket older.
	Buckets map[string][]int64
	// DataCentres holds the last reports of the other data centres.
	DataCentres map[string]DataCentreReport
	// Restarted is set if all VMs ended and started again SinceRestart ago, and the usage before that is only
	// known from records. Hot are the workspaces in these records.
	Restarted    bool
	SinceRestart time.Duration
	Hot          []string
}

// DataCentreReport is what the VMs of a data centre had admitted in the plan window when they
// reported.
type DataCentreReport struct {
	// Age is the time since the report arrived.
	Age time.Duration
	// Tokens is the usage by workspace.
	Tokens map[string]int64
	// Recorded is set if this was recorded before all VMs ended.
	Recorded bool
}

// WindowState returns what this VM knows of the usage in the window. ok is false if it started too
// late to know all of it.
func (p *Plans) WindowState(now clock.Instant) (state WindowState, ok bool) {
	if !p.WindowComplete(now) && !p.restarted {
		return WindowState{}, false
	}
	state = WindowState{Buckets: map[string][]int64{}, DataCentres: map[string]DataCentreReport{}}
	for name, a := range p.accounts {
		if p.advance(a, now); a.sum > 0 {
			state.Buckets[name] = a.byAge()
		}
	}
	for name, u := range p.dataCentres {
		state.DataCentres[name] = DataCentreReport{Age: now.Sub(u.at), Tokens: u.tokens, Recorded: u.recorded}
	}
	if !p.WindowComplete(now) {
		state.Restarted, state.SinceRestart = true, now.Sub(p.restartedAt)
		state.Hot = slices.Sorted(maps.Keys(p.hot))
	}
	return state, true
}

// AdoptWindow adds the usage in the window that another VM knows of, if this VM started too late to
// know it. Usage that both know of counts once.
func (p *Plans) AdoptWindow(now clock.Instant, state WindowState) {
	if now.Sub(p.startedAt) >= p.window {
		return
	}
	if state.Restarted && !p.adoptRestart(now, state) {
		return
	}
	if !state.Restarted {
		p.seeded, p.restarted = true, false
	}
	for name, tokens := range state.Buckets {
		p.usage(now, name).adopt(tokens, p.ageTolerance())
	}
	for name, r := range state.DataCentres {
		if at := now.Add(-r.Age); at > p.dataCentres[name].at {
			p.dataCentres[name] = dataCentreUsage{at: at, tokens: r.Tokens, recorded: r.Recorded}
		}
	}
}

// adoptRestart adopts from another VM that all VMs ended. It returns false if the state is of no use: a VM that
// lived through the window has told it, or another one that started has, which knows the same records.
func (p *Plans) adoptRestart(now clock.Instant, state WindowState) bool {
	if p.seeded || p.toldOfRestart {
		return false
	}
	p.toldOfRestart = true
	at := now.Add(-state.SinceRestart)
	if !p.restarted || p.restartedAt.Before(at) {
		p.restartedAt = at
	}
	p.restarted = true
	p.knowBeforeStart(now)
	for _, name := range state.Hot {
		p.hot[name] = true
	}
	return true
}

// NeedsWindow reports whether a VM that lived through the window, if there is one, should still be asked for it.
func (p *Plans) NeedsWindow(now clock.Instant) bool { return !p.seeded && !p.WindowComplete(now) }

// index returns the position of the bucket of the given age.
func (a *account) index(age int) int64 {
	return (a.bucket - int64(age) + accountBuckets*accountBuckets) % accountBuckets
}

// byAge returns the buckets, the current one first.
func (a *account) byAge() []int64 {
	out := make([]int64, accountBuckets)
	for age := range out {
		out[age] = a.buckets[a.index(age)]
	}
	return out
}

// ageTolerance returns by how many buckets the ages may differ in which records and other VMs tell the same usage: clocks differ by
// up to clock.Tolerance, and a record counts as so much newer.
func (p *Plans) ageTolerance() int { return int(2*clock.Tolerance/p.bucketDuration()) + 2 }

// adoptedUsage is usage that others told a VM at its start, by age when bucket was the current one.
type adoptedUsage struct {
	bucket int64
	// told is what is known of the usage, added what it added to the account, counted what the account held itself when that
	// was told.
	told, added, counted []int64
}

// adopt adds usage that a record or another VM tells, by age. What several of them tell counts once, although their clocks
// and the borders of their buckets differ.
// The ages in which they tell it differ by at most tolerance buckets.
func (a *account) adopt(tokens []int64, tolerance int) {
	earlier := a.takeAdopted()
	told := union(tokens, earlier.told, tolerance)
	u := &adoptedUsage{bucket: a.bucket, told: told, added: make([]int64, accountBuckets), counted: earlier.counted}
	for age, n := range told {
		i := a.index(age)
		own, known := a.buckets[i], min(n, earlier.told[age])
		since := own - earlier.counted[age] // what was told before does not contain it
		total := max(n, own, max(known, earlier.counted[age])+since)
		u.added[age] = total - own
		if n > known {
			u.counted[age] = own
		}
		a.buckets[i] = total
		a.sum += total - own
	}
	a.adopted = u
}

// takeAdopted removes the adopted usage from the account and returns it, by the ages that it has now.
func (a *account) takeAdopted() adoptedUsage {
	u := a.adopted
	if u == nil {
		return adoptedUsage{told: make([]int64, accountBuckets), counted: make([]int64, accountBuckets)}
	}
	a.adopted = nil
	for age, n := range aged(u.added, a.bucket-u.bucket) {
		i := a.index(age)
		n = max(0, min(n, a.buckets[i]))
		a.buckets[i] -= n
		a.sum -= n
	}
	return adoptedUsage{told: aged(u.told, a.bucket-u.bucket), counted: aged(u.counted, a.bucket-u.bucket)}
}

// aged returns the buckets of a window as they are some buckets later.
func aged(tokens []int64, buckets int64) []int64 {
	out := make([]int64, accountBuckets)
	if buckets < accountBuckets {
		copy(out[buckets:], tokens)
	}
	return out
}

// union returns the usage that a and b tell, by age. Usage whose ages differ by at most tolerance buckets counts once, with the lower
// age.
func union(a, b []int64, tolerance int) []int64 {
	out := make([]int64, accountBuckets)
	leftA, leftB := make([]int64, accountBuckets), make([]int64, accountBuckets)
	for age := range out {
		leftA[age], leftB[age] = tokensAt(a, age), tokensAt(b, age)
	}
	for i, j := 0, 0; i < accountBuckets && j < accountBuckets; {
		switch {
		case leftA[i] == 0 || j-i > tolerance:
			out[i] += leftA[i]
			leftA[i] = 0
			i++
		case leftB[j] == 0 || i-j > tolerance:
			out[j] += leftB[j]
			leftB[j] = 0
			j++
		default:
			n := min(leftA[i], leftB[j])
			out[min(i, j)] += n
			leftA[i] -= n
			leftB[j] -= n
		}
	}
	for age := range out {
		out[age] += leftA[age] + leftB[age]
	}
	return out
}

// tokensAt returns the tokens of an age, 0 if they are negative or the buckets do not go back so far.
func tokensAt(buckets []int64, age int) int64 {
	if age >= len(buckets) {
		return 0
	}
	return max(0, buckets[age])
}
