// Package query implements the queries of the operator API, which are read-only.
package query

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/operator/api"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/placement"
)

// Configuration is the part of the configuration service that queries use.
type Configuration interface {
	Current() *configuration.Snapshot
	History(ctx context.Context) ([]configuration.Revision, error)
	Confirmations() []configuration.Confirmation
}

// Keys is the part of the key service that queries use.
type Keys interface {
	List(ctx context.Context) ([]keys.Key, error)
	Confirmations(keyID string) keys.Withdrawal
}

// Limiter returns the rate-limit shares that this VM holds.
type Limiter interface {
	Status() []limiter.ShareStatus
}

// Placement returns the load of the cells that this VM owns.
type Placement interface {
	Summary() []placement.EndpointStatus
}

// Event is one event in the trace of a request. VMs exchange it with msgpack under these field names.
type Event struct {
	At      time.Time
	Stage   string
	Message string
	Fields  map[string]string
}

// Traces retains the traces of this VM's latest requests.
type Traces interface {
	// Trace returns the trace of a request, or false if it is not retained.
	Trace(id string) ([]Event, bool)
}

// Deps contains the services that the handler uses.
type Deps struct {
	// Self is this VM.
	Self          membership.Member
	Directory     membership.Directory
	Configuration Configuration
	Keys          Keys
	Limiter       Limiter
	Placement     Placement
	Traces        Traces
	// Transport carries queries to other VMs; NewHandler registers the handler of
	// KindOperator.
	Transport *peer.Transport
}

// NewHandler returns the handler of the paths under /operator/query/. It must be called before the
// transport starts to serve.
func NewHandler(d Deps) http.Handler {
	h := &handler{d}
	peer.Handle(d.Transport, peer.KindOperator, h.servePeer)
	mux := http.NewServeMux()
	mux.Handle("GET "+api.PathConfiguration, api.QueryHandler(h.configuration))
	mux.Handle("GET "+api.PathHistory, api.QueryHandler(h.history))
	mux.Handle("GET "+api.PathConfirmations, api.QueryHandler(h.confirmations))
	mux.Handle("GET "+api.PathKeys, api.QueryHandler(h.keys))
	mux.Handle("GET "+api.PathKeyConfirmations, api.QueryHandler(h.keyConfirmations))
	mux.Handle("GET "+api.PathStatus, api.QueryHandler(h.status))
	mux.Handle("GET "+api.PathEndpoints, api.QueryHandler(h.endpoints))
	mux.Handle("GET "+api.PathExplain, api.QueryHandler(h.explain))
	mux.HandleFunc("/", api.NotFound)
	return api.LimitedQueries(mux)
}

type handler struct{ deps Deps }

func (h *handler) configuration(context.Context, string) (*api.ConfigurationResponse, error) {
	snap := h.deps.Configuration.Current()
	if snap == nil {
		return &api.ConfigurationResponse{}, nil
	}
	return &api.ConfigurationResponse{Version: snap.Version, AdoptedAt: snap.AdoptedAt, Document: snap.Document}, nil
}

func (h *handler) history(ctx context.Context, _ string) (*api.HistoryResponse, error) {
	revisions, err := h.deps.Configuration.History(ctx)
	return &api.HistoryResponse{Revisions: revisions}, err
}

func (h *handler) confirmations(context.Context, string) (*api.ConfirmationsResponse, error) {
	all := h.deps.Configuration.Confirmations()
	return &api.ConfirmationsResponse{DataCentres: api.AddMissingDataCentres(all, h.deps.Configuration.Current())}, nil
}

func (h *handler) keys(ctx context.Context, _ string) (*api.KeysResponse, error) {
	list, err := h.deps.Keys.List(ctx)
	return &api.KeysResponse{Keys: list}, err
}

func (h *handler) keyConfirmations(_ context.Context, id string) (*api.WithdrawResponse, error) {
	if id == "" {
		return nil, fault.New(fault.Malformed, "take the id from the list of keys", "key id is missing")
	}
	w := api.AddUnconfirmedDataCentres(h.deps.Keys.Confirmations(id), h.deps.Configuration.Current())
	return &api.WithdrawResponse{KeyID: id, Withdrawal: w}, nil
}

func (h *handler) status(context.Context, string) (*api.StatusResponse, error) {
	resp := &api.StatusResponse{
		VM:         h.deps.Self.VM,
		DataCentre: h.deps.Self.DataCentre,
		Region:     h.deps.Self.Region,
		Shares:     h.deps.Limiter.Status(),
	}
	if snap := h.deps.Configuration.Current(); snap != nil {
		resp.Configuration = snap.Version
	}
	for _, m := range h.deps.Directory.View().Members {
		resp.Members = append(resp.Members, api.Member{
			VM: m.VM, DataCentre: m.DataCentre, Region: m.Region, Peer: m.PeerAddress.String(), State: stateName(m.State),
		})
	}
	return resp, nil
}

func stateName(s membership.State) string {
	switch s {
	case membership.Alive:
		return "alive"
	case membership.Suspect:
		return "suspect"
	case membership.Leaving:
		return "leaving"
	case membership.Gone:
		return "gone"
	}
	return "unknown"
}

func (h *handler) endpoints(ctx context.Context, _ string) (*api.EndpointsResponse, error) {
	resp := &api.EndpointsResponse{}
	snap := h.deps.Configuration.Current()
	if snap == nil {
		return resp, nil
	}
	loads, unresponsive := h.loads(ctx)
	resp.Version = snap.Version
	resp.Unresponsive = unresponsive
	for _, name := range slices.Sorted(maps.Keys(snap.Document.Endpoints)) {
		e := api.Endpoint{Name: name, Endpoint: snap.Document.Endpoints[name]}
		if load, ok := loads[name]; ok {
			e.Load = &load
		}
		resp.Endpoints = append(resp.Endpoints, e)
	}
	return resp, nil
}
