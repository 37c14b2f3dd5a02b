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
	// slowdownStep is how fast the measured prefill speed is taken over.
	slowdownStep = 0.2
	// minSlowdown and maxSlowdown bound the measured prefill time over the predicted one.
	minSlowdown, maxSlowdown = 0.5, 4
	// minOverdue is the least time left to a decode past its predicted end.
	minOverdue = 250 * time.Millisecond
)

// claimPair claims both endpoints and the link of p for r, and gives the claim.
func (c *Cell) claimPair(now clock.Instant, r *Request, p *pair) *claim {
	cl := &claim{
		request:  *r,
		prefill:  p.prefill.replica,
		decode:   p.decode.replica,
		batch:    c.batchFor(r),
		assigned: now,
		expires:  now.Add(r.Deadline + claimGrace),
	}
	cl.assignment = Assignment{
		Prefill:            cl.prefill.name,
		Decode:             cl.decode.name,
		CachedTokens:       p.prefill.cached,
		ExpectedFirstToken: p.first,
	}
	cl.decodeAt = now.Add(p.first)
	if p.decode.slotAt == 0 && r.NeedPrefill {
		cl.startAt = p.transfer.end
	}
	if r.NeedPrefill {
		cl.prefillTokens = r.PromptTokens - p.prefill.cached
		cl.prefillAt = now.Add(p.prefill.wait)
		cl.prefill.prefill.add(now, cl)
		cl.prefill.prefill.predict(&c.cost, cl.prefill.slowdown)
		c.prefix.expect(now, cl.prefill.index, r.Pieces)
	} else {
		cl.stage = StagePrefillDone
	}
	c.reserveLink(cl, p.transfer)
	c.predictRelease(cl)
	cl.decode.recent.note(now, len(cl.decode.decode.claims)+1)
	cl.decode.decode.add(cl)
	c.claims[r.ID] = cl
	return cl
}

func (c *Cell) reserveLink(cl *claim, s span) {
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

// predictRelease sets the end of a decode that begins at cl.decodeAt, in a full batch.
func (c *Cell) predictRelease(cl *claim) {
	gap := c.cost.gap(max(1, cl.decode.capacity(cl.batch)))
	whole := time.Duration(cl.request.MaxOutputTokens) * gap
	cl.longest = cl.decodeAt.Add(whole)
	cl.release = cl.decodeAt.Add(scale(whole, c.lengths.predict(0)))
}

// free gives back all that a claim holds.
func (c *Cell) free(now clock.Instant, cl *claim) {
	c.endPrefill(now, cl)
	c.releaseLink(cl)
	cl.decode.recent.note(now, len(cl.decode.decode.claims))
	cl.decode.decode.remove(cl)
	delete(c.claims, cl.request.ID)
	for _, r := range []*replica{cl.prefill, cl.decode} {
		if r.unlisted && c.byName[r.name] == r {
			c.dropUnlisted(r)
		}
	}
}

func (c *Cell) dropUnlisted(r *replica) {
	before := len(c.byName)
	c.forgetUnused(r)
	if len(c.byName) != before {
		c.index()
	}
}

// progress moves a claim to a stage, through those before it.
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
		c.learnHold(now, cl)
		c.free(now, cl)
	}
}

func (c *Cell) prefillDone(now clock.Instant, cl *claim) {
	p := cl.prefill
	if len(p.prefill.work) > 0 && p.prefill.work[0] == cl {
		p.learnSpeed(now.Sub(p.prefill.headStart), c.cost.prefillTime(cl.prefillTokens))
	}
	c.endPrefill(now, cl)
	p.health.succeeded()
	took := c.cost.transferTime(cl.request.PromptTokens, linkRate(p, cl.decode))
	c.releaseLink(cl)
	start := earliest(&p.link, &cl.decode.link, now, took)
	c.reserveLink(cl, span{start: start, end: start.Add(took)})
}

// endPrefill takes a claim's work out of its prefill endpoint's queue.
func (c *Cell) endPrefill(now clock.Instant, cl *claim) {
	if cl.prefill.prefill.remove(now, cl) {
		cl.prefill.prefill.predict(&c.cost, cl.prefill.slowdown)
	}
}

// learnSpeed compares a prefill's time with the predicted one.
func (r *replica) learnSpeed(took, predicted time.Duration) {
	const leastMeasured = 5 * time.Millisecond
	if predicted < leastMeasured {
		return
	}
	seen := min(maxSlowdown, max(minSlowdown, float64(took)/float64(predicted)))
	r.slowdown += slowdownStep * (seen - r.slowdown)
}

func (c *Cell) transferDone(now clock.Instant, cl *claim, stage Stage) {
	c.releaseLink(cl)
	if stage > StageTransferDone {
		return
	}
	cl.decode.health.succeeded()
	if cl.startAt != 0 {
		c.overhead.learn(now.Sub(cl.startAt))
	}
	cl.decodeAt = now
	c.predictRelease(cl)
	cl.decode.decode.refresh()
}

// learnHold compares a decode's time with the longest one.
func (c *Cell) learnHold(now clock.Instant, cl *claim) {
	whole := cl.longest.Sub(cl.decodeAt)
	if cl.stage < StageTransferDone || whole <= 0 || now.Before(cl.decodeAt) {
		return
	}
	c.lengths.learn(float64(now.Sub(cl.decodeAt)) / float64(whole))
}

// refreshReleases moves on the predicted end of decodes that are past it.
func (c *Cell) refreshReleases(now clock.Instant) {
	for _, r := range c.decodes {
		late := false
		for _, cl := range r.decode.claims {
			if cl.release > now {
				continue
			}
			cl.release = c.later(now, cl)
			late = true
		}
		if late {
			r.decode.refresh()
		}
	}
}

// later predicts the end of a decode that is past its predicted end.
func (c *Cell) later(now clock.Instant, cl *claim) clock.Instant {
	soonest := now.Add(minOverdue)
	whole := cl.longest.Sub(cl.decodeAt)
	if whole <= 0 {
		return soonest
	}
	part := c.lengths.predict(float64(now.Sub(cl.decodeAt)) / float64(whole))
	return max(soonest, cl.decodeAt.Add(scale(whole, part)))
}

// dropExpired frees claims whose request must be over.
func (c *Cell) dropExpired(now clock.Instant) {
	for _, cl := range c.claims {
		if cl.expires <= now {
			c.free(now, cl)
		}
	}
}

func (c *Cell) cancel(now clock.Instant, id ident.RequestID) {
	if cl := c.claims[id]; cl != nil {
		c.free(now, cl)
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

// restore takes over a claim that another owner made. It is not refused: the engines may
// be working on it already.
func (c *Cell) restore(now clock.Instant, in RestoreInput) {
	id := in.Request.ID
	prefill, decode := c.byName[in.Assignment.Prefill], c.byName[in.Assignment.Decode]
	if c.claims[id] != nil || c.queued[id] != nil || decode == nil || in.Stage >= StageReleased {
		return
	}
	if prefill == nil {
		prefill = decode
	}
	p := &pair{prefill: prefillOption{replica: prefill, cached: in.Assignment.CachedTokens}, decode: decodeOption{replica: decode}}
	r := bounded(in.Request)
	r.NeedPrefill = in.Stage < StagePrefillDone && prefill.role == configuration.RolePrefill
	cl := c.claimPair(now, &r, p)
	cl.stage = in.Stage
	cl.assignment = in.Assignment
	elapsed := clamp(in.Elapsed, 0, maxRequestDuration)
	cl.assigned = now.Add(-elapsed)
	cl.expires = cl.expires.Add(-elapsed)
}
