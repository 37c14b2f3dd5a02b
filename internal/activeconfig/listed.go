package activeconfig

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Listed returns the time since the store was last known to list an endpoint, which is long if the table in force retains it
// although the store may not list it. ok is false if the table lacks it.
func (s *State) Listed(id traffic.EndpointID) (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints.List {
		switch {
		case e.ID != id:
		case e.Retained:
			return noTableAge, true
		default:
			return s.age(), true
		}
	}
	return 0, false
}

// RequestRead asks for a read of the store that begins after this call, ahead of the next regular one.
func (s *State) RequestRead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRequested = s.opts.Clock.Now()
}

// awaitsRead reports whether the store has not been read since a read was requested.
func (s *State) awaitsRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readRequested > s.confirmed.asOf
}
