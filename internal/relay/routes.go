package relay

import (
	"strings"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// findRoute returns the route that matches a call. An exact path takes precedence over a prefix,
// and a longer prefix over a shorter one.
func findRoute(doc *configuration.Document, method, path string) (string, configuration.Route, error) {
	var best configuration.Route
	name, methodDiffers := "", false
	for n, r := range doc.Routes {
		if !pathMatches(r.Path, path) {
			continue
		}
		if r.Method != method {
			methodDiffers = true
			continue
		}
		if name == "" || len(r.Path) > len(best.Path) || (len(r.Path) == len(best.Path) && n < name) {
			name, best = n, r
		}
	}
	if name != "" {
		return name, best, nil
	}
	if methodDiffers {
		return "", best, fault.New(fault.NotFound, "use the method configured for the route",
			"no route for method "+method)
	}
	return "", best, fault.New(fault.NotFound, "check the path, or ask the operator for a route", "no route for this path")
}

func pathMatches(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return pattern == path
}
