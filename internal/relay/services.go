package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// serviceLatencyTarget is the latency target of calls to plain services (services that are not LLM
	// engines). Routes have no setting for it. The dispatcher derives the timeout of each attempt from
	// it.
	serviceLatencyTarget = 3 * time.Second
	// maxServiceAttempts bounds the number of endpoints that an idempotent call is sent to.
	maxServiceAttempts = 3
	// serviceRetryRatio, serviceRetryWindow and serviceRetrySlack bound the retries that this VM
	// sends to a service.
	serviceRetryRatio  = 0.1
	serviceRetryWindow = 10 * time.Second
	serviceRetrySlack  = 40
)

// serviceForwarder sends calls to plain services through the dispatcher.
type serviceForwarder struct {
	scheduler  *schedule.Scheduler
	dispatcher *dispatch.Dispatcher
	pool       *connpool.Pool

	mu      sync.Mutex
	version configuration.Version
	loaded  bool
}

func newServiceForwarder(o Options, s *Server) *serviceForwarder {
	f := &serviceForwarder{pool: connpool.New(nil)}
	f.scheduler = schedule.New(schedule.Options{Clock: o.Clock, DataCentre: o.DataCentre, Seed: uint64(o.Self.Incarnation)})
	budget := admission.RetryBudget{Ratio: serviceRetryRatio, Window: serviceRetryWindow, Slack: serviceRetrySlack}
	// The controller counts the calls of this VM only, as in a fleet of one VM, and reports no counters.
	gate := admission.NewController(o.Clock, budget, admission.PlanOptions{Window: serviceRetryWindow}, 1, nil)
	gate.SetFirstStart() // the budget is that of one process
	f.dispatcher = dispatch.New(dispatch.Options{
		Clock: o.Clock, Scheduler: f.scheduler, Backend: &endpoint.PlainClient{Pool: f.pool}, Log: o.Log, Metrics: s.metrics,
		Admission: gate,
		Seed:      uint64(o.Self.Incarnation),
	})
	return f
}

// idleCheckInterval is the interval between checks for expired idle connections.
const idleCheckInterval = time.Second

// closeExpiredConns periodically closes expired idle connections until ctx ends, then closes all idle
// connections.
func (f *serviceForwarder) closeExpiredConns(ctx context.Context) {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			f.pool.Close()
			return
		case now := <-t.C:
			f.pool.CloseExpired(now)
		}
	}
}

// updateEndpoints updates the scheduler with the plain services' endpoints if the snapshot is newer than the last one. A call keeps the
// snapshot of its arrival, which may be older.
func (f *serviceForwarder) updateEndpoints(snap *configuration.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && f.version >= snap.Version {
		return
	}
	f.loaded, f.version = true, snap.Version
	var endpoints traffic.Endpoints
	for name, e := range snap.Document.Endpoints {
		addr, err := netip.ParseAddrPort(e.Address)
		if e.Service == "" || err != nil { // validation rejects configurations with malformed addresses
			continue
		}
		endpoints.List = append(endpoints.List, traffic.Endpoint{
			ID: traffic.EndpointID{Name: name}, Service: e.Service, Address: addr,
			DataCentre: e.DataCentre, Slots: e.Slots, Leaving: e.Leaving,
		})
	}
	slices.SortFunc(endpoints.List, func(a, b traffic.Endpoint) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	f.scheduler.UpdateEndpoints(endpoints, nil)
}

// forward sends a call to a service. A failed call is retried at another endpoint if its route
// allows it.
func (c *call) forward(
	ctx context.Context, routeName string, route configuration.Route, body []byte,
) (*serviceResponse, error) {
	forwarder := c.server.services
	forwarder.updateEndpoints(c.snapshot)
	header := forwardedHeaders(c.r.Header)
	header.Set("X-Request-Id", c.id)
	header.Set("X-Workspace", c.identity.Workspace)
	kind := traffic.NonIdempotent
	if route.Idempotent {
		kind = traffic.Idempotent
	}
	timeout := deadlineOrDefault(route.DeadlineMillis, defaultServiceDeadline)
	resp := &serviceResponse{}
	err := forwarder.dispatcher.Forward(ctx, &traffic.Call{
		ID: c.id, Method: c.r.Method, RequestURI: cmp.Or(c.r.RequestURI, c.r.URL.RequestURI()),
		Host: c.r.Host, Header: header, Body: body,
		ArrivedAt: c.arrivedAt, Deadline: c.arrivedAt.Add(timeout), Service: &traffic.Service{Name: route.Service},
		Route: &traffic.Route{
			Name: routeName, Kind: kind, Timeout: timeout, LatencyTarget: serviceLatencyTarget,
			MaxAttempts: maxServiceAttempts,
		},
	}, resp)
	if resp.tooLarge {
		err = fault.New(fault.OutcomeUnknown, "request less at once", "the service's response is too large", fault.WithExecution(fault.Executed))
	}
	if err != nil {
		c.trace("recovery", "given up", zap.Error(err))
		return nil, err
	}
	return resp, nil
}

// WriteHeader implements dispatch.Sink.
func (r *serviceResponse) WriteHeader(status int, header map[string][]string, _ int64) error {
	r.status, r.header = status, connpool.EndToEndHeaders(http.Header(header))
	r.header.Del("Content-Length")
	return nil
}

var errServiceResponseTooLarge = errors.New("the service's response is too large")

// WriteData implements dispatch.Sink.
func (r *serviceResponse) WriteData(p []byte) error {
	if len(r.body)+len(p) > maxServiceResponse {
		r.tooLarge = true
		return errServiceResponseTooLarge
	}
	r.body = append(r.body, p...)
	return nil
}
