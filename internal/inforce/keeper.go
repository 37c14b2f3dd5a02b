// Package inforce holds the configuration and the endpoint table that a VM uses: the newest ones
// it received from the store or from another VM. An older version never replaces a newer one.
package inforce

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// The numbers of the documents that VMs send each other.
const (
	DocumentConfiguration = iota
	DocumentEndpoints
	documentCount
)

// Options configure a Keeper.
type Options struct {
	Clock clock.Clock
	Log   *zap.Logger
	// Decode parses a configuration as operators wrote it.
	Decode func([]byte) (*traffic.Configuration, error)
	// Changed is called after each change, by one goroutine at a time. The configuration may be nil.
	Changed func(*traffic.Configuration, traffic.Endpoints)
	// Lapse is the time after which the store removes an endpoint without a heartbeat.
	Lapse time.Duration
	// Back is the time that endpoints may take to register again after an outage of the store.
	Back time.Duration
}

// Keeper holds the configuration and the endpoint table in force.
type Keeper struct {
	opts   Options
	config atomic.Pointer[traffic.Configuration]

	mu        sync.Mutex
	raw       []byte
	endpoints traffic.Endpoints
	hasTable  bool
	// asOf is the latest time at which the store is known to have held this table, read by this
	// VM or by another.
	asOf clock.Instant
	// retainUntil is set after an outage of the store: until then no endpoint is dropped.
	retainUntil clock.Instant
	// hasRetained is set while the table contains endpoints that the store does not have.
	hasRetained bool
	// encoded caches the documents as last sent to other VMs.
	encoded [documentCount]encodedDocument
}

// New returns a Keeper without configuration and endpoint table.
func New(o Options) *Keeper { return &Keeper{opts: o} }

// Configuration returns the configuration in force, nil before the first.
func (k *Keeper) Configuration() *traffic.Configuration { return k.config.Load() }

// Ready reports whether the VM has all it needs to serve calls.
func (k *Keeper) Ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasTable && k.config.Load() != nil
}

// OfferConfiguration applies a configuration if it is newer than the one in force.
func (k *Keeper) OfferConfiguration(raw []byte, from string) error {
	c, err := k.opts.Decode(raw)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.config.Load()
	if old != nil && c.Version <= old.Version {
		return nil
	}
	k.raw = raw
	k.config.Store(c)
	k.opts.Log.Info("configuration in force", zap.Uint64("version", c.Version), zap.String("from", from),
		zap.Int("services", len(c.Services)), zap.Int("workspaces", len(c.Workspaces)))
	k.opts.Changed(c, k.endpoints)
	return nil
}

// OfferEndpoints applies an endpoint table that was read from the store at asOf.
func (k *Keeper) OfferEndpoints(e traffic.Endpoints, asOf clock.Instant, from string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.offerLocked(e, asOf, from)
}

func (k *Keeper) offerLocked(e traffic.Endpoints, asOf clock.Instant, from string) {
	now := k.opts.Clock.Now()
	if k.hasTable && e.Version < k.endpoints.Version {
		return
	}
	if k.hasTable && asOf.Sub(k.asOf) > k.opts.Lapse {
		k.retainUntil = now.Add(k.opts.Back)
		k.opts.Log.Info("store regained", zap.Duration("unavailable_for", asOf.Sub(k.asOf)), zap.Duration("retain_endpoints_for", k.opts.Back))
	}
	k.asOf = max(k.asOf, asOf)
	retain := now.Before(k.retainUntil)
	if k.hasTable && !retain && !k.hasRetained && sameEndpoints(e.List, k.endpoints.List) {
		return // the version changed for other objects; no need to send the table to other VMs
	}
	if k.hasRetained = retain; retain {
		e.List = withRetained(e.List, k.endpoints.List)
	}
	k.setTable(e, from)
}

// sameEndpoints reports whether two lists are equal apart from the versions of the entries.
func sameEndpoints(a, b []traffic.Endpoint) bool {
	return slices.EqualFunc(a, b, func(x, y traffic.Endpoint) bool {
		x.Version, y.Version = 0, 0
		return x == y
	})
}

// Age returns the time since the store was last known to hold this table.
func (k *Keeper) Age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.age()
}

// noTableAge is the age reported before a table is known.
const noTableAge = time.Hour

func (k *Keeper) age() time.Duration {
	if !k.hasTable {
		return noTableAge
	}
	return k.opts.Clock.Now().Sub(k.asOf)
}

// Confirm records that, according to another VM, the store held this table version age ago.
func (k *Keeper) Confirm(version uint64, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasTable && version == k.endpoints.Version && !k.hasRetained {
		k.asOf = max(k.asOf, k.opts.Clock.Now().Add(-age))
	}
}

// withRetained adds to list the endpoints of previous that it lacks.
func withRetained(list, previous []traffic.Endpoint) []traffic.Endpoint {
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.ID.Name] = true
	}
	for _, e := range previous {
		if !listed[e.ID.Name] {
			list = append(list, e)
		}
	}
	return list
}

func (k *Keeper) setTable(e traffic.Endpoints, from string) {
	k.logChanges(e, from)
	k.endpoints, k.hasTable = e, true
	k.opts.Changed(k.config.Load(), e)
}

// logChanges logs endpoints that were added, changed or removed.
func (k *Keeper) logChanges(e traffic.Endpoints, from string) {
	previous := map[traffic.EndpointID]traffic.Endpoint{}
	for _, v := range k.endpoints.List {
		previous[v.ID] = v
	}
	for _, v := range e.List {
		old, ok := previous[v.ID]
		delete(previous, v.ID)
		if !ok || old.Leaving != v.Leaving || old.Stage != v.Stage {
			k.opts.Log.Info("endpoint known", zap.String("endpoint", v.ID.Name), zap.Int64("born", v.ID.Born), zap.String("service", v.Service),
				zap.Stringer("address", v.Address), zap.Stringer("stage", v.Stage), zap.Bool("leaving", v.Leaving),
				zap.Uint64("table", e.Version), zap.String("from", from))
		}
	}
	for _, v := range previous {
		k.opts.Log.Info("endpoint gone", zap.String("endpoint", v.ID.Name), zap.Uint64("table", e.Version), zap.String("from", from))
	}
}

// Versions returns the version of each document, 0 for none.
func (k *Keeper) Versions() []uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.versions()
}

func (k *Keeper) versions() []uint64 {
	out := make([]uint64, documentCount)
	if c := k.config.Load(); c != nil {
		out[DocumentConfiguration] = c.Version
	}
	out[DocumentEndpoints] = k.endpoints.Version
	return out
}

// Wants reports whether another VM's version of a document is newer than the local one.
func (k *Keeper) Wants(document int, version uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch document {
	case DocumentConfiguration:
		c := k.config.Load()
		return version > 0 && (c == nil || version > c.Version)
	case DocumentEndpoints:
		return version > k.endpoints.Version
	}
	return false
}
