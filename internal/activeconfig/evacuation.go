package activeconfig

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// lostEvacuationTime is how long an evacuation that a store restored from a backup does not list stays in force, so
// that operators can write it again. One that was lifted shortly before the restoration may stay as long at VMs that
// had not learned of it.
const lostEvacuationTime = 30 * time.Second

// evacuations is what a State knows of evacuations besides those in its table.
type evacuations struct {
	// listed are those that the store listed at some time up to learnedAt.
	listed    []string
	learnedAt clock.Instant
	// unsettled is set if other VMs may have a table of the same version with other evacuations: the store is asked for
	// evacuations after the endpoints, so they may be newer than the version of the table. The next read of the store
	// then gives the table a new version, so that the other VMs fetch it.
	unsettled bool
	// lost were in force when the store was restored from a backup and have not been listed since. They stay in force
	// until lostUntil.
	lost      []string
	lostUntil clock.Instant
}

// fromStore is the origin of a table that this VM read itself.
const fromStore = "store"

// enterEra keeps the evacuations in force for lostEvacuationTime.
func (v *evacuations) enterEra(now clock.Instant, inForce []string) {
	v.lost, v.lostUntil = inForce, now.Add(lostEvacuationTime)
}

// merge replaces the evacuations of a table that was read from the store at asOf by those to be in force. first is set
// for the first table.
func (v *evacuations) merge(now, asOf clock.Instant, e *traffic.Endpoints, first bool, from string) {
	listed := without(e.Evacuated, e.EvacuationsLost)
	if len(e.EvacuationsLost) > 0 {
		v.lost, v.lostUntil = union(v.lost, e.EvacuationsLost), max(v.lostUntil, now.Add(min(e.EvacuationsLostFor, lostEvacuationTime)))
	}
	if e.EvacuationsKnown { // those that are listed again are lifted once they are not
		v.lost = without(v.lost, listed)
	}
	switch {
	case first:
		v.unsettled = true
	case !e.EvacuationsKnown:
		listed = v.listed
	case !v.learnedAt.Before(asOf):
		// The read began before this VM learned what it knows, so the table may lack an evacuation.
		listed = union(listed, v.listed)
	}
	if !slices.Equal(listed, v.listed) {
		v.listed, v.learnedAt, v.unsettled = listed, now, true
	}
	if from == fromStore {
		v.learnedAt = now
	}
	v.expireLost(now)
	e.Evacuated, e.EvacuationsLost, e.EvacuationsLostFor = v.inForce(), v.lost, 0
}

// inForce returns the evacuations in force, in order.
func (v *evacuations) inForce() []string { return union(v.listed, v.lost) }

// lostFor returns for how long lost evacuations stay in force.
func (v *evacuations) lostFor(now clock.Instant) time.Duration {
	if len(v.lost) == 0 {
		return 0
	}
	return v.lostUntil.Sub(now)
}

// expireLost ends the retention of evacuations that a restored store does not list, and reports whether it did.
func (v *evacuations) expireLost(now clock.Instant) bool {
	if len(v.lost) == 0 || now.Before(v.lostUntil) {
		return false
	}
	v.lost, v.unsettled = nil, true
	return true
}

// settle reports whether a table without changes is to be adopted for its version, after a read of the store or from
// another VM.
func (v *evacuations) settle(e *traffic.Endpoints, newer bool, from string) bool {
	if !newer || !e.EvacuationsKnown {
		return false
	}
	if from != fromStore {
		return true
	}
	settles := v.unsettled
	v.unsettled = false
	return settles
}

// without returns the names of a that are not in b.
func without(a, b []string) []string {
	if len(b) == 0 {
		return a
	}
	return slices.DeleteFunc(slices.Clone(a), func(name string) bool { return slices.Contains(b, name) })
}

func union(a, b []string) []string {
	if len(b) == 0 {
		return a
	}
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// sameEvacuations reports whether two tables have the same evacuations and both know them, or neither does.
func sameEvacuations(a, b *traffic.Endpoints) bool {
	return a.EvacuationsKnown == b.EvacuationsKnown && slices.Equal(a.Evacuated, b.Evacuated)
}

// expireLostEvacuations ends the retention of evacuations that a restored store does not list. s.mu must be held.
func (s *State) expireLostEvacuations() {
	if !s.hasTable || !s.evacuations.expireLost(s.opts.Clock.Now()) {
		return
	}
	e := s.endpoints
	e.Evacuated, e.EvacuationsLost = s.evacuations.inForce(), nil
	if !sameEvacuations(&e, &s.endpoints) {
		s.setTable(e, "retention")
	}
}

// logEvacuations logs the data centres that are evacuated from now on, and those that are no longer.
func (s *State) logEvacuations(e *traffic.Endpoints, from string) {
	change := func(message, name string, lifted bool) {
		s.opts.Log.Warn(message, zap.String("data_centre", name), zap.String("from", from), zap.Duration("age", s.opts.Clock.Now().Sub(s.confirmed.asOf)),
			zap.Uint64("table_version", e.Version), zap.Uint64("era", e.Era), zap.Bool("as_new_as_table", e.EvacuationsKnown),
			zap.Bool("retained", slices.Contains(s.evacuations.lost, name)))
		s.opts.OnEvacuation(name, lifted)
	}
	for _, name := range e.Evacuated {
		if !slices.Contains(s.endpoints.Evacuated, name) {
			change("data centre evacuated", name, false)
		}
	}
	for _, name := range s.endpoints.Evacuated {
		if !slices.Contains(e.Evacuated, name) {
			change("evacuation lifted", name, true)
		}
	}
}
