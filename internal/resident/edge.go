package resident

import (
	"context"
	"net/http"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/exchange"
	"github.com/fulmartide/fulmartide/internal/inforce"
	"github.com/fulmartide/fulmartide/internal/rebalance"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Edge is what an installation gives: its protocols, translated to the product's ports.
type Edge struct {
	// Registry, Source and Leases are the installation's store.
	Registry exchange.Registry
	Source   inforce.Source
	Leases   rebalance.LeaseStore
	// Backend and Engines reach endpoints.
	Backend backend.Client
	Engines rebalance.StageOrderer
	// Sweep closes unused connections to endpoints until ctx ends.
	Sweep func(ctx context.Context)
	// Decode reads a configuration as operators write it.
	Decode func([]byte) (*traffic.Configuration, error)
	// Front makes the handler of callers' HTTP.
	Front func(d *dispatch.Dispatcher, inForce func() *traffic.Configuration) Front
	// ReadyPath is where the installation asks whether the VM takes callers.
	ReadyPath string
	// Reload reads the settings again and gives those that count at once.
	Reload func() (admission.RetryBudget, error)
}

// Front answers callers.
type Front interface {
	http.Handler
	// CloseConnections has each answer from now on close its connection.
	CloseConnections()
	// Active is the number of calls under way.
	Active() int64
}
