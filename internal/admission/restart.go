package admission

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// When all VMs end at once nobody knows the usage in the window. Workspaces that have used a good part of their
// plans are therefore recorded outside of the VMs: a record is due when one has used recordFraction of its plan,
// and then again whenever it has used recordStep of it more. Until it is stored, recordDelay of the plan may be
// used. So a record tells the usage but for recordStep and recordDelay, and a workspace without one has used at most
// recordFraction and recordDelay.
const (
	recordFraction = 0.4
	recordStep     = 0.1
	recordDelay    = 0.1
	// restartSlack is the fraction of the slack that is added to what is left after all VMs ended.
	restartSlack = 0.4
	// unknownBurstSlack is the fraction of the slack that is available in place of the burst before the records are
	// known.
	unknownBurstSlack = 0.2
)

// UsageRecord is the usage of plans in the window that is kept outside of the VMs.
type UsageRecord struct {
	// Group is the data centre whose VMs' usage this is, empty for that of the whole fleet.
	Group string
	// Age is the time since the record was made.
	Age time.Duration
	// Buckets holds the tokens of each recorded workspace, as in WindowState.
	Buckets map[string][]int64
}

// recordedUsage is a workspace's usage when it was last recorded.
type recordedUsage struct {
	// total is the sum of all usage counted since this VM started, at is when it was recorded.
	total int64
	at    clock.Instant
}

// RecordDue reports whether the usage of some workspace has grown enough since its last record to be recorded.
func (p *Plans) RecordDue(now clock.Instant) bool {
	for name, a := range p.accounts {
		if !p.isHot(now, name, a) {
			continue
		}
		last, recorded := p.recorded[name]
		if !recorded || now.Sub(last.at) >= p.window || float64(a.counted-last.total) >= recordStep*p.plan(a.limit) {
			return true
		}
	}
	return false
}

// Record returns the usage to record now. Calling done marks it as recorded.
func (p *Plans) Record(now clock.Instant) (r UsageRecord, done func()) {
	r.Buckets = map[string][]int64{}
	recorded := map[string]recordedUsage{}
	for name, a := range p.accounts {
		if !p.isHot(now, name, a) {
			continue
		}
		r.Buckets[name] = p.withUnrecorded(now, name, a)
		recorded[name] = recordedUsage{total: a.counted, at: now}
	}
	return r, func() { p.recorded = recorded }
}

// withUnrecorded returns an account's buckets, and in that of the restart what may have been used before.
func (p *Plans) withUnrecorded(now clock.Instant, name string, a *account) []int64 {
	out := a.byAge()
	if n := p.unrecorded(now, name, a.limit); n > 0 {
		out[min(int(now.Sub(p.restartedAt)/p.bucketDuration()), len(out)-1)] += int64(n)
	}
	return out
}

// isHot reports whether a workspace has used so much of its plan that it is recorded.
func (p *Plans) isHot(now clock.Instant, name string, a *account) bool {
	if a.limit.Rate <= 0 {
		return false
	}
	p.advance(a, now)
	remote, _ := p.dataCentreUsed(now, name)
	return float64(a.sum+remote)+p.unrecorded(now, name, a.limit) >= recordFraction*p.plan(a.limit)
}

// plan returns what a limit allows in a whole window, in tokens.
func (p *Plans) plan(l Limit) float64 { return l.Rate*p.window.Seconds() + l.Burst }

// AdoptRecords adds what was recorded before all VMs ended. group is the group of this VM. It has an effect only
// soon after this VM's start, unless another VM has told it the whole window.
func (p *Plans) AdoptRecords(now clock.Instant, group string, records []UsageRecord) {
	if p.WindowComplete(now) {
		return
	}
	p.restartedAt, p.restarted = p.startedAt, true
	p.knowBeforeStart(now)
	others := map[string]map[string][]int64{}
	for _, r := range p.current(records) {
		for name, tokens := range r.Buckets {
			p.hot[name] = true
			if r.Group == group {
				p.usage(now, name).adopt(p.shift(tokens, r.Age), p.ageTolerance())
			}
		}
		if r.Group != group {
			p.adoptDataCentre(now, r, others)
		}
	}
}

// adoptDataCentre adds what was recorded for a data centre whose usage is not known in detail. A VM that does not know yet that its
// fleet is large adopts each data centre so, as their usage is not the same. told is what records of each data centre have told, by age.
func (p *Plans) adoptDataCentre(now clock.Instant, r UsageRecord, told map[string]map[string][]int64) {
	usage := told[r.Group]
	if usage == nil {
		usage = map[string][]int64{}
		told[r.Group] = usage
	}
	for name, tokens := range r.Buckets {
		usage[name] = union(p.shift(tokens, r.Age), usage[name], p.ageTolerance())
	}
	at := max(p.dataCentres[r.Group].at, now.Add(-r.Age))
	p.dataCentres[r.Group] = dataCentreUsage{at: at, tokens: sums(usage), recorded: true}
}

// knowBeforeStart makes the usage before the start count as that of the whole fleet, which records tell, and not of
// the share of it that this VM can reach.
func (p *Plans) knowBeforeStart(now clock.Instant) {
	share := p.shares.current
	p.shares = newShareHistory(p.bucket(now))
	p.shares.set(p.bucket(now), share, int64(now.Sub(p.startedAt)/p.bucketDuration()))
}

// recorderOverlap is the time within which two VMs may have recorded the same group, each for its side of a
// partition.
const recorderOverlap = 2 * time.Second

// current returns the records that are within the window, without those that another one of their group replaces.
func (p *Plans) current(records []UsageRecord) []UsageRecord {
	newest := map[string]time.Duration{}
	for _, r := range records {
		if age, known := newest[r.Group]; !known || r.Age < age {
			newest[r.Group] = r.Age
		}
	}
	var out []UsageRecord
	for _, r := range records {
		if r.Age < p.window && r.Age-newest[r.Group] < recorderOverlap {
			r.Age = max(0, r.Age)
			out = append(out, r)
		}
	}
	return out
}

// shift returns buckets as they are some time later.
func (p *Plans) shift(tokens []int64, by time.Duration) []int64 {
	return append(make([]int64, by/p.bucketDuration()), tokens...)
}

// sums returns the sum of the buckets of each workspace.
func sums(usage map[string][]int64) map[string]int64 {
	out := make(map[string]int64, len(usage))
	for name, tokens := range usage {
		for _, n := range tokens {
			out[name] += n
		}
	}
	return out
}

// unrecorded returns what a workspace may have used before all VMs ended without a record of it, as long as that
// is in the window. It counts as used.
func (p *Plans) unrecorded(now clock.Instant, workspace string, l Limit) float64 {
	if !p.restarted || now.Sub(p.restartedAt) >= p.window {
		return 0
	}
	if p.hot[workspace] {
		return (recordStep + recordDelay) * p.plan(l)
	}
	return (recordFraction + recordDelay) * p.plan(l)
}

// beforeRecords returns what a limit allows until the records are known: the plan is assumed to have been used at
// its rate before the VM started, and its burst as well.
func (p *Plans) beforeRecords(now clock.Instant, l Limit) float64 {
	plan := p.plan(l)
	sinceStart := l.Rate*now.Sub(p.startedAt).Seconds() + min(l.Burst, p.slack.amount(plan, unknownBurstSlack))
	return min(sinceStart, (1-recordFraction-recordDelay)*plan+p.slack.amount(plan, restartSlack))
}
