// Package engine simulates a model engine: continuous batching over a fixed number of slots,
// sequential prefills whose results expire, a limited prefix cache, KV transfers over
// rate-limited links, and delayed load reports.
package engine

import (
	"cmp"
	"net/netip"
	"time"
)

// Options configures an engine. Zero values select the stated defaults.
type Options struct {
	// Role is prefill or decode. Default prefill.
	Role string
	// Model and Adapters are the names of the model and the adapters loaded at start.
	Model    string
	Adapters []string
	// Slots is the maximum number of concurrent decodes. Default 20.
	Slots int
	// The time between two tokens of a stream is GapBase plus GapPerSlot for each running decode.
	// Defaults 10 ms and 1 ms.
	GapBase, GapPerSlot time.Duration
	// PrefillTokensPerSecond is the prefill throughput. Default 20000.
	PrefillTokensPerSecond int64
	// ResultTTL is how long a prefill's result is retained. Default 800 ms.
	ResultTTL time.Duration
	// KVBytesPerToken is the size of the KV cache per token. Default 100000.
	KVBytesPerToken int64
	// LinkBytesPerSecond is the rate of the engine's link; 0 means unlimited.
	LinkBytesPerSecond int64
	// PieceTokens is the number of tokens in a piece of the prefix cache, CachePieces the cache's
	// capacity in pieces. Defaults 2048 and 256.
	PieceTokens int64
	CachePieces int
	// EventLag delays cache events. Every EventDropInterval-th event is dropped; 0 drops none.
	EventLag          time.Duration
	EventDropInterval uint64
	// ReportLag is how long ago the state in a load report was recorded. 0 reports the current state.
	ReportLag time.Duration
	// IgnoreFencingToken accepts configure requests with any fencing token.
	IgnoreFencingToken bool
	// FreeOnDisconnect frees the allocations of a request when its connection closes.
	FreeOnDisconnect bool
	// OrphanTimeout is how long the slot of a stream stays allocated after the client has
	// disconnected. Default 60 s.
	OrphanTimeout time.Duration
	// UserAgent is the User-Agent header of requests for KV cache exports from other engines.
	UserAgent string
	// WeightStore is the address of the platform's weight store. Without one, loading is immediate.
	WeightStore netip.AddrPort
}

const (
	rolePrefill = "prefill"
	// maxQueueLength is the maximum number of queued prefills, and of queued decodes.
	maxQueueLength = 512
	// heartbeatInterval is the interval between heartbeats on a response stream.
	heartbeatInterval = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Role = cmp.Or(o.Role, rolePrefill)
	o.Slots = cmp.Or(o.Slots, 20)
	o.GapBase = cmp.Or(o.GapBase, 10*time.Millisecond)
	o.GapPerSlot = cmp.Or(o.GapPerSlot, time.Millisecond)
	o.PrefillTokensPerSecond = cmp.Or(o.PrefillTokensPerSecond, 20000)
	o.ResultTTL = cmp.Or(o.ResultTTL, 800*time.Millisecond)
	o.KVBytesPerToken = cmp.Or(o.KVBytesPerToken, 100_000)
	o.PieceTokens = cmp.Or(o.PieceTokens, 2048)
	o.CachePieces = cmp.Or(o.CachePieces, 256)
	o.OrphanTimeout = cmp.Or(o.OrphanTimeout, time.Minute)
	return o
}
