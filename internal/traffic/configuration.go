package traffic

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
)

// Configuration is one version of the configuration written by operators. It is immutable.
type Configuration struct {
	Version uint64
	// Services holds the services by name.
	Services map[string]*Service
	// Workspaces holds the workspaces that have a key, by name.
	Workspaces map[string]*Workspace
	// RequiresKey is set if callers need a key.
	RequiresKey bool
	Limits      Limits

	keys   map[string]*Workspace
	routes map[string][]*Route // by host in lower case, longest prefix first
}

// Routes returns all routes.
func (c *Configuration) Routes() []*Route {
	var out []*Route
	for _, list := range c.routes {
		out = append(out, list...)
	}
	return out
}

// NewConfiguration returns a configuration that indexes routes by host and prefix, and workspaces by key.
func NewConfiguration(version uint64, routes []*Route, services []*Service, keys map[string]*Workspace, limits Limits) *Configuration {
	c := &Configuration{
		Version:    version,
		Services:   map[string]*Service{},
		Workspaces: map[string]*Workspace{},
		Limits:     limits,
		keys:       keys,
		routes:     map[string][]*Route{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, w := range keys {
		c.Workspaces[w.Name] = w
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.rankServices()
	return c
}

// Match returns the route for a host and path, nil for none.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.routes[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns a Host header without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// WorkspaceByKey returns the workspace that a key belongs to, nil for none.
func (c *Configuration) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// PickService selects a service of a route at random by weight. It returns nil if the route has no
// targets or the selected service does not exist.
func (c *Configuration) PickService(r *Route, random *rand.Rand) *Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return nil
	}
	n := random.IntN(total)
	for _, t := range r.Targets {
		if n -= t.Weight; n < 0 {
			return c.Services[t.Service]
		}
	}
	return nil
}
