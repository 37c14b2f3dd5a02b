package vmserver

import (
	"context"
	"net/http"
	"time"

	"github.com/fulmartide/fulmartide/internal/activeconfig"
	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/callerconn"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/forward"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/rebalance"
	"github.com/fulmartide/fulmartide/internal/statesync"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Platform holds the platform-specific parts of an installation, adapted to the interfaces of the router.
type Platform struct {
	// Registry, Source, Leases, Quarantine, Versions, Streams and Usage access the store of the installation.
	Registry   statesync.Registry
	Source     activeconfig.Source
	Leases     rebalance.LeaseStore
	Quarantine quarantine.Store
	Versions   origin.Store
	Streams    origin.StreamStore
	Usage      admission.RecordStore
	// Backend and Engines send requests to endpoints.
	Backend backend.Client
	Engines rebalance.StageOrderer
	// ObserveNotices sets the function that receives what endpoints say about themselves. It is called before
	// the first request.
	ObserveNotices func(observe func(traffic.EndpointID, backend.Notice))
	// SetTable sets the state with the endpoints that the store lists. It is called before the first request.
	SetTable func(*activeconfig.State)
	// SetForwarder sets the client that sends requests through other VMs. It is called before the first request.
	SetForwarder func(*forward.Client)
	// SendForwarded sends a request of another VM to an endpoint over a connection of this one.
	SendForwarded func(context.Context, traffic.Endpoint, *connpool.Request) (*connpool.Response, error)
	// LifetimeEvidence returns evidence of whether connections to an endpoint that were open at a time lead to the lifetime of its entry. It
	// may be nil.
	LifetimeEvidence func(e traffic.Endpoint, opened time.Time) backend.LifetimeEvidence
	// SweepIdleConnections closes idle connections to endpoints until ctx ends.
	SweepIdleConnections func(ctx context.Context)
	// Decode parses a configuration as operators write it.
	Decode func([]byte) (*traffic.Configuration, error)
	// NewHandler returns the handler of callers' HTTP requests, whose bodies take from the budget bodies.
	NewHandler func(d *dispatch.Dispatcher, configuration func() *traffic.Configuration, bodies *bodybuffer.Budget) CallerHandler
	// RequestID returns the id of a request for logs. It may be nil.
	RequestID func(http.Header) string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Reload reads the settings again and returns those that take effect without a restart.
	Reload func() (admission.RetryBudget, error)
}

// CallerHandler serves the requests of callers.
type CallerHandler interface {
	http.Handler
	// DisableKeepAlives makes each further response close its connection.
	DisableKeepAlives()
	callerconn.Calls
}
