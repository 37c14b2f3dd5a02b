package origin

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Source says how an origin was found.
type Source string

// The sources.
const (
	// FromRecord is a record of this VM.
	FromRecord Source = "record"
	// FromVM is a record of another VM.
	FromVM Source = "vm"
	// FromStore is a record that this VM knows only from the store.
	FromStore Source = fromStore
	// FromVersions means that the service has only one version.
	FromVersions Source = "only_version"
	// Unknown means that the origin is not known.
	Unknown Source = "unknown"
)

const (
	// maxFindWait bounds the search for an origin that this VM does not know. findFraction is the part of the caller's
	// time that it may take, as its inverse.
	maxFindWait  = time.Second
	findFraction = 4
	// maxRereadWait bounds the wait for a read of the store, and for the answers of other VMs, before the only version decides.
	maxRereadWait = 500 * time.Millisecond
)

// Find finds the origin of a stream that a caller resumes. service is the one that its calls go to now, left the time
// until the caller's deadline. If this VM does not know the origin, it asks other VMs and the store.
func (c *Controller) Find(ctx context.Context, k Key, service string, left time.Duration) (traffic.StreamOrigin, Source) {
	awaitCtx, cancelAwait := context.WithTimeout(ctx, min(maxOpenWait, left/findFraction))
	open := c.Await(awaitCtx, k)
	cancelAwait()
	if open {
		return traffic.StreamOrigin{}, Unknown // no other VM knows more
	}
	o, source := c.findHere(k, service)
	if source == FromVersions {
		if o, source = c.findHereAnew(ctx, k, service, left); source == FromVersions && !c.trustsVersions(k) {
			return traffic.StreamOrigin{}, Unknown // no other VM knows more
		}
	}
	if source != Unknown {
		return o, source
	}
	began := c.opts.Clock.Now()
	defer func() {
		c.opts.Metrics.GetOrCreateHistogram(`fulmartide_origin_search_seconds`).Update(c.opts.Clock.Now().Sub(began).Seconds())
	}()
	ctx, cancel := context.WithTimeout(ctx, min(maxFindWait, left/findFraction))
	defer cancel()
	if o, source := c.findElsewhere(ctx, k, service); source != Unknown {
		return o, source
	}
	if k != 0 && c.opts.Reload != nil && ctx.Err() == nil {
		c.opts.Reload(ctx)
		c.Await(ctx, k)
	}
	return c.findTrusted(k, service)
}

// findTrusted is as findHere, except that the only version decides only if a version that this VM could not read of cannot have begun
// the stream.
func (c *Controller) findTrusted(k Key, service string) (traffic.StreamOrigin, Source) {
	o, source := c.findHere(k, service)
	if source == FromVersions && !c.trustsVersions(k) {
		return traffic.StreamOrigin{}, Unknown
	}
	return o, source
}

// findHereAnew finds an origin once this VM knows which versions are listed now, and whether another VM knows more of the stream: while
// this VM was paused, or heard nothing of the store, a second version may have begun it, as may one that is not listed yet.
func (c *Controller) findHereAnew(ctx context.Context, k Key, service string, left time.Duration) (traffic.StreamOrigin, Source) {
	ctx, cancel := context.WithTimeout(ctx, min(maxRereadWait, left/findFraction))
	defer cancel()
	read := make(chan struct{})
	go func() {
		defer close(read)
		c.opts.Reread(ctx)
	}()
	if k != 0 {
		if o, ok := c.opts.Ask(ctx, k); ok {
			return o, FromVM
		}
	}
	<-read
	return c.findHere(k, service)
}

// findHere finds an origin by what this VM knows.
func (c *Controller) findHere(k Key, service string) (traffic.StreamOrigin, Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	if e, ok := c.records.find(now, k); ok && k != 0 {
		switch {
		case e.unsettled:
			return traffic.StreamOrigin{}, Unknown
		case e.stored:
			return e.origin, FromStore
		}
		return e.origin, FromRecord
	}
	if o, sole := c.versions.sole(now, service); sole && c.knowsOrigins(now) {
		return o, FromVersions
	}
	return traffic.StreamOrigin{}, Unknown
}

// findElsewhere asks the other VMs, and waits until this VM has loaded the stored records and versions, whichever brings
// the origin.
func (c *Controller) findElsewhere(ctx context.Context, k Key, service string) (traffic.StreamOrigin, Source) {
	var asked chan traffic.StreamOrigin
	if k != 0 {
		asked = make(chan traffic.StreamOrigin, 1)
		go func() {
			if o, ok := c.opts.Ask(ctx, k); ok {
				asked <- o
			}
			close(asked)
		}()
	}
	loaded, versionsLoaded := c.loaded, c.versionsLoaded
	for asked != nil || loaded != nil || versionsLoaded != nil {
		select {
		case <-ctx.Done():
			return traffic.StreamOrigin{}, Unknown
		case o, ok := <-asked:
			if ok {
				return o, FromVM
			}
			asked = nil
		case <-loaded:
			loaded = nil
		case <-versionsLoaded:
			versionsLoaded = nil
		}
		if o, source := c.findTrusted(k, service); source != Unknown {
			return o, source
		}
	}
	return traffic.StreamOrigin{}, Unknown
}

// Lookup returns the origin of a stream of which this VM has a settled record.
func (c *Controller) Lookup(k Key) (traffic.StreamOrigin, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.records.find(c.opts.Clock.Now(), k)
	if !ok || e.unsettled {
		return traffic.StreamOrigin{}, false
	}
	return e.origin, true
}

// knowsOrigins reports whether a stream of which this VM has no record began at the only version of its service, if there
// is only one. A record may be of a version that was listed long ago, so the stored ones have to be known. c.mu must be
// held.
func (c *Controller) knowsOrigins(now clock.Instant) bool {
	return c.versions.knowsAll(now) && (c.isLoaded || c.versions.since != 0 && now.Sub(c.versions.since) > resumeWindow)
}

// closeLoaded lets calls that wait for the stored records go on. c.mu must be held, or c not be shared yet.
func (c *Controller) closeLoaded() {
	if !c.isLoaded {
		c.isLoaded = true
		close(c.loaded)
	}
}

// closeVersionsLoaded is as closeLoaded, for the stored versions.
func (c *Controller) closeVersionsLoaded() {
	if !c.hasVersions {
		c.hasVersions = true
		close(c.versionsLoaded)
	}
}
