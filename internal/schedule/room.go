package schedule

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Room is the capacity of the engines that a request may use.
type Room struct {
	// Engines is the number of engines that take calls, be they full or not.
	Engines int
	// Free is the number of calls of the request's size that they can still take, Running the number of calls that they
	// run.
	Free, Running int
	// Hold is the mean time for which a call occupies its engine.
	Hold time.Duration
}

const (
	// initialHold is assumed until calls have ended.
	initialHold = 3 * time.Second
	// minHold is the least time that counts. A call that ends earlier was rejected by its engine or failed.
	minHold = 100 * time.Millisecond
	// holdWeight is the weight of a new measurement in the moving average.
	holdWeight = 0.05
)

// recordHold records for how long a call occupied its endpoint. The caller must hold s.mu.
func (s *Scheduler) recordHold(p pool, took time.Duration) {
	if p.stage != traffic.Decode || took < minHold {
		return
	}
	mean, ok := s.holds[p]
	if !ok {
		mean = initialHold
	}
	s.holds[p] = mean + time.Duration(holdWeight*float64(took-mean))
}

// Room returns the capacity of the engines that a request may use, as far as this VM knows it.
func (s *Scheduler) Room(req *Request) Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.table.room(s.opts.Clock.Now(), req)
	r.Hold = initialHold
	if mean, ok := s.holds[pool{req.Service, req.Stage}]; ok {
		r.Hold = mean
	}
	return r
}

func (t *table) room(now clock.Instant, req *Request) Room {
	var r Room
	localMean := t.localMean(req.Service, req.Stage)
	for _, e := range t.byService[req.Service] {
		if !t.considers(e, req) {
			continue
		}
		e.unreportedTokens = t.estimateUnreported(e, localMean)
		var c candidates
		c.add(now, t, e, req)
		if len(c.healthy) > 0 {
			r.Free += t.roomAt(now, e, req)
		}
		if len(c.healthy) > 0 || c.full {
			r.Engines++
			r.Running += e.totalWork().Calls
		}
	}
	return r
}

// roomAt returns how many calls of the request's size an engine can still take, besides the margin for calls of other
// data centres that are not reported yet.
func (t *table) roomAt(now clock.Instant, e *endpointState, req *Request) int {
	room := int64(maxRoom)
	if e.Slots > 0 {
		room = int64(e.Slots + maxQueued(e) - e.load(now).Calls)
	}
	if work := req.work(); work.Tokens > 0 {
		free := e.freeMemory(now)
		if t.reportsDelayed(e) {
			free -= int64(remoteMemoryMargin * float64(e.engine.KVCapacity))
		}
		room = min(room, free/work.Tokens)
	}
	return int(min(max(room, 0), maxRoom))
}

// maxRoom bounds the room of an engine whose capacity is not known.
const maxRoom = 1 << 10
