// Package command implements the commands of the operator API, which change state.
package command

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/operator/api"
)

// Configuration is the part of the configuration service that commands use.
type Configuration interface {
	Current() *configuration.Snapshot
	Apply(ctx context.Context, doc configuration.Document, ifVersion configuration.Version) (configuration.Version, error)
}

// Keys is the part of the key service that commands use.
type Keys interface {
	Create(ctx context.Context, workspace string) (id, secret string, err error)
	Withdraw(ctx context.Context, keyID string) (keys.Withdrawal, error)
}

// Deps contains the services that the handler uses.
type Deps struct {
	Configuration Configuration
	Keys          Keys
	// Log receives one entry for each command; nil disables logging.
	Log *zap.Logger
}

// NewHandler returns the handler of the paths under /operator/command/.
func NewHandler(d Deps) http.Handler {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	h := &handler{d}
	mux := http.NewServeMux()
	mux.Handle("POST "+api.PathApply, api.CommandHandler(h.apply))
	mux.Handle("POST "+api.PathGive, api.CommandHandler(h.give))
	mux.Handle("POST "+api.PathWithdraw, api.CommandHandler(h.withdraw))
	mux.Handle("POST "+api.PathDrain, api.CommandHandler(h.drain))
	mux.HandleFunc("/", api.NotFound)
	return mux
}

type handler struct{ deps Deps }

func (h *handler) logCommand(name string, err error, fields ...zap.Field) {
	fields = append([]zap.Field{zap.String("command", name)}, fields...)
	if err != nil {
		h.deps.Log.Warn("operator command failed", append(fields, zap.String("kind", string(fault.KindOf(err))), zap.Error(err))...)
		return
	}
	h.deps.Log.Info("operator command", fields...)
}

func (h *handler) apply(ctx context.Context, req *api.ApplyRequest) (*api.ApplyResponse, error) {
	version, err := h.deps.Configuration.Apply(ctx, req.Document, req.IfVersion)
	h.logCommand("config apply", err, zap.Uint64("if_version", uint64(req.IfVersion)), zap.Uint64("version", uint64(version)))
	if err != nil {
		return nil, err
	}
	return &api.ApplyResponse{Version: version}, nil
}

func (h *handler) give(ctx context.Context, req *api.GiveRequest) (*api.GiveResponse, error) {
	if req.Workspace == "" {
		return nil, fault.New(fault.Malformed, "name a workspace of the configuration", "workspace is missing")
	}
	id, secret, err := h.deps.Keys.Create(ctx, req.Workspace)
	h.logCommand("key give", err, zap.String("workspace", req.Workspace), zap.String("key", id))
	if err != nil {
		return nil, err
	}
	return &api.GiveResponse{ID: id, Workspace: req.Workspace, Secret: secret}, nil
}

func (h *handler) withdraw(ctx context.Context, req *api.WithdrawRequest) (*api.WithdrawResponse, error) {
	if req.KeyID == "" {
		return nil, fault.New(fault.Malformed, "take the id from the list of keys", "key id is missing")
	}
	w, err := h.deps.Keys.Withdraw(ctx, req.KeyID)
	w = api.AddUnconfirmedDataCentres(w, h.deps.Configuration.Current())
	h.logCommand("key withdraw", err, zap.String("key", req.KeyID), zap.Strings("confirmed", w.Confirmed),
		zap.Strings("unconfirmed", w.Unconfirmed), zap.Bool("stored", w.Stored))
	if err != nil {
		return nil, err
	}
	return &api.WithdrawResponse{KeyID: req.KeyID, Withdrawal: w}, nil
}

const (
	// maxDrainAttempts limits the attempts of a drain that conflicts with other changes.
	maxDrainAttempts = 8
	// drainRetryInterval is the time between attempts, in which the conflicting change can reach
	// this VM.
	drainRetryInterval = 250 * time.Millisecond
)

// drain sets or clears the leaving mark of an endpoint in the current configuration. If another
// change is accepted first, it retries on the newer version.
func (h *handler) drain(ctx context.Context, req *api.DrainRequest) (*api.DrainResponse, error) {
	var resp *api.DrainResponse
	var err error
	for range maxDrainAttempts {
		resp, err = h.drainOnce(ctx, req)
		if !fault.Is(err, fault.Conflict) || !clock.Sleep(ctx, drainRetryInterval) {
			break
		}
	}
	h.logCommand("endpoint drain", err, zap.String("endpoint", req.Endpoint), zap.Bool("undo", req.Undo))
	return resp, err
}

func (h *handler) drainOnce(ctx context.Context, req *api.DrainRequest) (*api.DrainResponse, error) {
	snap := h.deps.Configuration.Current()
	if snap == nil {
		return nil, fault.New(fault.Unavailable, "try again when this VM has a configuration, or use another VM",
			"this VM has no configuration yet")
	}
	e, ok := snap.Document.Endpoints[req.Endpoint]
	if !ok {
		return nil, fault.New(fault.NotFound, "take the name from the list of endpoints", fmt.Sprintf("no endpoint %q in version %d", req.Endpoint, snap.Version))
	}
	resp := &api.DrainResponse{Endpoint: req.Endpoint, Leaving: !req.Undo, Version: snap.Version}
	if e.Leaving == resp.Leaving {
		return resp, nil
	}
	e.Leaving = resp.Leaving
	doc := snap.Document
	doc.Endpoints = maps.Clone(doc.Endpoints)
	doc.Endpoints[req.Endpoint] = e
	version, err := h.deps.Configuration.Apply(ctx, doc, snap.Version)
	if err != nil {
		return nil, err
	}
	resp.Version, resp.Changed = version, true
	return resp, nil
}
