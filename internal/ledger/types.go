// Package ledger sees to it that a commit runs at most once: an intent is recorded in the
// platform before the call, and a repeat gets the first call's outcome or a refusal.
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

// Ledger records commits.
type Ledger interface {
	// Begin records the intent. A nil outcome means: run it now, once. An outcome means: it ran
	// before, this is the answer. It fails as OutcomeUnknown when an earlier attempt has no
	// known outcome, Conflict, TooOld, Malformed, or Unavailable: not run.
	Begin(ctx context.Context, in Intent) (*Outcome, error)
	// Finish records the outcome of a commit that Begin let run.
	Finish(ctx context.Context, in Intent, out Outcome) error
}
