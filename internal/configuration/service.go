package configuration

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/replication"
)

// ObjectName is the name of the platform object that stores the document as JSON.
const ObjectName = "configuration"

// Options configures a Service.
type Options struct {
	// Store is the platform's object store.
	Store objectstore.Store
	// Transport carries the messages; NewService registers the handler of KindConfiguration.
	Transport *peer.Transport
	// Directory provides the membership view.
	Directory membership.Directory
	// Clock is the time source of the replica.
	Clock clock.Clock
	// Log is the logger; nil disables logging.
	Log *zap.Logger
	// Self is this VM.
	Self membership.Member
}

// Service maintains this VM's current configuration.
type Service struct {
	opts    Options
	replica *replication.Replica
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex
	onChange []func(*Snapshot)
}

// NewService returns a Service and registers its handler with the transport.
func NewService(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	s := &Service{opts: o}
	s.replica = replication.New(replication.Options{
		Object:    ObjectName,
		Kind:      peer.KindConfiguration,
		Store:     o.Store,
		Transport: o.Transport,
		Directory: o.Directory,
		Clock:     o.Clock,
		Log:       o.Log,
		Decode:    DecodeEntries,
		OnAdopt:   s.adopt,
	})
	return s
}

// Current returns the current snapshot, or nil before the first version arrives.
func (s *Service) Current() *Snapshot { return s.current.Load() }

// OnChange registers f, which is called with each new snapshot in version order. f must not block.
func (s *Service) OnChange(f func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// CurrentVersion returns the current version, or 0 if this VM has none yet.
func (s *Service) CurrentVersion() uint64 {
	if c := s.Current(); c != nil {
		return uint64(c.Version)
	}
	return 0
}

// FillDigest sets the current version in a heartbeat's digest.
func (s *Service) FillDigest(d *membership.Digest) { d.Configuration = s.CurrentVersion() }

// OnDigest processes the digest of another VM's heartbeat. It does not block.
func (s *Service) OnDigest(from membership.Member, d membership.Digest) {
	s.replica.ObserveVersion(from.VM, d.Configuration)
}

// Run keeps the configuration up to date until ctx ends.
func (s *Service) Run(ctx context.Context) { s.replica.Run(ctx) }

// adopt makes a table the current snapshot. Only the replica's goroutine calls it, so versions
// arrive in order.
func (s *Service) adopt(t *replication.Table, _ replication.Origin) {
	if t.Version == 0 {
		return
	}
	doc, err := FromEntries(t.Entries)
	if err != nil {
		s.opts.Log.Error("objects of the configuration ignored", zap.Uint64("version", t.Version), zap.Error(err))
	}
	snap := &Snapshot{Version: Version(t.Version), Document: doc, AdoptedAt: time.Now()}
	s.current.Store(snap)
	s.mu.Lock()
	subscribers := slices.Clone(s.onChange)
	s.mu.Unlock()
	for _, f := range subscribers {
		f(snap)
	}
}

// Confirmation lists the current version of each VM of one data centre.
type Confirmation struct {
	DataCentre string `json:"data_centre"`
	// VMs is sorted by name.
	VMs []VMVersion `json:"vms"`
}

// VMVersion is the current version of one VM.
type VMVersion struct {
	VM ident.VM `json:"vm"`
	// Version is 0 if the VM has no version or did not respond.
	Version Version `json:"version"`
	// Answered reports whether the VM responded.
	Answered bool `json:"answered"`
}

// Confirmations queries the current version of every member that is not Gone and groups the
// results by data centre. It takes up to about one second for every 64 unresponsive VMs, because 64
// VMs are queried at a time.
func (s *Service) Confirmations() []Confirmation {
	byName := map[string][]VMVersion{}
	for _, h := range s.replica.QueryVersions(context.Background(), s.CurrentVersion()) {
		byName[h.DataCentre] = append(byName[h.DataCentre], VMVersion{h.VM, Version(h.Version), h.Answered})
	}
	var out []Confirmation
	for _, dc := range slices.Sorted(maps.Keys(byName)) {
		vms := byName[dc]
		slices.SortFunc(vms, func(a, b VMVersion) int { return strings.Compare(a.VM.Name, b.VM.Name) })
		out = append(out, Confirmation{DataCentre: dc, VMs: vms})
	}
	return out
}
