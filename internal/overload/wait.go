package overload

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// waitKey identifies the calls that wait for the same capacity.
type waitKey struct {
	service string
	stage   uint8
	rank    int
}

// Waits decides which calls wait for capacity. It is not safe for concurrent use.
type Waits struct {
	records map[waitKey]*waitRecord
}

type waitRecord struct {
	// probing is set while a call waits to find out whether waiting calls are placed.
	probing bool
	// placedAt is when a call was last placed in time after it had waited, failedAt when one last was not.
	placedAt, failedAt clock.Instant
}

// NewWaits returns an empty Waits.
func NewWaits() *Waits { return &Waits{records: map[waitKey]*waitRecord{}} }

const (
	// waitMemory is how long the outcome of a wait counts.
	waitMemory = time.Second
	// waitFraction is the part of its latency target for which a call waits that may be refused, as its inverse.
	waitFraction = 8
)

// Wait is a call's permission to wait.
type Wait struct {
	// Limit is how long the call may wait.
	Limit time.Duration
	// Probe is set if the call finds out whether waiting calls are placed.
	Probe  bool
	record *waitRecord
}

// Begin returns how long a call may wait for capacity in a stage. For waitMemory after a call that waited was placed, calls
// may wait for full. For waitMemory after one was not, calls do not wait. Otherwise one call waits for full to find out,
// and the others wait for an eighth of their latency target.
func (w *Waits) Begin(now clock.Instant, service string, stage uint8, rank int, target, full time.Duration) Wait {
	key := waitKey{service, stage, clampRank(rank)}
	r := w.records[key]
	if r == nil {
		r = &waitRecord{}
		w.records[key] = r
	}
	placed := r.placedAt > 0 && now.Sub(r.placedAt) < waitMemory
	failed := r.failedAt > 0 && now.Sub(r.failedAt) < waitMemory
	short := min(full, target/waitFraction)
	switch {
	case placed && r.failedAt < r.placedAt:
		return Wait{Limit: full, record: r}
	case failed:
		return Wait{record: r}
	case !r.probing:
		r.probing = true
		return Wait{Limit: full, Probe: true, record: r}
	}
	return Wait{Limit: short, record: r}
}

// Abandon ends a wait that shows nothing, as the caller has gone.
func (w *Wait) Abandon() {
	if w.Probe {
		w.record.probing = false
	}
}

// End records how the wait ended: the call was placed, or not before its limit.
func (w *Wait) End(now clock.Instant, placed bool) {
	w.Abandon()
	switch {
	case placed:
		w.record.placedAt = now
	case w.Limit > 0:
		w.record.failedAt = now
	}
}
