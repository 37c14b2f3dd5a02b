package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// retention is how long records are kept.
	retention = 30 * time.Minute
	// maxRecords is the maximum number of records. A crash leaves one for each call that the endpoint was running.
	maxRecords = 256
	// enoughStarts is the number of starts of a part above which further ones are not told to other VMs.
	enoughStarts = 16
	// trialTimeout is the time after which a trial without an outcome is repeated.
	trialTimeout = 20 * time.Second
)

// tracker is the state machine behind a Controller. It does no I/O and reads no clock.
type tracker struct {
	// records are sorted by time.
	records []entry
	// own and others are the starts that this VM has seen and those that other VMs told of, told is the part of
	// own that the others know.
	own, others, told recentStarts
	quarantined       map[string]suspect
	judgedAt          clock.Instant
	// changes are the changes of quarantined that have not been taken yet.
	changes []change
	// trials holds the time of the last trial by this VM of a quarantined part.
	trials map[string]clock.Instant
	// suspectedRequests holds the requests that have left a record of a crash and were not answered since.
	suspectedRequests map[string]bool
}

func newTracker() *tracker {
	return &tracker{quarantined: map[string]suspect{}, trials: map[string]clock.Instant{}, suspectedRequests: map[string]bool{}}
}

// change is a part that is quarantined now, or no more.
type change struct {
	suspect
	released bool
}

// takeChanges returns the changes since the last call.
func (t *tracker) takeChanges() []change {
	out := t.changes
	t.changes = nil
	return out
}

// verdict is the decision about a call.
type verdict struct {
	// part is the quarantined part of the prompt, empty if there is none.
	part string
	// trial is set if the call may run nevertheless, to try whether the part still crashes engines.
	trial bool
	// wait is the time until a call with the part may be tried.
	wait time.Duration
}

// check decides about a call. mayTry is set if this VM may try quarantined parts. All quarantined parts of the
// prompt must be due for a trial; the first one is tried.
func (t *tracker) check(now clock.Instant, parts []string, mayTry bool) verdict {
	if len(t.records) > 0 && now.Sub(t.judgedAt) >= judgePeriod {
		t.judge(now)
	}
	var v verdict
	for _, part := range parts {
		if !t.isQuarantined(part) {
			continue
		}
		wait := t.trialDue(part).Sub(now)
		if v.part == "" || wait > max(0, v.wait) {
			v.part, v.wait = part, wait
		}
	}
	switch {
	case v.part == "":
	case mayTry && v.wait <= 0:
		t.trials[v.part] = now
		v.trial, v.wait = true, 0
	default:
		v.wait = max(v.wait, minWait)
	}
	return v
}

// trialDue returns when a call with a quarantined part may be tried by this VM.
func (t *tracker) trialDue(part string) clock.Instant {
	due := t.quarantined[part].trialAt()
	if last, tried := t.trials[part]; tried {
		due = max(due, last.Add(trialTimeout))
	}
	return due
}

// minWait is the minimum time after which a refused caller is told to come back.
const minWait = time.Second

// add adds records that are not known yet, and returns these.
func (t *tracker) add(now clock.Instant, records []Record) []Record {
	var added []Record
	for _, r := range records {
		if r.Age >= retention || t.knows(r.ID) {
			continue
		}
		t.records = append(t.records, entry{Record: r, at: now.Add(-max(0, r.Age))})
		added = append(added, r)
	}
	if len(added) > 0 {
		slices.SortFunc(t.records, func(a, b entry) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ID, b.ID))
		})
	}
	t.judge(now)
	t.trim()
	return added
}

// trim drops the oldest records above maxRecords, those of quarantined parts last.
func (t *tracker) trim() {
	for len(t.records) > maxRecords {
		unrelated := slices.IndexFunc(t.records, func(r entry) bool { return !slices.ContainsFunc(r.Parts, t.isQuarantined) })
		oldest := max(0, unrelated)
		t.records = slices.Delete(t.records, oldest, oldest+1)
	}
}

func (t *tracker) isQuarantined(part string) bool {
	_, quarantined := t.quarantined[part]
	return quarantined
}

// suspectsRequests reports whether there are suspected requests.
func (t *tracker) suspectsRequests() bool { return len(t.suspectedRequests) > 0 }

func (t *tracker) knows(id uint64) bool {
	return slices.ContainsFunc(t.records, func(r entry) bool { return r.ID == id })
}

// judgePeriod is the maximum time between two decisions about the parts while there are records.
const judgePeriod = time.Second

// judge decides anew which parts are quarantined.
func (t *tracker) judge(now clock.Instant) {
	t.judgedAt = now
	t.records = slices.DeleteFunc(t.records, func(r entry) bool { return now.Sub(r.at) >= retention })
	before := t.quarantined
	uncleared := withoutCleared(t.records)
	t.quarantined = judge(uncleared, func(part string) int { return t.starts(now, part) })
	clear(t.suspectedRequests)
	for _, r := range uncleared {
		if r.isRequest() {
			t.suspectedRequests[r.Parts[0]] = true
		}
	}
	for part, s := range t.quarantined {
		if _, known := before[part]; !known {
			t.changes = append(t.changes, change{suspect: s})
		}
	}
	for part, s := range before {
		if _, still := t.quarantined[part]; !still {
			delete(t.trials, part)
			t.changes = append(t.changes, change{suspect: s, released: true})
		}
	}
}

func (t *tracker) starts(now clock.Instant, part string) int {
	return t.own.count(now, part) + t.others.count(now, part)
}

// suspected reports whether a part is in the record of a crash.
func (t *tracker) suspected(part string) bool {
	return slices.ContainsFunc(t.records, func(r entry) bool { return !r.clears() && slices.Contains(r.Parts, part) })
}

// recordStart counts a call whose engine began to answer.
func (t *tracker) recordStart(now clock.Instant, parts []string) {
	for _, part := range parts {
		t.own.add(now, part, 1)
	}
	if slices.ContainsFunc(parts, t.suspected) {
		t.judge(now)
	}
}

// addStarts counts starts that another VM told of. If they are totals, only what this VM did not know counts.
func (t *tracker) addStarts(now clock.Instant, list []Starts, totals bool) {
	for _, s := range list {
		n := s.Calls
		if totals {
			n -= t.starts(now, s.Part)
		}
		if n > 0 {
			t.others.add(now, s.Part, min(n, maxToldStarts))
		}
	}
	if len(list) > 0 && len(t.records) > 0 {
		t.judge(now)
	}
}

// maxToldStarts bounds the starts of a part that one message can add.
const maxToldStarts = 1000

// startsToTell returns the starts of suspected parts that the other VMs need to know of.
func (t *tracker) startsToTell(now clock.Instant, parts []string) []Starts {
	var out []Starts
	for _, part := range parts {
		n := t.own.count(now, part) - t.told.count(now, part)
		if n <= 0 || t.others.count(now, part)+t.told.count(now, part) >= enoughStarts || !t.suspected(part) {
			continue
		}
		t.told.add(now, part, n)
		out = append(out, Starts{Part: part, Calls: n})
	}
	return out
}

// state returns the records, and the starts of the parts in them, to tell a VM that lacks some of it.
func (t *tracker) state(now clock.Instant) State {
	t.judge(now)
	var out State
	for _, r := range t.records {
		r.Age = now.Sub(r.at)
		out.Records = append(out.Records, r.Record)
	}
	for _, part := range t.suspectedParts() {
		if n := t.starts(now, part); n > 0 {
			out.Starts = append(out.Starts, Starts{Part: part, Calls: min(n, enoughStarts)})
		}
	}
	return out
}

func (t *tracker) suspectedParts() []string {
	var out []string
	for _, r := range t.records {
		if !r.clears() {
			out = append(out, r.Parts...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// fingerprint returns a value that is the same on VMs with the same records, whatever their order.
func (t *tracker) fingerprint() uint64 {
	var out uint64
	for _, r := range t.records {
		out ^= r.ID
	}
	return out
}
