// Package rebalance moves engines between the prefill and decode stages when one stage has spare
// capacity and the other is overloaded. A lease in the store ensures that at most one VM sends
// orders at a time. Moves are rare, because an engine that changes its stage serves no calls
// for several seconds.
package rebalance

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Utilization is the utilization of a service's engines at one moment.
type Utilization struct {
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
	// memoryGrowth is the factor by which decode memory use grows more than prefill load in a burst
	// of calls: the more calls an engine decodes at the same time, the longer each of them takes.
	// Memory use times memoryGrowth is the projected memory use.
	memoryGrowth = 1.5
	// maxPrefillRatio is the maximum ratio of the prefill load to the projected memory use after a
	// move to decode.
	maxPrefillRatio = 0.95
	// minPrefillRatio is the minimum ratio of the prefill load to the projected memory use after a
	// move to prefill.
	minPrefillRatio = 1.2
	// minPrefillLoad is the prefill load below which prefill needs no more engines.
	minPrefillLoad = 0.8
	// minPrefillShare and minDecodeShare are the shares of a service's engines that each stage
	// keeps: moves correct the ratio of prefill to decode engines and do not follow every burst.
	minPrefillShare = 0.3
	minDecodeShare  = 0.4
	// minShortLoad is the prefill load from which an engine moves to prefill without regard to the
	// ratio of the loads, if prefill has lost engines; see serviceState.prefillShort.
	minShortLoad = 0.4
	// moveDivisor limits a move to 1/moveDivisor of a service's engines, but at least one engine.
	moveDivisor = 16
	// largeMoveDivisor replaces moveDivisor if the ratio of prefill to decode engines is far off:
	// after the move, the prefill load must be at most largeMoveRatio of its bound.
	largeMoveDivisor = 4
	largeMoveRatio   = 0.7
	// moveCooldown is the time between moves of a service, in which the engine changes its stage
	// and the utilization of both stages adapts.
	moveCooldown = 9 * time.Second
)

// serviceState is the state of a service: the moving averages of its prefill load and decode memory
// use, the last numbers of engines in each stage, and the cooldown after a move. samples counts the
// samples since the last cooldown began, shortSamples the last consecutive ones with prefillShort.
type serviceState struct {
	samples         int
	shortSamples    int
	prefillLoad     float64
	memoryUse       float64
	cooldownUntil   clock.Instant
	prefill, decode int
}

// Planner decides which engines to move. It is not safe for concurrent use.
type Planner struct{ services map[string]*serviceState }

// NewPlanner returns a Planner without samples.
func NewPlanner() *Planner { return &Planner{services: map[string]*serviceState{}} }

// AddSample records the utilization of a service's engines.
func (p *Planner) AddSample(service string, sample Utilization) {
	s := p.services[service]
	if s == nil {
		s = &serviceState{}
		p.services[service] = s
	}
	s.prefill, s.decode = sample.Prefill, sample.Decode
	s.shortSamples++
	if !s.prefillShort() {
		s.shortSamples = 0
	}
	prefillLoad := prefillBusyFraction * float64(sample.Prefilling) / float64(max(1, sample.Prefill))
	if s.samples == 0 {
		s.prefillLoad, s.memoryUse = prefillLoad, sample.MemoryUse
	}
	s.samples++
	s.prefillLoad += sampleWeight * (prefillLoad - s.prefillLoad)
	s.memoryUse += sampleWeight * (sample.MemoryUse - s.memoryUse)
}

// NextMove returns a move that is due, if there is one.
func (p *Planner) NextMove(now clock.Instant) (Move, bool) {
	for service, s := range p.services {
		if s.samples < minSamples || now.Before(s.cooldownUntil) {
			continue
		}
		if m, ok := s.move(); ok {
			m.Service = service
			return m, true
		}
	}
	return Move{}, false
}

// move returns the largest move that the utilization of the stages permits.
func (s *serviceState) move() (Move, bool) {
	engines := s.prefill + s.decode
	for count := engines / largeMoveDivisor; count > 0; count-- {
		ratio := maxPrefillRatio
		if count > max(1, engines/moveDivisor) {
			ratio *= largeMoveRatio
		}
		if s.canMoveToDecode(float64(count), ratio) {
			return Move{From: traffic.Prefill, To: traffic.Decode, Count: count}, true
		}
	}
	if s.shouldMoveToPrefill() || s.shouldReplacePrefill() {
		return Move{From: traffic.Decode, To: traffic.Prefill, Count: 1}, true
	}
	return Move{}, false
}

// canMoveToDecode reports whether count engines can move from prefill to decode: after the move, the
// prefill load must be at most ratio times the projected decode memory use, which is memoryGrowth
// times the memory use.
func (s *serviceState) canMoveToDecode(count, ratio float64) bool {
	n, m := float64(s.prefill), float64(s.decode)
	return n-count >= minPrefillShare*(n+m) && s.memoryUse >= minMemoryUse &&
		s.prefillLoad*n/(n-count) <= ratio*memoryGrowth*s.memoryUse*m/(m+count)
}

// shouldMoveToPrefill reports whether prefill needs an engine that decode can spare: after the move,
// the prefill load must still be at least minPrefillRatio times the projected decode memory use,
// which is memoryGrowth times the memory use.
func (s *serviceState) shouldMoveToPrefill() bool {
	n, m := float64(s.prefill), float64(s.decode)
	return s.samples >= minSamplesToPrefill && m-1 >= minDecodeShare*(n+m) && s.prefillLoad >= minPrefillLoad &&
		s.prefillLoad*n/(n+1) >= minPrefillRatio*memoryGrowth*s.memoryUse*m/(m-1)
}

// prefillShort reports whether prefill has at least one engine less than its minimum share. As moves
// keep that share, engines have left since.
func (s *serviceState) prefillShort() bool {
	return float64(s.prefill+1) <= minPrefillShare*float64(s.prefill+s.decode)
}

// shouldReplacePrefill reports whether prefill has been short for minSamples, is in use, and decode can
// spare an engine. It answers the removal of prefill engines: their prompts queue at the few that are
// left, and decode memory runs empty meanwhile.
func (s *serviceState) shouldReplacePrefill() bool {
	n, m := float64(s.prefill), float64(s.decode)
	return s.shortSamples >= minSamples && m-1 >= minDecodeShare*(n+m) && s.prefillLoad >= minShortLoad &&
		memoryGrowth*s.memoryUse*m/(m-1) <= 1
}

// StartCooldown starts the cooldown of a service after an attempted move and discards its samples.
func (p *Planner) StartCooldown(now clock.Instant, service string) {
	if s := p.services[service]; s != nil {
		s.cooldownUntil = now.Add(moveCooldown)
		s.samples = 0
	}
}
