// Package activeconfig holds the configuration and the endpoint table that a VM uses: the newest ones
// it received from the store or from another VM. An older version never replaces a newer one, also
// if the store is restored from a backup.
package activeconfig

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
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
	// Self is this VM.
	Self  ident.VM
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
	// OnEra is called with the store's era of the first endpoint table, and with each higher one when
	// the store has been restored from a backup. It is called by one goroutine at a time, must not
	// block and may be nil.
	OnEra func(era uint64, restored bool)
	// LateBy returns how long a message that this VM reads now may have waited because the VM was paused. It may be nil.
	LateBy func() time.Duration
	// OnEvacuation is called when a data centre is evacuated or an evacuation is lifted, before OnChange and with the
	// same conditions as OnEra.
	OnEvacuation func(dataCentre string, lifted bool)
}

// State holds the configuration and the endpoint table in force.
type State struct {
	opts   Options
	config atomic.Pointer[traffic.Configuration]
	// configSince is the clock.Instant at which the configuration came into force.
	configSince atomic.Int64

	mu  sync.Mutex
	raw []byte
	// configEra is the era of the store in which the configuration in force was read last.
	configEra uint64
	endpoints traffic.Endpoints
	hasTable  bool
	// confirmed is as of when the store is known to have held what this VM has. reads counts the reads of this VM.
	confirmed confirmations
	reads     uint64
	// ownRead is the last read of the table by this VM. readRequested is when one was last requested ahead of the next regular
	// one, 0 for never, and readsOnRequest is set while this VM reads on request.
	ownRead        ownRead
	readRequested  clock.Instant
	readsOnRequest bool
	// retainUntil is set after an outage of the store: until then no endpoint is dropped.
	retainUntil clock.Instant
	// hasRetained is set if the table was applied before retainUntil, and so may contain endpoints
	// that the store does not have.
	hasRetained bool
	// restored is what was known before the store was restored from a backup, nil if it never was.
	restored *restoredStore
	// evacuations is what is known of evacuated data centres.
	evacuations evacuations
	// encoded caches the documents as last sent to other VMs.
	encoded [documentCount]encodedDocument
}

// New returns a State without configuration and endpoint table.
func New(o Options) *State {
	if o.OnEra == nil {
		o.OnEra = func(uint64, bool) {}
	}
	if o.OnEvacuation == nil {
		o.OnEvacuation = func(string, bool) {}
	}
	if o.LateBy == nil {
		o.LateBy = func() time.Duration { return 0 }
	}
	return &State{opts: o}
}

// Configuration returns the configuration in force, nil before the first.
func (s *State) Configuration() *traffic.Configuration { return s.config.Load() }

// ConfigurationAge returns how long the configuration in force has been in force at this VM.
func (s *State) ConfigurationAge() time.Duration {
	return s.opts.Clock.Now().Sub(clock.Instant(s.configSince.Load()))
}

// Ready reports whether the VM has all it needs to serve calls.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasTable && s.config.Load() != nil
}

// ApplyConfiguration applies a configuration, read in the given era of the store, if it is newer
// than the one in force: if its version is higher, or was written again in a later era. A store that
// was restored from a backup has an older configuration until operators write the newest one again;
// until then that one stays in force, so that no withdrawn key is valid again.
func (s *State) ApplyConfiguration(raw []byte, era uint64, from string) error {
	c, err := s.opts.Decode(raw)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.config.Load()
	if old != nil && !newerConfiguration(traffic.DocumentVersion{Era: era, Number: c.Version}, s.configVersion(old)) {
		return nil
	}
	s.configEra = era
	if old != nil && bytes.Equal(raw, s.raw) {
		return nil
	}
	s.raw = raw
	s.configSince.Store(int64(s.opts.Clock.Now()))
	s.config.Store(c)
	s.opts.Log.Info("configuration in force", zap.Uint64("version", c.Version), zap.Uint64("era", era), zap.String("from", from),
		zap.Duration("age", s.age()), zap.Int("services", len(c.Services)), zap.Int("workspaces", len(c.Workspaces)))
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
	if from == fromStore && e.Era >= s.endpoints.Era {
		s.recordOwnRead(asOf, e.List)
	}
	if s.hasTable && newerTable(tableVersion(s.endpoints), tableVersion(e)) {
		return
	}
	if !s.hasTable || e.Era > s.endpoints.Era {
		s.enterEra(now, e)
	}
	if s.hasTable {
		e.List = withoutUnknownRetained(e.List, s.endpoints.List)
	}
	if s.restored != nil {
		e.List = s.restored.confirmed(asOf, e.List)
	}
	keepLeaving(e.List, s.endpoints.List)
	s.evacuations.merge(now, asOf, &e, !s.hasTable, from)
	if unconfirmed := asOf.Sub(s.confirmed.asOf); s.hasTable && unconfirmed > s.opts.EndpointTTL {
		s.retainUntil = now.Add(s.opts.ReregisterTime)
		s.opts.Log.Info("store regained", zap.Duration("unavailable_for", unconfirmed), zap.Duration("retain_endpoints_for", s.opts.ReregisterTime))
	}
	if from == fromStore {
		s.reads++
		s.confirmed.add(now, asOf, traffic.Reading{VM: s.opts.Self, Number: s.reads})
	} else if !s.hasTable || !s.lacksConfiguration() {
		s.confirmed.addDocument(asOf)
	}
	retain := now.Before(s.retainUntil)
	// A table of another VM is adopted for its version, as VMs confirm and fetch tables by it.
	newer := newerTable(tableVersion(e), tableVersion(s.endpoints))
	if s.hasTable && !retain && !s.hasRetained && e.Era == s.endpoints.Era && sameEndpoints(e.List, s.endpoints.List) &&
		sameEvacuations(&e, &s.endpoints) && !s.evacuations.settle(&e, newer, from) && (from == fromStore || !newer) {
		return // the version changed for other objects; no need to send the table to other VMs
	}
	if s.hasRetained = retain; retain {
		e.List = withRetained(e.List, s.endpoints.List)
	}
	s.setTable(e, from)
}

// sameEndpoints reports whether two lists are equal apart from the versions of the entries. An entry that says for how
// long its endpoint stays cold says so from a later time in a later version.
func sameEndpoints(a, b []traffic.Endpoint) bool {
	return slices.EqualFunc(a, b, func(x, y traffic.Endpoint) bool {
		if x.ColdFor == 0 {
			x.Version, y.Version = 0, 0
		}
		return x == y
	})
}

// hasEndpoints reports whether an endpoint table is known.
func (s *State) hasEndpoints() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasTable
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
	return s.opts.Clock.Now().Sub(s.confirmed.asOf)
}

// withoutUnknownRetained returns list without the endpoints that another VM has retained and that
// previous lacks: this VM knows that they are gone.
func withoutUnknownRetained(list, previous []traffic.Endpoint) []traffic.Endpoint {
	known := map[traffic.EndpointID]bool{}
	for _, e := range previous {
		known[e.ID] = true
	}
	return slices.DeleteFunc(list, func(e traffic.Endpoint) bool { return e.Retained && !known[e.ID] })
}

// keepLeaving marks the endpoints of list that were leaving in previous. An endpoint that has begun to
// leave never becomes ready again, but a store that was restored from a backup may say so.
func keepLeaving(list, previous []traffic.Endpoint) {
	leaving := map[traffic.EndpointID]bool{}
	for _, e := range previous {
		leaving[e.ID] = e.Leaving
	}
	for i, e := range list {
		list[i].Leaving = e.Leaving || leaving[e.ID]
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
			e.Retained = true
			list = append(list, e)
		}
	}
	return list
}

func (s *State) setTable(e traffic.Endpoints, from string) {
	s.logChanges(e, from)
	s.logEvacuations(&e, from)
	s.endpoints, s.hasTable = e, true
	if s.restored != nil {
		s.restored.setKnown(e.List)
	}
	s.encoded[DocumentEndpoints] = encodedDocument{} // evacuations may change without the version
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
				zap.Stringer("address", v.Address), zap.Stringer("stage", v.Stage), zap.String("software", v.SoftwareVersion), zap.Bool("leaving", v.Leaving),
				zap.Uint64("table_version", e.Version), zap.String("from", from))
		}
	}
	for _, v := range previous {
		s.opts.Log.Info("endpoint gone", zap.String("endpoint", v.ID.Name), zap.Uint64("table_version", e.Version), zap.String("from", from))
	}
}

// Versions returns the version of each document, number 0 for none.
func (s *State) Versions() []traffic.DocumentVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions()
}

func (s *State) versions() []traffic.DocumentVersion {
	out := make([]traffic.DocumentVersion, documentCount)
	if c := s.config.Load(); c != nil {
		out[DocumentConfiguration] = s.configVersion(c)
	}
	out[DocumentEndpoints] = tableVersion(s.endpoints)
	return out
}

func (s *State) configVersion(c *traffic.Configuration) traffic.DocumentVersion {
	return traffic.DocumentVersion{Era: s.configEra, Number: c.Version}
}

func tableVersion(e traffic.Endpoints) traffic.DocumentVersion {
	return traffic.DocumentVersion{Era: e.Era, Number: e.Version}
}

// newerConfiguration reports whether a is newer than b. Operators number configurations, so the
// number decides, also across eras.
func newerConfiguration(a, b traffic.DocumentVersion) bool {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Era, b.Era)) > 0
}

// newerTable reports whether a is newer than b. The store numbers tables, so numbers of different
// eras cannot be compared.
func newerTable(a, b traffic.DocumentVersion) bool {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Number, b.Number)) > 0
}

// NeedsVersion reports whether another VM's version of a document is newer than the local one.
func (s *State) NeedsVersion(document int, version traffic.DocumentVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version.Number == 0 {
		return false
	}
	switch document {
	case DocumentConfiguration:
		return newerConfiguration(version, s.versions()[document])
	case DocumentEndpoints:
		return newerTable(version, s.versions()[document])
	}
	return false
}
