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
		p.usage(now, name).merge(tokens, p.bucketsSinceStart(now))
	}
	for name, r := range state.DataCentres {
		if at := now.Add(-r.Age); at > p.dataCentres[name].at {
			p.dataCentres[name] = dataCentreUsage{at: at, tokens: r.Tokens, recorded: r.Recorded}
		}
	}
}

// adoptRestart adopts from another VM that all VMs ended. It returns false if the state is of no use: a VM that
// lived through the window has told it, or another one that started has; the buckets of two VMs are not aligned, so
// that each further state would count some usage again.
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

// bucketsSinceStart returns the age of the bucket in which this VM started.
func (p *Plans) bucketsSinceStart(now clock.Instant) int {
	return int(p.bucket(now) - p.bucket(p.startedAt))
}

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

// raise raises each bucket to at least the given tokens, which start with the current bucket.
func (a *account) raise(tokens []int64) {
	for age, n := range tokens[:min(len(tokens), accountBuckets)] {
		i := a.index(age)
		if more := n - a.buckets[i]; more > 0 {
			a.buckets[i] += more
			a.sum += more
		}
	}
}

// merge adds what another VM knows of the usage, by age. From the bucket in which this VM started, of age start, until
// now a bucket keeps the larger of the two amounts. Usage of earlier buckets is known from others only, whose buckets
// begin at other times, so that the larger amount of each bucket would count much of it twice. There the buckets become
// those of the least usage that is in no period up to the start below either of the two.
func (a *account) merge(tokens []int64, start int) {
	tokens = tokens[:min(len(tokens), accountBuckets)]
	a.raise(tokens[:min(len(tokens), start+1)])
	known, told, merged := int64(0), int64(0), int64(0)
	for age := start + 1; age < accountBuckets; age++ {
		i := a.index(age)
		known += a.buckets[i]
		if age < len(tokens) {
			told += max(0, tokens[age])
		}
		a.sum -= a.buckets[i]
		a.buckets[i] = max(known, told) - merged
		a.sum += a.buckets[i]
		merged = max(known, told)
	}
}
