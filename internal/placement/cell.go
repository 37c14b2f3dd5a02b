package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// Cell is the state machine of the owner of one cell. It keeps exact claims on each endpoint
// and the fair queues, and answers each PlaceInput and ReassignInput exactly once.
type Cell struct {
	policy      string
	cost        modelCost
	byName      map[string]*replica
	prefills    []*replica
	decodes     []*replica
	roles       [2]roleState
	fastestLink int64
	// dataCentres numbers data centres, so that comparing them is cheap.
	dataCentres map[string]int
	prefix      *prefixIndex
	claims      map[ident.RequestID]*claim
	queued      map[ident.RequestID]*waiting
	urgent      *fairQueue
	mayWait     *fairQueue
	moves       []*waiting
	budget      retryBudget
	rate        rateMeter
	lengths     lengths
	overhead    overhead
	// settleUntil holds back decisions of a new owner until endpoints have reported.
	settleUntil  clock.Instant
	started      bool
	urgentLately bool
	lastUrgent   clock.Instant
	nextSweep    clock.Instant
	nextStatus   clock.Instant
	turn         [2]uint64
	// arrival is the request that the present step brought, if it is in a queue.
	arrival *waiting
	late    []*waiting

	choice      choice
	prefillBest best[prefillOption]
	decodeBest  best[decodeOption]
	planner     planner
	out         []Action
}

// roleState sums up the endpoints of one role.
type roleState struct {
	total, ejected int
	// usable are the endpoints that requests may use, and rejected counts the others.
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
	// TickPeriod is the time between a Cell's ticks.
	TickPeriod = 10 * time.Millisecond
	// idleTickPeriod is the time between ticks of a Cell without claims and queued requests.
	idleTickPeriod = 100 * time.Millisecond
	// settleTime is the longest that a new owner waits for load reports before it decides.
	settleTime = 150 * time.Millisecond
	// sweepPeriod is the time between looks at waiting requests and expired claims.
	sweepPeriod = 50 * time.Millisecond
	// statusPeriod is the time between status actions.
	statusPeriod = 500 * time.Millisecond
	// urgentMemory is how long room is kept for urgent work after the last of it.
	urgentMemory = 5 * time.Second
	// claimGrace is how long a claim outlives its request's deadline.
	claimGrace = 2 * time.Second
)

// NewCell makes a Cell without endpoints; a ConfigurationInput brings them.
func NewCell(policy string) *Cell {
	return &Cell{
		policy:      policy,
		byName:      map[string]*replica{},
		dataCentres: map[string]int{},
		prefix:      newPrefixIndex(),
		claims:      map[ident.RequestID]*claim{},
		queued:      map[ident.RequestID]*waiting{},
		urgent:      newFairQueue(false),
		mayWait:     newFairQueue(true),
		budget:      newRetryBudget(),
		lengths:     newLengths(),
		planner:     newPlanner(),
	}
}

// AllowOrders lets the Cell order endpoints to load adapters and to change their role.
func (c *Cell) AllowOrders() { c.planner.enabled = true }

// Step takes one input. The actions are valid until the next Step.
func (c *Cell) Step(now clock.Instant, in Input) []Action {
	clear(c.out)
	c.out = c.out[:0]
	if !c.started {
		c.started = true
		c.settleUntil = now.Add(settleTime)
	}
	switch in := in.(type) {
	case PlaceInput:
		c.place(now, bounded(in.Request))
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
	case SilentInput:
		c.silent(now, in.Endpoint)
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
	c.refuseHopeless(now)
	return c.out
}

// configure takes the cell's endpoints. One that is no longer listed counts as leaving until
// its claims are over.
func (c *Cell) configure(in ConfigurationInput) {
	c.cost = newModelCost(in.Model)
	for name, e := range in.Endpoints {
		r := c.byName[name]
		if r == nil {
			r = newReplica(name, e)
			r.index = c.prefix.register()
			c.byName[name] = r
		}
		r.configure(e)
		r.dataCentre = c.numberDataCentre(e.DataCentre)
	}
	for name, r := range c.byName {
		if _, listed := in.Endpoints[name]; !listed {
			r.conf.Leaving, r.unlisted = true, true
			r.leaving = true
			c.forgetUnused(r)
		}
	}
	c.index()
}

func (c *Cell) numberDataCentre(name string) int {
	if c.dataCentres[name] == 0 {
		c.dataCentres[name] = len(c.dataCentres) + 1
	}
	return c.dataCentres[name]
}

// forgetUnused drops an endpoint that is not listed any more and holds no claim.
func (c *Cell) forgetUnused(r *replica) {
	if len(r.decode.claims) > 0 || len(r.prefill.work) > 0 || len(r.link.spans) > 0 {
		return
	}
	for _, cl := range c.claims {
		if cl.prefill == r || cl.decode == r {
			return
		}
	}
	c.prefix.forget(r.index)
	delete(c.byName, r.name)
}

// index rebuilds the lists by role, sorted by name.
func (c *Cell) index() {
	c.prefills, c.decodes = c.prefills[:0], c.decodes[:0]
	slots := 0
	c.fastestLink = 0
	for _, r := range c.byName {
		if r.role == configuration.RolePrefill {
			c.prefills = append(c.prefills, r)
			continue
		}
		c.decodes = append(c.decodes, r)
		slots += r.conf.Slots
		c.fastestLink = max(c.fastestLink, r.conf.LinkBytesPerSecond)
	}
	byName := func(a, b *replica) int { return strings.Compare(a.name, b.name) }
	slices.SortFunc(c.prefills, byName)
	slices.SortFunc(c.decodes, byName)
	c.budget.resize(slots)
	c.recount()
}

// recount counts the endpoints by state, and readmits what keeps the ejected over half.
func (c *Cell) recount() {
	c.count()
	for i, all := range [][]*replica{c.prefills, c.decodes} {
		for 2*c.roles[i].ejected > c.roles[i].total {
			c.readmit(firstOut(all))
			c.count()
		}
	}
}

// firstOut gives the ejected endpoint whose ejection ends first.
func firstOut(all []*replica) *replica {
	var first *replica
	for _, r := range all {
		if r.leaving || !r.health.ejected {
			continue
		}
		if first == nil || r.health.until < first.health.until {
			first = r
		}
	}
	return first
}

func (c *Cell) readmit(r *replica) {
	r.health.readmit()
	c.emit(Action{Ejection: &Ejection{Endpoint: r.name, Cause: "more than half would be ejected"}})
}

func (c *Cell) count() {
	for i, all := range [][]*replica{c.prefills, c.decodes} {
		state := &c.roles[i]
		state.total, state.ejected = 0, 0
		for _, r := range all {
			if r.leaving {
				continue
			}
			state.total++
			if r.health.ejected {
				state.ejected++
			}
		}
		state.sort(all)
	}
}

// sort parts the endpoints that requests may use from the others. Where some answer their
// polls, those that do not are left out even if the floor keeps them from ejection.
func (s *roleState) sort(all []*replica) {
	s.usable = s.usable[:0]
	s.rejected = Rejections{}
	answering := slices.ContainsFunc(all, func(r *replica) bool {
		_, out := r.unusable()
		return !out && r.health.answering()
	})
	for _, r := range all {
		cause, out := r.unusable()
		switch {
		case out:
			s.rejected[cause]++
		case answering && !r.health.answering():
			s.rejected[CauseEjected]++
		default:
			s.usable = append(s.usable, r)
		}
	}
}

// dataCentreNumber gives the number of a data centre, 0 for one without endpoints.
func (c *Cell) dataCentreNumber(name string) int { return c.dataCentres[name] }

func (c *Cell) loadReported(now clock.Instant, in LoadInput) {
	r := c.byName[in.Endpoint]
	if r == nil {
		return
	}
	role, ejected, answering := r.role, r.health.ejected, r.health.answering()
	before, out := r.unusable()
	r.report(now, in.Load)
	after, stillOut := r.unusable()
	if ejected && !r.health.ejected {
		c.emit(Action{Ejection: &Ejection{Endpoint: r.name, Cause: "load report after the ejection's time"}})
	}
	switch {
	case role != r.role:
		c.index()
	case out != stillOut, before != after, answering != r.health.answering():
		c.recount()
	}
}

func (c *Cell) silent(now clock.Instant, name string) {
	r := c.byName[name]
	if r == nil {
		return
	}
	r.health.silences++
	c.ejectIfDue(now, r, "no answer to load polls")
}

// failed counts a failure against an endpoint that a caller names.
func (c *Cell) failed(now clock.Instant, name string) {
	r := c.byName[name]
	if r == nil {
		return
	}
	r.health.failures++
	c.ejectIfDue(now, r, "failures in a row")
}

// ejectIfDue ejects a failing endpoint unless that would eject more than half of its role.
func (c *Cell) ejectIfDue(now clock.Instant, r *replica, cause string) {
	defer c.recount()
	if r.health.ejected || r.leaving || !r.health.deserves() {
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
	if r := c.byName[in.Endpoint]; r != nil {
		c.prefix.apply(now, r.index, in.Events)
	}
}

func (c *Cell) emit(a Action) { c.out = append(c.out, a) }

func (c *Cell) tick(now clock.Instant) {
	c.urgentLately = c.lastUrgent != 0 && now.Sub(c.lastUrgent) < urgentMemory
	c.rate.tick(now, c.urgent.length > 0 || c.mayWait.length > 0)
	if !now.Before(c.nextSweep) {
		c.nextSweep = now.Add(sweepPeriod)
		c.refuseLate(now)
		c.dropExpired(now)
		c.refreshReleases(now)
	}
	c.plan(now)
	if !now.Before(c.nextStatus) {
		c.nextStatus = now.Add(statusPeriod)
		c.urgent.forgetIdle()
		c.mayWait.forgetIdle()
		c.emit(Action{Status: c.status()})
	}
}

// status gives the endpoints by name.
func (c *Cell) status() *CellStatus {
	out := make([]EndpointStatus, 0, len(c.byName))
	for _, r := range c.byName {
		out = append(out, r.status())
	}
	slices.SortFunc(out, func(a, b EndpointStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return &CellStatus{Endpoints: out, Claims: len(c.claims), Queued: len(c.queued)}
}

// settled reports whether a new owner knows enough to decide.
func (c *Cell) settled(now clock.Instant) bool {
	if c.settleUntil == 0 {
		return true
	}
	if now.Before(c.settleUntil) && !c.allReported() {
		return false
	}
	c.settleUntil = 0
	return true
}

func (c *Cell) allReported() bool {
	if len(c.byName) == 0 {
		return false
	}
	for _, r := range c.byName {
		if !r.reported && !r.leaving {
			return false
		}
	}
	return true
}

// Idle reports whether nothing is claimed or queued.
func (c *Cell) Idle() bool { return len(c.claims)+len(c.queued) == 0 }
