package relay

import (
	"sync"
	"time"
)

// TraceEvent is one step of a request, kept for the operators' explain query.
type TraceEvent struct {
	At      time.Time
	Stage   string
	Message string
	Fields  map[string]string
}

// traceCapacity is the number of requests whose steps are kept; the oldest is dropped first.
const traceCapacity = 4096

// traces keeps the steps of the latest requests.
type traces struct {
	mu     sync.Mutex
	events map[string][]TraceEvent
	order  []string
	next   int
}

func newTraces() *traces {
	return &traces{events: map[string][]TraceEvent{}, order: make([]string, traceCapacity)}
}

func (t *traces) add(id string, e TraceEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.events[id]; !known {
		delete(t.events, t.order[t.next])
		t.order[t.next] = id
		t.next = (t.next + 1) % traceCapacity
	}
	t.events[id] = append(t.events[id], e)
}

func (t *traces) get(id string) ([]TraceEvent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.events[id]
	return append([]TraceEvent(nil), e...), ok
}
