package integration

import (
	"testing"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
)

// TestConfigurationChangesKeepCallsInProgress guards against changes of the configuration that cut calls which it still allows.
func TestConfigurationChangesKeepCallsInProgress(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	vms := f.Daemons()
	calls := make(chan []experiment.Outcome)
	go func() {
		calls <- runConcurrently(16, func(i int) experiment.Outcome { return f.chat(vms[i%len(vms)].VM, i, 300) })
	}()
	draining := f.awaitDecoding()
	changes := []func(*configuration.Document){
		func(d *configuration.Document) {
			for name, plan := range d.Plans {
				plan.TokensPerSecond++
				d.Plans[name] = plan
			}
		},
		func(d *configuration.Document) { // the calls in progress at a leaving endpoint end there
			e := d.Endpoints[draining]
			e.Leaving = true
			d.Endpoints[draining] = e
		},
		func(d *configuration.Document) {
			for name, route := range d.Routes {
				route.DeadlineMillis++
				d.Routes[name] = route
			}
		},
	}
	client := f.operatorClient(vm1)
	for _, change := range changes {
		before, err := client.Configuration(t.Context())
		f.must(err)
		f.must(f.EditConfiguration(change))
		f.awaitVersion(before.Version + 1)
	}
	if outs := <-calls; countComplete(outs) != len(outs) {
		t.Errorf("%d of %d responses complete: %+v", countComplete(outs), len(outs), outs)
	}
}
