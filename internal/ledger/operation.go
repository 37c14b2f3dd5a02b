package ledger

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// operationKind is the type of an operation sent to a shard owner.
type operationKind uint8

const (
	opBegin operationKind = iota + 1
	opFinish
	opAbandon
)

// operation is one request queued at the shard owner.
type operation struct {
	id          uint64
	kind        operationKind
	location    location
	fingerprint uint64
	nonce       string
	outcome     Outcome
	// wallTime is the owner's wall-clock time when the operation arrived.
	wallTime  time.Time
	arrivedAt clock.Instant
	deadline  clock.Instant
	// arrivalStep is the step of the owner in which the operation arrived.
	arrivalStep uint64
	// writeIssued is set once a write that contains this operation has been issued.
	writeIssued bool
}

// intentRecord returns the record that a begin operation stages.
func (op *operation) intentRecord() record {
	return record{Hash: op.location.hash[:], Fingerprint: op.fingerprint, State: stateIntent, Nonce: op.nonce}
}

// result is the result of an operation. outcome is set for a begin operation whose commit already
// ran.
type result struct {
	outcome *Outcome
	err     error
	// notRecorded is set with err if the operation was definitely not recorded.
	notRecorded bool
}

// conclusive reports whether the result is final, so that no further owner needs to be tried.
func (r result) conclusive() bool {
	if r.err == nil {
		return true
	}
	switch fault.KindOf(r.err) {
	case fault.Unavailable, fault.Timeout, fault.Stopping:
		return false
	}
	return true
}

var (
	errConflict         = fault.New(fault.Conflict, "use a new key for each commit", "the Idempotency-Key was already used for a different request; this one was not run")
	errOutcomeUnknown   = fault.New(fault.OutcomeUnknown, "retry with the same key to get the outcome, or check with the service; do not use a new key", "an earlier call with this Idempotency-Key was let run and its outcome is not known", fault.WithExecution(fault.ExecutionUnknown), fault.WithRetryAfter(time.Second))
	errPageFull         = fault.New(fault.Overloaded, "retry with the same key, or with a new one if this is the first call", "the ledger page for this key is full; this call did not run the commit", fault.WithRetryAfter(PageWindow))
	errQueueFull        = fault.New(fault.Overloaded, "retry with the same key", "too many operations are waiting for the ledger; this call did not run the commit", fault.WithRetryAfter(time.Second))
	errStoreUnavailable = fault.New(fault.Unavailable, "retry with the same key; an earlier call may have run", "the ledger could not be written in time; this call did not run the commit", fault.WithRetryAfter(time.Second))
	errAbandoned        = fault.New(fault.Unavailable, "retry with the same key", "this attempt was abandoned; this call did not run the commit")
	errOtherAttempt     = fault.New(fault.Conflict, "none; the record of the other attempt remains in force", "the ledger contains a different attempt for this commit")
	errNoRecord         = fault.New(fault.Expired, "none; this key is no longer accepted", "the ledger no longer contains this commit", fault.WithExecution(fault.ExecutionUnknown))
	errNotConfirmed     = fault.New(fault.Unavailable, "none; the next read by the owner resolves it", "the ledger could not be written in time", fault.WithExecution(fault.ExecutionUnknown))
)

// timeoutResult returns the result of an operation whose deadline has passed.
func (op *operation) timeoutResult() result {
	r := noDecision(op.kind)
	r.notRecorded = !op.writeIssued
	return r
}

// noDecision returns the result of an operation that the owner has not decided.
func noDecision(kind operationKind) result {
	if kind == opBegin {
		return result{err: errStoreUnavailable}
	}
	return result{err: errNotConfirmed}
}

// String returns the name used in logs and metrics.
func (k operationKind) String() string {
	switch k {
	case opBegin:
		return "begin"
	case opFinish:
		return "finish"
	case opAbandon:
		return "abandon"
	}
	return "unknown"
}
