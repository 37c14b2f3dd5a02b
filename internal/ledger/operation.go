package ledger

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// operationKind is what a caller's VM asks of a shard's owner.
type operationKind uint8

const (
	opBegin operationKind = iota + 1
	opFinish
	opAbandon
)

// operation is one request that waits at the owner.
type operation struct {
	id          uint64
	kind        operationKind
	place       place
	fingerprint uint64
	nonce       string
	outcome     Outcome
	// wall is the owner's wall clock when the operation came.
	wall     time.Time
	arrived  clock.Instant
	deadline clock.Instant
	// step is the owner's step in which the operation came.
	step uint64
	// issued says that a write with this operation was issued.
	issued bool
}

// intent gives the record that a begin stages.
func (op *operation) intent() record {
	return record{Hash: op.place.hash[:], Fingerprint: op.fingerprint, State: stateIntent, Nonce: op.nonce}
}

// result answers an operation. Outcome is set for a begin whose key ran before.
type result struct {
	outcome *Outcome
	err     error
	// clean says of an error that the operation surely left no record.
	clean bool
}

// settled is false when another owner may do better.
func (r result) settled() bool {
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
	errConflict   = fault.New(fault.Conflict, "make a new key for each different commit", "Idempotency-Key was used for another request; this one was not run")
	errUnknown    = fault.New(fault.OutcomeUnknown, "repeat with the same key for the outcome, or ask the service; do not make a new key", "an earlier call with this Idempotency-Key was let run and its outcome is not known", fault.WithExecution(fault.ExecutionUnknown), fault.WithRetryAfter(time.Second))
	errPageFull   = fault.New(fault.Overloaded, "repeat with the same key, or with a new one if this is the first call", "the ledger's page for this key is full; not run by this call", fault.WithRetryAfter(Window))
	errQueueFull  = fault.New(fault.Overloaded, "repeat with the same key", "too many commits wait for the ledger; not run by this call", fault.WithRetryAfter(time.Second))
	errStoreAway  = fault.New(fault.Unavailable, "repeat with the same key; an earlier call may have run", "the ledger could not be written in time; not run by this call", fault.WithRetryAfter(time.Second))
	errAbandoned  = fault.New(fault.Unavailable, "repeat with the same key", "this attempt was given up; not run by this call")
	errOther      = fault.New(fault.Conflict, "none: the record of the other attempt stands", "the ledger holds another attempt of this commit")
	errForgotten  = fault.New(fault.Expired, "none: the key is refused from now on", "the ledger no longer holds this commit", fault.WithExecution(fault.ExecutionUnknown))
	errNoRecovery = fault.New(fault.Unavailable, "none: the owner's next read settles it", "the ledger could not be written in time", fault.WithExecution(fault.ExecutionUnknown))
)

// expired is the answer to an operation whose deadline passed.
func (op *operation) expired() result {
	r := unanswered(op.kind)
	r.clean = !op.issued
	return r
}

// unanswered is the end of an operation that the owner said nothing about.
func unanswered(kind operationKind) result {
	if kind == opBegin {
		return result{err: errStoreAway}
	}
	return result{err: errNoRecovery}
}

// String gives the kind's name, as log lines and metrics show it.
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
