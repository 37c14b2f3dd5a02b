package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// wakeSlot is the time within which a claim becomes known to the direct peers.
const wakeSlot = 3 * time.Millisecond

// SetPeerOrder sets the list of this VM and its direct peers, and this VM's index in it. The order
// must be the same on all of them. If they are divided into subsets, every subsets-th one is told at once
// when capacity is freed.
func (s *Scheduler) SetPeerOrder(order []ident.VM, self, subsets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.self, s.subsets = order, self, subsets
}

// wakeDelay returns how long after another VM freed capacity this VM's queued calls may claim it.
// Each VM of a subset has its own slot, counted from the VM that freed the capacity. Otherwise the calls
// queued at many VMs would all claim the same capacity as soon as they learn of it.
func (s *Scheduler) wakeDelay(from ident.VM) time.Duration {
	at := slices.Index(s.peers, from)
	if n := len(s.peers); at >= 0 && n > 1 {
		return wakeSlot * time.Duration((s.self-at+n)%n) / time.Duration(max(1, s.subsets))
	}
	return 0
}

// pool identifies the endpoints that calls queue for.
type pool struct {
	service string
	stage   traffic.Stage
}

// queueKey identifies a queue. Calls with other home regions have a queue of their own, as they would otherwise wait for
// calls that can only be placed elsewhere.
type queueKey struct {
	pool
	regions string
}

func (req *Request) queueKey() queueKey {
	k := queueKey{pool: pool{req.Service, req.Stage}}
	if req.Regions != nil {
		k.regions = strings.Join(slices.Sorted(slices.Values(req.Regions)), "\n")
	}
	return k
}

// QueueEntry is a call's entry in the queue for capacity. Without the queue, small calls would take
// all capacity that becomes available, and large ones would never be placed.
type QueueEntry struct {
	scheduler *Scheduler
	key       queueKey
	position  position
	// passed is the number of more urgent calls that were placed while this call was the first of its rank.
	passed int
}

// position is a call's position in the queue. Calls of equal positions are placed in order of arrival.
type position struct {
	rank     int
	returned bool
	planUse  float64
}

func (req *Request) position() position { return position{req.Rank, req.Returned, req.PlanUse} }

// before reports whether a call is to be placed before another one that arrived earlier.
func (p position) before(o position) bool {
	switch {
	case p.rank != o.rank:
		return p.rank < o.rank
	case p.returned != o.returned:
		return p.returned
	}
	return p.planUse < o.planUse
}

// maxPassed is the number of more urgent calls that may be placed before the first call of a rank. After that
// the call is placed as soon as there is capacity, so that calls of its rank are not starved.
const maxPassed = 4

// Enqueue adds a call to the queue for its service and stage: by rank, then callers that have come back, then by the
// used part of the plan, then by arrival.
func (s *Scheduler) Enqueue(req *Request) *QueueEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &QueueEntry{scheduler: s, key: req.queueKey(), position: req.position()}
	queue := s.queues[e.key]
	at := slices.IndexFunc(queue, func(o *QueueEntry) bool { return e.position.before(o.position) })
	if at < 0 {
		at = len(queue)
	}
	s.queues[e.key] = slices.Insert(queue, at, e)
	return e
}

// mustWait reports whether other calls are queued before a call. The caller must hold s.mu.
func (s *Scheduler) mustWait(req *Request, entry *QueueEntry) bool {
	queue := s.queues[req.queueKey()]
	if len(queue) == 0 || req.SkipQueue {
		return false
	}
	if entry == nil {
		return !req.position().before(queue[0].position)
	}
	return queue[0] != entry && (entry.passed < maxPassed || firstOf(queue, req.Rank) != entry)
}

// firstOf returns the first entry of a rank, nil if there is none.
func firstOf(queue []*QueueEntry, rank int) *QueueEntry {
	at := slices.IndexFunc(queue, func(e *QueueEntry) bool { return e.position.rank == rank })
	if at < 0 {
		return nil
	}
	return queue[at]
}

// countPassed records that a call was placed, for the first queued calls of less urgent ranks. The caller must hold s.mu.
func (s *Scheduler) countPassed(req *Request) {
	last := req.Rank
	for _, e := range s.queues[req.queueKey()] {
		if e.position.rank > last {
			e.passed++
			last = e.position.rank
		}
	}
}

// Leave removes the call from the queue. It may be called more than once.
func (e *QueueEntry) Leave() {
	s := e.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queues[e.key] = slices.DeleteFunc(s.queues[e.key], func(o *QueueEntry) bool { return o == e })
	if len(s.queues[e.key]) == 0 {
		delete(s.queues, e.key)
	}
	s.wakeLocked()
}

// wakeLocked wakes the calls that wait for capacity. The caller must hold s.mu.
func (s *Scheduler) wakeLocked() {
	close(s.capacityFreed)
	s.capacityFreed = make(chan struct{})
}

// CapacityFreed returns a channel that is closed when capacity may have become available.
func (s *Scheduler) CapacityFreed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacityFreed
}

// wake wakes the calls that wait for capacity.
func (s *Scheduler) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}
