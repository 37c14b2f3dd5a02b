package engine

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/test/standin"
)

const maxEvents = 4096

// cache is an LRU prefix cache of prompt pieces, least recently used first, with the events
// about their insertion and eviction.
type cache struct {
	capacity     int
	dropInterval uint64
	pieces       []uint64
	seq          uint64
	events       []timedEvent
}

type timedEvent struct {
	endpoint.CacheEvent
	at time.Time
}

func newCache(capacity int, dropInterval uint64) cache {
	return cache{capacity: capacity, dropInterval: dropInterval}
}

// cachedPrefix returns the number of leading pieces that are cached.
func (c *cache) cachedPrefix(pieces []uint64) int64 {
	var n int64
	for _, p := range pieces {
		if !slices.Contains(c.pieces, p) {
			break
		}
		n++
	}
	return n
}

// add inserts pieces and evicts the least recently used ones.
func (c *cache) add(pieces []uint64, now time.Time) {
	for _, p := range pieces {
		if i := slices.Index(c.pieces, p); i >= 0 {
			c.pieces = slices.Delete(c.pieces, i, i+1)
		} else {
			c.recordEvent(p, true, now)
		}
		c.pieces = append(c.pieces, p)
	}
	for len(c.pieces) > c.capacity {
		c.recordEvent(c.pieces[0], false, now)
		c.pieces = c.pieces[1:]
	}
}

func (c *cache) recordEvent(piece uint64, present bool, now time.Time) {
	c.seq++
	if c.dropInterval > 0 && c.seq%c.dropInterval == 0 {
		return
	}
	c.events = append(c.events, timedEvent{endpoint.CacheEvent{Seq: c.seq, Piece: piece, Present: present}, now})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with a sequence number above seq that occurred no later than latest.
func (c *cache) eventsAfter(seq uint64, latest time.Time) []endpoint.CacheEvent {
	out := []endpoint.CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(latest) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

type eventsResponse struct {
	Events []endpoint.CacheEvent `json:"events"`
}

// eventsPollInterval is the interval at which a long poll checks for new events.
const eventsPollInterval = 100 * time.Millisecond

func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	deadline := time.Now().Add(endpoint.EventsPollTimeout)
	for {
		s.mu.Lock()
		events := s.cache.eventsAfter(after, time.Now().Add(-s.opts.EventLag))
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(deadline) {
			standin.WriteJSON(w, http.StatusOK, eventsResponse{events})
			return
		}
		if standin.Sleep(r.Context(), eventsPollInterval) != nil {
			return
		}
	}
}
