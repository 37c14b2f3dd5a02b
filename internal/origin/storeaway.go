package origin

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// While no VM can read the store, a version that no VM knows of may begin streams: an endpoint may start again under its id. The only
// version that is known does not decide then, and VMs tell each other where their streams began, as they do beside several versions.
const (
	// storeCheckPeriod is the time between two checks whether the store is away.
	storeCheckPeriod = 250 * time.Millisecond
	// reregisterTime is the time that endpoints may take to register again once the store is back.
	reregisterTime = 2 * time.Second
)

// storeAbsence is what a VM knows of the times at which the store was away.
type storeAbsence struct {
	// away is set while the store is away, awayAt is when it last was, 0 for never.
	away   bool
	awayAt clock.Instant
}

// trustsVersions reports whether the versions that are known are all at which streams can have begun.
func (a *storeAbsence) trustsVersions(now clock.Instant) bool {
	return !a.away && (a.awayAt == 0 || now.Sub(a.awayAt) > reregisterTime)
}

// WatchStore checks whether the store is away until ctx ends.
func (c *Controller) WatchStore(ctx context.Context) {
	for clock.Sleep(ctx, storeCheckPeriod) {
		c.CheckStore()
	}
}

// CheckStore checks whether the store is away. If it is since the last check, the other VMs are told where the streams of this VM began.
func (c *Controller) CheckStore() {
	away := c.opts.StoreAway()
	c.mu.Lock()
	now := c.opts.Clock.Now()
	began, ended := away && !c.absence.away, !away && c.absence.away
	c.absence.away = away
	if away {
		c.absence.awayAt = now
	}
	var own []Record
	if began {
		own = c.records.list(now, func(e entry) bool { return e.own })
	}
	c.mu.Unlock()
	if len(own) > 0 {
		c.opts.Share(own)
	}
	switch {
	case began:
		c.opts.Log.Info("store away, the only version of a service does not decide where streams go on", zap.Int("own_streams", len(own)))
	case ended:
		c.opts.Log.Info("store back, the only version of a service decides again", zap.Duration("after", reregisterTime))
	}
}

// trustsVersions reports whether the only version of a service decides where a stream began. It always does for callers that do not name
// their stream, of which no VM can have a record: the protocol asks callers to name it, as only then its version can be told.
func (c *Controller) trustsVersions(k Key) bool {
	if k == 0 {
		return true
	}
	c.CheckStore()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	return c.absence.trustsVersions(now) && now >= c.records.lackingUntil
}

// followsFromVersions reports whether other VMs know where streams of an origin began without being told. c.mu must be held.
func (c *Controller) followsFromVersions(now clock.Instant, o traffic.StreamOrigin) bool {
	_, sole := c.versions.sole(now, o.Service)
	return sole && !c.absence.away
}
