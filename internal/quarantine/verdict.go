package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// minCrashes is the number of crashes that a part must explain to be quarantined.
	minCrashes = 2
	// crashGap is the minimum time between two crashes that count for a part. What ends several engines at the
	// same moment is not the prompt.
	crashGap = 250 * time.Millisecond
)

// suspect is a part with the crashes that it would explain.
type suspect struct {
	part    string
	crashes int
	starts  int
	// position is the part's place in the prompt of the latest crash.
	position int
	// lastCounted is the time of the last crash that counts, lastCrash that of the last one.
	lastCounted, lastCrash clock.Instant
	// failedTrials is the number of crashes that came long after the one before.
	failedTrials int
}

// judge returns the parts to quarantine, given the records sorted by time and the recent starts of each part.
// It explains the crashes by as few parts as possible: the one that explains most of them comes first, and
// what it explains does not count for the others.
func judge(records []entry, starts func(part string) int) map[string]suspect {
	out := map[string]suspect{}
	explained := map[traffic.EndpointID]bool{}
	records = withoutCleared(records)
	for {
		best, found := strongest(records, explained, starts)
		if !found {
			return out
		}
		out[best.part] = best
		for _, r := range records {
			if slices.Contains(r.Parts, best.part) {
				explained[r.Endpoint] = true
			}
		}
	}
}

// strongest returns the suspect that explains most of the crashes that are not explained yet.
func strongest(records []entry, explained map[traffic.EndpointID]bool, starts func(part string) int) (best suspect, found bool) {
	for part, s := range collect(records, explained) {
		s.starts = starts(part)
		if s.crashes < minCrashes || s.crashes < s.starts {
			continue
		}
		if !found || compare(s, best) > 0 {
			best, found = s, true
		}
	}
	return best, found
}

// compare orders suspects by how well they explain the crashes. Of two parts that explain the same, the one
// with fewer answers, and then the one later in the prompt, is more specific.
func compare(a, b suspect) int {
	return cmp.Or(
		cmp.Compare(a.crashes, b.crashes),
		cmp.Compare(b.starts, a.starts),
		cmp.Compare(a.position, b.position),
		cmp.Compare(a.part, b.part),
	)
}

// collect returns the parts in the records whose crashes are not explained yet.
func collect(records []entry, explained map[traffic.EndpointID]bool) map[string]suspect {
	out := map[string]suspect{}
	calls := map[string]bool{}
	for _, r := range records {
		if explained[r.Endpoint] || calls[r.Call] {
			continue
		}
		calls[r.Call] = true
		for i, part := range r.Parts {
			out[part] = out[part].withCrash(part, i, r.at)
		}
	}
	return out
}

// withoutCleared returns the records of crashes, given records sorted by time, except those with a part that a
// later record clears.
func withoutCleared(records []entry) []entry {
	var out []entry
	for _, r := range records {
		if !r.clears() {
			out = append(out, r)
			continue
		}
		out = slices.DeleteFunc(out, func(c entry) bool { return containsAny(c.Parts, r.Parts) })
	}
	return out
}

func containsAny(parts, of []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return slices.Contains(of, part) })
}

// withCrash returns the suspect with one more record of a crash.
func (s suspect) withCrash(part string, position int, at clock.Instant) suspect {
	if s.crashes == 0 || at.Sub(s.lastCounted) >= crashGap {
		s.crashes++
		s.lastCounted = at
	}
	if s.crashes > minCrashes && at.Sub(s.lastCrash) >= firstTrialDelay/2 {
		s.failedTrials++
	}
	s.part, s.position, s.lastCrash = part, position, at
	return s
}

const (
	// firstTrialDelay is the time from the last crash to the first trial of a quarantined part. Each failed
	// trial doubles it, up to maxTrialDelay.
	firstTrialDelay = time.Minute
	maxTrialDelay   = 15 * time.Minute
)

// trialAt returns when one call with the part may be tried.
func (s suspect) trialAt() clock.Instant {
	return s.lastCrash.Add(min(maxTrialDelay, firstTrialDelay<<min(s.failedTrials, 8)))
}
