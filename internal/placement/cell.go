package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// Cell is the state machine that the owner of a cell runs. It tracks the exact claims on each
// endpoint, maintains the fair queues, and answers each PlaceInput and ReassignInput exactly
// once.
type Cell struct {
	policy      string
	cost        modelCost
	replicas    map[string]*replica
	prefills    []*replica
	decodes     []*replica
	roles       [2]roleState
	fastestLink int64
	// dataCentres maps names to small numbers, which are cheaper to compare.
	dataCentres     map[string]int
	prefix          *prefixIndex
	claims          map[ident.RequestID]*claim
	queued          map[ident.RequestID]*queuedRequest
	urgent          *fairQueue
	mayWait         *fairQueue
	reassignments   []*queuedRequest
	budget          retryBudget
	rate            rateMeter
	decodeDurations durationHistogram
	overhead        overhead
	// warmUpUntil delays the decisions of a new owner until its endpoints have reported their
	// load.
	warmUpUntil     clock.Instant
	started         bool
	urgentRecently  bool
	lastUrgentAt    clock.Instant
	nextExpiryCheck clock.Instant
	nextStatus      clock.Instant
	rotation        [2]uint64
	// arrival is the request that the current step received, if it was queued.
	arrival *queuedRequest
	expired []*queuedRequest

	choice      choice
	topPrefills topK[prefillCandidate]
	topDecodes  topK[decodeCandidate]
	planner     planner
	actions     []Action
}

// roleState summarises the endpoints of one role.
type roleState struct {
	total, ejected int
	// usable lists the endpoints that requests may use; rejected counts the others by cause.
	usable   []*replica
	rejected Rejections
}

func roleIndex(r configuration.Role) int {
	if r == configuration.RolePrefill {
		return 0
	}
	return 1
}

const (
	// TickPeriod is the interval between the ticks of a Cell.
	TickPeriod = 10 * time.Millisecond
	// idleTickPeriod is the interval between the ticks of a Cell without claims and queued
	// requests.
	idleTickPeriod = 100 * time.Millisecond
	// warmUpTime is the maximum time that a new owner waits for load reports before it decides.
	warmUpTime = 150 * time.Millisecond
	// expiryCheckPeriod is the interval between checks for expired queued requests and claims.
	expiryCheckPeriod = 50 * time.Millisecond
	// statusPeriod is the interval between status actions.
	statusPeriod = 500 * time.Millisecond
	// urgentReserveTime is how long after the last urgent request capacity stays reserved for
	// urgent requests.
	urgentReserveTime = 5 * time.Second
	// claimGrace is how long a claim is retained after the deadline of its request.
	claimGrace = 2 * time.Second
)

// NewCell returns a Cell without endpoints. A ConfigurationInput adds them.
func NewCell(policy string) *Cell {
	return &Cell{
		policy:          policy,
		replicas:        map[string]*replica{},
		dataCentres:     map[string]int{},
		prefix:          newPrefixIndex(),
		claims:          map[ident.RequestID]*claim{},
		queued:          map[ident.RequestID]*queuedRequest{},
		urgent:          newFairQueue(false),
		mayWait:         newFairQueue(true),
		budget:          newRetryBudget(),
		decodeDurations: newDurationHistogram(),
		planner:         newPlanner(),
	}
}

// EnableOrders allows the Cell to order endpoints to load adapters and to change their role.
func (c *Cell) EnableOrders() { c.planner.enabled = true }

// Step processes one input. The returned actions are valid until the next Step.
func (c *Cell) Step(now clock.Instant, in Input) []Action {
	clear(c.actions)
	c.actions = c.actions[:0]
	if !c.started {
		c.started = true
		c.warmUpUntil = now.Add(warmUpTime)
	}
	switch in := in.(type) {
	case PlaceInput:
		c.place(now, clampRequest(in.Request))
	case CancelInput:
		c.cancel(now, in.ID)
	case ProgressInput:
		c.progress(now, in.ID, in.Stage)
	case ReassignInput:
		c.reassign(now, in)
	case RestoreInput:
		c.restore(now, in)
	case MembersInput:
		c.membersChanged(now, in.Members)
	case LoadInput:
		c.loadReported(now, in)
	case LoadPollFailedInput:
		c.loadPollFailed(now, in.Endpoint)
	case CacheInput:
		c.cacheReported(now, in)
	case ConfigurationInput:
		c.configure(in)
	case OrderDoneInput:
		c.orderDone(now, in)
	case TickInput:
		c.tick(now)
	}
	c.dispatch(now)
	c.refuseIfBacklogged(now)
	return c.actions
}

// configure applies the cell's configuration. An endpoint that is no longer listed is treated
// as leaving until all of its claims are released.
func (c *Cell) configure(in ConfigurationInput) {
	c.cost = newModelCost(in.Model)
	for name, e := range in.Endpoints {
		r := c.replicas[name]
		if r == nil {
			r = newReplica(name, e)
			r.index = c.prefix.register()
			c.replicas[name] = r
		}
		r.configure(e)
		r.dataCentre = c.assignDataCentreNumber(e.DataCentre)
	}
	for name, r := range c.replicas {
		if _, listed := in.Endpoints[name]; !listed {
			r.config.Leaving, r.unlisted = true, true
			r.leaving = true
			c.removeIfUnused(r)
		}
	}
	c.rebuildRoles()
}

func (c *Cell) assignDataCentreNumber(name string) int {
	if c.dataCentres[name] == 0 {
		c.dataCentres[name] = len(c.dataCentres) + 1
	}
	return c.dataCentres[name]
}

// removeIfUnused removes an unlisted endpoint once no claim refers to it.
func (c *Cell) removeIfUnused(r *replica) {
	if len(r.decode.claims) > 0 || len(r.prefill.claims) > 0 || len(r.link.spans) > 0 {
		return
	}
	for _, cl := range c.claims {
		if cl.prefill == r || cl.decode == r {
			return
		}
	}
	c.prefix.unregister(r.index)
	delete(c.replicas, r.name)
}

// rebuildRoles rebuilds the per-role lists, sorted by name.
func (c *Cell) rebuildRoles() {
	c.prefills, c.decodes = c.prefills[:0], c.decodes[:0]
	slots := 0
	c.fastestLink = 0
	for _, r := range c.replicas {
		if r.role == configuration.RolePrefill {
			c.prefills = append(c.prefills, r)
			continue
		}
		c.decodes = append(c.decodes, r)
		slots += r.config.Slots
		c.fastestLink = max(c.fastestLink, r.config.LinkBytesPerSecond)
	}
	compareNames := func(a, b *replica) int { return strings.Compare(a.name, b.name) }
	slices.SortFunc(c.prefills, compareNames)
	slices.SortFunc(c.decodes, compareNames)
	c.budget.resize(slots)
	c.recount()
}

// recount recomputes the per-role counts. While more than half of a role is ejected, it
// readmits endpoints.
func (c *Cell) recount() {
	c.countByRole()
	for i, all := range [][]*replica{c.prefills, c.decodes} {
		for 2*c.roles[i].ejected > c.roles[i].total {
			c.readmit(firstToReadmit(all))
			c.countByRole()
		}
	}
}

// firstToReadmit returns the ejected endpoint whose ejection ends first.
func firstToReadmit(replicas []*replica) *replica {
	var first *replica
	for _, r := range replicas {
		if r.leaving || !r.health.ejected {
			continue
		}
		if first == nil || r.health.ejectedUntil < first.health.ejectedUntil {
			first = r
		}
	}
	return first
}

func (c *Cell) readmit(r *replica) {
	r.health.readmit()
	c.emit(Action{Ejection: &Ejection{Endpoint: r.name, Cause: "more than half of the role's endpoints would be ejected"}})
}

func (c *Cell) countByRole() {
	for i, replicas := range [][]*replica{c.prefills, c.decodes} {
		state := &c.roles[i]
		state.total, state.ejected = 0, 0
		for _, r := range replicas {
			if r.leaving {
				continue
			}
			state.total++
			if r.health.ejected {
				state.ejected++
			}
		}
		state.classify(replicas)
	}
}

// classify separates the usable endpoints from the others. If any endpoint is responsive,
// unresponsive ones are excluded even where the limit on ejections prevents their ejection.
func (s *roleState) classify(replicas []*replica) {
	s.usable = s.usable[:0]
	s.rejected = Rejections{}
	anyResponsive := slices.ContainsFunc(replicas, func(r *replica) bool {
		_, excluded := r.exclusionCause()
		return !excluded && r.health.responsive()
	})
	for _, r := range replicas {
		cause, excluded := r.exclusionCause()
		switch {
		case excluded:
			s.rejected[cause]++
		case anyResponsive && !r.health.responsive():
			s.rejected[CauseEjected]++
		default:
			s.usable = append(s.usable, r)
		}
	}
}

// dataCentreNumber returns the number of a data centre, or 0 if it has no endpoints.
func (c *Cell) dataCentreNumber(name string) int { return c.dataCentres[name] }

func (c *Cell) loadReported(now clock.Instant, in LoadInput) {
	r := c.replicas[in.Endpoint]
	if r == nil {
		return
	}
	role, ejected, responsive := r.role, r.health.ejected, r.health.responsive()
	before, wasExcluded := r.exclusionCause()
	r.applyLoad(now, in.Load)
	after, nowExcluded := r.exclusionCause()
	if ejected && !r.health.ejected {
		c.emit(Action{Ejection: &Ejection{Endpoint: r.name, Cause: "ejection time elapsed and the endpoint reported its load"}})
	}
	switch {
	case role != r.role:
		c.rebuildRoles()
	case wasExcluded != nowExcluded, before != after, responsive != r.health.responsive():
		c.recount()
	}
}

func (c *Cell) loadPollFailed(now clock.Instant, name string) {
	r := c.replicas[name]
	if r == nil {
		return
	}
	r.health.missedPolls++
	c.ejectIfNeeded(now, r, "consecutive load polls failed")
}

// recordFailure counts a failure of an endpoint that a caller reported.
func (c *Cell) recordFailure(now clock.Instant, name string) {
	r := c.replicas[name]
	if r == nil {
		return
	}
	r.health.failures++
	c.ejectIfNeeded(now, r, "consecutive failures")
}

// ejectIfNeeded ejects a failing endpoint unless more than half of its role would then be
// ejected.
func (c *Cell) ejectIfNeeded(now clock.Instant, r *replica, cause string) {
	defer c.recount()
	if r.health.ejected || r.leaving || !r.health.shouldEject() {
		return
	}
	n := c.roles[roleIndex(r.role)]
	if 2*(n.ejected+1) > n.total {
		return
	}
	r.health.eject(now)
	c.emit(Action{Ejection: &Ejection{Endpoint: r.name, Ejected: true, Cause: cause}})
}

func (c *Cell) cacheReported(now clock.Instant, in CacheInput) {
	if r := c.replicas[in.Endpoint]; r != nil {
		c.prefix.apply(now, r.index, in.Events)
	}
}

func (c *Cell) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Cell) tick(now clock.Instant) {
	c.urgentRecently = c.lastUrgentAt != 0 && now.Sub(c.lastUrgentAt) < urgentReserveTime
	c.rate.tick(now, c.urgent.length > 0 || c.mayWait.length > 0)
	if !now.Before(c.nextExpiryCheck) {
		c.nextExpiryCheck = now.Add(expiryCheckPeriod)
		c.refuseExpired(now)
		c.freeExpiredClaims(now)
		c.extendOverdueReleases(now)
	}
	c.plan(now)
	if !now.Before(c.nextStatus) {
		c.nextStatus = now.Add(statusPeriod)
		c.urgent.removeIdleFlows()
		c.mayWait.removeIdleFlows()
		c.emit(Action{Status: c.status()})
	}
}

// status returns the state of the endpoints, sorted by name.
func (c *Cell) status() *CellStatus {
	out := make([]EndpointStatus, 0, len(c.replicas))
	for _, r := range c.replicas {
		out = append(out, r.status())
	}
	slices.SortFunc(out, func(a, b EndpointStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return &CellStatus{Endpoints: out, Claims: len(c.claims), Queued: len(c.queued)}
}

// warmedUp reports whether a new owner has enough information to decide.
func (c *Cell) warmedUp(now clock.Instant) bool {
	if c.warmUpUntil == 0 {
		return true
	}
	if now.Before(c.warmUpUntil) && !c.allReported() {
		return false
	}
	c.warmUpUntil = 0
	return true
}

func (c *Cell) allReported() bool {
	if len(c.replicas) == 0 {
		return false
	}
	for _, r := range c.replicas {
		if !r.hasReported && !r.leaving {
			return false
		}
	}
	return true
}

// Idle reports whether there are neither claims nor queued requests.
func (c *Cell) Idle() bool { return len(c.claims)+len(c.queued) == 0 }
