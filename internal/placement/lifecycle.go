package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	// slowdownSmoothing is the smoothing factor of the measured prefill slowdown.
	slowdownSmoothing = 0.2
	// minSlowdown and maxSlowdown bound the ratio of the measured to the predicted prefill
	// time.
	minSlowdown, maxSlowdown = 0.5, 4
	// minOverrun is the minimum remaining time assumed for a decode that has run past its
	// predicted end.
	minOverrun = 250 * time.Millisecond
)

// claimPair claims both endpoints and the link of p for r.
func (c *Cell) claimPair(now clock.Instant, r *Request, p *candidatePair) *claim {
	cl := &claim{
		request:    *r,
		prefill:    p.prefill.replica,
		decode:     p.decode.replica,
		batchLimit: c.batchLimitFor(r),
		assignedAt: now,
		expiresAt:  now.Add(r.Deadline + claimGrace),
	}
	cl.assignment = Assignment{
		Prefill:            cl.prefill.name,
		Decode:             cl.decode.name,
		CachedTokens:       p.prefill.cached,
		ExpectedFirstToken: p.firstToken,
	}
	cl.decodeAt = now.Add(p.firstToken)
	if p.decode.slotIn == 0 && r.NeedPrefill {
		cl.transferEndAt = p.transfer.end
	}
	if r.NeedPrefill {
		cl.prefillTokens = r.PromptTokens - p.prefill.cached
		cl.prefillAt = now.Add(p.prefill.wait)
		cl.prefill.prefill.add(now, cl)
		cl.prefill.prefill.predict(&c.cost, cl.prefill.slowdown)
		c.prefix.addExpected(now, cl.prefill.index, r.Pieces)
	} else {
		cl.stage = StagePrefillDone
	}
	c.reserveLink(cl, p.transfer)
	c.predictRelease(cl)
	cl.decode.recentClaims.record(now, len(cl.decode.decode.claims)+1)
	cl.decode.decode.add(cl)
	c.claims[r.ID] = cl
	return cl
}

func (c *Cell) reserveLink(cl *claim, s linkSpan) {
	s.claim = cl
	cl.prefill.link.add(s)
	if cl.decode != cl.prefill {
		cl.decode.link.add(s)
	}
}

func (c *Cell) releaseLink(cl *claim) {
	cl.prefill.link.remove(cl)
	cl.decode.link.remove(cl)
}

// predictRelease predicts the end of a decode that starts at cl.decodeAt, assuming a full
// batch.
func (c *Cell) predictRelease(cl *claim) {
	gap := c.cost.gap(max(1, cl.decode.capacity(cl.batchLimit)))
	longest := time.Duration(cl.request.MaxOutputTokens) * gap
	cl.maxReleaseAt = cl.decodeAt.Add(longest)
	cl.releaseAt = cl.decodeAt.Add(scaleDuration(longest, c.decodeDurations.predict(0)))
}

// freeClaim releases all resources of a claim.
func (c *Cell) freeClaim(now clock.Instant, cl *claim) {
	c.endPrefill(now, cl)
	c.releaseLink(cl)
	cl.decode.recentClaims.record(now, len(cl.decode.decode.claims))
	cl.decode.decode.remove(cl)
	delete(c.claims, cl.request.ID)
	for _, r := range []*replica{cl.prefill, cl.decode} {
		if r.unlisted && c.replicas[r.name] == r {
			c.removeUnlisted(r)
		}
	}
}

func (c *Cell) removeUnlisted(r *replica) {
	before := len(c.replicas)
	c.removeIfUnused(r)
	if len(c.replicas) != before {
		c.rebuildRoles()
	}
}

// progress advances a claim to a stage and through the stages before it.
func (c *Cell) progress(now clock.Instant, id ident.RequestID, stage Stage) {
	cl := c.claims[id]
	if cl == nil || stage <= cl.stage {
		return
	}
	if cl.stage < StagePrefillDone {
		c.prefillDone(now, cl)
	}
	if stage >= StageTransferDone && cl.stage < StageTransferDone {
		c.transferDone(now, cl, stage)
	}
	cl.stage = stage
	if stage == StageReleased {
		c.observeDecodeDuration(now, cl)
		c.freeClaim(now, cl)
	}
}

func (c *Cell) prefillDone(now clock.Instant, cl *claim) {
	p := cl.prefill
	if len(p.prefill.claims) > 0 && p.prefill.claims[0] == cl {
		p.updateSlowdown(now.Sub(p.prefill.headStartedAt), c.cost.prefillTime(cl.prefillTokens))
	}
	c.endPrefill(now, cl)
	p.health.succeeded()
	transfer := c.cost.transferTime(cl.request.PromptTokens, linkRate(p, cl.decode))
	c.releaseLink(cl)
	start := earliestStart(&p.link, &cl.decode.link, now, transfer)
	c.reserveLink(cl, linkSpan{start: start, end: start.Add(transfer)})
}

// endPrefill removes a claim's work from the queue of its prefill endpoint.
func (c *Cell) endPrefill(now clock.Instant, cl *claim) {
	if cl.prefill.prefill.remove(now, cl) {
		cl.prefill.prefill.predict(&c.cost, cl.prefill.slowdown)
	}
}

// updateSlowdown compares the measured time of a prefill with the predicted time.
func (r *replica) updateSlowdown(elapsed, predicted time.Duration) {
	const minMeasured = 5 * time.Millisecond
	if predicted < minMeasured {
		return
	}
	measured := min(maxSlowdown, max(minSlowdown, float64(elapsed)/float64(predicted)))
	r.slowdown += slowdownSmoothing * (measured - r.slowdown)
}

func (c *Cell) transferDone(now clock.Instant, cl *claim, stage Stage) {
	c.releaseLink(cl)
	if stage > StageTransferDone {
		return
	}
	cl.decode.health.succeeded()
	if cl.transferEndAt != 0 {
		c.overhead.observe(now.Sub(cl.transferEndAt))
	}
	cl.decodeAt = now
	c.predictRelease(cl)
	cl.decode.decode.refresh()
}

// observeDecodeDuration records the decode time of a claim as a fraction of its maximum.
func (c *Cell) observeDecodeDuration(now clock.Instant, cl *claim) {
	longest := cl.maxReleaseAt.Sub(cl.decodeAt)
	if cl.stage < StageTransferDone || longest <= 0 || now.Before(cl.decodeAt) {
		return
	}
	c.decodeDurations.observe(float64(now.Sub(cl.decodeAt)) / float64(longest))
}

// extendOverdueReleases postpones the predicted release of decodes that have run past it.
func (c *Cell) extendOverdueReleases(now clock.Instant) {
	for _, r := range c.decodes {
		overdue := false
		for _, cl := range r.decode.claims {
			if cl.releaseAt > now {
				continue
			}
			cl.releaseAt = c.extendedRelease(now, cl)
			overdue = true
		}
		if overdue {
			r.decode.refresh()
		}
	}
}

// extendedRelease predicts the end of a decode that has run past its predicted end.
func (c *Cell) extendedRelease(now clock.Instant, cl *claim) clock.Instant {
	earliest := now.Add(minOverrun)
	longest := cl.maxReleaseAt.Sub(cl.decodeAt)
	if longest <= 0 {
		return earliest
	}
	fraction := c.decodeDurations.predict(float64(now.Sub(cl.decodeAt)) / float64(longest))
	return max(earliest, cl.decodeAt.Add(scaleDuration(longest, fraction)))
}

// freeExpiredClaims frees claims whose deadline and grace period have passed.
func (c *Cell) freeExpiredClaims(now clock.Instant) {
	for _, cl := range c.claims {
		if cl.expiresAt <= now {
			c.freeClaim(now, cl)
		}
	}
}

func (c *Cell) cancel(now clock.Instant, id ident.RequestID) {
	if cl := c.claims[id]; cl != nil {
		c.freeClaim(now, cl)
	}
	if w := c.queued[id]; w != nil {
		c.dequeue(w)
	}
}

func (c *Cell) membersChanged(now clock.Instant, members []membership.Member) {
	gone := func(vm ident.VM) bool {
		return slices.ContainsFunc(members, func(m membership.Member) bool {
			if m.VM.Name != vm.Name {
				return false
			}
			return m.VM.Incarnation > vm.Incarnation || (m.VM == vm && m.State == membership.Gone)
		})
	}
	for id := range c.claims {
		if gone(id.VM) {
			c.cancel(now, id)
		}
	}
	for id := range c.queued {
		if gone(id.VM) {
			c.cancel(now, id)
		}
	}
}

// restore adopts a claim that a previous owner made. It never refuses, because the engines may
// already be working on the request.
func (c *Cell) restore(now clock.Instant, in RestoreInput) {
	id := in.Request.ID
	prefill, decode := c.replicas[in.Assignment.Prefill], c.replicas[in.Assignment.Decode]
	if c.claims[id] != nil || c.queued[id] != nil || decode == nil || in.Stage >= StageReleased {
		return
	}
	if prefill == nil {
		prefill = decode
	}
	p := &candidatePair{prefill: prefillCandidate{replica: prefill, cached: in.Assignment.CachedTokens}, decode: decodeCandidate{replica: decode}}
	r := clampRequest(in.Request)
	r.NeedPrefill = in.Stage < StagePrefillDone && prefill.role == configuration.RolePrefill
	cl := c.claimPair(now, &r, p)
	cl.stage = in.Stage
	cl.assignment = in.Assignment
	elapsed := clamp(in.Elapsed, 0, maxRequestDuration)
	cl.assignedAt = now.Add(-elapsed)
	cl.expiresAt = cl.expiresAt.Add(-elapsed)
}
