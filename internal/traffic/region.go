package traffic

import "slices"

// HomeRegions returns the regions in which the call is handled: those that its route and its workspace allow, nil if both
// allow all. An empty list means that no region is left.
func (c *Call) HomeRegions() []string {
	var route, workspace []string
	if c.Route != nil {
		route = c.Route.HomeRegions
	}
	if c.Workspace != nil {
		workspace = c.Workspace.HomeRegions
	}
	switch {
	case route == nil:
		return workspace
	case workspace == nil:
		return route
	}
	both := []string{}
	for _, region := range route {
		if slices.Contains(workspace, region) {
			both = append(both, region)
		}
	}
	return both
}
