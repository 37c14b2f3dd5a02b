package activeconfig

import (
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// restoredStore selects the endpoints to use from the tables of a store that was restored from a
// backup, by what was known before: the backup may list endpoints that are gone.
type restoredStore struct {
	// known holds the endpoints of the table in force.
	known map[traffic.EndpointID]bool
	// version is the store's version when this VM learned of the restoration. Entries up to it may be
	// those of the backup. An endpoint that was not known before is used once it has written its
	// entry again.
	version uint64
	// confirmedAt is when the entries of endpoints that are gone have expired in the store, so that
	// all others are used.
	confirmedAt clock.Instant
}

// expiryMargin is added to the time after which the store removes an entry without a heartbeat.
const expiryMargin = time.Second

// enterEra records the store's era with the first endpoint table, and prepares for the tables of a
// store that was restored from a backup. s.mu must be held.
func (s *State) enterEra(now clock.Instant, e traffic.Endpoints) {
	s.opts.OnEra(e.Era, s.hasTable)
	if !s.hasTable {
		return
	}
	s.opts.Log.Warn("store restored from a backup", zap.Uint64("era", e.Era), zap.Uint64("table_version", e.Version),
		zap.Uint64("previous_era", s.endpoints.Era), zap.Uint64("previous_table_version", s.endpoints.Version),
		zap.Duration("retain_endpoints_for", s.opts.ReregisterTime))
	s.retainUntil = now.Add(s.opts.ReregisterTime)
	s.evacuations.enterEra(now, s.endpoints.Evacuated)
	s.restored = newRestoredStore(s.endpoints.List, e.Version, now.Add(2*s.opts.EndpointTTL+expiryMargin))
}

func newRestoredStore(previous []traffic.Endpoint, version uint64, confirmedAt clock.Instant) *restoredStore {
	r := &restoredStore{version: version, confirmedAt: confirmedAt}
	r.setKnown(previous)
	return r
}

// setKnown records the endpoints of the table in force. One that is no longer in it is gone, although the backup may list it.
func (r *restoredStore) setKnown(list []traffic.Endpoint) {
	r.known = make(map[traffic.EndpointID]bool, len(list))
	for _, e := range list {
		r.known[e.ID] = true
	}
}

// confirmed returns the endpoints of a list that may be used. The store is known to have held the list at asOf; another VM may pass it on long after.
func (r *restoredStore) confirmed(asOf clock.Instant, list []traffic.Endpoint) []traffic.Endpoint {
	out := make([]traffic.Endpoint, 0, len(list))
	for _, e := range list {
		if r.known[e.ID] || e.Version > r.version && !e.Retained || !asOf.Before(r.confirmedAt) {
			out = append(out, e)
		}
	}
	return out
}
