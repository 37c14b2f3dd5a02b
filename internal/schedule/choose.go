package schedule

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/prefixcache"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Choice is a chosen endpoint with the values that led to the choice.
type Choice struct {
	Endpoint traffic.Endpoint
	// Via is the VM through which the call is to be sent, nil for directly.
	Via *traffic.Via
	// ExpectedPrefill is the predicted time until the prompt is prefilled, 0 in other stages.
	ExpectedPrefill time.Duration
	// Score is the predicted cost of the choice. Candidates is the number of endpoints compared.
	Score      time.Duration
	Candidates int
	// TableVersion is the version of the endpoint table that was used.
	TableVersion uint64
	// EndpointWork is the work of all VMs at the endpoint before this call.
	EndpointWork Work
	// Slowness is how long work took at the endpoint SlownessAge ago, as a multiple of the usual time; 0 if not known.
	Slowness    float64
	SlownessAge time.Duration
	// Ejected is set if all usable endpoints were ejected and one of them is tried nevertheless.
	Ejected bool
	// Cold is set if the endpoint is cold.
	Cold bool
	// Held is what the engine is expected to hold of the prompt. SavedTokens is the part of it that counted in Score.
	Held        prefixcache.Held
	SavedTokens int64
}

// candidates are the endpoints of a service and stage, by what keeps them from being used.
type candidates struct {
	// usable endpoints have capacity, healthy ones are not ejected besides. lastResort holds leaving ones that
	// may be used if there is no other one.
	usable, healthy, lastResort []*endpointState
	// full is set if some endpoints have no capacity, leaving if some are leaving.
	full, leaving bool
	// evacuated is set if some endpoints are in evacuated data centres.
	evacuated bool
	// heldUntil is the earliest time at which a held-back endpoint takes a call: the end of its pause, or the next
	// permit of its rate limit. It is 0 if there is no such endpoint. rateLimited is set if a limit is among them.
	heldUntil   clock.Instant
	rateLimited bool
	// coldUntil is the earliest time of a permit for a cold endpoint that has none now, 0 if there is no such endpoint.
	coldUntil clock.Instant
}

func (c *candidates) holdUntil(at clock.Instant) {
	if c.heldUntil == 0 || at.Before(c.heldUntil) {
		c.heldUntil = at
	}
}

// considers reports whether an endpoint of the service is one that the request may be sent to, whatever its state.
func (t *table) considers(s *endpointState, req *Request) bool {
	return s.Stage == req.Stage && t.unsuitable(s, req) == NotExcluded
}

// add adds an endpoint that the request may be sent to, and returns what excludes it.
func (c *candidates) add(now clock.Instant, t *table, s *endpointState, req *Request) Exclusion {
	excluded := t.excluded(now, s, req)
	switch excluded {
	case Evacuated:
		c.evacuated = true
	case ListedLeaving:
		c.leaving = true
	case Paused:
		c.holdUntil(s.notice.heldUntil)
	case RateLimited:
		c.rateLimited = true
		c.holdUntil(s.notice.share.NextAt(now))
	case ColdWithoutPermit:
		c.holdColdUntil(s.cold.nextPermit(now))
	case Probing, Full:
		c.full = true
	case SaysLeaving:
		c.leaving = true
		if s.notice.lastResort(now, t.drainTime) {
			c.lastResort = append(c.lastResort, s)
		}
	case Ejected, PathLost:
		c.usable = append(c.usable, s)
	default:
		c.usable = append(c.usable, s)
		c.healthy = append(c.healthy, s)
	}
	return excluded
}

// none returns the error if no endpoint can be used.
func (c *candidates) none(now clock.Instant) error {
	switch {
	case c.full:
		return errAllFull
	case len(c.usable) > 0: // all of them are ejected
		return errNoEndpoint
	case c.coldUntil > 0:
		return allCold(c.nextPermitAt().Sub(now))
	case c.rateLimited:
		return allRateLimited(c.heldUntil.Sub(now))
	case c.heldUntil > 0:
		return allPaused(c.heldUntil.Sub(now))
	case c.leaving:
		return allLeaving()
	case c.evacuated:
		return allEvacuated()
	}
	return errNoEndpoint
}

// choose filters and scores the endpoints and picks one. Its errors are those of Place. x records what led to the choice;
// it may be nil.
func (t *table) choose(now clock.Instant, req *Request, x *recording) (*endpointState, Choice, error) {
	var c candidates
	localMean := t.localMean(req.Service, req.Stage)
	for _, s := range t.byService[req.Service] {
		if !t.considers(s, req) {
			x.unsuitable(t, s, req)
			continue
		}
		s.unreportedTokens = t.estimateUnreported(s, localMean)
		x.add(s, c.add(now, t, s, req))
	}
	from, ejected := c.healthy, false
	if len(from) == 0 && t.awaitsVMs(now, req) {
		return nil, Choice{}, errAwaitingVMs
	}
	if len(from) == 0 && !c.full {
		from = probeable(c.usable)
		ejected = len(from) > 0
	}
	if len(from) == 0 && !c.full && len(c.usable) == 0 {
		from = c.lastResort
	}
	if len(from) == 0 && !t.listsRegions(req) {
		return nil, Choice{}, outsideRegions()
	}
	if len(from) == 0 && req.Version != nil && !t.hasVersion(req) {
		return nil, Choice{}, errVersionGone
	}
	if len(from) == 0 {
		return nil, Choice{}, c.none(now)
	}
	best, score := t.pick(now, from, req, x)
	choice := Choice{
		Via: t.via(best, req.Regions), Endpoint: best.Endpoint, Score: score, Candidates: len(from), TableVersion: t.version, EndpointWork: best.totalWork(), Ejected: ejected,
		Cold: best.cold.active(now),
	}
	if said := best.speed.latest; said.slowness > 0 {
		choice.Slowness, choice.SlownessAge = said.slowness, now.Sub(said.since)
	}
	choice.Held = t.held(now, best, req)
	choice.SavedTokens = trusted(choice.Held.Tokens, t.trust(best.Service))
	if req.Stage == traffic.Prefill && req.Tokens != nil {
		choice.ExpectedPrefill = t.expectedPrefill(now, best, req.Tokens.Prompt)
	}
	return best, choice, nil
}

// probeable returns the endpoints that may be tried although they are ejected: those without a call of
// this VM. One call at a time finds out whether an endpoint is back; the others would only wait for
// their timeouts.
func probeable(ejected []*endpointState) []*endpointState {
	var out []*endpointState
	for _, s := range ejected {
		if s.own.Calls == 0 {
			out = append(out, s)
		}
	}
	return out
}

// remoteScoreSpread is the score difference up to which endpoints of other data centres count as
// equal to the cheapest one. VMs of all data centres have the same information about them and
// would otherwise all choose the same one.
const remoteScoreSpread = 150 * time.Millisecond

// pick returns the cheapest endpoint, a random one if several are equal. If the cheapest one is in
// another data centre with delayed reports, any such endpoint within remoteScoreSpread is equal.
func (t *table) pick(now clock.Instant, from []*endpointState, req *Request, x *recording) (*endpointState, time.Duration) {
	slow, stale := slowShares(now, from)
	t.leftOut = slow*slow + staleFactor*stale*stale
	costs, scores := make([]Cost, len(from)), make([]time.Duration, len(from))
	for i, s := range from {
		costs[i] = t.score(now, s, req)
		scores[i] = costs[i].Total()
	}
	t.subtractSavings(now, from, req, scores)
	for i, s := range from {
		costs[i].Saved = costs[i].Total() - scores[i]
		x.compare(s, costs[i])
	}
	best := slices.Index(scores, slices.Min(scores))
	delayed := t.reportsDelayed(from[best])
	picked, equals := best, 0
	for i, s := range from {
		equal := scores[i] == scores[best]
		if delayed && t.reportsDelayed(s) {
			equal = scores[i] <= scores[best]+remoteScoreSpread
		}
		if !equal {
			continue
		}
		if equals++; t.random.IntN(equals) == 0 {
			picked = i
		}
	}
	return from[picked], scores[picked]
}
