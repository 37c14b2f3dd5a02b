// Package engine stands in for a model engine: continuous batching over a fixed number of
// slots, prefill one at a time, results kept for a short time, a limited prefix cache, KV
// transfers over links of limited rate and reports that lag.
package engine

import (
	"cmp"
	"net/netip"
	"time"
)

// Options size an engine. Zero values take the defaults that are named.
type Options struct {
	// Role is prefill or decode.
	Role string
	// Model is the name of the model that is loaded at the start, Adapters those beside it.
	Model    string
	Adapters []string
	// Slots is the most requests decoded at once. Default 20.
	Slots int
	// GapBase and GapPerSlot give the time between tokens. Defaults 10 ms and 1 ms.
	GapBase, GapPerSlot time.Duration
	// PrefillTokensPerSecond is the speed of prefill. Default 20000.
	PrefillTokensPerSecond int64
	// Keep is how long a prefill's result is kept. Default 800 ms.
	Keep time.Duration
	// KVBytesPerToken sizes transfers. Default 100000.
	KVBytesPerToken int64
	// LinkBytesPerSecond is the rate of the engine's link; 0 is without limit.
	LinkBytesPerSecond int64
	// PieceTokens is the size of a piece of the prefix cache, CachePieces the cache's size.
	// Defaults 2048 and 256.
	PieceTokens int64
	CachePieces int
	// EventLag is how late cache events come; one in EventGap is never shown. 0 shows all.
	EventLag time.Duration
	EventGap uint64
	// ReportLag is how old load reports are.
	ReportLag time.Duration
	// IgnoreFence takes orders whatever their fence.
	IgnoreFence bool
	// FreeOnDisconnect frees what a request holds when its connection breaks.
	FreeOnDisconnect bool
	// OrphanHold is how long the slot of a finished stream that nobody read stays held.
	// Default 60 s.
	OrphanHold time.Duration
	// UserAgent is sent with pulls from other engines.
	UserAgent string
	// Weights is the platform's weight store; without one, loading takes no time.
	Weights netip.AddrPort
}

const (
	rolePrefill = "prefill"
	// maxQueue is the most orders of each kind that wait.
	maxQueue = 512
	// heartbeat is the time between signs of life on a quiet stream.
	heartbeat = 500 * time.Millisecond
)

func (o Options) withDefaults() Options {
	o.Role = cmp.Or(o.Role, rolePrefill)
	o.Slots = cmp.Or(o.Slots, 20)
	o.GapBase = cmp.Or(o.GapBase, 10*time.Millisecond)
	o.GapPerSlot = cmp.Or(o.GapPerSlot, time.Millisecond)
	o.PrefillTokensPerSecond = cmp.Or(o.PrefillTokensPerSecond, 20000)
	o.Keep = cmp.Or(o.Keep, 800*time.Millisecond)
	o.KVBytesPerToken = cmp.Or(o.KVBytesPerToken, 100_000)
	o.PieceTokens = cmp.Or(o.PieceTokens, 2048)
	o.CachePieces = cmp.Or(o.CachePieces, 256)
	o.OrphanHold = cmp.Or(o.OrphanHold, time.Minute)
	return o
}
