package peer

// The reasons for which a connection of another VM is refused or closed by this one.
const (
	// reasonAccept means that the kernel gave no connection, mostly for want of descriptors.
	reasonAccept = "accept"
	// reasonFirstFrame means that no valid first frame came in time.
	reasonFirstFrame = "first_frame"
)

// observeConnections adds the number of accepted connections to the metrics.
func (t *Transport) observeConnections() {
	t.opts.Metrics.GetOrCreateGauge(`fulmartide_peer_connections{side="accepted"}`, func() float64 {
		t.mu.Lock()
		defer t.mu.Unlock()
		return float64(len(t.accepted))
	})
}

// refused counts a connection, frame or call that was refused for a reason.
func (t *Transport) refused(reason string) {
	t.opts.Metrics.GetOrCreateCounter(`fulmartide_peer_refusals_total{reason="` + reason + `"}`).Inc()
}
