package placement

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
)

const (
	// loadPeriod is the time between load polls of one endpoint, give or take loadJitter.
	loadPeriod = 500 * time.Millisecond
	loadJitter = 100 * time.Millisecond
	// loadTimeout bounds one load poll.
	loadTimeout = 400 * time.Millisecond
	// maxPolls is the number of load polls of one cell at once.
	maxPolls = 16
	// eventsTimeout bounds one wait for cache events.
	eventsTimeout = 10 * time.Second
	// eventsPause is the least time between two waits, eventsRetry after a failure.
	eventsPause = 100 * time.Millisecond
	eventsRetry = time.Second
)

// poller reads the load and cache events of a cell's endpoints and feeds the Cell.
type poller struct {
	dialer endpoint.Dialer
	put    func(context.Context, Input)

	mu        sync.Mutex
	endpoints map[string]*polled
	changed   chan struct{}
}

// polled is one endpoint under watch.
type polled struct {
	name string
	addr netip.AddrPort
	stop context.CancelFunc
}

func newPoller(o Options, put func(context.Context, Input)) *poller {
	return &poller{dialer: o.Dialer, put: put, endpoints: map[string]*polled{}, changed: make(chan struct{}, 1)}
}

// configure sets the endpoints to watch.
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
		p.drop(name)
		p.endpoints[name] = &polled{name: name, addr: addr}
	}
	for name := range p.endpoints {
		if _, listed := endpoints[name]; !listed {
			p.drop(name)
		}
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

func (p *poller) drop(name string) {
	if old := p.endpoints[name]; old != nil && old.stop != nil {
		old.stop()
	}
	delete(p.endpoints, name)
}

func (p *poller) run(ctx context.Context) {
	if p.dialer == nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	permits := make(chan struct{}, maxPolls)
	for {
		for _, e := range p.unwatched(ctx) {
			wg.Go(func() { p.watchLoad(e.ctx, e.polled, permits) })
			wg.Go(func() { p.watchEvents(e.ctx, e.polled) })
		}
		select {
		case <-ctx.Done():
			return
		case <-p.changed:
		}
	}
}

type watch struct {
	ctx    context.Context
	polled *polled
}

// unwatched marks and gives the endpoints whose watch has not begun.
func (p *poller) unwatched(ctx context.Context) []watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []watch
	for _, e := range p.endpoints {
		if e.stop != nil {
			continue
		}
		w := watch{polled: e}
		w.ctx, e.stop = context.WithCancel(ctx)
		out = append(out, w)
	}
	return out
}

func (p *poller) watchLoad(ctx context.Context, e *polled, permits chan struct{}) {
	engine := p.dialer.Engine(e.addr)
	for ctx.Err() == nil {
		permits <- struct{}{}
		p.readLoad(ctx, e, engine)
		<-permits
		pause(ctx, loadPeriod-loadJitter+rand.N(2*loadJitter))
	}
}

func (p *poller) readLoad(ctx context.Context, e *polled, engine endpoint.Engine) {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := engine.Load(call)
	switch {
	case err == nil:
		p.put(ctx, LoadInput{Endpoint: e.name, Load: load})
	case ctx.Err() == nil:
		p.put(ctx, SilentInput{Endpoint: e.name})
	}
}

func (p *poller) watchEvents(ctx context.Context, e *polled) {
	engine := p.dialer.Engine(e.addr)
	var after uint64
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, eventsTimeout)
		events, err := engine.Events(call, after)
		cancel()
		if err != nil {
			pause(ctx, eventsRetry/2+rand.N(eventsRetry))
			continue
		}
		if len(events) > 0 {
			after = max(after, events[len(events)-1].Seq)
			p.put(ctx, CacheInput{Endpoint: e.name, Events: events})
		}
		pause(ctx, eventsPause)
	}
}
