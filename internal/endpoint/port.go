// Package endpoint defines the interface to model engines, with a client that speaks HTTP, and a
// client for plain services, which are services that are not model engines.
package endpoint

import (
	"context"
	"net/netip"
	"time"
)

// Attempt identifies one attempt to run a request; frames of other attempts are dropped.
type Attempt struct {
	// RequestID is the string form of the ident.RequestID.
	RequestID string `json:"request"`
	// Number counts the attempts at one stage, starting at 1.
	Number uint32 `json:"number"`
}

// PrefillRequest asks an engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt Attempt `json:"attempt"`
	Model   string  `json:"model"`
	Adapter string  `json:"adapter,omitempty"`
	// Prompt is the text of the prompt, Tokens its length in tokens.
	Prompt string `json:"prompt"`
	Tokens int64  `json:"tokens"`
	// Pieces are the hashes of the prompt's prefix pieces. Each hash covers all text up to the end
	// of its piece.
	Pieces []uint64 `json:"pieces,omitempty"`
	// Priority orders requests at the engine; lower numbers run first.
	Priority int `json:"priority"`
}

// PrefillResult identifies the KV cache of a computed prompt and states how long the engine
// retains it.
type PrefillResult struct {
	Attempt      Attempt `json:"attempt"`
	Handle       string  `json:"handle"`
	TTLMillis    int64   `json:"keep_millis"`
	CachedTokens int64   `json:"cached_tokens"`
	KVBytes      int64   `json:"kv_bytes"`
}

// DecodeRequest asks an engine to import the KV cache of a prefill and to generate tokens from Offset
// on.
type DecodeRequest struct {
	Attempt Attempt `json:"attempt"`
	Model   string  `json:"model"`
	Adapter string  `json:"adapter,omitempty"`
	// Source is the address of the prefill endpoint, Handle the KV cache that it retains.
	Source netip.AddrPort `json:"source"`
	Handle string         `json:"handle"`
	// Offset is the first token to generate; the tokens before it were already delivered.
	Offset    int64 `json:"offset"`
	MaxTokens int64 `json:"max_tokens"`
	Priority  int   `json:"priority"`
}

// Frame is one message of a decode stream. The first frame has Started set and carries no token.
type Frame struct {
	Attempt Attempt `json:"attempt"`
	// Started is set once the KV cache has been imported and the copy at the prefill engine freed.
	Started bool `json:"started,omitempty"`
	// Offset is the position of the token in Text, starting at 0.
	Offset int64  `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Done is set in the last frame of a complete response; FinishReason is then stop or length.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish,omitempty"`
}

// Stream yields the frames of one decode. Next fails with kind Unavailable when the stream is
// interrupted, inactive for InactivityTimeout or malformed, with Timeout when the deadline of ctx
// passes, with Cancelled when ctx is cancelled or the stream is closed, and with TooLarge when a line
// is too long. If the engine reports an error, Next returns it.
type Stream interface {
	Next(ctx context.Context) (Frame, error)
	Close()
}

// Load is the load that an engine reports about itself. It may be out of date.
type Load struct {
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	QueueTokens int64  `json:"queue_tokens"`
	HeldBytes   int64  `json:"held_bytes"`
	Role        string `json:"role"`
	// Models and Adapters are those that are loaded.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// AgeMillis is the age of the report.
	AgeMillis int64 `json:"age_millis"`
}

// Allocation is engine memory that is allocated to one request.
type Allocation struct {
	Attempt Attempt `json:"attempt"`
	// Stage is prefill, kept, import or decode.
	Stage     string `json:"stage"`
	Bytes     int64  `json:"bytes"`
	AgeMillis int64  `json:"age_millis"`
	// Attached is set while the connection on which the request arrived is open.
	Attached bool `json:"attached"`
}

// StageKept is the stage of a prefill result that has not been fetched yet. It expires by itself.
const StageKept = "kept"

// CacheEvent reports that a prefix piece was added to or removed from an engine's cache. Events are
// delayed, and some are missing, which shows as a gap in Seq.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Piece   uint64 `json:"piece"`
	Present bool   `json:"present"`
}

// ConfigureRequest changes what an engine serves. Engines that check fencing tokens reject a
// FencingToken lower than one they have seen.
type ConfigureRequest struct {
	FencingToken uint64 `json:"fence"`
	// Action is load_model, load_adapter, unload_adapter or set_role.
	Action string `json:"action"`
	// Target is the name of the model, adapter or role.
	Target string `json:"target"`
}

// Engine is a client of one model engine.
type Engine interface {
	Prefill(ctx context.Context, r PrefillRequest) (PrefillResult, error)
	// Decode returns once the engine has accepted the request; the KV cache may still be importing.
	Decode(ctx context.Context, r DecodeRequest) (Stream, error)
	// Cancel frees all memory that the engine holds for a request. It is idempotent.
	Cancel(ctx context.Context, request string) error
	Load(ctx context.Context) (Load, error)
	Allocations(ctx context.Context) ([]Allocation, error)
	// Events returns the cache events that follow the sequence number after. It waits up to
	// EventsPollTimeout for the first one.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Configure(ctx context.Context, r ConfigureRequest) error
}

// Dialer returns the client of the engine at an address. Clients are cheap to create and share
// connections.
type Dialer interface {
	Engine(addr netip.AddrPort) Engine
}

const (
	// HeartbeatInterval is the longest time between two messages that an engine sends on a stream while it works.
	HeartbeatInterval = 500 * time.Millisecond
	// MaxPause is the longest silence of a healthy engine after a message was due.
	MaxPause = 1500 * time.Millisecond
	// InactivityTimeout is how long an engine may send nothing on a stream before the stream counts as
	// interrupted.
	InactivityTimeout = HeartbeatInterval + MaxPause
)
