package schedule

import (
	"math"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// failStep is the weight of one outcome in the rate of failures.
	failStep = 0.3
	// errStep is that of an error of the endpoint's own, some of which are the calls'.
	errStep = 0.15
	// failHalfLife is the time in which the rate of failures falls by half without outcomes.
	failHalfLife = 4 * time.Second
	// minEjection is the first time for which a dead endpoint is left alone; it doubles with
	// each failure in a row up to maxEjection.
	minEjection = 700 * time.Millisecond
	maxEjection = 5 * time.Second
)

// Outcome is how a send ended, as far as the endpoint's health goes.
type Outcome uint8

// The outcomes.
const (
	// Good: the endpoint answered.
	Good Outcome = iota
	// Erred: the endpoint answered with an error of its own.
	Erred
	// Failed: the endpoint broke off.
	Failed
	// Dead: the endpoint took no connection or gave no sign in time.
	Dead
	// Moving: the endpoint was ordered to change its stage, and takes no work meanwhile.
	Moving
)

// String gives the name that log lines show.
func (o Outcome) String() string {
	if int(o) < len(outcomes) {
		return outcomes[o]
	}
	return "unknown"
}

var outcomes = [...]string{"good", "erred", "failed", "dead", "moving"}

// health judges an endpoint by what calls to it showed.
type health struct {
	failing float64
	judged  clock.Instant
	// dead counts dead outcomes in a row.
	dead  int
	until clock.Instant
}

func (h *health) rate(now clock.Instant) float64 {
	return h.failing * math.Exp2(-float64(now.Sub(h.judged))/float64(failHalfLife))
}

func (h *health) record(now clock.Instant, o Outcome) {
	was := h.rate(now)
	h.judged = now
	if o == Good {
		h.failing, h.dead = was*(1-failStep), 0
		return
	}
	step := failStep
	if o == Erred {
		step = errStep
	}
	h.failing = was + (1-was)*step
	if o != Dead {
		return
	}
	if now.Before(h.until) {
		return // one fault seen by several calls
	}
	h.until = now.Add(min(maxEjection, minEjection<<min(h.dead, 8)))
	h.dead++
}

// ejected reports whether the endpoint is to be left alone.
func (h *health) ejected(now clock.Instant) bool { return h.dead > 0 && now.Before(h.until) }
