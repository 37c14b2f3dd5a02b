package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// PickerOptions configure a Picker.
type PickerOptions struct {
	// Configuration gives the snapshot in force, nil before the first.
	Configuration func() *configuration.Snapshot
	Clock         clock.Clock
	// DataCentre is where this VM is; near replicas are preferred.
	DataCentre string
	// Log gets a line for each ejection.
	Log *zap.Logger
	// Seed starts the random choice of candidates.
	Seed uint64
}

const (
	// latencyStep is how fast a replica's measured latency is taken over.
	latencyStep = 0.2
	// leastLatency stands for a replica that has not been measured.
	leastLatency = time.Millisecond
)

// Picker chooses replicas of plain services: of two random candidates, the one with the
// lower latency for the calls that this VM has outstanding there. A replica that fails in a
// row is ejected for a while, but never more than half of a service's.
type Picker struct {
	opts PickerOptions

	mu       sync.Mutex
	random   *rand.Rand
	version  configuration.Version
	known    bool
	services map[string][]*serviceReplica
	byName   map[string]*serviceReplica
}

// serviceReplica is what this VM knows of one replica.
type serviceReplica struct {
	name        string
	conf        configuration.Endpoint
	outstanding int
	latency     time.Duration
	health      health
}

// NewPicker makes a Picker.
func NewPicker(o PickerOptions) *Picker {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Picker{opts: o, random: rand.New(rand.NewPCG(o.Seed, 0)), byName: map[string]*serviceReplica{}}
}

// Pick gives the name of a replica not in avoid, and a function to be called with the outcome.
func (p *Picker) Pick(service string, avoid []string) (string, func(error, time.Duration), error) {
	snap := p.opts.Configuration()
	if snap == nil {
		return "", nil, fault.New(fault.Unavailable, "wait for the first configuration", "no configuration yet")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(snap)
	eligible, full := p.eligible(service, avoid)
	if len(eligible) == 0 {
		return "", nil, noReplica(service, full)
	}
	r := p.twoChoices(eligible)
	r.outstanding++
	var once sync.Once
	done := func(err error, took time.Duration) { once.Do(func() { p.finish(r, err, took) }) }
	return r.name, done, nil
}

func noReplica(service string, full int) error {
	if full > 0 {
		return fault.New(fault.Overloaded, "retry after the stated time", "all replicas of "+service+" are full", fault.WithRetryAfter(minRetryAfter))
	}
	return fault.New(fault.Unavailable, "retry later; operators: check the service's endpoints", "no replica of "+service+" can be used", fault.WithRetryAfter(minEjection))
}

// follow takes over a new configuration.
func (p *Picker) follow(snap *configuration.Snapshot) {
	if p.known && p.version == snap.Version {
		return
	}
	p.known, p.version = true, snap.Version
	p.services = map[string][]*serviceReplica{}
	former := p.byName
	p.byName = map[string]*serviceReplica{}
	for name, e := range snap.Document.Endpoints {
		if e.Service == "" {
			continue
		}
		r := former[name]
		if r == nil {
			r = &serviceReplica{name: name}
		}
		r.conf = e
		p.byName[name] = r
		p.services[e.Service] = append(p.services[e.Service], r)
	}
	for _, rs := range p.services {
		slices.SortFunc(rs, func(a, b *serviceReplica) int { return strings.Compare(a.name, b.name) })
	}
}

// eligible gives the replicas that may be used, and counts those that are only full. Ejected
// ones are used only when there is no other that is not full either.
func (p *Picker) eligible(service string, avoid []string) (out []*serviceReplica, full int) {
	now := p.opts.Clock.Now()
	var ejected []*serviceReplica
	for _, r := range p.services[service] {
		r.health.reported(now)
		switch {
		case r.conf.Leaving, slices.Contains(avoid, r.name):
		case r.conf.Slots > 0 && r.outstanding >= r.conf.Slots:
			full++
		case r.health.ejected:
			ejected = append(ejected, r)
		default:
			out = append(out, r)
		}
	}
	if len(out) == 0 && full == 0 {
		return ejected, 0
	}
	return out, full
}

func (p *Picker) twoChoices(eligible []*serviceReplica) *serviceReplica {
	a := eligible[p.random.IntN(len(eligible))]
	b := eligible[p.random.IntN(len(eligible))]
	if p.cost(b) < p.cost(a) {
		return b
	}
	return a
}

func (p *Picker) cost(r *serviceReplica) time.Duration {
	latency := max(r.latency, leastLatency)
	if r.conf.DataCentre != p.opts.DataCentre {
		latency += remotePenalty
	}
	return latency * time.Duration(r.outstanding+1)
}

func (p *Picker) finish(r *serviceReplica, err error, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.outstanding--
	switch {
	case err == nil:
		r.health.succeeded()
		r.learn(took)
	case fault.Is(err, fault.Cancelled):
	default:
		r.health.failures++
		p.ejectIfDue(r)
	}
}

func (r *serviceReplica) learn(took time.Duration) {
	if r.latency == 0 {
		r.latency = took
		return
	}
	r.latency += scale(took-r.latency, latencyStep)
}

// ejectIfDue ejects a failing replica unless that would eject more than half.
func (p *Picker) ejectIfDue(r *serviceReplica) {
	if r.health.ejected || !r.health.deserves() || p.byName[r.name] != r {
		return
	}
	total, ejected := 0, 0
	for _, o := range p.services[r.conf.Service] {
		if o.conf.Leaving {
			continue
		}
		total++
		if o.health.ejected {
			ejected++
		}
	}
	if 2*(ejected+1) > total {
		return
	}
	r.health.eject(p.opts.Clock.Now())
	countEjection(&Ejection{Ejected: true})
	p.opts.Log.Warn("endpoint_ejection", zap.String("service", r.conf.Service), zap.String("endpoint", r.name), zap.Bool("ejected", true), zap.String("cause", "failures in a row"))
}

var _ ServicePicker = (*Picker)(nil)
