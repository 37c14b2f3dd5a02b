package backend

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// LifetimeOutcome says whether a response came from the lifetime of its endpoint that the entry of the table describes. An endpoint
// that is back under its id may have another software version, which the table does not show at once.
type LifetimeOutcome string

// The outcomes. Only an open one may still change.
const (
	// LifetimeOpen means that it is not known yet.
	LifetimeOpen LifetimeOutcome = "open"
	// LifetimeReported means that the endpoint named the start time of the entry after the connection was open.
	LifetimeReported LifetimeOutcome = "reported"
	// LifetimeGone means that the table lacks the entry and the endpoint does not answer, LifetimeOther that it has started again,
	// before it was known.
	LifetimeGone  LifetimeOutcome = "not listed"
	LifetimeOther LifetimeOutcome = "other start time"
)

// Confirmed reports whether the response came from the lifetime of the entry.
func (o LifetimeOutcome) Confirmed() bool { return o == LifetimeReported }

// LifetimeEvidence is what is known of the lifetime that a response came from. It is safe for concurrent use.
type LifetimeEvidence interface {
	// Look returns what is known now.
	Look() LifetimeOutcome
	// Seek asks the endpoint and does not wait for its answer. It may be called often.
	Seek()
}

// lifetimePoll is the time between two looks at evidence that is awaited.
const lifetimePoll = 20 * time.Millisecond

// AwaitLifetime seeks evidence until the outcome is not open any more, or ctx ends.
func AwaitLifetime(ctx context.Context, e LifetimeEvidence) LifetimeOutcome {
	for {
		if o := e.Look(); o != LifetimeOpen {
			return o
		}
		e.Seek()
		if !clock.Sleep(ctx, lifetimePoll) {
			return e.Look()
		}
	}
}
