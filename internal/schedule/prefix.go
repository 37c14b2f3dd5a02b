package schedule

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/prefixcache"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// cacheTrustWeight is the weight of one prefill in the moving average of the share of expected savings that came true.
	cacheTrustWeight = 0.05
	// minTrustedFraction is the expected saving, as a fraction of the prompt, from which a prefill tells whether it came
	// true. Smaller savings are lost in the noise of the measured time.
	minTrustedFraction = 0.125
)

// prefixTable is what is known of the prefix caches of engines.
type prefixTable struct {
	prefixcache.Table
	// missRate is, by service, the share of expected savings that did not come true. Engines of a service may have no prefix
	// cache, which they tell nobody.
	missRate map[string]float64
	// later is memory that each choice uses anew.
	later []int
}

// prefillVersions returns the software versions of a service that have prefill engines.
func (t *table) prefillVersions(service string) []string {
	var out []string
	for _, s := range t.byService[service] {
		if s.Stage == traffic.Prefill && s.staying() && !slices.Contains(out, s.SoftwareVersion) {
			out = append(out, s.SoftwareVersion)
		}
	}
	return out
}

// prefills reports whether an engine would prefill the prompt of a request, and it is known what it may hold.
func (req *Request) prefills(s *endpointState) bool {
	return s.cached != nil && s.engine != nil && s.engine.KVCapacity > 0 &&
		(req.Stage != traffic.Decode || !slices.Contains(req.prefilledElsewhere, s.SoftwareVersion))
}

// subtractSavings subtracts from the scores of engines the prefill time that is expected to be saved there. It is at most
// the predicted time of the prompt alone, so that no prefill is predicted to take less than the queue before it. Engines
// that cannot become the cheapest one by what they save at most are not looked at.
func (t *table) subtractSavings(now clock.Instant, from []*endpointState, req *Request, scores []time.Duration) {
	if len(req.Prefix) == 0 || req.Tokens == nil || from[0].engine == nil {
		return
	}
	if req.Stage == traffic.Decode {
		req.prefilledElsewhere = t.prefillVersions(req.Service)
	}
	deepest := t.prefixes.Find(req.Prefix, from[0].engine.KVCapacity)
	if deepest == 0 {
		return
	}
	most, trust := t.mostSaved(from, req, deepest), t.trust(req.Service)
	best := slices.Min(scores)
	subtract := func(i int) {
		if s := from[i]; req.prefills(s) {
			held := min(s.cached.Match(now, s.freeMemory(now)).Tokens, req.Tokens.Prompt)
			scores[i] -= savingOf(trusted(held, trust), s.prefixRate())
			best = min(best, scores[i])
		}
	}
	// Engines that may hold the most parts come first: after them, most others cannot become the cheapest one.
	later := t.prefixes.later[:0]
	for i, s := range from {
		switch depth := s.cached.Depth(); {
		case depth == 0 || scores[i]-most[depth] >= best:
		case depth == deepest:
			subtract(i)
		default:
			later = append(later, i)
		}
	}
	t.prefixes.later = later
	for _, i := range later {
		if scores[i]-most[from[i].cached.Depth()] < best {
			subtract(i)
		}
	}
}

// mostSaved returns the longest prefill time that can be saved at any engine, by the number of parts that it holds.
func (t *table) mostSaved(from []*endpointState, req *Request, parts int) (most [prefixcache.MaxLinks + 1]time.Duration) {
	slowest := from[0].prefixRate()
	for _, s := range from {
		slowest = min(slowest, s.prefixRate())
	}
	for n := 1; n <= parts; n++ {
		most[n] = savingOf(min(req.Prefix.Tokens(n), req.Tokens.Prompt), slowest)
	}
	return most
}

// savingOf returns the time in which an engine prefills tokens at a rate.
func savingOf(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / max(rate, minPrefillRate) * float64(time.Second))
}

// prefixRate returns the speed at which an engine prefills what it does not hold.
func (s *endpointState) prefixRate() float64 {
	if s.uncachedRate > 0 {
		return s.uncachedRate
	}
	return s.prefillRate
}

// usualUncached is usualPrefill at the speed from which savings are subtracted, if the request names parts.
func (t *table) usualUncached(now clock.Instant, s *endpointState, req *Request) time.Duration {
	d := t.usualPrefill(now, s, req.work().Tokens)
	if len(req.Prefix) == 0 {
		return d
	}
	return time.Duration(float64(d) * max(s.prefillRate, minPrefillRate) / max(s.prefixRate(), minPrefillRate))
}

// held returns what an engine is expected to hold of the prompt that it would prefill. The parts were looked up by
// subtractSavings.
func (t *table) held(now clock.Instant, s *endpointState, req *Request) prefixcache.Held {
	if len(req.Prefix) == 0 || req.Tokens == nil || !req.prefills(s) {
		return prefixcache.Held{}
	}
	h := s.cached.Match(now, s.freeMemory(now))
	h.Tokens = min(h.Tokens, req.Tokens.Prompt)
	return h
}

// trust returns the share of expected savings at engines of a service that counts.
func (t *table) trust(service string) float64 { return 1 - t.prefixes.missRate[service] }

func trusted(tokens int64, trust float64) int64 { return int64(trust * float64(tokens)) }

// recordHeld records that an engine prefilled the prompt of a request.
func (t *table) recordHeld(now clock.Instant, s *endpointState, chain prefixcache.Chain) {
	if len(chain) == 0 || s.engine == nil || s.engine.KVCapacity <= 0 {
		return
	}
	cached, forgotten := t.prefixes.Add(s.ID)
	if other := t.states[forgotten]; other != nil {
		other.cached = nil
	}
	s.cached = cached
	cached.Record(now, chain)
}

// forgetHeld forgets what an engine holds: it is gone, or it has changed its stage.
func (t *table) forgetHeld(s *endpointState) {
	t.prefixes.Forget(s.ID)
	s.cached = nil
}

// recordPrefill records the time that an engine took for a prompt, and for the prompts queued before it. prefillRate includes
// what was saved, as the limit of the predicted prefill time is to let as many calls in as with placement by load alone.
// If the engine was expected to hold a part of the prompt, uncachedRate is known only within limits: it is moved only into
// these.
func (t *table) recordPrefill(s *endpointState, c *Choice, prompt int64, took time.Duration) {
	tokens := float64(prompt + c.EndpointWork.Tokens)
	most, least := tokens/took.Seconds(), (tokens-float64(c.SavedTokens))/took.Seconds()
	if s.uncachedRate == 0 {
		s.uncachedRate = s.prefillRate
	}
	t.recordSaving(s, c, prompt, tokens-s.uncachedRate*took.Seconds())
	s.uncachedRate += prefillRateWeight * (min(max(s.uncachedRate, least), most) - s.uncachedRate)
	s.prefillRate += prefillRateWeight * (most - s.prefillRate)
}

// recordSaving records how many tokens an engine seems not to have prefilled.
func (t *table) recordSaving(s *endpointState, c *Choice, prompt int64, saved float64) {
	expected := float64(c.Held.Tokens)
	if expected < minTrustedFraction*float64(prompt) || expected == 0 {
		return
	}
	if t.prefixes.missRate == nil {
		t.prefixes.missRate = map[string]float64{}
	}
	missed := 1 - min(max(0, saved/expected), 1)
	t.prefixes.missRate[s.Service] += cacheTrustWeight * (missed - t.prefixes.missRate[s.Service])
}

// RecordHeld records that the claim's engine has prefilled the prompt of the claim's request.
func (c *Claim) RecordHeld() {
	s := c.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.table.states[c.Endpoint.ID]; e != nil && e.Stage == c.Endpoint.Stage {
		s.table.recordHeld(s.opts.Clock.Now(), e, c.prefix)
	}
}
