// Package relay is the caller interface: it authenticates a call, admits it, has it placed,
// runs its stages at endpoints and gives the caller one whole answer.
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

// Options join a Server to the duties it asks.
type Options struct {
	// Self names this process life; request ids carry it.
	Self ident.VM
	// DataCentre is where this VM is.
	DataCentre string
	// Limits bound what callers may send.
	Limits settings.Limits
	// Configuration gives the snapshot in force, nil before the first.
	Configuration func() *configuration.Snapshot
	// Keys tells callers apart.
	Keys keys.Authenticator
	// Limiter admits.
	Limiter limiter.Limiter
	// Placer places generation calls.
	Placer placement.Placer
	// Ledger records commits.
	Ledger ledger.Ledger
	// Dialer reaches engines.
	Dialer endpoint.Dialer
	// Clock measures targets and deadlines.
	Clock clock.Clock
	// Log gets a line for each decision.
	Log *zap.Logger
}

// endpointAddress finds an endpoint's address in a snapshot.
func endpointAddress(s *configuration.Snapshot, name string) (netip.AddrPort, bool) {
	e, ok := s.Document.Endpoints[name]
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(e.Address)
	return addr, err == nil
}
