// Package sweep frees engine memory that no live VM claims.
//
// Each engine is watched by one live VM. The watcher reads what the engine holds and asks the
// VMs named in the request ids which of them are live; the rest is cancelled at the engine.
package sweep

import (
	"context"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// Options configure a Service.
type Options struct {
	// Self is this VM.
	Self membership.Member
	// Directory gives the live VMs.
	Directory membership.Directory
	// Transport carries messages to other VMs.
	Transport *peer.Transport
	// Dialer gives the engines.
	Dialer endpoint.Dialer
	// Configuration gives the snapshot in force, nil before the first.
	Configuration func() *configuration.Snapshot
	Clock         clock.Clock
	Log           *zap.Logger
	// Live reports whether this VM still serves a request, named in the form of
	// ident.RequestID.String.
	Live func(request string) bool
}

// Service watches the engines that this VM is to watch.
type Service struct{ opts Options }

// New makes a Service and registers its messages with the transport.
func New(o Options) *Service { return &Service{opts: o} }

// Run watches until ctx ends.
func (s *Service) Run(ctx context.Context) { <-ctx.Done() }
