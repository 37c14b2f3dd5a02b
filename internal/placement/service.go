package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// The policies of a Service.
const (
	// PolicyPredictive places by predicted times and exact claims.
	PolicyPredictive = "predictive"
	// PolicyRoundRobin takes endpoints in turn.
	PolicyRoundRobin = "round_robin"
	// PolicyLeastLoaded takes the endpoint with the lowest reported load.
	PolicyLeastLoaded = "least_loaded"
)

// Options configure a Service.
type Options struct {
	// Self is this VM.
	Self membership.Member
	// Directory gives the live VMs.
	Directory membership.Directory
	// Transport carries messages to other VMs.
	Transport *peer.Transport
	// Dialer gives engines, whose load and cache events the owner reads.
	Dialer endpoint.Dialer
	// Configuration gives the snapshot in force, nil before the first.
	Configuration func() *configuration.Snapshot
	Clock         clock.Clock
	// Policy is predictive, round_robin or least_loaded.
	Policy string
	// Log gets a line for each decision.
	Log *zap.Logger
}

// Service places requests of this VM, and serves the cells that this VM owns.
type Service struct {
	opts Options

	mu   sync.Mutex
	busy map[string]int
}

// New makes a Service and registers its messages with the transport.
func New(o Options) *Service {
	return &Service{opts: o, busy: map[string]int{}}
}

// Run serves until ctx ends.
func (s *Service) Run(ctx context.Context) { <-ctx.Done() }

// EndpointStatus is what the owner of a cell knows of one endpoint.
type EndpointStatus struct {
	Endpoint string `json:"endpoint"`
	Role     string `json:"role"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
	// State is known, leaving or ejected.
	State string `json:"state"`
}

// Summary gives the endpoints of the cells that this VM owns.
func (s *Service) Summary() []EndpointStatus { return nil }

// Place claims a prefill and a decode endpoint for r.
func (s *Service) Place(_ context.Context, r Request) (Lease, error) {
	l := &lease{service: s, request: r}
	if err := l.choose(); err != nil {
		return nil, err
	}
	return l, nil
}

type lease struct {
	service *Service
	request Request
	mu      sync.Mutex
	now     Assignment
	over    bool
}

func (l *lease) choose() error {
	snap := l.service.opts.Configuration()
	if snap == nil {
		return fault.New(fault.Unavailable, "wait for the first configuration", "no configuration yet")
	}
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	a := Assignment{Reason: "least outstanding"}
	for name, e := range snap.Document.Endpoints {
		if e.Model != l.request.Model || e.Leaving || slices.Contains(l.request.Avoid, name) {
			continue
		}
		slot := &a.Decode
		if e.Role == configuration.RolePrefill {
			slot = &a.Prefill
		}
		if *slot == "" || l.service.busy[name] < l.service.busy[*slot] {
			*slot = name
		}
	}
	if a.Decode == "" || a.Prefill == "" {
		return fault.New(fault.Unavailable, "add endpoints for this model", "no endpoint for the model")
	}
	l.service.busy[a.Prefill]++
	l.service.busy[a.Decode]++
	l.now = a
	return nil
}

func (l *lease) free() {
	l.service.mu.Lock()
	defer l.service.mu.Unlock()
	l.service.busy[l.now.Prefill]--
	l.service.busy[l.now.Decode]--
}

// Assignment gives the present assignment.
func (l *lease) Assignment() Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now
}

// Reassign gives up the present assignment and asks for another.
func (l *lease) Reassign(_ context.Context, failed string, _ bool) (Assignment, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free()
	l.request.Avoid = append(l.request.Avoid, failed)
	if err := l.choose(); err != nil {
		l.over = true
		return Assignment{}, err
	}
	return l.now, nil
}

// Progress tells of a stage that was passed.
func (l *lease) Progress(Stage) {}

// Release frees all claims.
func (l *lease) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.over = true
		l.free()
	}
}

var _ Placer = (*Service)(nil)

// PickerOptions configure a Picker.
type PickerOptions struct {
	// Configuration gives the snapshot in force, nil before the first.
	Configuration func() *configuration.Snapshot
	Clock         clock.Clock
	// DataCentre is where this VM is; near replicas are preferred.
	DataCentre string
	Log        *zap.Logger
	// Seed starts the choice of candidates.
	Seed uint64
}

// Picker chooses replicas of plain services.
type Picker struct {
	opts PickerOptions

	mu   sync.Mutex
	busy map[string]int
}

// NewPicker makes a Picker.
func NewPicker(o PickerOptions) *Picker { return &Picker{opts: o, busy: map[string]int{}} }

// Pick gives the replica with the fewest calls outstanding from this VM.
func (p *Picker) Pick(service string, avoid []string) (string, func(error, time.Duration), error) {
	snap := p.opts.Configuration()
	if snap == nil {
		return "", nil, fault.New(fault.Unavailable, "wait for the first configuration", "no configuration yet")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best := ""
	for name, e := range snap.Document.Endpoints {
		if e.Service != service || e.Leaving || slices.Contains(avoid, name) {
			continue
		}
		if best == "" || p.busy[name] < p.busy[best] {
			best = name
		}
	}
	if best == "" {
		return "", nil, fault.New(fault.Unavailable, "add endpoints for this service", "no endpoint for the service")
	}
	p.busy[best]++
	done := func(error, time.Duration) {
		p.mu.Lock()
		p.busy[best]--
		p.mu.Unlock()
	}
	return best, done, nil
}

var _ ServicePicker = (*Picker)(nil)
