package activeconfig

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// ownRead is the last read of the endpoint table by this VM. Reads of other VMs are told in messages, which may be read long
// after they were sent, so that the time of these reads is not known.
type ownRead struct {
	// asOf is when the read began, by the clock of the State, and began the same by time.Now, not later than it did.
	asOf  clock.Instant
	began time.Time
	list  []traffic.Endpoint
}

// recordOwnRead records a read of the store by this VM. s.mu must be held.
func (s *State) recordOwnRead(asOf clock.Instant, list []traffic.Endpoint) {
	// The clocks are read in this order, as the VM may be paused between the two.
	began := time.Now()
	began = began.Add(-s.opts.Clock.Now().Sub(asOf))
	s.ownRead = ownRead{asOf: asOf, began: began, list: list}
}

// Listed returns when the last read of the store by this VM began, if it found the endpoint, and otherwise zero. It is also zero
// while the store may list former lifetimes of endpoints, as it was restored from a backup. ok is false if the table in force
// lacks the endpoint.
func (s *State) Listed(id traffic.EndpointID) (readAt time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := find(s.endpoints.List, id); e == nil {
		return time.Time{}, false
	} else if e.Retained || s.restored != nil && s.opts.Clock.Now().Before(s.restored.confirmedAt) || find(s.ownRead.list, id) == nil {
		return time.Time{}, true
	}
	return s.ownRead.began, true
}

func find(list []traffic.Endpoint, id traffic.EndpointID) *traffic.Endpoint {
	for i := range list {
		if list[i].ID == id {
			return &list[i]
		}
	}
	return nil
}

// RequestRead asks for a read of the store that begins after this call, ahead of the next regular one. It returns false if this
// VM does not read on request now: others do, or its last read failed.
func (s *State) RequestRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRequested = s.opts.Clock.Now()
	return s.readsOnRequest
}

// rereadPoll is the time between two checks whether a requested read has ended.
const rereadPoll = 20 * time.Millisecond

// Reread asks for a read of the store and waits until the table in force is at least as new. It returns false if this VM does
// not read now, or not before ctx ends.
func (s *State) Reread(ctx context.Context) bool {
	since := s.opts.Clock.Now()
	if !s.RequestRead() {
		return false
	}
	for !s.readSince(since) {
		if !clock.Sleep(ctx, rereadPoll) {
			return false
		}
	}
	return true
}

// readSince reports whether this VM has read the store since a time.
func (s *State) readSince(since clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownRead.asOf >= since
}

// awaitsRead reports whether this VM has not read the store since a read was requested. mayRead says whether it would now.
func (s *State) awaitsRead(mayRead bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsOnRequest = mayRead
	return mayRead && s.readRequested > s.ownRead.asOf
}

// maxRegularAge is an age of the table that it does not reach while a VM reads the store regularly and the others hear of it.
const maxRegularAge = 2 * time.Second

// StoreAway reports whether no VM that this one hears of has read the store for longer than the time between regular reads.
func (s *State) StoreAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasTable && s.age() > maxRegularAge
}
