package placement

import (
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
)

// tryBaseline implements the baseline policies. It assigns a request immediately, in rotation
// or to the endpoint with the lowest reported load, and ignores claims and predictions.
func (c *Cell) tryBaseline(now clock.Instant, w *queuedRequest) outcome {
	ch := &c.choice
	*ch = choice{}
	r := &w.request
	prefill := c.replicas[r.PrefillHolder]
	if r.NeedPrefill || prefill == nil {
		prefill = c.nextByPolicy(r, configuration.RolePrefill, ch)
	}
	decode := c.nextByPolicy(r, configuration.RoleDecode, ch)
	if prefill == nil || decode == nil {
		return c.refuse(now, w, ch.rejected, noEndpointFault(ch.rejected))
	}
	ch.pair = candidatePair{prefill: prefillCandidate{replica: prefill}, decode: decodeCandidate{replica: decode}}
	c.assign(now, w, ch)
	return outcomeDecided
}

// nextByPolicy selects one endpoint of a role according to the policy.
func (c *Cell) nextByPolicy(r *Request, role configuration.Role, ch *choice) *replica {
	state := &c.roles[roleIndex(role)]
	ch.addRejections(state)
	all := state.usable
	f := c.newEndpointFilter(r)
	c.rotation[roleIndex(role)]++
	first := c.rotation[roleIndex(role)]
	var picked *replica
	for i := range all {
		e := all[(first+uint64(i))%uint64(len(all))]
		if !f.accepts(e, ch) {
			continue
		}
		if picked == nil || (c.policy == PolicyLeastLoaded && reportedLoad(e) < reportedLoad(picked)) {
			picked = e
		}
	}
	return picked
}

func reportedLoad(e *replica) int { return e.load.Running + e.load.Queued }
