// Package lifetime decides whether a connection to an endpoint leads to the process that the endpoint's entry describes. An endpoint may
// start again under its id with another software version, and accept connections long before its entry says so. Only what a process
// says of itself tells which one accepted a connection; that an entry is listed does not.
package lifetime

import (
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Answer says what an endpoint answered to the question for its start time.
type Answer string

// Values of Answer.
const (
	// Same means that it named the start time of its entry, Other that it named another one, or is another instance.
	Same  Answer = "reported"
	Other Answer = "other start time"
	// None means that there was no answer, or one that names no start time.
	None Answer = "not known"
)

// Report is the outcome of one question to an endpoint.
type Report struct {
	// Opened is a time by which the connection of the answer was not open yet, or just open, ReceivedAt when the outcome was known.
	Opened, ReceivedAt time.Time
	Answer             Answer
	// StartedAt is the start time that the endpoint named, nil if it named none.
	StartedAt *int64
}

const (
	// minPause is the time between two questions to an endpoint. It doubles with each question without an answer, maxDoublings times
	// at most.
	minPause     = 200 * time.Millisecond
	maxDoublings = 3
	// limitedPause is the time between two questions to an endpoint that limits its requests.
	limitedPause = 4 * time.Second
	// maxEndpoints is the number of endpoints from which on reports that are not needed any more are removed.
	maxEndpoints = 1 << 12
	// needed is the time after which what an endpoint said is removed unless it was asked again.
	needed = time.Minute
)

// Said is what an endpoint has said of its start time.
type Said struct {
	// ConfirmedAt is when the last connection was opened on which it named the start time of its entry.
	ConfirmedAt time.Time
	// otherOpened is when the last connection was opened on which it answered with another one, otherStart that one if it is known, and
	// otherSince when that was first received.
	otherOpened time.Time
	otherStart  *int64
	otherSince  time.Time
	// askedAt is when it was last asked, unanswered the number of questions without an answer since the last one.
	askedAt    time.Time
	unanswered int
	// silentAt is when the last question counted as unanswered.
	silentAt time.Time
	// limited is set while it names a limit of requests, pausedUntil is until when it wants none.
	limited     bool
	pausedUntil time.Time
}

// Outcome decides whether a connection that was opened at a time leads to the lifetime of the entry, if it is not known from an answer on
// it. One process accepts connections at a time, so that the process of the entry, which had started before the request was sent, accepted
// the connection if it accepted a later one. listed says whether the table has the entry.
func (s Said) Outcome(opened time.Time, listed bool) backend.LifetimeOutcome {
	switch {
	case s.ConfirmedAt.After(opened):
		return backend.LifetimeReported
	case s.otherOpened.After(opened):
		return backend.LifetimeOther
	case !listed && s.unanswered > 0:
		return backend.LifetimeGone
	}
	return backend.LifetimeOpen
}

// AcceptedBefore reports whether the process with a start time is known to have accepted connections before a time, although the entry is
// of another.
func (s Said) AcceptedBefore(startedAt int64, t time.Time) bool {
	return s.otherStart != nil && *s.otherStart == startedAt && s.otherSince.Before(t)
}

// Reports holds what endpoints have said, by the ids that requests named. It is safe for concurrent use.
type Reports struct {
	mu sync.Mutex
	of map[traffic.EndpointID]Said
}

// Of returns what an endpoint has said.
func (r *Reports) Of(id traffic.EndpointID) Said {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.of[id]
}

// MayAsk reports whether an endpoint may be asked now, and records that it is.
func (r *Reports) MayAsk(id traffic.EndpointID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of[id]
	if !s.askedAt.IsZero() && now.Sub(s.askedAt) < s.pause() || now.Before(s.pausedUntil) {
		return false
	}
	s.askedAt = now
	r.put(id, s, now)
	return true
}

// pause returns the time until the next question.
func (s Said) pause() time.Duration {
	if s.limited {
		return limitedPause
	}
	return minPause << min(s.unanswered, maxDoublings)
}

// Answers reports whether an endpoint may be asked by a request that waits for the answer: not soon after one that did not come, and not
// while it limits its requests, as questions would add to them.
func (r *Reports) Answers(id traffic.EndpointID, now time.Time) bool {
	s := r.Of(id)
	return !s.limited && !now.Before(s.pausedUntil) && (s.unanswered == 0 || now.Sub(s.askedAt) >= s.pause())
}

// Hear records what an endpoint says about itself in a response: whether it limits its requests, and for how long it wants none.
func (r *Reports) Hear(id traffic.EndpointID, limited bool, pause time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, known := r.of[id]
	if !known && !limited && pause == 0 {
		return
	}
	if s.limited = limited; pause > 0 {
		s.pausedUntil = now.Add(pause)
	}
	r.put(id, s, now)
}

// Add records the outcome of a question.
func (r *Reports) Add(id traffic.EndpointID, report Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.of[id]
	sinceSilent := report.ReceivedAt.Sub(s.silentAt)
	s.askedAt = later(s.askedAt, report.ReceivedAt)
	switch report.Answer {
	case Same:
		s.unanswered, s.ConfirmedAt = 0, later(s.ConfirmedAt, report.Opened)
	case Other:
		s.unanswered, s.otherOpened = 0, later(s.otherOpened, report.Opened)
		if report.StartedAt != nil && (s.otherStart == nil || *s.otherStart != *report.StartedAt) {
			s.otherStart, s.otherSince = report.StartedAt, report.ReceivedAt
		}
	case None:
		if s.unanswered == 0 || sinceSilent >= s.pause() { // questions at the same time count once
			s.unanswered++
			s.silentAt = report.ReceivedAt
		}
	}
	r.put(id, s, report.ReceivedAt)
}

// put stores what an endpoint has said. r.mu must be held.
func (r *Reports) put(id traffic.EndpointID, s Said, now time.Time) {
	if r.of == nil {
		r.of = map[traffic.EndpointID]Said{}
	}
	if len(r.of) >= maxEndpoints {
		for other, said := range r.of {
			if now.Sub(said.askedAt) > needed {
				delete(r.of, other)
			}
		}
	}
	r.of[id] = s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
