package resident

import (
	"context"
	"net/http"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/exchange"
	"github.com/fulmartide/fulmartide/internal/inforce"
	"github.com/fulmartide/fulmartide/internal/layout"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Edge holds the platform-specific parts of an installation, adapted to the interfaces of the router.
type Edge struct {
	// Registry, Source and Leases access the store of the installation.
	Registry exchange.Registry
	Source   inforce.Source
	Leases   layout.Store
	// Backend and Engines send requests to endpoints.
	Backend backend.Port
	Engines layout.Engines
	// Sweep closes idle connections to endpoints until ctx ends.
	Sweep func(ctx context.Context)
	// Decode parses a configuration as operators write it.
	Decode func([]byte) (*traffic.Configuration, error)
	// Front returns the handler of callers' HTTP requests.
	Front func(d *dispatch.Dispatcher, inForce func() *traffic.Configuration) Front
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Reload reads the settings again and returns those that take effect without a restart.
	Reload func() (admission.RetryBudget, error)
}

// Front serves the requests of callers.
type Front interface {
	http.Handler
	// CloseConnections makes each further response close its connection.
	CloseConnections()
	// Active returns the number of calls in progress.
	Active() int64
}
