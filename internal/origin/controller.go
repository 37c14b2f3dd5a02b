package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Options configure a Controller.
type Options struct {
	Clock   clock.Clock
	Log     *zap.Logger
	Metrics *metrics.Set
	// Share tells other VMs where streams began. It must not block. It may be nil.
	Share func([]Record)
	// Ask asks other VMs where a stream began. It may be nil.
	Ask func(context.Context, Key) (traffic.StreamOrigin, bool)
	// Reread waits until this VM has read the listed endpoints from the store again, and returns false if it does not before the
	// context ends. It may be nil.
	Reread func(context.Context) bool
	// StoreAway reports whether no VM has read the store for longer than the time between regular reads. It may be nil.
	StoreAway func() bool
	// OnVersions is called after the versions of services have changed. It must not block. It may be nil.
	OnVersions func()
	// OnOpen is called after the open streams of this VM, or the snapshots of others, may have changed. It must not block.
	// It may be nil.
	OnOpen func()
	// Reload loads the stored records again, unless that was done within the last second. It is nil if none are stored.
	Reload func(context.Context)
	// Evidence returns evidence of whether an endpoint's connections that were open at a time lead to the lifetime of its entry. It may be
	// nil.
	Evidence func(e traffic.Endpoint, opened time.Time) backend.LifetimeEvidence
	// FirstStart is set if the whole fleet starts for the first time, so that no stream began before.
	FirstStart bool
}

// Controller makes the records and versions safe for concurrent use, and tells other VMs of them.
type Controller struct {
	opts Options
	// loaded is closed once this VM has the stored records, or none are stored. versionsLoaded is closed once it has the
	// stored versions as well.
	loaded, versionsLoaded chan struct{}

	mu       sync.Mutex
	records  records
	versions versions
	recorder recorder
	absence  storeAbsence
	// endpoints are those that are listed, leaving those of them that are leaving.
	endpoints []traffic.Endpoint
	leaving   map[traffic.EndpointID]bool
	// isLoaded is set once loaded is closed, hasVersions once versionsLoaded is.
	isLoaded, hasVersions bool
}

// NewController returns a Controller without records.
func NewController(o Options) *Controller {
	if o.Share == nil {
		o.Share = func([]Record) {}
	}
	if o.Ask == nil {
		o.Ask = func(context.Context, Key) (traffic.StreamOrigin, bool) { return traffic.StreamOrigin{}, false }
	}
	if o.Reread == nil {
		o.Reread = func(context.Context) bool { return false }
	}
	if o.StoreAway == nil {
		o.StoreAway = func() bool { return false }
	}
	if o.OnVersions == nil {
		o.OnVersions = func() {}
	}
	if o.OnOpen == nil {
		o.OnOpen = func() {}
	}
	c := &Controller{
		opts: o, records: records{entries: map[Key]entry{}}, loaded: make(chan struct{}), versionsLoaded: make(chan struct{}),
		versions: versions{
			listed: map[traffic.StreamOrigin]bool{}, lastListed: map[traffic.StreamOrigin]clock.Instant{}, complete: o.FirstStart,
		},
	}
	if o.FirstStart || o.Reload == nil {
		c.closeLoaded()
		c.closeVersionsLoaded()
	}
	return c
}

// SetEndpoints receives the endpoints that are listed. If a service has a version that it did not have, the other VMs
// are told where the streams of this VM began: until now that went without saying.
func (c *Controller) SetEndpoints(endpoints []traffic.Endpoint) {
	c.mu.Lock()
	now := c.opts.Clock.Now()
	c.endpoints, c.leaving = endpoints, leavingOf(endpoints)
	added, removed := c.versions.observe(now, endpoints)
	var own []Record
	if len(added) > 0 {
		own = c.records.list(now, func(e entry) bool {
			return e.own && !e.unsettled && slices.ContainsFunc(added, func(o traffic.StreamOrigin) bool { return o.Service == e.origin.Service })
		})
	}
	c.mu.Unlock()
	if len(own) > 0 {
		c.opts.Share(own)
	}
	for _, o := range added {
		c.opts.Log.Info("software version listed", zap.String("service", o.Service), zap.String("software", o.Version), zap.Int("own_streams", len(own)))
	}
	for _, o := range removed {
		c.opts.Log.Info("software version gone", zap.String("service", o.Service), zap.String("software", o.Version))
	}
	if len(added)+len(removed) > 0 {
		c.opts.OnVersions()
		c.opts.OnOpen()
	}
}

// Began records where a stream of this VM began, before its first event is delivered. left is the time until its
// caller's deadline.
func (c *Controller) Began(k Key, o traffic.StreamOrigin, left time.Duration) {
	if k == 0 {
		return
	}
	rec := Record{Key: k, Origin: o, Left: left + resumeWindow}
	c.mu.Lock()
	now := c.opts.Clock.Now()
	stored := c.records.add(now, rec, true)
	follows := c.followsFromVersions(now, o)
	c.mu.Unlock()
	if !stored {
		c.opts.Metrics.GetOrCreateCounter(`fulmartide_stream_origins_dropped_total`).Inc()
	}
	if !follows {
		c.tell(rec)
	}
}

// tell tells other VMs of a stream of this VM whose origin does not go without saying.
func (c *Controller) tell(rec Record) {
	c.opts.Share([]Record{rec})
	c.opts.OnOpen()
}

// Ended removes the record of a stream that its caller has received to the end.
func (c *Controller) Ended(k Key) {
	c.mu.Lock()
	e, known := c.records.entries[k]
	c.records.remove(k)
	reported := known && e.own && c.versions.hasOther(c.opts.Clock.Now(), e.origin)
	c.mu.Unlock()
	if reported {
		c.opts.OnOpen()
	}
}

// AddRecords receives records of another VM.
func (c *Controller) AddRecords(list []Record) {
	c.mu.Lock()
	now := c.opts.Clock.Now()
	for _, rec := range list {
		if !c.records.add(now, rec, false) {
			c.opts.Metrics.GetOrCreateCounter(`fulmartide_stream_origins_dropped_total`).Inc()
		}
	}
	c.mu.Unlock()
	if slices.ContainsFunc(list, func(rec Record) bool { return isUnknowable(rec.Origin) }) {
		c.opts.OnOpen() // they are reported to the recorder
	}
}

// State is what a VM knows.
type State struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Records   codec.List[Record]
	Sightings codec.List[Sighting]
	// Complete is set if Sightings are all versions at which streams that may be resumed now can have begun.
	Complete bool
}

// State returns what this VM knows. It has no records unless it is complete: VMs that start together ask each other
// often.
func (c *Controller) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	s := State{Sightings: c.versions.sightings(now), Complete: c.knowsOrigins(now)}
	if s.Complete {
		s.Records = c.records.list(now, func(entry) bool { return true })
	}
	return s
}

// fromStore is the source of the state that is stored, in Merge and in log lines.
const fromStore = "store"

// Merge receives the state of another VM, or what is stored.
func (c *Controller) Merge(s State, from string) {
	c.AddRecords(s.Records)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Complete && from != fromStore {
		c.closeLoaded() // that VM knows the stored records
		c.closeVersionsLoaded()
	}
	if s.Complete && !c.versions.complete {
		c.opts.Log.Info("versions of services known", zap.String("from", from), zap.Int("versions", len(s.Sightings)), zap.Int("streams", len(s.Records)))
	}
	c.versions.merge(c.opts.Clock.Now(), s.Sightings, s.Complete)
}

// NeedsState reports whether another VM should be asked for its state.
func (c *Controller) NeedsState() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.versions.knowsAll(c.opts.Clock.Now())
}
