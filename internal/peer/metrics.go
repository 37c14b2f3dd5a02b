package peer

import (
	"sync/atomic"
	"time"
)

// The reasons for which a connection of another VM is refused or closed by this one.
const (
	// reasonAccept means that the kernel gave no connection, mostly for want of descriptors.
	reasonAccept = "accept"
	// reasonFirstFrame means that no valid first frame came in time.
	reasonFirstFrame = "first_frame"
	// reasonUnnamed means that a connection without a first frame gave way to others.
	reasonUnnamed = "unnamed"
	// reasonConnections and reasonPerAddress mean that there were too many connections in all or from one address, and reasonSilent
	// that one gave way from which nothing had come.
	reasonConnections = "connections"
	reasonPerAddress  = "per_address"
	reasonSilent      = "silent"
	// reasonHello means that a hello could not be decoded, so that its connection is not shared, reasonStream that a stream was of an
	// unknown kind, reasonMessage that a one-way message was not handled.
	reasonHello   = "hello"
	reasonStream  = "stream"
	reasonMessage = "message"
	// reasonMemory means that the memory for frames was used up, reasonReplies that it was by replies.
	reasonMemory  = "memory"
	reasonReplies = "replies"
)

// observeConnections adds the number of accepted connections to the metrics.
func (t *Transport) observeConnections() {
	t.opts.Metrics.GetOrCreateGauge(`fulmartide_peer_connections{side="accepted"}`, func() float64 {
		t.mu.Lock()
		defer t.mu.Unlock()
		return float64(len(t.accepted))
	})
}

// observeMemory adds the memory of frames to the metrics.
func (t *Transport) observeMemory() {
	t.opts.Metrics.GetOrCreateGauge(`fulmartide_peer_frame_bytes`, func() float64 { return float64(t.memory.inUse()) })
}

// refused counts a connection, frame or call that was refused for a reason.
func (t *Transport) refused(reason string) {
	t.opts.Metrics.GetOrCreateCounter(`fulmartide_peer_refusals_total{reason="` + reason + `"}`).Inc()
}

// warnPeriod is the minimum time between two log lines of one kind that others can cause.
const warnPeriod = time.Second

// logLimit bounds log lines that others can cause. They are counted whether they are logged or not.
type logLimit struct{ at atomic.Int64 }

// due reports whether a line may be logged now.
func (l *logLimit) due() bool {
	now, last := time.Now().UnixNano(), l.at.Load()
	return now-last >= int64(warnPeriod) && l.at.CompareAndSwap(last, now)
}
