package relay

import (
	"cmp"
	"context"
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
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// serviceTarget is the latency objective of calls to plain services, which routes do not
	// state; the path of a call bounds its tries by it.
	serviceTarget = 3 * time.Second
	// maxServiceTries bounds the endpoints that an idempotent call runs on.
	maxServiceTries = 3
	// serviceRetryRatio, serviceRetryWindow and serviceRetrySlack bound the extra sends to a
	// service by this VM.
	serviceRetryRatio  = 0.1
	serviceRetryWindow = 10 * time.Second
	serviceRetrySlack  = 40
)

// services sends calls to plain services by the path that all calls take.
type services struct {
	scheduler  *schedule.Scheduler
	dispatcher *dispatch.Dispatcher
	pool       *connpool.Pool

	mu      sync.Mutex
	version configuration.Version
	known   bool
}

func newServices(o Options, s *Server) *services {
	v := &services{pool: connpool.New(nil)}
	v.scheduler = schedule.New(schedule.Options{Clock: o.Clock, DataCentre: o.DataCentre, Seed: uint64(o.Self.Incarnation)})
	budget := admission.RetryBudget{Ratio: serviceRetryRatio, Window: serviceRetryWindow, Slack: serviceRetrySlack}
	v.dispatcher = dispatch.New(dispatch.Options{
		Clock: o.Clock, Scheduler: v.scheduler, Backend: &endpoint.PlainClient{Pool: v.pool}, Log: o.Log, Metrics: s.metrics,
		Gate: admission.NewGate(o.Clock, budget, admission.PlanBounds{Window: serviceRetryWindow}, 1, nil), Seed: uint64(o.Self.Incarnation),
	})
	return v
}

// sweepPeriod is the time between looks for connections that were unused for too long.
const sweepPeriod = time.Second

// run closes unused connections until ctx ends.
func (v *services) run(ctx context.Context) {
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			v.pool.Close()
			return
		case now := <-t.C:
			v.pool.CloseExpired(now)
		}
	}
}

// follow takes over the endpoints of plain services from a new snapshot.
func (v *services) follow(snap *configuration.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && v.version == snap.Version {
		return
	}
	v.known, v.version = true, snap.Version
	var table traffic.Endpoints
	for name, e := range snap.Document.Endpoints {
		addr, err := netip.ParseAddrPort(e.Address)
		if e.Service == "" || err != nil { // the configuration's check refuses other addresses
			continue
		}
		table.List = append(table.List, traffic.Endpoint{
			ID: traffic.EndpointID{Name: name}, Service: e.Service, Address: addr, DataCentre: e.DataCentre, Slots: e.Slots, Leaving: e.Leaving,
		})
	}
	slices.SortFunc(table.List, func(a, b traffic.Endpoint) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	v.scheduler.Update(table, nil)
}

// forward sends a call to a service, again elsewhere where its route allows it.
func (c *call) forward(ctx context.Context, name string, route configuration.Route, body []byte) (*serviceAnswer, error) {
	v := c.server.services
	v.follow(c.snapshot)
	header := endpointHeaders(c.r.Header)
	header.Set("X-Request-Id", c.id)
	header.Set("X-Workspace", c.identity.Workspace)
	kind := traffic.NonIdempotent
	if route.Idempotent {
		kind = traffic.Idempotent
	}
	timeout := deadlineOf(route.DeadlineMillis, defaultPlainDeadline)
	a := &serviceAnswer{}
	err := v.dispatcher.Forward(ctx, &traffic.Call{
		ID: c.id, Method: c.r.Method, RequestURI: cmp.Or(c.r.RequestURI, c.r.URL.RequestURI()), Host: c.r.Host, Header: header, Body: body,
		ArrivedAt: c.arrived, Deadline: c.arrived.Add(timeout), Service: &traffic.Service{Name: route.Service},
		Route: &traffic.Route{Name: name, Kind: kind, Timeout: timeout, LatencyTarget: serviceTarget, MaxAttempts: maxServiceTries},
	}, a)
	if err != nil {
		c.trace("recovery", "given up", zap.Error(err))
		return nil, err
	}
	return a, nil
}

// WriteHeader implements dispatch.Sink.
func (a *serviceAnswer) WriteHeader(status int, header map[string][]string, _ int64) error {
	a.status, a.header = status, connpool.EndToEndHeaders(http.Header(header))
	a.header.Del("Content-Length")
	return nil
}

// WriteData implements dispatch.Sink.
func (a *serviceAnswer) WriteData(p []byte) error {
	a.body = append(a.body, p...)
	return nil
}
