package placement

import (
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
)

// tryByTurn serves the baseline policies: a request is assigned at once, in turn or to the
// lowest reported load, without regard to claims or predictions.
func (c *Cell) tryByTurn(now clock.Instant, w *waiting) verdict {
	ch := &c.choice
	*ch = choice{}
	r := &w.request
	prefill := c.byName[r.Kept]
	if r.NeedPrefill || prefill == nil {
		prefill = c.next(r, configuration.RolePrefill, ch)
	}
	decode := c.next(r, configuration.RoleDecode, ch)
	if prefill == nil || decode == nil {
		return c.refuse(now, w, ch.rejected, noEndpoint(ch.rejected))
	}
	ch.pair = pair{prefill: prefillOption{replica: prefill}, decode: decodeOption{replica: decode}}
	c.assign(now, w, ch)
	return done
}

// next picks one endpoint of a role by the policy.
func (c *Cell) next(r *Request, role configuration.Role, ch *choice) *replica {
	state := &c.roles[roleIndex(role)]
	ch.add(state)
	all := state.usable
	v := c.viewOf(role, r)
	c.turn[roleIndex(role)]++
	first := c.turn[roleIndex(role)]
	var picked *replica
	for i := range all {
		e := all[(first+uint64(i))%uint64(len(all))]
		if !v.accepts(e, ch) {
			continue
		}
		if picked == nil || (c.policy == PolicyLeastLoaded && reportedLoad(e) < reportedLoad(picked)) {
			picked = e
		}
	}
	return picked
}

func reportedLoad(e *replica) int { return e.load.Running + e.load.Queued }
