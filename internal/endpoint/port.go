// Package endpoint is the narrow port to model engines and plain services.
package endpoint

import (
	"context"
	"net/netip"
	"time"
)

// Attempt names one try at a request; a frame of another attempt is dropped.
type Attempt struct {
	// Request is ident.RequestID in its string form.
	Request string `json:"request"`
	// Number counts the tries of one stage from 1.
	Number uint32 `json:"number"`
}

// PrefillOrder asks an engine to compute a prompt.
type PrefillOrder struct {
	Attempt Attempt `json:"attempt"`
	Model   string  `json:"model"`
	Adapter string  `json:"adapter,omitempty"`
	// Prompt is the text; Tokens its length in tokens.
	Prompt string `json:"prompt"`
	Tokens int64  `json:"tokens"`
	// Pieces are the hashes of the prompt's prefix pieces, each over all text up to its end.
	Pieces []uint64 `json:"pieces,omitempty"`
	// Priority: a lower number goes first.
	Priority int `json:"priority"`
}

// PrefillResult tells where a computed prompt is kept, and for how long.
type PrefillResult struct {
	Attempt      Attempt `json:"attempt"`
	Handle       string  `json:"handle"`
	KeepMillis   int64   `json:"keep_millis"`
	CachedTokens int64   `json:"cached_tokens"`
	KVBytes      int64   `json:"kv_bytes"`
}

// DecodeOrder asks an engine to import a prefill's result and to generate from Offset on.
type DecodeOrder struct {
	Attempt Attempt `json:"attempt"`
	Model   string  `json:"model"`
	Adapter string  `json:"adapter,omitempty"`
	// Source is the prefill endpoint and Handle what it keeps.
	Source netip.AddrPort `json:"source"`
	Handle string         `json:"handle"`
	// Offset is the first token wanted; those before it were given already.
	Offset    int64 `json:"offset"`
	MaxTokens int64 `json:"max_tokens"`
	Priority  int   `json:"priority"`
}

// Frame is one message of a decode stream. The first has Started set and carries no token.
type Frame struct {
	Attempt Attempt `json:"attempt"`
	// Started: the KV cache was imported and the prefill's copy freed.
	Started bool `json:"started,omitempty"`
	// Offset is the number of the token in Text, from 0.
	Offset int64  `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Done closes a whole answer; Finish is stop or length.
	Done   bool   `json:"done,omitempty"`
	Finish string `json:"finish,omitempty"`
}

// Stream gives the frames of one decode. Next fails as Unavailable when the stream breaks.
type Stream interface {
	Next(ctx context.Context) (Frame, error)
	Close()
}

// Load is an engine's own, lagging, report.
type Load struct {
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	QueueTokens int64  `json:"queue_tokens"`
	HeldBytes   int64  `json:"held_bytes"`
	Role        string `json:"role"`
	// Models and Adapters that are loaded.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// AgeMillis is how old the report is.
	AgeMillis int64 `json:"age_millis"`
}

// Holding is engine memory held for one request.
type Holding struct {
	Attempt Attempt `json:"attempt"`
	// Stage is prefill, kept, import or decode.
	Stage     string `json:"stage"`
	Bytes     int64  `json:"bytes"`
	AgeMillis int64  `json:"age_millis"`
	// Attached: the connection on which the order came is still open.
	Attached bool `json:"attached"`
}

// StageKept is the stage of a prefill's result that waits to be fetched. It lapses by itself.
const StageKept = "kept"

// CacheEvent tells that a prefix piece entered or left an engine's cache. Events come late
// and with gaps: a jump in Seq.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Piece   uint64 `json:"piece"`
	Present bool   `json:"present"`
}

// Order changes what an engine serves. Engines that check fencing refuse a Fence lower
// than one they have seen.
type Order struct {
	Fence uint64 `json:"fence"`
	// Action is load_model, load_adapter, unload_adapter or set_role.
	Action string `json:"action"`
	// Target is the model, adapter or role.
	Target string `json:"target"`
}

// Engine is one model engine.
type Engine interface {
	Prefill(ctx context.Context, o PrefillOrder) (PrefillResult, error)
	// Decode returns once the engine has taken the order; the import is under way.
	Decode(ctx context.Context, o DecodeOrder) (Stream, error)
	// Cancel frees all that the engine holds for a request. It is idempotent.
	Cancel(ctx context.Context, request string) error
	Load(ctx context.Context) (Load, error)
	Held(ctx context.Context) ([]Holding, error)
	// Events waits for cache events after seq, for a bounded time.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, o Order) error
}

// Dialer gives the engine at an address. Engines are cheap to make and share connections.
type Dialer interface {
	Engine(addr netip.AddrPort) Engine
}

// SilenceLimit is how long an engine's stream may stay silent before it counts as broken.
const SilenceLimit = 1500 * time.Millisecond
