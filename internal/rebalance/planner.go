// Package rebalance moves engines between the prefill and decode stages when one pool has spare
// capacity and the other is overloaded. A lease in the store ensures that at most one VM sends
// orders at a time. Moves are rare, because an engine that changes its stage serves no calls
// for several seconds.
package rebalance

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Pool is the utilization of a service's engines at one moment.
type Pool struct {
	// Prefill and Decode are the numbers of engines that accept work in each stage.
	Prefill, Decode int
	// Prefilling is the number of calls in prefill.
	Prefilling int
	// MemoryUse is the claimed fraction of the decode engines' memory.
	MemoryUse float64
}

// Move is a change of stage of some engines of a service.
type Move struct {
	Service string
	From    traffic.Stage
	To      traffic.Stage
	// Count is the number of engines.
	Count int
}

const (
	// sampleWeight is the weight of a new sample in the moving averages. With one sample each
	// 200 ms, the averages cover about 3 s.
	sampleWeight = 0.07
	// minSamples is the number of samples required before a move.
	minSamples = 12
	// minSamplesToPrefill is the number of samples required before an engine moves from decode to
	// prefill: the burst of calls after a restart is at first all in prefill.
	minSamplesToPrefill = 40
	// prefillBusyFraction is the fraction of the time between sending a prompt and receiving its
	// handle in which the engine is busy with it.
	prefillBusyFraction = 0.45
	// minMemoryUse is the decode memory use below which decode needs no more engines.
	minMemoryUse = 0.15
	// memoryGrowth is the factor by which decode memory use grows more than prefill use under a
	// burst: the more calls an engine holds, the longer each of them takes.
	memoryGrowth = 1.5
	// maxPrefillRatio bounds the prefill use after a move to decode, relative to the decode use
	// under a burst.
	maxPrefillRatio = 0.95
	// minPrefillRatio is the prefill use, relative to the decode use, from which an engine moves
	// back to prefill.
	minPrefillRatio = 1.2
	// minPrefillLoad is the prefill load below which prefill needs no more engines.
	minPrefillLoad = 0.8
	// minPrefillShare and minDecodeShare are the shares of a service's engines that each stage
	// keeps: moves correct a disproportionate layout and do not follow every burst.
	minPrefillShare = 0.3
	minDecodeShare  = 0.4
	// enginesPerMove is the number of engines of a service for each engine that one move may
	// include.
	enginesPerMove = 16
	// enginesPerLargeMove replaces enginesPerMove if the layout is far out of proportion, that is
	// if the prefill use after the move is below largeMoveRatio of its bound.
	enginesPerLargeMove = 4
	largeMoveRatio      = 0.7
	// moveCooldown is the time between moves of a service, in which the engine changes its stage
	// and the utilization of the pools adapts.
	moveCooldown = 9 * time.Second
)

// usage is the smoothed utilization of a service's pools.
type usage struct {
	samples         int
	prefillLoad     float64
	memoryUse       float64
	cooldownUntil   clock.Instant
	prefill, decode int
}

// Planner decides which engines to move. It is not safe for concurrent use.
type Planner struct{ services map[string]*usage }

// NewPlanner returns a Planner without samples.
func NewPlanner() *Planner { return &Planner{services: map[string]*usage{}} }

// AddSample records the utilization of a service's engines.
func (p *Planner) AddSample(service string, pool Pool) {
	u := p.services[service]
	if u == nil {
		u = &usage{}
		p.services[service] = u
	}
	u.prefill, u.decode = pool.Prefill, pool.Decode
	prefillLoad := prefillBusyFraction * float64(pool.Prefilling) / float64(max(1, pool.Prefill))
	if u.samples == 0 {
		u.prefillLoad, u.memoryUse = prefillLoad, pool.MemoryUse
	}
	u.samples++
	u.prefillLoad += sampleWeight * (prefillLoad - u.prefillLoad)
	u.memoryUse += sampleWeight * (pool.MemoryUse - u.memoryUse)
}

// NextMove returns a move that is due, if there is one.
func (p *Planner) NextMove(now clock.Instant) (Move, bool) {
	for service, u := range p.services {
		if u.samples < minSamples || now.Before(u.cooldownUntil) {
			continue
		}
		if m, ok := u.move(); ok {
			m.Service = service
			return m, true
		}
	}
	return Move{}, false
}

// move returns the largest move that the utilization of the pools permits.
func (u *usage) move() (Move, bool) {
	engines := u.prefill + u.decode
	for count := engines / enginesPerLargeMove; count > 0; count-- {
		ratio := maxPrefillRatio
		if count > max(1, engines/enginesPerMove) {
			ratio *= largeMoveRatio
		}
		if u.canMoveToDecode(float64(count), ratio) {
			return Move{From: traffic.Prefill, To: traffic.Decode, Count: count}, true
		}
	}
	if u.shouldMoveToPrefill() {
		return Move{From: traffic.Decode, To: traffic.Prefill, Count: 1}, true
	}
	return Move{}, false
}

// canMoveToDecode reports whether count engines can move from prefill to decode.
func (u *usage) canMoveToDecode(count, ratio float64) bool {
	n, m := float64(u.prefill), float64(u.decode)
	return n-count >= minPrefillShare*(n+m) && u.memoryUse >= minMemoryUse &&
		u.prefillLoad*n/(n-count) <= ratio*memoryGrowth*u.memoryUse*m/(m+count)
}

// shouldMoveToPrefill reports whether prefill needs an engine that decode can spare.
func (u *usage) shouldMoveToPrefill() bool {
	n, m := float64(u.prefill), float64(u.decode)
	return u.samples >= minSamplesToPrefill && m-1 >= minDecodeShare*(n+m) && u.prefillLoad >= minPrefillLoad &&
		u.prefillLoad*n/(n+1) >= minPrefillRatio*memoryGrowth*u.memoryUse*m/(m-1)
}

// StartCooldown starts the cooldown of a service after an attempted move and discards its samples.
func (p *Planner) StartCooldown(now clock.Instant, service string) {
	if u := p.services[service]; u != nil {
		u.cooldownUntil = now.Add(moveCooldown)
		u.samples = 0
	}
}
