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
	// askTimeout bounds the answer of one VM.
	askTimeout = time.Second
	// askAtOnce is the most VMs that are asked at once.
	askAtOnce = 32
)

// request asks another VM for what only it knows: the steps of a request if RequestID is
// set, and otherwise the load of its cells.
type request struct {
	RequestID string `msgpack:"r,omitempty"`
}

type reply struct {
	Events []Event                    `msgpack:"e,omitempty"`
	Found  bool                       `msgpack:"f"`
	Loads  []placement.EndpointStatus `msgpack:"l,omitempty"`
}

func (h *handler) serve(_ context.Context, _ ident.VM, req *request) (*reply, error) {
	if req.RequestID == "" {
		return &reply{Loads: h.deps.Placement.Summary()}, nil
	}
	events, found := h.deps.Explainer.Explain(req.RequestID)
	return &reply{Events: events, Found: found}, nil
}

// explain asks the VM that the request id names.
func (h *handler) explain(ctx context.Context, id string) (*api.ExplainResponse, error) {
	request, err := ident.ParseRequestID(id)
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "copy the request id from the answer's header or from a log line", "explain")
	}
	events, found, err := h.steps(ctx, request, id)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fault.New(fault.NotFound, "search the log of VM "+request.VM.Name+" for the id; only the latest requests are kept in memory", "no steps are kept of request "+id)
	}
	resp := &api.ExplainResponse{RequestID: id}
	for _, e := range events {
		resp.Events = append(resp.Events, api.Event(e))
	}
	return resp, nil
}

func (h *handler) steps(ctx context.Context, r ident.RequestID, id string) (events []Event, found bool, err error) {
	if r.VM.Name == h.deps.Self.VM.Name && r.VM != h.deps.Self.VM {
		return nil, false, errGone(id, r.VM)
	}
	if r.VM == h.deps.Self.VM {
		events, found = h.deps.Explainer.Explain(id)
		return events, found, nil
	}
	members := h.deps.Directory.View().Members
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.VM.Name == r.VM.Name })
	if i < 0 {
		return nil, false, fault.New(fault.NotFound, "search the kept logs of VM "+r.VM.Name+" for the id", "this VM knows no VM "+r.VM.Name)
	}
	if members[i].VM != r.VM {
		return nil, false, errGone(id, r.VM)
	}
	out, err := h.ask(ctx, members[i], &request{RequestID: id})
	if err != nil {
		return nil, false, fault.Wrap(err, fault.Unavailable, "ask VM "+r.VM.Name+" directly with --vm", "VM "+r.VM.Name+" did not answer")
	}
	return out.Events, out.Found, nil
}

func errGone(id string, vm ident.VM) error {
	return fault.New(fault.NotFound, "search the kept logs of VM "+vm.Name+" for the id", "the process that served request "+id+" is gone")
}

func (h *handler) ask(ctx context.Context, m membership.Member, req *request) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return peer.Call[request, reply](ctx, h.deps.Transport, m.PeerAddress, peer.KindOperator, req)
}

// loads asks every VM that is not gone for the load of its cells, and names those that gave no
// answer.
func (h *handler) loads(ctx context.Context) (loads map[string]placement.EndpointStatus, silent []string) {
	loads = map[string]placement.EndpointStatus{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	take := func(from string, all []placement.EndpointStatus, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			silent = append(silent, from)
		}
		for _, l := range all {
			loads[l.Endpoint] = l
		}
	}
	for _, m := range h.deps.Directory.View().Members {
		if m.State == membership.Gone || m.VM == h.deps.Self.VM {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			out, err := h.ask(ctx, m, &request{})
			if err != nil {
				out = &reply{}
			}
			take(m.VM.Name, out.Loads, err)
		})
	}
	wg.Wait()
	take(h.deps.Self.VM.Name, h.deps.Placement.Summary(), nil)
	slices.Sort(silent)
	return loads, silent
}
