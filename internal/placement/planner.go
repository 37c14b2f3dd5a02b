package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
)

// Actions of endpoint.ConfigureRequest.
const (
	orderLoadAdapter   = "load_adapter"
	orderUnloadAdapter = "unload_adapter"
	orderSetRole       = "set_role"
)

const (
	// planPeriod is the interval between planning rounds.
	planPeriod = 500 * time.Millisecond
	// maxOrders is the number of pending orders of one cell at which no further adapter order is
	// sent. It is low because endpoints load adapter weights from a rate-limited store.
	maxOrders = 2
	// orderEffectTimeout is how long an order counts as pending unless a load report shows its
	// effect.
	orderEffectTimeout = 60 * time.Second
	// orderRetryDelay is how long an endpoint receives no further order after a failed one.
	orderRetryDelay = 5 * time.Second
	// demandHalfLife is the half-life of the weight of past requests for an adapter.
	demandHalfLife = 30 * time.Second
	// adapterIdleTimeout is how long an adapter without requests counts as in use.
	adapterIdleTimeout = 10 * time.Minute
	// minAdapterCopies is the minimum number of endpoints of each role that load an adapter in
	// use.
	minAdapterCopies = 2
	// maxAdapters is the number of adapters above which an endpoint unloads idle ones.
	maxAdapters = 8
	// shortageTime is how long one role must be short of capacity and the other idle before an
	// endpoint changes its role. roleCooldown is the minimum time between two role changes.
	shortageTime, roleCooldown = 10 * time.Second, 60 * time.Second
	// shortageUtilization and idleUtilization are the thresholds for a role that is short of
	// capacity and for one that is idle. A role may only give up an endpoint if its utilization
	// then stays below safeUtilization.
	shortageUtilization, idleUtilization, safeUtilization = 0.95, 0.5, 0.8
	// utilizationWindow is the time constant of the utilization average.
	utilizationWindow = 5 * time.Second
)

// OrderAction requests one order to one endpoint. It is answered by an OrderDoneInput.
type OrderAction struct {
	Endpoint string
	Address  string
	// ChecksFence is set if the endpoint rejects orders with an old fencing token.
	ChecksFence bool
	// Action and Target are the action of the endpoint.ConfigureRequest and the adapter or role that
	// it applies to.
	Action, Target string
}

// OrderDoneInput reports the result of an OrderAction.
type OrderDoneInput struct {
	Endpoint string
	// Failed is set if the endpoint did not accept the order.
	Failed bool
}

func (OrderDoneInput) input() {}

// planner decides by demand which adapters endpoints load and which role they have.
type planner struct {
	enabled       bool
	nextPlanAt    clock.Instant
	demand        map[string]*adapterDemand
	orders        map[string]*order
	utilization   [2]float64
	utilizationAt clock.Instant
	// shortSince is when a role became short of capacity while the other was idle, 0 if it is
	// not.
	shortSince     [2]clock.Instant
	lastRoleChange clock.Instant
	// changingReplica is the endpoint whose role is being changed, newRole the role it is to have.
	changingReplica *replica
	newRole         configuration.Role
}

// adapterDemand counts recent requests for one adapter.
type adapterDemand struct {
	decayedCount  float64
	lastRequestAt clock.Instant
	decayedAt     clock.Instant
}

// order is one pending order.
type order struct {
	action, target string
	expiresAt      clock.Instant
}

func newPlanner() planner {
	return planner{demand: map[string]*adapterDemand{}, orders: map[string]*order{}}
}

// recordDemand counts a request. Requests without an adapter are counted under the empty name.
func (p *planner) recordDemand(now clock.Instant, r *Request) {
	if !p.enabled {
		return
	}
	d := p.demand[r.Adapter]
	if d == nil {
		d = &adapterDemand{decayedAt: now}
		p.demand[r.Adapter] = d
	}
	d.decay(now)
	d.decayedCount++
	d.lastRequestAt = now
}

func (d *adapterDemand) decay(now clock.Instant) {
	d.decayedCount *= math.Exp2(-now.Sub(d.decayedAt).Seconds() / demandHalfLife.Seconds())
	d.decayedAt = now
}

// plan updates the utilization and runs a planning round if planPeriod has elapsed since the last
// one. Each round emits at most one adapter order and at most one role order; maxOrders applies to
// adapter orders only.
func (c *Cell) plan(now clock.Instant) {
	p := &c.planner
	if !p.enabled {
		return
	}
	c.updateUtilization(now)
	if now.Before(p.nextPlanAt) {
		return
	}
	p.nextPlanAt = now.Add(planPeriod)
	c.removeFinishedOrders(now)
	c.planRoles(now)
	if len(p.orders) < maxOrders {
		c.planAdapters(now)
	}
}

// removeFinishedOrders removes orders whose effect was reported or which have expired.
func (c *Cell) removeFinishedOrders(now clock.Instant) {
	maps.DeleteFunc(c.planner.orders, func(name string, o *order) bool {
		r := c.replicas[name]
		return r == nil || now >= o.expiresAt || o.hasTakenEffect(r)
	})
}

// hasTakenEffect reports whether the endpoint's load report shows the effect of the order.
func (o *order) hasTakenEffect(r *replica) bool {
	switch o.action {
	case orderLoadAdapter:
		return slices.Contains(r.load.Adapters, o.target)
	case orderUnloadAdapter:
		return !slices.Contains(r.load.Adapters, o.target)
	default:
		return r.load.Role == o.target
	}
}

func (c *Cell) emitOrder(now clock.Instant, r *replica, action, target string) {
	c.planner.orders[r.name] = &order{action: action, target: target, expiresAt: now.Add(orderEffectTimeout)}
	c.emit(Action{Order: &OrderAction{
		Endpoint:    r.name,
		Address:     r.config.Address,
		ChecksFence: r.config.ChecksFencingToken,
		Action:      action,
		Target:      target,
	}})
}

// orderDone allows a failed order to be retried after a delay. An accepted order remains
// pending until a load report shows its effect.
func (c *Cell) orderDone(now clock.Instant, in OrderDoneInput) {
	p := &c.planner
	o := p.orders[in.Endpoint]
	if !in.Failed || o == nil {
		return
	}
	o.expiresAt = now.Add(orderRetryDelay)
	if o.action == orderSetRole {
		c.endRoleChange(now)
	}
}

// planAdapters loads the first adapter that has too few copies, or unloads an idle one.
func (c *Cell) planAdapters(now clock.Instant) {
	names := slices.Sorted(maps.Keys(c.planner.demand))
	total := 0.0
	for _, name := range names {
		d := c.planner.demand[name]
		if now.Sub(d.lastRequestAt) > adapterIdleTimeout {
			delete(c.planner.demand, name)
			continue
		}
		d.decay(now)
		total += d.decayedCount
	}
	for _, name := range names {
		d := c.planner.demand[name]
		if d == nil || name == "" {
			continue
		}
		for role := range c.roles {
			if r := c.endpointToLoad(role, name, d.decayedCount/max(total, 1)); r != nil {
				c.emitOrder(now, r, orderLoadAdapter, name)
				return
			}
		}
	}
	c.unloadIdle(now)
}

// endpointToLoad returns the endpoint of the given role on which an adapter should be loaded next.
// It returns nil if the role has enough copies for the adapter's share of the demand, or if no
// endpoint can load it at present.
func (c *Cell) endpointToLoad(role int, adapter string, share float64) *replica {
	usable := c.roles[role].usable
	want := min(len(usable), max(minAdapterCopies, int(math.Ceil(share*float64(len(usable))))))
	have := 0
	var best *replica
	for _, r := range usable {
		o := c.planner.orders[r.name]
		switch {
		case !r.hasReported:
		case r.hasAdapter(adapter), o != nil && o.action == orderLoadAdapter && o.target == adapter:
			have++
		case o != nil:
		case best == nil || len(r.load.Adapters) < len(best.load.Adapters):
			best = r
		}
	}
	if have >= want {
		return nil
	}
	return best
}

func (c *Cell) unloadIdle(now clock.Instant) {
	for _, state := range c.roles {
		for _, r := range state.usable {
			if len(r.load.Adapters) <= maxAdapters || c.planner.orders[r.name] != nil {
				continue
			}
			for _, a := range slices.Sorted(slices.Values(r.load.Adapters)) {
				if c.planner.demand[a] == nil {
					c.emitOrder(now, r, orderUnloadAdapter, a)
					return
				}
			}
		}
	}
}

// updateUtilization updates the moving averages of the fraction of prefill endpoints that have
// claims, and of the fraction of decode slots that are claimed.
func (c *Cell) updateUtilization(now clock.Instant) {
	p := &c.planner
	busy, slots, claimed := 0, 0, 0
	prefills, decodes := c.roles[0].usable, c.roles[1].usable
	for _, r := range prefills {
		if len(r.prefill.claims) > 0 {
			busy++
		}
	}
	for _, r := range decodes {
		slots += r.config.Slots
		claimed += len(r.decode.claims)
	}
	current := [2]float64{
		float64(busy) / float64(max(1, len(prefills))),
		float64(claimed) / float64(max(1, slots)),
	}
	step := 1 - math.Exp(-now.Sub(p.utilizationAt).Seconds()/utilizationWindow.Seconds())
	if p.utilizationAt == 0 {
		step = 1
	}
	p.utilizationAt = now
	for i := range current {
		p.utilization[i] += step * (current[i] - p.utilization[i])
	}
}

// planRoles changes the role of one endpoint at a time. It does so once a role has been short
// of capacity for shortageTime, and only if the other role can spare the endpoint.
func (c *Cell) planRoles(now clock.Instant) {
	p := &c.planner
	if p.changingReplica != nil {
		c.continueRoleChange(now)
		return
	}
	for short := range p.utilization {
		other := 1 - short
		if p.utilization[short] < shortageUtilization || p.utilization[other] > idleUtilization {
			p.shortSince[short] = 0
			continue
		}
		if p.shortSince[short] == 0 {
			p.shortSince[short] = now
		}
		sustained := now.Sub(p.shortSince[short]) >= shortageTime
		cooledDown := p.lastRoleChange == 0 || now.Sub(p.lastRoleChange) >= roleCooldown
		if r := c.endpointToChange(other); sustained && cooledDown && r != nil {
			c.beginRoleChange(r, roleOf(short))
			return
		}
	}
}

func roleOf(index int) configuration.Role {
	if index == 0 {
		return configuration.RolePrefill
	}
	return configuration.RoleDecode
}

// endpointToChange returns the endpoint of a role with the fewest claims, or nil if the role
// cannot spare one.
func (c *Cell) endpointToChange(role int) *replica {
	usable := c.roles[role].usable
	n := float64(len(usable))
	if n < 2 || c.planner.utilization[role]*n/(n-1) >= safeUtilization {
		return nil
	}
	eligible := slices.DeleteFunc(slices.Clone(usable), func(r *replica) bool {
		return !r.hasReported || r.config.Slots == 0 || c.planner.orders[r.name] != nil
	})
	if len(eligible) == 0 {
		return nil
	}
	return slices.MinFunc(eligible, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.claimCount(), b.claimCount()), strings.Compare(a.name, b.name))
	})
}

func (r *replica) claimCount() int {
	return len(r.prefill.claims) + len(r.decode.claims) + len(r.link.spans)
}

// beginRoleChange stops new assignments to an endpoint. The order is sent once its claims are
// released.
func (c *Cell) beginRoleChange(r *replica, to configuration.Role) {
	c.planner.changingReplica, c.planner.newRole = r, to
	r.changingRole = true
	c.recount()
}

func (c *Cell) continueRoleChange(now clock.Instant) {
	p := &c.planner
	r := p.changingReplica
	ordered := p.orders[r.name] != nil
	switch {
	case c.replicas[r.name] != r, r.leaving, r.health.ejected, r.role == p.newRole:
		c.endRoleChange(now)
	case !ordered && r.roleOrdered:
		c.endRoleChange(now)
	case !ordered && r.claimCount() == 0:
		r.roleOrdered = true
		c.emitOrder(now, r, orderSetRole, string(p.newRole))
	}
}

// endRoleChange makes the endpoint available again in whichever role it reports.
func (c *Cell) endRoleChange(now clock.Instant) {
	p := &c.planner
	if p.changingReplica == nil {
		return
	}
	p.changingReplica.changingRole, p.changingReplica.roleOrdered = false, false
	p.changingReplica = nil
	p.lastRoleChange = now
	p.shortSince = [2]clock.Instant{}
	c.rebuildRoles()
}
