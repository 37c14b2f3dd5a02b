package activeconfig

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// confirmations records as of when the store is known to have held what this VM has. VMs tell each other of their reads of
// the store, so that one of them reads for all. A message takes time that its receiver does not know, so what it says
// of a read is taken once: if VMs renewed each other's knowledge with every message, it would never seem to age, and none of
// them would read the store.
type confirmations struct {
	// asOf is the latest time at which the store is known to have held the table and the configuration, and reading is the
	// read of which this is known, zero if it came with a document.
	asOf    clock.Instant
	reading traffic.Reading
	// known are the latest reads by VM.
	known map[ident.VM]knownReading
	// named is the newest configuration of which another VM has told.
	named traffic.DocumentVersion
}

// knownReading is the number of a read, and when it became known.
type knownReading struct {
	number uint64
	at     clock.Instant
}

const (
	// maxKnownReaders is the number of VMs whose latest reads are kept. Those that have not read for readerRetention are
	// then forgotten, which is longer than a message may be under way.
	maxKnownReaders = 64
	readerRetention = time.Minute
)

// add records a read that saw the store at asOf, unless it is known.
func (c *confirmations) add(now, asOf clock.Instant, r traffic.Reading) {
	if r.Number <= c.known[r.VM].number {
		return
	}
	if c.known == nil || len(c.known) >= maxKnownReaders {
		c.forget(now)
	}
	c.known[r.VM] = knownReading{number: r.Number, at: now}
	if asOf >= c.asOf {
		c.asOf, c.reading = asOf, r
	}
}

func (c *confirmations) forget(now clock.Instant) {
	recent := map[ident.VM]knownReading{}
	for vm, k := range c.known {
		if now.Sub(k.at) < readerRetention {
			recent[vm] = k
		}
	}
	c.known = recent
}

// addDocument records that another VM had a document of the store as of asOf.
func (c *confirmations) addDocument(asOf clock.Instant) {
	if asOf > c.asOf {
		c.asOf, c.reading = asOf, traffic.Reading{}
	}
}

// lacksConfiguration reports whether another VM has told of a newer configuration than the one in force. What this VM learns
// from others then says nothing about its own configuration. s.mu must be held.
func (s *State) lacksConfiguration() bool {
	return newerConfiguration(s.confirmed.named, s.versions()[DocumentConfiguration])
}

// Freshness returns the versions of the documents and as of when the store is known to have held them.
func (s *State) Freshness() traffic.Freshness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return traffic.Freshness{Versions: s.versions(), Reading: s.confirmed.reading, Age: s.age()}
}

// Confirm records what another VM knows of the store. It says nothing about this VM's documents unless they are as new:
// a configuration that cannot be fetched from the other VM is then read from the store. Builds that do not name the read
// renew each other's knowledge, so they confirm nothing. A message may have waited for as long as this VM was paused.
func (s *State) Confirm(f traffic.Freshness) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLostEvacuations()
	if len(f.Versions) > DocumentConfiguration && newerConfiguration(f.Versions[DocumentConfiguration], s.confirmed.named) {
		s.confirmed.named = f.Versions[DocumentConfiguration]
	}
	if !s.hasTable || s.hasRetained || len(f.Versions) < documentCount || f.Reading.IsZero() {
		return
	}
	if f.Versions[DocumentEndpoints] != tableVersion(s.endpoints) || s.lacksConfiguration() {
		return
	}
	now := s.opts.Clock.Now()
	s.confirmed.add(now, now.Add(-f.Age-s.opts.LateBy()), f.Reading)
}
