// Package activeconfig holds the configuration and the endpoint table that a VM uses: the newest ones
// it received from the store or from another VM. An older version never replaces a newer one.
package activeconfig

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

// Options configure a State.
type Options struct {
	Clock clock.Clock
	Log   *zap.Logger
	// Decode parses a configuration as operators wrote it.
	Decode func([]byte) (*traffic.Configuration, error)
	// OnChange is called after each change, by one goroutine at a time. The configuration may be nil.
	OnChange func(*traffic.Configuration, traffic.Endpoints)
	// EndpointTTL is the time after which the store removes an endpoint without a heartbeat.
	EndpointTTL time.Duration
	// ReregisterTime is the time that endpoints may take to register again after an outage of the
	// store.
	ReregisterTime time.Duration
}

// State holds the configuration and the endpoint table in force.
type State struct {
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
	// hasRetained is set if the table was applied before retainUntil, and so may contain endpoints
	// that the store does not have.
	hasRetained bool
	// encoded caches the documents as last sent to other VMs.
	encoded [documentCount]encodedDocument
}

// New returns a State without configuration and endpoint table.
func New(o Options) *State { return &State{opts: o} }

// Configuration returns the configuration in force, nil before the first.
func (s *State) Configuration() *traffic.Configuration { return s.config.Load() }

// Ready reports whether the VM has all it needs to serve calls.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasTable && s.config.Load() != nil
}

// ApplyConfiguration applies a configuration if it is newer than the one in force.
func (s *State) ApplyConfiguration(raw []byte, from string) error {
	c, err := s.opts.Decode(raw)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.config.Load()
	if old != nil && c.Version <= old.Version {
		return nil
	}
	s.raw = raw
	s.config.Store(c)
	s.opts.Log.Info("configuration in force", zap.Uint64("version", c.Version), zap.String("from", from),
		zap.Int("services", len(c.Services)), zap.Int("workspaces", len(c.Workspaces)))
	s.opts.OnChange(c, s.endpoints)
	return nil
}

// ApplyEndpoints applies an endpoint table that was read from the store at asOf.
func (s *State) ApplyEndpoints(e traffic.Endpoints, asOf clock.Instant, from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEndpointsLocked(e, asOf, from)
}

func (s *State) applyEndpointsLocked(e traffic.Endpoints, asOf clock.Instant, from string) {
	now := s.opts.Clock.Now()
	if s.hasTable && e.Version < s.endpoints.Version {
		return
	}
	if s.hasTable && asOf.Sub(s.asOf) > s.opts.EndpointTTL {
		s.retainUntil = now.Add(s.opts.ReregisterTime)
		s.opts.Log.Info("store regained", zap.Duration("unavailable_for", asOf.Sub(s.asOf)), zap.Duration("retain_endpoints_for", s.opts.ReregisterTime))
	}
	s.asOf = max(s.asOf, asOf)
	retain := now.Before(s.retainUntil)
	if s.hasTable && !retain && !s.hasRetained && sameEndpoints(e.List, s.endpoints.List) {
		return // the version changed for other objects; no need to send the table to other VMs
	}
	if s.hasRetained = retain; retain {
		e.List = withRetained(e.List, s.endpoints.List)
	}
	s.setTable(e, from)
}

// sameEndpoints reports whether two lists are equal apart from the versions of the entries.
func sameEndpoints(a, b []traffic.Endpoint) bool {
	return slices.EqualFunc(a, b, func(x, y traffic.Endpoint) bool {
		x.Version, y.Version = 0, 0
		return x == y
	})
}

// Age returns the time since the store was last known to hold this table.
func (s *State) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age()
}

// noTableAge is the age reported before a table is known.
const noTableAge = time.Hour

func (s *State) age() time.Duration {
	if !s.hasTable {
		return noTableAge
	}
	return s.opts.Clock.Now().Sub(s.asOf)
}

// ConfirmVersion records that, according to another VM, the store held this version of the table at
// the time age before now.
func (s *State) ConfirmVersion(version uint64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasTable && version == s.endpoints.Version && !s.hasRetained {
		s.asOf = max(s.asOf, s.opts.Clock.Now().Add(-age))
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

func (s *State) setTable(e traffic.Endpoints, from string) {
	s.logChanges(e, from)
	s.endpoints, s.hasTable = e, true
	s.opts.OnChange(s.config.Load(), e)
}

// logChanges logs endpoints that were added, changed or removed.
func (s *State) logChanges(e traffic.Endpoints, from string) {
	previous := map[traffic.EndpointID]traffic.Endpoint{}
	for _, v := range s.endpoints.List {
		previous[v.ID] = v
	}
	for _, v := range e.List {
		old, ok := previous[v.ID]
		delete(previous, v.ID)
		if !ok || old.Leaving != v.Leaving || old.Stage != v.Stage {
			s.opts.Log.Info("endpoint known", zap.String("endpoint", v.ID.Name), zap.Int64("born", v.ID.StartedAt), zap.String("service", v.Service),
				zap.Stringer("address", v.Address), zap.Stringer("stage", v.Stage), zap.Bool("leaving", v.Leaving),
				zap.Uint64("table_version", e.Version), zap.String("from", from))
		}
	}
	for _, v := range previous {
		s.opts.Log.Info("endpoint gone", zap.String("endpoint", v.ID.Name), zap.Uint64("table_version", e.Version), zap.String("from", from))
	}
}

// Versions returns the version of each document, 0 for none.
func (s *State) Versions() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions()
}

func (s *State) versions() []uint64 {
	out := make([]uint64, documentCount)
	if c := s.config.Load(); c != nil {
		out[DocumentConfiguration] = c.Version
	}
	out[DocumentEndpoints] = s.endpoints.Version
	return out
}

// NeedsVersion reports whether another VM's version of a document is newer than the local one.
func (s *State) NeedsVersion(document int, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch document {
	case DocumentConfiguration:
		c := s.config.Load()
		return version > 0 && (c == nil || version > c.Version)
	case DocumentEndpoints:
		return version > s.endpoints.Version
	}
	return false
}
