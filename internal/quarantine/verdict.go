package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// minPartCrashes is the number of crashes that a part of a prompt must explain to be quarantined,
	// minRequestCrashes the number for a request. A request is more likely to meet crashes that it does not cause, as
	// it is sent again to the endpoint that the cause of the first one takes next.
	minPartCrashes    = 2
	minRequestCrashes = 3
	// crashGap is the minimum time between two crashes that count for a part. What ends several engines at the
	// same moment is not the prompt.
	crashGap = 250 * time.Millisecond
)

// suspect is a part with the crashes that it would explain.
type suspect struct {
	part    string
	crashes int
	// counted are the crashes that count, one for each endpoint.
	counted []countedCrash
	starts  int
	// position is the part's place in the prompt of the latest crash.
	position int
	// lastCounted is the time of the last crash that counts, lastCrash that of the last one.
	lastCounted, lastCrash clock.Instant
	// failedTrials is the number of crashes that came long after the one before.
	failedTrials int
}

// countedCrash is a crash that counts for a part.
type countedCrash struct {
	endpoint traffic.EndpointID
	// others are the endpoints that crashed too soon after it to count.
	others []traffic.EndpointID
}

// minCrashes returns the number of crashes that a part or request must explain to be quarantined.
func minCrashes(part string) int {
	if traffic.IsRequestKey(part) {
		return minRequestCrashes
	}
	return minPartCrashes
}

// judge returns the parts and requests to quarantine, given the records of crashes sorted by time and the recent starts
// of each part.
// It explains the crashes by as few parts as possible: the one that explains most of them comes first, and
// what it explains does not count for the others.
func judge(records []entry, starts func(part string) int) map[string]suspect {
	out := map[string]suspect{}
	explained := map[traffic.EndpointID]bool{}
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
		if s.crashes < minCrashes(part) || s.crashes < s.starts {
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
		if explained[r.Endpoint] || !r.isRequest() && calls[r.Call] {
			continue
		}
		if !r.isRequest() {
			calls[r.Call] = true
		}
		for i, part := range r.Parts {
			out[part] = out[part].withCrash(part, i, r)
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
func (s suspect) withCrash(part string, position int, r entry) suspect {
	switch {
	case s.crashes > 0 && !r.countsAfter(s.lastCounted):
		last := &s.counted[len(s.counted)-1]
		last.others = append(last.others, r.Endpoint)
	case s.makeCountable(r.Endpoint):
		s.crashes++
		s.counted = append(s.counted, countedCrash{endpoint: r.Endpoint})
		s.lastCounted = r.at
	}
	if s.crashes > minCrashes(part) && r.at.Sub(s.lastCrash) >= firstTrialDelay/2 {
		s.failedTrials++
	}
	s.part, s.position, s.lastCrash = part, position, r.at
	return s
}

// makeCountable reports whether one more crash of the endpoint counts. If one of its crashes counts already, that one
// must pass to an endpoint that crashed with it.
func (s *suspect) makeCountable(endpoint traffic.EndpointID) bool {
	i := s.find(endpoint)
	if i < 0 {
		return true
	}
	for _, other := range s.counted[i].others {
		if s.find(other) < 0 {
			s.counted[i].endpoint = other
			return true
		}
	}
	return false
}

// find returns the index of the endpoint's crash that counts, negative if there is none.
func (s *suspect) find(endpoint traffic.EndpointID) int {
	return slices.IndexFunc(s.counted, func(c countedCrash) bool { return c.endpoint == endpoint })
}

// countsAfter reports whether the crash counts besides an earlier one. A request must have been sent after that one;
// calls with the same part of a prompt may run at once, and need a time between their crashes.
func (r *entry) countsAfter(earlier clock.Instant) bool {
	if r.isRequest() {
		return r.at.Add(-r.Ran) >= earlier
	}
	return r.at.Sub(earlier) >= crashGap
}

const (
	// firstTrialDelay is the time from the last crash to the first trial of a quarantined part. Each failed
	// trial doubles it, up to maxTrialDelay.
	firstTrialDelay = time.Minute
	maxTrialDelay   = 15 * time.Minute
	// maxRequestTrials is the number of failed trials after which a request is not tried before its records expire.
	maxRequestTrials = 3
)

// trialAt returns when one call with the part may be tried.
func (s suspect) trialAt() clock.Instant {
	if traffic.IsRequestKey(s.part) && s.failedTrials >= maxRequestTrials {
		return s.lastCrash.Add(retention)
	}
	return s.lastCrash.Add(min(maxTrialDelay, firstTrialDelay<<min(s.failedTrials, 8)))
}
