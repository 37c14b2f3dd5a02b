// Package ledger sees to it that a commit runs at most once: an intent is recorded in the
// platform before the call, and a repeat gets the first call's outcome or a refusal.
//
// Records live in a fixed ring of platform objects. A key, a UUID of version 7, carries the
// time of its issue, which chooses its shard's page in the ring. The live VM that owns a shard
// gathers what arrives and writes it with one conditional update; the object's version keeps
// two owners apart, and the attempt's nonce settles a write whose answer was lost. A page that
// the ring has come round to says so by its window, so a forgotten key is refused, never run.
package ledger

import "context"

// Intent names one commit.
type Intent struct {
	Workspace string `msgpack:"w"`
	// Key is the caller's Idempotency-Key, a UUID of version 7.
	Key string `msgpack:"k"`
	// Fingerprint is a hash of method, path and body: the same key with another
	// fingerprint is refused as Conflict.
	Fingerprint uint64 `msgpack:"f"`
	// Nonce names this attempt (a request id), to settle a lost answer by reading back.
	// It serves one Begin; a later attempt takes another.
	Nonce string `msgpack:"n"`
}

// Outcome is the recorded answer of a commit.
type Outcome struct {
	// Status is the HTTP status, 0 while the outcome is not known.
	Status int `msgpack:"s"`
	// ContentType and Body are the answer; Truncated says that Body was too long to keep.
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	Truncated   bool   `msgpack:"x,omitempty"`
}

// MaxOutcomeBody is the most of an answer's body that is kept, in bytes.
const MaxOutcomeBody = 2048

// MaxContentType is the longest content type that is kept, in bytes.
const MaxContentType = 128

// MaxNonce is the longest nonce, in bytes.
const MaxNonce = 128

// Ledger records commits.
type Ledger interface {
	// Begin records the intent. A nil outcome means: run it now, once. An outcome means: it ran
	// before, this is the answer. It fails as OutcomeUnknown when an earlier attempt has no
	// known outcome, Conflict, Expired, Malformed, Overloaded or Unavailable: this call did not
	// run and must not be run under this nonce any more.
	Begin(ctx context.Context, in Intent) (*Outcome, error)
	// Finish hands over the outcome of a commit that Begin let run. It does not wait for the
	// record, which is written with one of the next batches and tried again for a while.
	Finish(ctx context.Context, in Intent, out Outcome) error
	// Abandon says that a commit that Begin let run was surely never given to an endpoint and
	// never will be under this nonce, so that a repeat may run. It does not wait either.
	Abandon(ctx context.Context, in Intent) error
}
