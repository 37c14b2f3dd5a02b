// Package inforce keeps what a VM goes by: the newest configuration and table of endpoints,
// whether they came from the store or from another VM. A version never goes back.
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

// The numbers of the documents that VMs hand to each other.
const (
	DocumentConfiguration = iota
	DocumentEndpoints
	documents
)

// Options configure a Keeper.
type Options struct {
	Clock clock.Clock
	Log   *zap.Logger
	// Decode reads a configuration as operators wrote it.
	Decode func([]byte) (*traffic.Configuration, error)
	// Changed is called with each new pair, one at a time. The configuration may be nil.
	Changed func(*traffic.Configuration, traffic.Endpoints)
	// Lapse is how long endpoints stay in the store without a heartbeat.
	Lapse time.Duration
	// Back is how long after an outage of the store entries may take to come back.
	Back time.Duration
}

// Keeper holds what is in force.
type Keeper struct {
	opts   Options
	config atomic.Pointer[traffic.Configuration]

	mu        sync.Mutex
	raw       []byte
	endpoints traffic.Endpoints
	known     bool
	// asOf is the latest instant at which the store is known to have held this table, read by
	// this VM or by another.
	asOf clock.Instant
	// keepUntil is set after an outage of the store: until then no endpoint is dropped.
	keepUntil clock.Instant
	// kept is set while the table holds endpoints that the store did not.
	kept bool
	// packed holds the documents as they were last handed to other VMs.
	packed [documents]packed
}

// New makes a Keeper that knows nothing yet.
func New(o Options) *Keeper { return &Keeper{opts: o} }

// Configuration gives the one in force, nil before the first.
func (k *Keeper) Configuration() *traffic.Configuration { return k.config.Load() }

// Ready reports whether calls can be served.
func (k *Keeper) Ready() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known && k.config.Load() != nil
}

// OfferConfiguration takes over a configuration if it is newer than the one in force.
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

// OfferEndpoints takes over a table that was read from the store at asOf.
func (k *Keeper) OfferEndpoints(e traffic.Endpoints, asOf clock.Instant, from string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.offer(e, asOf, from)
}

func (k *Keeper) offer(e traffic.Endpoints, asOf clock.Instant, from string) {
	now := k.opts.Clock.Now()
	if k.known && e.Version < k.endpoints.Version {
		return
	}
	if k.known && asOf.Sub(k.asOf) > k.opts.Lapse {
		k.keepUntil = now.Add(k.opts.Back)
		k.opts.Log.Info("store regained", zap.Duration("away", asOf.Sub(k.asOf)), zap.Duration("keeps_endpoints", k.opts.Back))
	}
	k.asOf = max(k.asOf, asOf)
	keeps := now.Before(k.keepUntil)
	if k.known && !keeps && !k.kept && sameEndpoints(e.List, k.endpoints.List) {
		return // the store's version moved for other objects, of which the others need not hear
	}
	if k.kept = keeps; keeps {
		e.List = withMissing(e.List, k.endpoints.List)
	}
	k.set(e, from)
}

// sameEndpoints reports whether two lists name the same endpoints in the same states.
func sameEndpoints(a, b []traffic.Endpoint) bool {
	return slices.EqualFunc(a, b, func(x, y traffic.Endpoint) bool {
		x.Version, y.Version = 0, 0
		return x == y
	})
}

// Age is the time since the store is known to have held this table.
func (k *Keeper) Age() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.age()
}

// never is the age of a table that was never read.
const never = time.Hour

func (k *Keeper) age() time.Duration {
	if !k.known {
		return never
	}
	return k.opts.Clock.Now().Sub(k.asOf)
}

// Confirm takes over that another VM knows the store to have held this version at asOf.
func (k *Keeper) Confirm(version uint64, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known && version == k.endpoints.Version && !k.kept {
		k.asOf = max(k.asOf, k.opts.Clock.Now().Add(-age))
	}
}

// withMissing adds the endpoints of former that list lacks.
func withMissing(list, former []traffic.Endpoint) []traffic.Endpoint {
	has := map[string]bool{}
	for _, e := range list {
		has[e.ID.Name] = true
	}
	for _, e := range former {
		if !has[e.ID.Name] {
			list = append(list, e)
		}
	}
	return list
}

func (k *Keeper) set(e traffic.Endpoints, from string) {
	k.logChanges(e, from)
	k.endpoints, k.known = e, true
	k.opts.Changed(k.config.Load(), e)
}

// logChanges logs endpoints that came, are leaving or went.
func (k *Keeper) logChanges(e traffic.Endpoints, from string) {
	former := map[traffic.EndpointID]traffic.Endpoint{}
	for _, v := range k.endpoints.List {
		former[v.ID] = v
	}
	for _, v := range e.List {
		was, ok := former[v.ID]
		delete(former, v.ID)
		if !ok || was.Leaving != v.Leaving || was.Stage != v.Stage {
			k.opts.Log.Info("endpoint known", zap.String("endpoint", v.ID.Name), zap.Int64("born", v.ID.Born), zap.String("service", v.Service),
				zap.Stringer("address", v.Address), zap.Stringer("stage", v.Stage), zap.Bool("leaving", v.Leaving),
				zap.Uint64("table", e.Version), zap.String("from", from))
		}
	}
	for _, v := range former {
		k.opts.Log.Info("endpoint gone", zap.String("endpoint", v.ID.Name), zap.Uint64("table", e.Version), zap.String("from", from))
	}
}

// Versions gives the versions of the documents.
func (k *Keeper) Versions() []uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.versions()
}

func (k *Keeper) versions() []uint64 {
	out := make([]uint64, documents)
	if c := k.config.Load(); c != nil {
		out[DocumentConfiguration] = c.Version
	}
	out[DocumentEndpoints] = k.endpoints.Version
	return out
}

// Wants reports whether another VM's version of a document is of use here.
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
