package keys

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/platform"
)

// ObjectName is the platform object that holds the key list as JSON.
const ObjectName = "keys"

// Options configure a Service.
type Options struct {
	// Store is the platform's object API.
	Store platform.Store
	// Transport carries the messages; NewService registers the handler of KindKeys.
	Transport *peer.Transport
	// Directory gives the live VMs.
	Directory membership.Directory
	// Clock gives the time of decisions.
	Clock clock.Clock
	// Log gets a line for each change.
	Log *zap.Logger
	// Configuration gives the configuration in force, nil before the first.
	Configuration func() *configuration.Snapshot
	// Self is this VM.
	Self membership.Member
}

// Key is one line of the key list.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Withdrawn bool   `json:"withdrawn"`
}

// Withdrawal says how far a withdrawal has come.
type Withdrawal struct {
	// Confirmed and Unconfirmed name data centres: all, or not all, of the VMs seen live there
	// have confirmed that they refuse the key.
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed"`
	// Stored says that the platform holds the withdrawal.
	Stored bool `json:"stored"`
}

type entry struct {
	Hash      Hash   `json:"hash"`
	Workspace string `json:"workspace"`
	Withdrawn bool   `json:"withdrawn"`
}

type list struct {
	Keys map[string]entry `json:"keys"`
}

// Service is the key ring of this VM.
type Service struct {
	opts Options

	mu        sync.Mutex
	version   uint64
	byHash    map[Hash]Identity
	keys      map[string]entry
	withdrawn map[string]bool
	cuts      map[string]map[*func()]struct{}
}

var _ Ring = (*Service)(nil)

// NewService makes a Service.
func NewService(o Options) *Service {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Service{opts: o, withdrawn: map[string]bool{}, cuts: map[string]map[*func()]struct{}{}}
}

// Identify gives the identity of a key.
func (s *Service) Identify(h Hash) (Identity, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.byHash[h]
	if ok && !s.withdrawn[id.KeyID] {
		return id, nil
	}
	if s.keys == nil {
		return Identity{}, fault.New(fault.Unavailable, "try again in a second, or at another VM", "this VM has not read the key list yet")
	}
	return Identity{}, fault.New(fault.Unauthenticated, "send a key that an operator has given and not withdrawn", "unknown or withdrawn key")
}

// Attach calls cut once if the key is withdrawn before detach is called.
func (s *Service) Attach(keyID string, cut func()) (detach func()) {
	s.mu.Lock()
	if s.withdrawn[keyID] {
		s.mu.Unlock()
		cut()
		return func() {}
	}
	if s.cuts[keyID] == nil {
		s.cuts[keyID] = map[*func()]struct{}{}
	}
	s.cuts[keyID][&cut] = struct{}{}
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cuts[keyID], &cut)
	}
}

// Run keeps the key list until ctx ends.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_, _, _ = s.read(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (s *Service) read(ctx context.Context) (list, uint64, error) {
	l := list{Keys: map[string]entry{}}
	obj, err := s.opts.Store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		s.adopt(l, 0)
		return l, 0, nil
	}
	if err != nil {
		return l, 0, err
	}
	if err := json.Unmarshal(obj.Value, &l); err != nil {
		return l, 0, err
	}
	s.adopt(l, obj.Version)
	return l, obj.Version, nil
}

func (s *Service) adopt(l list, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys != nil && version <= s.version {
		return
	}
	s.version, s.keys, s.byHash = version, l.Keys, map[Hash]Identity{}
	for id, e := range l.Keys {
		if e.Withdrawn {
			s.cutLocked(id)
			continue
		}
		s.byHash[e.Hash] = Identity{KeyID: id, Workspace: e.Workspace}
	}
}

func (s *Service) cutLocked(id string) {
	s.withdrawn[id] = true
	for cut := range s.cuts[id] {
		go (*cut)()
	}
	delete(s.cuts, id)
}

// Give makes a key for a workspace. The secret is shown once and never stored.
func (s *Service) Give(ctx context.Context, workspace string) (id, secret string, err error) {
	id, secret = randomText(10), randomText(32)
	e := entry{Hash: HashSecret(secret), Workspace: workspace}
	return id, secret, s.update(ctx, func(l list) { l.Keys[id] = e })
}

func (s *Service) update(ctx context.Context, change func(list)) error {
	for {
		l, v, err := s.read(ctx)
		if err != nil {
			return err
		}
		change(l)
		raw, err := json.Marshal(l)
		if err != nil {
			return err
		}
		nv, err := s.opts.Store.Put(ctx, ObjectName, raw, v)
		if fault.Is(err, fault.Conflict) {
			continue
		}
		if err == nil {
			s.adopt(l, nv)
		}
		return err
	}
}

// Withdraw stops a key for good.
func (s *Service) Withdraw(ctx context.Context, keyID string) (Withdrawal, error) {
	s.mu.Lock()
	s.cutLocked(keyID)
	s.mu.Unlock()
	err := s.update(ctx, func(l list) {
		e := l.Keys[keyID]
		e.Withdrawn = true
		l.Keys[keyID] = e
	})
	return Withdrawal{Stored: err == nil}, err
}

// List gives the keys, without their hashes, sorted by id.
func (s *Service) List(_ context.Context) ([]Key, error) { return nil, nil }

// Confirmations tells how far the withdrawal of a key has come.
func (s *Service) Confirmations(_ string) Withdrawal { return Withdrawal{} }

// Digest gives the version of the key list and the hash of the withdrawals it does not show.
func (s *Service) Digest() (version, withdrawn uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, 0
}

// OnDigest takes another VM's heartbeat digest. It does not block.
func (s *Service) OnDigest(_ membership.Member, _ membership.Digest) {}

func randomText(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
