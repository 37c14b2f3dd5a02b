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

// The actions of endpoint.ConfigureRequest.
const (
	orderLoadAdapter   = "load_adapter"
	orderUnloadAdapter = "unload_adapter"
	orderSetRole       = "set_role"
)

const (
	// planPeriod is the time between plans.
	planPeriod = 500 * time.Millisecond
	// maxOrders is the most orders of one cell under way, as the weight store is rate-limited.
	maxOrders = 2
	// orderMemory is how long an order counts as under way until a report shows its effect.
	orderMemory = 60 * time.Second
	// orderRetry is how long an endpoint is left alone after a failed order.
	orderRetry = 5 * time.Second
	// demandHalfLife is how fast past requests for an adapter lose weight.
	demandHalfLife = 30 * time.Second
	// adapterIdle is how long an adapter stays loaded without a request.
	adapterIdle = 10 * time.Minute
	// minAdapterCopies is the number of endpoints of each role that load an adapter in use.
	minAdapterCopies = 2
	// maxAdapters is the number of adapters above which an endpoint unloads idle ones.
	maxAdapters = 8
	// pressureTime is how long one role must be short and the other idle before an endpoint
	// changes its role, roleCooldown the least time between two changes.
	pressureTime, roleCooldown = 10 * time.Second, 60 * time.Second
	// shortUse and idleUse are the parts in use that count as short and as idle. After a change
	// the giving role must stay below safeUse.
	shortUse, idleUse, safeUse = 0.95, 0.5, 0.8
	// useTime is the time over which use is averaged.
	useTime = 5 * time.Second
)

// OrderAction asks for one order to one endpoint. It is answered by an OrderDoneInput.
type OrderAction struct {
	Endpoint    string
	Address     string
	ChecksFence bool
	// Name and Target are those of endpoint.ConfigureRequest.
	Name, Target string
}

// OrderDoneInput tells how an OrderAction ended.
type OrderDoneInput struct {
	Endpoint string
	// Failed is set when the endpoint did not take the order.
	Failed bool
}

func (OrderDoneInput) input() {}

// planner decides what endpoints load and which role they have, by demand.
type planner struct {
	enabled bool
	next    clock.Instant
	demand  map[string]*adapterDemand
	orders  map[string]*order
	use     [2]float64
	usedAt  clock.Instant
	// shortSince is when a role began to be short while the other was idle, 0 for not.
	shortSince [2]clock.Instant
	lastChange clock.Instant
	// changing is the endpoint that changes its role, toRole its next.
	changing *replica
	toRole   configuration.Role
}

// adapterDemand counts recent requests for one adapter.
type adapterDemand struct {
	recent  float64
	last    clock.Instant
	decayed clock.Instant
}

// order is one order under way.
type order struct {
	name, target string
	until        clock.Instant
}

func newPlanner() planner {
	return planner{demand: map[string]*adapterDemand{}, orders: map[string]*order{}}
}

// noteDemand counts a request; those without an adapter count under the empty name.
func (p *planner) noteDemand(now clock.Instant, r *Request) {
	if !p.enabled {
		return
	}
	d := p.demand[r.Adapter]
	if d == nil {
		d = &adapterDemand{decayed: now}
		p.demand[r.Adapter] = d
	}
	d.decay(now)
	d.recent++
	d.last = now
}

func (d *adapterDemand) decay(now clock.Instant) {
	d.recent *= math.Exp2(-now.Sub(d.decayed).Seconds() / demandHalfLife.Seconds())
	d.decayed = now
}

// plan gives at most one order in each planPeriod.
func (c *Cell) plan(now clock.Instant) {
	p := &c.planner
	if !p.enabled {
		return
	}
	c.measureUse(now)
	if now.Before(p.next) {
		return
	}
	p.next = now.Add(planPeriod)
	c.forgetOrders(now)
	c.planRoles(now)
	if len(p.orders) < maxOrders {
		c.planAdapters(now)
	}
}

// forgetOrders drops orders whose effect is reported or whose time has passed.
func (c *Cell) forgetOrders(now clock.Instant) {
	maps.DeleteFunc(c.planner.orders, func(name string, o *order) bool {
		r := c.byName[name]
		return r == nil || now >= o.until || o.shows(r)
	})
}

// shows reports whether an endpoint's report shows the order's effect.
func (o *order) shows(r *replica) bool {
	switch o.name {
	case orderLoadAdapter:
		return slices.Contains(r.load.Adapters, o.target)
	case orderUnloadAdapter:
		return !slices.Contains(r.load.Adapters, o.target)
	default:
		return r.load.Role == o.target
	}
}

func (c *Cell) order(now clock.Instant, r *replica, name, target string) {
	c.planner.orders[r.name] = &order{name: name, target: target, until: now.Add(orderMemory)}
	c.emit(Action{Order: &OrderAction{
		Endpoint:    r.name,
		Address:     r.conf.Address,
		ChecksFence: r.conf.ChecksFence,
		Name:        name,
		Target:      target,
	}})
}

// orderDone lets an order that failed be tried again after a while. One that was taken counts
// until a report shows its effect.
func (c *Cell) orderDone(now clock.Instant, in OrderDoneInput) {
	p := &c.planner
	o := p.orders[in.Endpoint]
	if !in.Failed || o == nil {
		return
	}
	o.until = now.Add(orderRetry)
	if o.name == orderSetRole {
		c.endChange(now)
	}
}

// planAdapters loads the adapter that is shortest of its copies, or unloads an idle one.
func (c *Cell) planAdapters(now clock.Instant) {
	names := slices.Sorted(maps.Keys(c.planner.demand))
	total := 0.0
	for _, name := range names {
		d := c.planner.demand[name]
		if now.Sub(d.last) > adapterIdle {
			delete(c.planner.demand, name)
			continue
		}
		d.decay(now)
		total += d.recent
	}
	for _, name := range names {
		d := c.planner.demand[name]
		if d == nil || name == "" {
			continue
		}
		for role := range c.roles {
			if r := c.toLoad(role, name, d.recent/max(total, 1)); r != nil {
				c.order(now, r, orderLoadAdapter, name)
				return
			}
		}
	}
	c.unloadIdle(now)
}

// toLoad gives the endpoint of a role that should load an adapter with a share of the demand.
func (c *Cell) toLoad(role int, adapter string, share float64) *replica {
	usable := c.roles[role].usable
	want := min(len(usable), max(minAdapterCopies, int(math.Ceil(share*float64(len(usable))))))
	have := 0
	var best *replica
	for _, r := range usable {
		o := c.planner.orders[r.name]
		switch {
		case !r.reported:
		case r.has(adapter), o != nil && o.name == orderLoadAdapter && o.target == adapter:
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
					c.order(now, r, orderUnloadAdapter, a)
					return
				}
			}
		}
	}
}

// measureUse averages the part of each role that is in use.
func (c *Cell) measureUse(now clock.Instant) {
	p := &c.planner
	busy, slots, claimed := 0, 0, 0
	prefills, decodes := c.roles[0].usable, c.roles[1].usable
	for _, r := range prefills {
		if len(r.prefill.work) > 0 {
			busy++
		}
	}
	for _, r := range decodes {
		slots += r.conf.Slots
		claimed += len(r.decode.claims)
	}
	seen := [2]float64{
		float64(busy) / float64(max(1, len(prefills))),
		float64(claimed) / float64(max(1, slots)),
	}
	step := 1 - math.Exp(-now.Sub(p.usedAt).Seconds()/useTime.Seconds())
	if p.usedAt == 0 {
		step = 1
	}
	p.usedAt = now
	for i := range seen {
		p.use[i] += step * (seen[i] - p.use[i])
	}
}

// planRoles lets one endpoint at a time go over to the role that is short, once that has
// lasted, and only if its own role can spare it.
func (c *Cell) planRoles(now clock.Instant) {
	p := &c.planner
	if p.changing != nil {
		c.proceedChange(now)
		return
	}
	for short := range p.use {
		other := 1 - short
		if p.use[short] < shortUse || p.use[other] > idleUse {
			p.shortSince[short] = 0
			continue
		}
		if p.shortSince[short] == 0 {
			p.shortSince[short] = now
		}
		lasted := now.Sub(p.shortSince[short]) >= pressureTime
		cool := p.lastChange == 0 || now.Sub(p.lastChange) >= roleCooldown
		if r := c.toChange(other); lasted && cool && r != nil {
			c.beginChange(r, roleOf(short))
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

// toChange gives the endpoint of a role that has the least to do, if the role can spare it.
func (c *Cell) toChange(role int) *replica {
	usable := c.roles[role].usable
	n := float64(len(usable))
	if n < 2 || c.planner.use[role]*n/(n-1) >= safeUse {
		return nil
	}
	able := slices.DeleteFunc(slices.Clone(usable), func(r *replica) bool {
		return !r.reported || r.conf.Slots == 0 || c.planner.orders[r.name] != nil
	})
	if len(able) == 0 {
		return nil
	}
	return slices.MinFunc(able, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.claims(), b.claims()), strings.Compare(a.name, b.name))
	})
}

func (r *replica) claims() int { return len(r.prefill.work) + len(r.decode.claims) + len(r.link.spans) }

// beginChange stops new work for an endpoint; the order follows once it has none.
func (c *Cell) beginChange(r *replica, to configuration.Role) {
	c.planner.changing, c.planner.toRole = r, to
	r.changing = true
	c.recount()
}

func (c *Cell) proceedChange(now clock.Instant) {
	p := &c.planner
	r := p.changing
	ordered := p.orders[r.name] != nil
	switch {
	case c.byName[r.name] != r, r.leaving, r.health.ejected, r.role == p.toRole:
		c.endChange(now)
	case !ordered && r.ordered:
		c.endChange(now)
	case !ordered && r.claims() == 0:
		r.ordered = true
		c.order(now, r, orderSetRole, string(p.toRole))
	}
}

// endChange gives the endpoint back to whatever role it reports.
func (c *Cell) endChange(now clock.Instant) {
	p := &c.planner
	if p.changing == nil {
		return
	}
	p.changing.changing, p.changing.ordered = false, false
	p.changing = nil
	p.lastChange = now
	p.shortSince = [2]clock.Instant{}
	c.index()
}
