// Package relay implements the HTTP API for callers. It authenticates and admits a call, has it
// placed on endpoints, runs its stages there and returns one complete response to the caller.
package relay

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/ledger"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/placement"
	"github.com/fulmartide/fulmartide/internal/settings"
)

// Options holds the settings and dependencies of a Server.
type Options struct {
	// Self identifies this VM and its process incarnation. It is part of every request ID.
	Self ident.VM
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Limits bounds the size and number of requests.
	Limits settings.Limits
	// Configuration returns the active snapshot, or nil before the first one is received.
	Configuration func() *configuration.Snapshot
	// Keys identifies callers by their API keys.
	Keys keys.Authenticator
	// Limiter enforces the workspaces' plans.
	Limiter limiter.Limiter
	// Placer assigns generation calls to endpoints.
	Placer placement.Placer
	// Ledger records the calls of commit routes and their outcomes by idempotency key.
	Ledger ledger.Ledger
	// Dialer returns clients for the engines of endpoints.
	Dialer endpoint.Dialer
	// Clock is the monotonic clock for latency targets, timeouts and deadlines.
	Clock clock.Clock
	// Log receives one entry per step of a request.
	Log *zap.Logger
}

// endpointAddress returns the address of the named endpoint in a snapshot.
func endpointAddress(s *configuration.Snapshot, name string) (netip.AddrPort, bool) {
	e, ok := s.Document.Endpoints[name]
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(e.Address)
	return addr, err == nil
}
