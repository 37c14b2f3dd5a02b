package relay

import (
	"sync"
	"time"
)

// TraceEvent is one step of a request, retained for the operators' explain query.
type TraceEvent struct {
	At      time.Time
	Stage   string
	Message string
	Fields  map[string]string
}

// traceCapacity is the number of requests whose steps are retained; the oldest is evicted first.
const traceCapacity = 4096

// traceStore holds the steps of the most recent requests.
type traceStore struct {
	mu     sync.Mutex
	events map[string][]TraceEvent
	ids    []string
	next   int
}

func newTraceStore() *traceStore {
	return &traceStore{events: map[string][]TraceEvent{}, ids: make([]string, traceCapacity)}
}

func (t *traceStore) add(id string, e TraceEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, exists := t.events[id]; !exists {
		delete(t.events, t.ids[t.next])
		t.ids[t.next] = id
		t.next = (t.next + 1) % traceCapacity
	}
	t.events[id] = append(t.events[id], e)
}

func (t *traceStore) get(id string) ([]TraceEvent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.events[id]
	return append([]TraceEvent(nil), e...), ok
}
