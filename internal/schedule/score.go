package schedule

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// may reports whether an endpoint may be used for an ask at all.
func may(s *state, a *Ask) bool {
	return !s.Leaving && s.Stage == a.Stage && !a.avoids(s.ID)
}

// farMargin is the part of an engine's memory in another data centre that is left to calls
// which VMs there have placed and not told yet.
const farMargin = 0.2

// fits reports whether an endpoint has room for an ask.
func (t *table) fits(now clock.Instant, s *state, a *Ask) bool {
	if now.Before(s.closedUntil) {
		return false
	}
	if s.Slots > 0 && s.load(now).Calls >= s.Slots+queued(s) {
		return false
	}
	if a.Tokens == nil {
		return true
	}
	if a.Stage != traffic.Decode {
		return a.Patience <= 0 || s.total().Calls == 0 || t.expectedRead(now, s, a.Tokens.Prompt) <= a.Patience
	}
	room := s.room(now)
	if t.far(s) {
		room -= int64(farMargin * float64(s.engine.KVCapacity))
	}
	return decodeNeed(*a.Tokens) <= room
}

// farReadFactor is how many times as long as by what is known a prompt may take to be read in
// another data centre, as VMs of the others choose the same engine without telling at once.
const farReadFactor = 2.5

// expectedRead predicts how long the reading of a prompt takes.
func (t *table) expectedRead(now clock.Instant, s *state, prompt int64) time.Duration {
	d := s.readTime(now, prompt)
	if t.far(s) {
		return time.Duration(farReadFactor * float64(d))
	}
	return d
}

// queued is the number of calls beyond its slots that an endpoint may be given. Calls to plain
// services are short and wait there; engines are not made to queue.
func queued(s *state) int {
	if s.engine != nil {
		return 0
	}
	return s.Slots
}

const (
	// farCost is what another data centre costs an ask that states no sizes.
	farCost = 4 * time.Millisecond
	// farPrefillCost and farDecodeCost weigh the bytes of prompts, answers and KV caches that
	// go between data centres.
	farPrefillCost = 120 * time.Millisecond
	farDecodeCost  = 90 * time.Millisecond
	// callCost is what a call under way adds to the next one at a plain service, full at all
	// slots taken.
	callCost = 60 * time.Millisecond
	// memoryCost is what a full memory costs; it grows with the square of the part in use.
	memoryCost = 240 * time.Millisecond
	// failCost is what an endpoint costs that fails all calls.
	failCost = 600 * time.Millisecond
	// onceFailFactor raises it for calls that a failure loses.
	onceFailFactor = 3
	// reportAge is how long a stated load counts.
	reportAge = 300 * time.Millisecond
)

// score predicts what an endpoint costs an ask, in time.
func (t *table) score(now clock.Instant, s *state, a *Ask) time.Duration {
	cost := failScore(now, s, a)
	switch a.Stage {
	case traffic.Prefill:
		return cost + t.expectedRead(now, s, a.work().Tokens) + t.distance(s, a, farPrefillCost)
	case traffic.Decode:
		return cost + memoryScore(now, s, a) + t.distance(s, a, farDecodeCost)
	default:
		return cost + busyScore(now, s) + t.distance(s, a, farCost)
	}
}

func (t *table) distance(s *state, a *Ask, cost time.Duration) time.Duration {
	near := a.Near
	if near == "" {
		near = t.dataCentre
	}
	if s.DataCentre == near {
		return 0
	}
	return cost
}

func failScore(now clock.Instant, s *state, a *Ask) time.Duration {
	cost := time.Duration(s.health.rate(now) * float64(failCost))
	if a.Once {
		cost *= onceFailFactor
	}
	return cost
}

func memoryScore(now clock.Instant, s *state, a *Ask) time.Duration {
	if s.engine == nil || s.engine.KVCapacity <= 0 {
		return time.Duration(s.total().Calls) * time.Millisecond
	}
	part := float64(s.load(now).Tokens+a.work().Tokens) / float64(s.engine.KVCapacity)
	return time.Duration(part * part * float64(memoryCost))
}

func busyScore(now clock.Instant, s *state) time.Duration {
	calls := s.total().Calls
	if now.Sub(s.reportedAt) < reportAge {
		calls = max(calls, s.reported)
	}
	return callCost * time.Duration(calls) / time.Duration(max(1, s.Slots))
}
