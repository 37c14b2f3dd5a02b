// Package ledger ensures that a commit runs at most once. It records an intent in the platform's
// object store before the commit is executed; a repeated call receives the outcome of the first
// call or an error.
//
// Records are stored in a fixed ring of objects, called pages. Idempotency keys are version 7
// UUIDs, whose timestamp selects the page within the key's shard. The live VM that owns a shard
// batches operations and writes each batch with one conditional update. The object version
// detects concurrent owners, and the nonce of each attempt shows whether a write without a
// response took effect. Each page stores its time window: once a page has been reused for a later
// window, keys of the earlier window are rejected and never run.
package ledger

import "context"

// Intent identifies one attempt at a commit.
type Intent struct {
	Workspace string `msgpack:"w"`
	// Key is the caller's Idempotency-Key, a version 7 UUID.
	Key string `msgpack:"k"`
	// Fingerprint is a hash of method, path and body. Reusing a key with a different
	// fingerprint fails with Conflict.
	Fingerprint uint64 `msgpack:"f"`
	// Nonce identifies this attempt (the request ID). If the response to a write is lost, the
	// owner reads the page again and looks for the nonce. It is valid for one Begin; each
	// further attempt needs a new nonce.
	Nonce string `msgpack:"n"`
}

// Outcome is the recorded response to a commit.
type Outcome struct {
	// Status is the HTTP status code, or 0 while the outcome is unknown.
	Status int `msgpack:"s"`
	// ContentType and Body are those of the response. Truncated is set if Body was dropped
	// because it exceeded a size limit.
	ContentType string `msgpack:"t,omitempty"`
	Body        []byte `msgpack:"b,omitempty"`
	Truncated   bool   `msgpack:"x,omitempty"`
}

// MaxOutcomeBody is the maximum size of a stored response body in bytes.
const MaxOutcomeBody = 2048

// MaxContentType is the maximum length of a stored content type in bytes.
const MaxContentType = 128

// MaxNonce is the maximum length of a nonce in bytes.
const MaxNonce = 128

// Ledger records the intents and outcomes of commits.
type Ledger interface {
	// Begin records the intent. If it returns a nil outcome and no error, the caller must run the
	// commit once. A non-nil outcome is that of an earlier run. Begin fails with OutcomeUnknown if
	// the outcome of an earlier attempt is unknown, or with Conflict, Expired, Malformed,
	// Overloaded or Unavailable. After an error the commit must not be run with this nonce.
	Begin(ctx context.Context, in Intent) (*Outcome, error)
	// Finish records the outcome of a commit that Begin allowed to run. It does not wait for the
	// write, which is part of a later batch and is retried for a limited time.
	Finish(ctx context.Context, in Intent, out Outcome) error
	// Abandon records that a commit that Begin allowed to run was never sent to an endpoint and
	// will not be sent with this nonce, which allows a repeated call to run it. Like Finish, it
	// does not wait for the write.
	Abandon(ctx context.Context, in Intent) error
}
