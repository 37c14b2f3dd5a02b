// Package layout moves engines between prefill and decode where one pool has work to spare
// and the other is full. At most one VM gives orders at a time, by a lease in the store, and
// few are given, as an engine that changes its stage serves nothing for seconds.
package layout

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Pool is how a service's engines are used at one moment.
type Pool struct {
	// Prefill and Decode are the numbers of engines that take work.
	Prefill, Decode int
	// Reading is the number of calls whose prompts are being read.
	Reading int
	// Memory is the part of the decode engines' memory that is claimed.
	Memory float64
}

// Move is the change of the stage of some engines.
type Move struct {
	Service string
	From    traffic.Stage
	To      traffic.Stage
	// Count is the number of engines.
	Count int
}

const (
	// sampleStep is the weight of a new sample; with a sample each 200 ms, 3 s count.
	sampleStep = 0.07
	// minSamples must be seen before the first move.
	minSamples = 12
	// minBackSamples must be seen before decode gives an engine away: the calls that come all
	// at once after a restart are first all prompts.
	minBackSamples = 40
	// readingPart is the part of the time from sending a prompt to its handle in which the
	// engine is busy with it.
	readingPart = 0.45
	// minMemory is the use of decode memory from which it is worth an order to have more.
	minMemory = 0.15
	// memoryGrowth is how much more the use of decode memory grows under a burst than that of
	// prefill: the more calls an engine holds, the longer each takes.
	memoryGrowth = 1.5
	// spareRatio bounds the use of prefill after a move towards decode, as a part of that of
	// decode under a burst.
	spareRatio = 0.95
	// backRatio is the use of prefill, as a part of that of decode, from which one goes back.
	backRatio = 1.2
	// minReading is the use of prefill from which it is worth an order to have more.
	minReading = 0.8
	// minPrefillPart and minDecodePart are the parts of a service's engines that a stage keeps:
	// moves mend a layout that is out of proportion, and do not follow each burst.
	minPrefillPart = 0.3
	minDecodePart  = 0.4
	// enginesAMove is the number of a service's engines for each one that a move may change.
	enginesAMove = 16
	// enginesABigMove is the same for a layout that is far out of proportion: one whose use of
	// prefill after the move is under bigMoveRatio of what it may be.
	enginesABigMove = 4
	bigMoveRatio    = 0.7
	// settleTime is the time between moves of a service, in which an engine changes its stage
	// and the use of the pools follows.
	settleTime = 9 * time.Second
)

// usage is the smoothed use of a service's pools.
type usage struct {
	samples         int
	reading         float64
	memory          float64
	settledAt       clock.Instant
	prefill, decode int
}

// Planner decides on moves. It is not safe for use by many goroutines.
type Planner struct{ services map[string]*usage }

// NewPlanner makes a Planner.
func NewPlanner() *Planner { return &Planner{services: map[string]*usage{}} }

// Sample takes over how a service's engines are used.
func (p *Planner) Sample(service string, pool Pool) {
	u := p.services[service]
	if u == nil {
		u = &usage{}
		p.services[service] = u
	}
	u.prefill, u.decode = pool.Prefill, pool.Decode
	reading := readingPart * float64(pool.Reading) / float64(max(1, pool.Prefill))
	if u.samples == 0 {
		u.reading, u.memory = reading, pool.Memory
	}
	u.samples++
	u.reading += sampleStep * (reading - u.reading)
	u.memory += sampleStep * (pool.Memory - u.memory)
}

// Next gives the move that is due, if there is one.
func (p *Planner) Next(now clock.Instant) (Move, bool) {
	for service, u := range p.services {
		if u.samples < minSamples || now.Before(u.settledAt) {
			continue
		}
		if m, ok := u.move(); ok {
			m.Service = service
			return m, true
		}
	}
	return Move{}, false
}

// move gives the move that the use of the pools asks for, as large as it may be.
func (u *usage) move() (Move, bool) {
	engines := u.prefill + u.decode
	for count := engines / enginesABigMove; count > 0; count-- {
		ratio := spareRatio
		if count > max(1, engines/enginesAMove) {
			ratio *= bigMoveRatio
		}
		if u.spare(float64(count), ratio) {
			return Move{From: traffic.Prefill, To: traffic.Decode, Count: count}, true
		}
	}
	if u.crowded() {
		return Move{From: traffic.Decode, To: traffic.Prefill, Count: 1}, true
	}
	return Move{}, false
}

// spare reports whether prefill can do without some engines.
func (u *usage) spare(count, ratio float64) bool {
	n, m := float64(u.prefill), float64(u.decode)
	return n-count >= minPrefillPart*(n+m) && u.memory >= minMemory &&
		u.reading*n/(n-count) <= ratio*memoryGrowth*u.memory*m/(m+count)
}

// crowded reports whether prefill lacks an engine that decode can do without.
func (u *usage) crowded() bool {
	n, m := float64(u.prefill), float64(u.decode)
	return u.samples >= minBackSamples && m-1 >= minDecodePart*(n+m) && u.reading >= minReading &&
		u.reading*n/(n+1) >= backRatio*memoryGrowth*u.memory*m/(m-1)
}

// Settle states that a move of a service was tried.
func (p *Planner) Settle(now clock.Instant, service string) {
	if u := p.services[service]; u != nil {
		u.settledAt = now.Add(settleTime)
		u.samples = 0
	}
}
