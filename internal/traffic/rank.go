package traffic

import (
	"cmp"
	"slices"
)

// priority orders the calls to a service: by route first, as that says what a call is worth to its caller, and among
// equals by workspace. The other way round, the least urgent calls of one workspace came before the most urgent ones of
// the others.
type priority struct{ route, workspace int }

func (p priority) compare(o priority) int {
	return cmp.Or(cmp.Compare(p.route, o.route), cmp.Compare(p.workspace, o.workspace))
}

// priorityOf returns the priority of a workspace's calls to a route; w may be nil. A workspace without a priority
// counts as the most urgent one, so that only its routes order its calls.
func priorityOf(r *Route, w *Workspace) priority {
	if w != nil && w.Priority != nil {
		return priority{workspace: *w.Priority, route: r.Priority}
	}
	return priority{route: r.Priority}
}

// rankServices ranks the calls of the services that streaming routes of different priorities lead to. Priorities of
// workspaces alone rank no calls: where all routes are alike, calls are served in the order of arrival.
func (c *Configuration) rankServices() {
	for s, routes := range c.streamingRoutes() {
		if !slices.ContainsFunc(routes, func(r *Route) bool { return r.Priority != routes[0].Priority }) {
			continue
		}
		priorities := map[priority]bool{}
		for _, r := range routes {
			c.addPriorities(priorities, r)
		}
		s.setRanks(priorities)
	}
}

// streamingRoutes returns the streaming routes that lead to each service.
func (c *Configuration) streamingRoutes() map[*Service][]*Route {
	out := map[*Service][]*Route{}
	for _, routes := range c.routes {
		for _, r := range routes {
			if r.Kind != Stream {
				continue
			}
			for _, t := range r.Targets {
				if s := c.Services[t.Service]; s != nil && t.Weight > 0 {
					out[s] = append(out[s], r)
				}
			}
		}
	}
	return out
}

// addPriorities adds the priorities that calls of a route may have.
func (c *Configuration) addPriorities(to map[priority]bool, r *Route) {
	if r.AllowAnonymous || len(c.Workspaces) == 0 {
		to[priorityOf(r, nil)] = true
	}
	for _, w := range c.Workspaces {
		to[priorityOf(r, w)] = true
	}
}

// setRanks numbers the priorities from the most urgent one.
func (s *Service) setRanks(priorities map[priority]bool) {
	ordered := make([]priority, 0, len(priorities))
	for p := range priorities {
		ordered = append(ordered, p)
	}
	slices.SortFunc(ordered, priority.compare)
	s.Ranked = true
	s.ranks = make(map[priority]int, len(ordered))
	for i, p := range ordered {
		s.ranks[p] = i
	}
}

// Rank returns the rank of the call among those to its service: 0 is the most urgent. Ranks are consecutive. All calls
// to a service that is not ranked have rank 0.
func (c *Call) Rank() int {
	if c.Service == nil {
		return 0
	}
	if rank, ok := c.Service.ranks[priorityOf(c.Route, c.Workspace)]; ok {
		return rank
	}
	return max(0, len(c.Service.ranks)-1) // only streaming routes are ranked; another one's calls count as the least urgent
}

// Ranked reports whether the call is a generation whose service has calls of different ranks.
func (c *Call) Ranked() bool {
	return c.Tokens != nil && c.Service != nil && c.Service.Ranked && c.Service.Engine != nil
}
