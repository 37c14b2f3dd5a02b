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

// cache holds pieces of prompts, least recently used first, and the events about them.
type cache struct {
	size   int
	gap    uint64
	pieces []uint64
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	endpoint.CacheEvent
	at time.Time
}

func newCache(size int, gap uint64) cache { return cache{size: size, gap: gap} }

// prefix counts the leading pieces that are cached.
func (c *cache) prefix(pieces []uint64) int64 {
	var n int64
	for _, p := range pieces {
		if !slices.Contains(c.pieces, p) {
			break
		}
		n++
	}
	return n
}

// add puts pieces into the cache and drops the least recently used.
func (c *cache) add(pieces []uint64, now time.Time) {
	for _, p := range pieces {
		if i := slices.Index(c.pieces, p); i >= 0 {
			c.pieces = slices.Delete(c.pieces, i, i+1)
		} else {
			c.note(p, true, now)
		}
		c.pieces = append(c.pieces, p)
	}
	for len(c.pieces) > c.size {
		c.note(c.pieces[0], false, now)
		c.pieces = c.pieces[1:]
	}
}

func (c *cache) note(piece uint64, present bool, now time.Time) {
	c.seq++
	if c.gap > 0 && c.seq%c.gap == 0 {
		return
	}
	c.events = append(c.events, timedEvent{endpoint.CacheEvent{Seq: c.seq, Piece: piece, Present: present}, now})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// after gives the events above seq that happened before limit.
func (c *cache) after(seq uint64, limit time.Time) []endpoint.CacheEvent {
	out := []endpoint.CacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && !e.at.After(limit) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

type eventsAnswer struct {
	Events []endpoint.CacheEvent `json:"events"`
}

// eventsPoll is how often a waiting call looks for events.
const eventsPoll = 100 * time.Millisecond

func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	limit := time.Now().Add(endpoint.EventsPollTimeout)
	for {
		s.mu.Lock()
		events := s.cache.after(after, time.Now().Add(-s.opts.EventLag))
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(limit) {
			standin.WriteJSON(w, http.StatusOK, eventsAnswer{events})
			return
		}
		if standin.Sleep(r.Context(), eventsPoll) != nil {
			return
		}
	}
}
