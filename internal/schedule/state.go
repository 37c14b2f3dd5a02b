// Package schedule chooses the endpoints of a call: filters leave out endpoints that cannot
// take it, scorers predict what each of the others would cost, and a picker takes the
// cheapest. It knows the work that all VMs have given out, so that the memory of an engine is
// claimed before a prompt is read for it.
package schedule

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Work is what calls hold at an endpoint.
type Work struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Calls is the number of calls there.
	Calls int
	// Tokens is the memory of those that decode, or the prompts of those that are read.
	Tokens int64
}

func (w Work) plus(o Work) Work { return Work{Calls: w.Calls + o.Calls, Tokens: w.Tokens + o.Tokens} }

func (w Work) minus(o Work) Work { return Work{Calls: w.Calls - o.Calls, Tokens: w.Tokens - o.Tokens} }

// state is what this VM knows of one endpoint.
type state struct {
	traffic.Endpoint
	engine *traffic.Engine
	own    Work
	others otherWork
	health health
	// rate is the measured speed of reading prompts, in tokens a second.
	rate float64
	// reported is the load that the endpoint stated, at reportedAt.
	reported   int
	reportedAt clock.Instant
	// unseen is work that a refusal for lack of room showed, beyond what was told; it fades.
	unseen   Work
	unseenAt clock.Instant
	// untold is work in tokens that VMs of other data centres are taken to have given since they
	// told, as of the latest choice.
	untold int64
	// closedUntil is when the endpoint may be tried again after it refused to read prompts, or
	// began to change its stage; refusals counts those in a row.
	closedUntil clock.Instant
	refusals    int
}

type told struct {
	seq  uint64
	work Work
}

// otherWork is what other VMs hold at an endpoint, as they last told.
type otherWork struct {
	byVM map[ident.VM]told
	// sum is that of all VMs.
	sum Work
}

// take takes over what a VM holds, unless something newer was heard.
func (o *otherWork) take(vm ident.VM, t told) {
	was := o.byVM[vm]
	if was.seq > t.seq {
		return
	}
	if o.byVM == nil {
		o.byVM = map[ident.VM]told{}
	}
	o.byVM[vm] = t
	o.sum = o.sum.plus(t.work).minus(was.work)
}

func (o *otherWork) forget(vm ident.VM) {
	o.sum = o.sum.minus(o.byVM[vm].work)
	delete(o.byVM, vm)
}

// total is the work of all VMs.
func (s *state) total() Work { return s.own.plus(s.others.sum) }

const (
	// initialRate stands for an engine whose speed was not measured, in tokens a second.
	initialRate = 50_000
	// rateStep is how fast a measured speed is taken over.
	rateStep = 0.1
	// minRate keeps predictions bounded, in tokens a second.
	minRate = 1_000
)

// readTime predicts how long the reading of a prompt takes, the queue before it counted.
func (s *state) readTime(now clock.Instant, prompt int64) time.Duration {
	return time.Duration(float64(s.load(now).Tokens+prompt) / max(s.rate, minRate) * float64(time.Second))
}

// unseenTime is how long a refusal counts; work that nobody told of goes on for about as long.
const unseenTime = 1200 * time.Millisecond

// load is the work of all VMs, what is not told yet, and what refusals showed besides.
func (s *state) load(now clock.Instant) Work {
	w := s.total()
	w.Tokens += s.untold
	left := 1 - float64(now.Sub(s.unseenAt))/float64(unseenTime)
	if left <= 0 {
		return w
	}
	return w.plus(Work{Calls: int(left * float64(s.unseen.Calls)), Tokens: int64(left * float64(s.unseen.Tokens))})
}

// refused notes that the endpoint had no room for a call that was counted in already.
func (s *state) refused(now clock.Instant) {
	known := s.total()
	s.unseenAt = now
	s.unseen = Work{Calls: max(0, s.Slots+queued(s)-known.Calls+1)}
	if s.engine != nil {
		s.unseen = Work{Tokens: max(0, s.engine.KVCapacity-known.Tokens+1)}
	}
}

const (
	// minClosed is the first time for which an engine that refuses to read prompts is left
	// alone; it doubles with each refusal in a row up to maxClosed.
	minClosed = 300 * time.Millisecond
	maxClosed = 4 * time.Second
	// moveTime is the longest time for which an engine that changes its stage is left alone; the
	// table of endpoints mostly shows the new stage before.
	moveTime = 9 * time.Second
)

// refusedPrompt notes that the engine did not read a prompt.
func (s *state) refusedPrompt(now clock.Instant) {
	if now.Before(s.closedUntil) {
		return // one refusal seen by several calls
	}
	s.closedUntil = now.Add(min(maxClosed, minClosed<<min(s.refusals, 8)))
	s.refusals++
}

// room gives the tokens of memory that are free for decoding.
func (s *state) room(now clock.Instant) int64 {
	if s.engine == nil || s.engine.KVCapacity <= 0 {
		return 1 << 40
	}
	return s.engine.KVCapacity - s.load(now).Tokens
}

// memoryBlock is the unit in which engines give out memory, in tokens.
const memoryBlock = 16

// guessedPart stands for the part of the most output that calls make where they do not guess.
const guessedPart = 0.4

// decodeNeed is the memory that a generation takes while it decodes, in tokens: its prompt and
// half of what it will make, as the calls of an engine are at all points of their answers.
func decodeNeed(t traffic.Tokens) int64 {
	expected := t.ExpectedOutput
	if expected <= 0 {
		expected = int64(guessedPart * float64(t.MaxOutput))
	}
	return (t.Prompt + min(expected, t.MaxOutput)/2 + memoryBlock - 1) / memoryBlock * memoryBlock
}
