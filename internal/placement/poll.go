package placement

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/notify"
)

const (
	// loadPeriod is the average pause between load polls of one endpoint; loadJitter is the
	// maximum deviation.
	loadPeriod = 500 * time.Millisecond
	loadJitter = 100 * time.Millisecond
	// loadTimeout bounds one load poll.
	loadTimeout = 400 * time.Millisecond
	// maxPolls is the maximum number of concurrent load polls of one cell.
	maxPolls = 16
	// eventsTimeout bounds one long poll for cache events.
	eventsTimeout = 10 * time.Second
	// eventsInterval is the pause between two long polls, eventsRetryDelay the average pause
	// after a failed one.
	eventsInterval   = 100 * time.Millisecond
	eventsRetryDelay = time.Second
)

// poller reads the load and the cache events of a cell's endpoints and passes them to the Cell.
type poller struct {
	dialer endpoint.Dialer
	put    func(context.Context, Input)

	mu        sync.Mutex
	endpoints map[string]*polledEndpoint
	changed   chan struct{}
}

// polledEndpoint is one endpoint that is polled.
type polledEndpoint struct {
	name   string
	addr   netip.AddrPort
	cancel context.CancelFunc
}

func newPoller(o Options, put func(context.Context, Input)) *poller {
	return &poller{dialer: o.Dialer, put: put, endpoints: map[string]*polledEndpoint{}, changed: make(chan struct{}, 1)}
}

// configure sets the endpoints to poll.
func (p *poller) configure(endpoints map[string]configuration.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, e := range endpoints {
		addr, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			continue
		}
		if old := p.endpoints[name]; old != nil && old.addr == addr {
			continue
		}
		p.remove(name)
		p.endpoints[name] = &polledEndpoint{name: name, addr: addr}
	}
	for name := range p.endpoints {
		if _, listed := endpoints[name]; !listed {
			p.remove(name)
		}
	}
	notify.Signal(p.changed)
}

func (p *poller) remove(name string) {
	if e := p.endpoints[name]; e != nil && e.cancel != nil {
		e.cancel()
	}
	delete(p.endpoints, name)
}

func (p *poller) run(ctx context.Context) {
	if p.dialer == nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	semaphore := make(chan struct{}, maxPolls)
	for {
		for _, e := range p.newWatches(ctx) {
			wg.Go(func() { p.watchLoad(e.ctx, e.endpoint, semaphore) })
			wg.Go(func() { p.watchEvents(e.ctx, e.endpoint) })
		}
		select {
		case <-ctx.Done():
			return
		case <-p.changed:
		}
	}
}

type watch struct {
	ctx      context.Context
	endpoint *polledEndpoint
}

// newWatches returns a watch for each endpoint that is not yet polled, and marks these
// endpoints as polled.
func (p *poller) newWatches(ctx context.Context) []watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []watch
	for _, e := range p.endpoints {
		if e.cancel != nil {
			continue
		}
		w := watch{endpoint: e}
		w.ctx, e.cancel = context.WithCancel(ctx)
		out = append(out, w)
	}
	return out
}

func (p *poller) watchLoad(ctx context.Context, e *polledEndpoint, semaphore chan struct{}) {
	engine := p.dialer.Engine(e.addr)
	for ctx.Err() == nil {
		semaphore <- struct{}{}
		p.readLoad(ctx, e, engine)
		<-semaphore
		clock.Sleep(ctx, loadPeriod-loadJitter+rand.N(2*loadJitter))
	}
}

func (p *poller) readLoad(ctx context.Context, e *polledEndpoint, engine endpoint.Engine) {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := engine.Load(call)
	switch {
	case err == nil:
		p.put(ctx, LoadInput{Endpoint: e.name, Load: load})
	case ctx.Err() == nil:
		p.put(ctx, LoadPollFailedInput{Endpoint: e.name})
	}
}

func (p *poller) watchEvents(ctx context.Context, e *polledEndpoint) {
	engine := p.dialer.Engine(e.addr)
	var after uint64
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, eventsTimeout)
		events, err := engine.Events(call, after)
		cancel()
		if err != nil {
			clock.Sleep(ctx, eventsRetryDelay/2+rand.N(eventsRetryDelay))
			continue
		}
		if len(events) > 0 {
			after = max(after, events[len(events)-1].Seq)
			p.put(ctx, CacheInput{Endpoint: e.name, Events: events})
		}
		clock.Sleep(ctx, eventsInterval)
	}
}
