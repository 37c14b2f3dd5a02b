// Package schedule selects the endpoints of calls. Filters exclude the endpoints that cannot take
// a call, scorers predict the cost of the others, and a picker selects the cheapest. All VMs report
// the work that they assign to engines, so a scheduler can claim an engine's memory before the
// prompt is prefilled.
package schedule

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/prefixcache"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Work is the load that calls put on an endpoint.
type Work struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Calls is the number of calls.
	Calls int
	// Tokens is the memory of decoding calls, or the length of the prompts in prefill.
	Tokens int64
}

func (w Work) plus(o Work) Work { return Work{Calls: w.Calls + o.Calls, Tokens: w.Tokens + o.Tokens} }

func (w Work) minus(o Work) Work { return Work{Calls: w.Calls - o.Calls, Tokens: w.Tokens - o.Tokens} }

// endpointState is what this VM knows about one endpoint.
type endpointState struct {
	traffic.Endpoint
	engine *traffic.EngineParameters
	own    Work
	// inFlight is the size of the requests of this VM's calls at the endpoint.
	inFlight int64
	peers    peerWork
	health   health
	path     path
	// notice is what the endpoint said about itself; nil if nothing.
	notice *notice
	// cold is nil if the endpoint's service does not say what cold endpoints bear.
	cold *coldState
	// cached is what the engine is expected to hold of prompts, nil if nothing is known.
	cached *prefixcache.Engine
	// prefillRate is the measured prefill speed, in tokens per second.
	prefillRate float64
	speed       speed
	// uncachedRate is the speed at which the engine prefills what it does not hold, 0 if it was not measured.
	uncachedRate float64
	// reportedCalls is the load that the endpoint reported at reportedAt.
	reportedCalls int
	reportedAt    clock.Instant
	// hiddenWork is work that no VM has reported but that a refusal for lack of capacity implies.
	// It decays from hiddenAt.
	hiddenWork Work
	hiddenAt   clock.Instant
	// unreportedTokens estimates, as of the last choice, the work that VMs of other data centres
	// have assigned since their last report.
	unreportedTokens int64
	// closedUntil is when the endpoint may be used again after it refused a prompt or began to
	// change its stage. refusals counts consecutive refusals.
	closedUntil clock.Instant
	refusals    int
}

type workReport struct {
	seq  uint64
	work Work
}

// peerWork is the work of other VMs at an endpoint, according to their last reports.
type peerWork struct {
	byVM map[ident.VM]workReport
	// total is the sum over all VMs.
	total Work
}

// update applies a VM's report unless a newer one was applied before.
func (p *peerWork) update(vm ident.VM, r workReport) {
	previous := p.byVM[vm]
	if previous.seq > r.seq {
		return
	}
	if p.byVM == nil {
		p.byVM = map[ident.VM]workReport{}
	}
	p.byVM[vm] = r
	p.total = p.total.plus(r.work).minus(previous.work)
}

func (p *peerWork) remove(vm ident.VM) {
	p.total = p.total.minus(p.byVM[vm].work)
	delete(p.byVM, vm)
}

// staying reports whether the endpoint neither is listed as leaving nor said so.
func (s *endpointState) staying() bool { return !s.Leaving && !s.notice.saysLeaving() }

// totalWork returns the work of all VMs.
func (s *endpointState) totalWork() Work { return s.own.plus(s.peers.total) }

const (
	// initialPrefillRate is assumed for an engine that was not measured yet, in tokens per second.
	initialPrefillRate = 50_000
	// prefillRateWeight is the weight of a new measurement in the moving average.
	prefillRateWeight = 0.1
	// minPrefillRate keeps predictions bounded, in tokens per second.
	minPrefillRate = 1_000
)

// prefillTime predicts the prefill time of a prompt, including the prompts queued before it.
func (s *endpointState) prefillTime(now clock.Instant, prompt int64) time.Duration {
	return time.Duration(float64(s.load(now).Tokens+prompt) / max(s.prefillRate, minPrefillRate) * float64(time.Second))
}

// hiddenWorkTime is the time in which hidden work decays to zero. It is about the time until work
// assigned by other data centres appears in their reports.
const hiddenWorkTime = 1200 * time.Millisecond

// load returns the work of all VMs, including the estimated unreported and hidden work.
func (s *endpointState) load(now clock.Instant) Work {
	w := s.totalWork()
	w.Tokens += s.unreportedTokens
	left := 1 - float64(now.Sub(s.hiddenAt))/float64(hiddenWorkTime)
	if left <= 0 {
		return w
	}
	return w.plus(Work{Calls: int(left * float64(s.hiddenWork.Calls)), Tokens: int64(left * float64(s.hiddenWork.Tokens))})
}

// recordRefusal records that the endpoint lacked capacity for a call that s.own already includes.
// The capacity that the known work leaves free must therefore be taken by hidden work.
func (s *endpointState) recordRefusal(now clock.Instant) {
	known := s.totalWork()
	s.hiddenAt = now
	s.hiddenWork = Work{Calls: max(0, s.Slots+maxQueued(s)-known.Calls+1)}
	if s.engine != nil {
		s.hiddenWork = Work{Tokens: max(0, s.engine.KVCapacity-known.Tokens+1)}
	}
}

const (
	// minCloseTime is how long an engine is not used after its first refusal of a prompt. The time
	// doubles with each consecutive refusal, up to maxCloseTime.
	minCloseTime = 300 * time.Millisecond
	maxCloseTime = 4 * time.Second
	// stageChangeTime is the longest time for which an engine that changes its stage is not used.
	// The endpoint table usually shows the new stage earlier.
	stageChangeTime = 9 * time.Second
)

// recordPrefillRefusal records that the engine refused a prompt.
func (s *endpointState) recordPrefillRefusal(now clock.Instant) {
	if now.Before(s.closedUntil) {
		return // the same refusal, observed by several calls
	}
	s.closedUntil = now.Add(min(maxCloseTime, minCloseTime<<min(s.refusals, 8)))
	s.refusals++
}

// freeMemory returns the memory that is available for decoding, in tokens. It is practically
// unlimited if the engine's capacity is not known.
func (s *endpointState) freeMemory(now clock.Instant) int64 {
	if s.engine == nil || s.engine.KVCapacity <= 0 {
		return 1 << 40
	}
	return s.engine.KVCapacity - s.load(now).Tokens
}

// memoryBlock is the unit in which engines allocate memory, in tokens.
const memoryBlock = 16

// defaultOutputFraction is the fraction of the maximum output that is expected from calls without
// an estimate of their own.
const defaultOutputFraction = 0.4

// decodeMemory returns the memory that a call takes while it decodes, in tokens: its prompt and half
// of its expected output, because on average the calls of an engine are halfway through their output.
func decodeMemory(t traffic.Tokens) int64 {
	expected := t.ExpectedOutput
	if expected <= 0 {
		expected = int64(defaultOutputFraction * float64(t.MaxOutput))
	}
	return (t.Prompt + min(expected, t.MaxOutput)/2 + memoryBlock - 1) / memoryBlock * memoryBlock
}
