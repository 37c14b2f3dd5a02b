package query

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/operator/api"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/placement"
)

const (
	// peerCallTimeout is the timeout of a call to one VM.
	peerCallTimeout = time.Second
	// maxConcurrentCalls is the maximum number of VMs called concurrently.
	maxConcurrentCalls = 32
)

// peerRequest asks another VM for the trace of a request if RequestID is set, and otherwise for the
// load of its cells.
type peerRequest struct {
	RequestID string `msgpack:"r,omitempty"`
}

type peerResponse struct {
	Events []Event                    `msgpack:"e,omitempty"`
	Found  bool                       `msgpack:"f"`
	Loads  []placement.EndpointStatus `msgpack:"l,omitempty"`
}

func (h *handler) servePeer(_ context.Context, _ ident.VM, req *peerRequest) (*peerResponse, error) {
	if req.RequestID == "" {
		return &peerResponse{Loads: h.deps.Placement.Summary()}, nil
	}
	events, found := h.deps.Traces.Trace(req.RequestID)
	return &peerResponse{Events: events, Found: found}, nil
}

// explain returns the trace of a request from the VM named in the request id.
func (h *handler) explain(ctx context.Context, id string) (*api.ExplainResponse, error) {
	request, err := ident.ParseRequestID(id)
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "copy the request id from the response headers or from a log line", "invalid request id")
	}
	events, found, err := h.fetchEvents(ctx, request, id)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.NotFound, "search the log of VM "+request.VM.Name+" for the id; only the latest traces are kept in memory",
			"no trace is available for request "+id)
	}
	resp := &api.ExplainResponse{RequestID: id}
	for _, e := range events {
		resp.Events = append(resp.Events, api.Event(e))
	}
	return resp, nil
}

func (h *handler) fetchEvents(ctx context.Context, r ident.RequestID, id string) (events []Event, found bool, err error) {
	if r.VM.Name == h.deps.Self.VM.Name && r.VM != h.deps.Self.VM {
		return nil, false, errProcessGone(id, r.VM)
	}
	if r.VM == h.deps.Self.VM {
		events, found = h.deps.Traces.Trace(id)
		return events, found, nil
	}
	members := h.deps.Directory.View().Members
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.VM.Name == r.VM.Name })
	if i < 0 {
		return nil, false, fault.New(fault.NotFound, "search the retained logs of VM "+r.VM.Name+" for the id", "unknown VM "+r.VM.Name)
	}
	if members[i].VM != r.VM {
		return nil, false, errProcessGone(id, r.VM)
	}
	out, err := h.callPeer(ctx, members[i], &peerRequest{RequestID: id})
	if err != nil {
		return nil, false, fault.Wrap(err, fault.Unavailable, "query VM "+r.VM.Name+" directly with --vm", "VM "+r.VM.Name+" did not respond")
	}
	return out.Events, out.Found, nil
}

func errProcessGone(id string, vm ident.VM) error {
	return fault.New(fault.NotFound, "search the retained logs of VM "+vm.Name+" for the id",
		"the process that served request "+id+" has ended")
}

func (h *handler) callPeer(ctx context.Context, m membership.Member, req *peerRequest) (*peerResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return peer.Call[peerRequest, peerResponse](ctx, h.deps.Transport, m.PeerAddress, peer.KindOperator, req)
}

// loads collects the load of all cells from the VMs that are not gone. It also returns the names of
// VMs that did not respond.
func (h *handler) loads(ctx context.Context) (loads map[string]placement.EndpointStatus, unresponsive []string) {
	loads = map[string]placement.EndpointStatus{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	record := func(vmName string, all []placement.EndpointStatus, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			unresponsive = append(unresponsive, vmName)
		}
		for _, l := range all {
			loads[l.Endpoint] = l
		}
	}
	for _, m := range h.deps.Directory.View().Members {
		if m.State == membership.Gone || m.VM == h.deps.Self.VM {
			continue
		}
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			out, err := h.callPeer(ctx, m, &peerRequest{})
			if err != nil {
				out = &peerResponse{}
			}
			record(m.VM.Name, out.Loads, err)
		})
	}
	wg.Wait()
	record(h.deps.Self.VM.Name, h.deps.Placement.Summary(), nil)
	slices.Sort(unresponsive)
	return loads, unresponsive
}
