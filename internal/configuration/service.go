package configuration

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/platform"
)

// ObjectName is the platform object that holds the document as JSON.
const ObjectName = "configuration"

// Options configure a Service.
type Options struct {
	// Store is the platform's object API.
	Store platform.Store
	// Transport carries the messages; NewService registers the handler of KindConfiguration.
	Transport *peer.Transport
	// Directory gives the live VMs.
	Directory membership.Directory
	// Clock gives the time of decisions.
	Clock clock.Clock
	// Log gets a line for each version.
	Log *zap.Logger
	// Self is this VM.
	Self membership.Member
}

// Service keeps the configuration in force on this VM.
type Service struct {
	opts    Options
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex
	onChange []func(*Snapshot)
}

// Revision is one accepted change.
type Revision struct {
	// Base is the version that the change replaced.
	Base Version `json:"base"`
	// Nonce tells one Apply from all others.
	Nonce string `json:"nonce"`
	// At is when it was applied, by the applying VM's wall clock.
	At time.Time `json:"at"`
	// By names the VM that applied it.
	By string `json:"by"`
	// Objects names the objects that it changed, at most MaxRevisionObjects of them.
	Objects []string `json:"objects"`
	// Changed counts them all.
	Changed int `json:"changed"`
}

// Confirmation says which version each VM of one data centre has in force.
type Confirmation struct {
	DataCentre string `json:"data_centre"`
	// VMs is sorted by name.
	VMs []VMVersion `json:"vms"`
}

// VMVersion is one VM's version.
type VMVersion struct {
	VM ident.VM `json:"vm"`
	// Version is 0 when the VM has none or did not answer.
	Version Version `json:"version"`
	// Answered is false when the VM could not be asked.
	Answered bool `json:"answered"`
}

// NewService makes a Service.
func NewService(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Service{opts: o}
}

// Current gives the snapshot in force, nil before the first.
func (s *Service) Current() *Snapshot { return s.current.Load() }

// OnChange adds a function that is called after each new snapshot.
func (s *Service) OnChange(f func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Digest gives the version in force, for heartbeats.
func (s *Service) Digest() uint64 {
	if c := s.Current(); c != nil {
		return uint64(c.Version)
	}
	return 0
}

// OnDigest takes another VM's heartbeat digest. It does not block.
func (s *Service) OnDigest(_ membership.Member, _ membership.Digest) {}

// Run keeps the configuration until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		obj, err := s.opts.Store.Get(ctx, ObjectName)
		if err == nil {
			s.adopt(obj)
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (s *Service) adopt(obj platform.Object) {
	var doc Document
	if err := json.Unmarshal(obj.Value, &doc); err != nil {
		s.opts.Log.Error("configuration unreadable", zap.Error(err))
		return
	}
	s.mu.Lock()
	old := s.current.Load()
	if old != nil && old.Version >= Version(obj.Version) {
		s.mu.Unlock()
		return
	}
	snap := &Snapshot{Version: Version(obj.Version), Document: Normalize(doc), Applied: time.Now()}
	s.current.Store(snap)
	subs := append([]func(*Snapshot){}, s.onChange...)
	s.mu.Unlock()
	for _, f := range subs {
		f(snap)
	}
}

// Apply checks the whole document and puts it in force if the version in force is still
// ifVersion; 0 means that there must be none. It gives the new version. It fails as Malformed
// with every fault named, as Conflict when another operator came first, and as OutcomeUnknown
// when the platform did not answer whether the document was accepted.
func (s *Service) Apply(ctx context.Context, doc Document, ifVersion Version) (Version, error) {
	doc = Normalize(doc)
	if err := checkError(Check(doc, platform.MaxValueBytes)); err != nil {
		return 0, err
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return 0, err
	}
	v, err := s.opts.Store.Put(ctx, ObjectName, raw, uint64(ifVersion))
	if err != nil {
		return 0, err
	}
	s.adopt(platform.Object{Version: v, Value: raw})
	return Version(v), nil
}

// History gives the latest accepted changes, oldest first.
func (s *Service) History(_ context.Context) ([]Revision, error) { return nil, nil }

// Confirmations asks every member which version it has in force, by data centre.
func (s *Service) Confirmations() []Confirmation { return nil }
