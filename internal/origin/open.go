package origin

import (
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// openStreams returns the records of the open streams of this VM that do not follow from the versions of their services.
func (c *Controller) openStreams() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	return c.records.listReported(now, c.neededAt(now))
}

// neededAt returns a function that reports whether records of an origin are stored. That is while other versions of the
// service are listed or were within the last minute, and for as long as the record lives if only another one is left, or if its version
// cannot be known. c.mu must be held as long as the function is used.
func (c *Controller) neededAt(now clock.Instant) func(traffic.StreamOrigin) bool {
	return func(told traffic.StreamOrigin) bool {
		o, _, _ := parseOrigin(told)
		return isUnknowable(told) || c.versions.hasOther(now, o)
	}
}

// ReceiveSnapshot receives the open streams of a VM, for which this one is the recorder.
func (c *Controller) ReceiveSnapshot(vm ident.VM, s Snapshot) {
	c.mu.Lock()
	c.recorder.replace(c.opts.Clock.Now(), vm, s)
	c.mu.Unlock()
	c.opts.Metrics.GetOrCreateCounter(`fulmartide_open_streams_received_total`).Inc()
	c.opts.OnOpen()
}

// addStored receives records from the store.
func (c *Controller) addStored(list []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	for _, rec := range list {
		if rec.Left > 0 && !c.records.addStored(now, rec) {
			c.opts.Metrics.GetOrCreateCounter(`fulmartide_stream_origins_dropped_total`).Inc()
		}
	}
}

// finishLoading records that all that was stored before the start of this VM is known.
func (c *Controller) finishLoading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLoaded()
}

// finishLoadingVersions records that the versions that were stored before the start of this VM are known.
func (c *Controller) finishLoadingVersions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeVersionsLoaded()
}

// withRecorder calls f with the recorder, and a function that reports whether records of an origin are stored.
func (c *Controller) withRecorder(f func(now clock.Instant, r *recorder, needed func(traffic.StreamOrigin) bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	f(now, &c.recorder, c.neededAt(now))
}
