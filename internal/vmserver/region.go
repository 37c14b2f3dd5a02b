package vmserver

import (
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/traffic"
)

// regionCheck logs home regions that no data centre has, each once.
type regionCheck struct {
	known, logged map[string]bool
}

// maxLoggedRegions is the maximum number of unknown regions that are logged.
const maxLoggedRegions = 256

func newRegionCheck(byDataCentre map[string]string) regionCheck {
	c := regionCheck{known: map[string]bool{}, logged: map[string]bool{}}
	for _, region := range byDataCentre {
		c.known[region] = true
	}
	return c
}

// check logs the unknown home regions of a configuration.
func (r *regionCheck) check(c *traffic.Configuration, log *zap.Logger) {
	for _, route := range c.Routes() {
		r.checkList(c, route.HomeRegions, log.With(zap.String("route", route.Name)))
	}
	for _, w := range c.Workspaces {
		r.checkList(c, w.HomeRegions, log.With(zap.String("workspace", w.Name)))
	}
}

func (r *regionCheck) checkList(c *traffic.Configuration, regions []string, log *zap.Logger) {
	for _, region := range regions {
		if r.known[region] || r.logged[region] || len(r.logged) >= maxLoggedRegions {
			continue
		}
		r.logged[region] = true
		log.Warn("home region without a data centre", zap.String("region", region), zap.Uint64("configuration", c.Version))
	}
}

// countEvacuation counts a data centre that is evacuated, or no longer.
func (p *Process) countEvacuation(_ string, lifted bool) {
	change := "evacuated"
	if lifted {
		change = "lifted"
	}
	p.set.GetOrCreateCounter(`fulmartide_evacuations_total{change="` + change + `"}`).Inc()
}
