package limiter_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testCluster runs real services on an in-memory directory, object store and VM list.
type testCluster struct {
	mu       sync.Mutex
	objects  map[string]objectstore.Object
	members  []membership.Member
	services map[string]*limiter.Service
	snapshot *configuration.Snapshot
}

func (s *testCluster) View() *membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &membership.View{Members: append([]membership.Member(nil), s.members...)}
}

func (s *testCluster) ReportUnreachable(vm ident.VM) { s.setState(vm.Name, membership.Suspect) }

func (s *testCluster) setState(name string, state membership.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.members {
		if s.members[i].VM.Name == name {
			s.members[i].State = state
		}
	}
}

func (s *testCluster) VMs(context.Context) ([]objectstore.VM, error) { return nil, nil }

func (s *testCluster) Get(_ context.Context, name string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, fault.New(fault.NotFound, "", "object does not exist")
	}
	return o, nil
}

func (s *testCluster) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != ifVersion {
		return 0, fault.New(fault.Conflict, "", "version does not match")
	}
	s.objects[name] = objectstore.Object{Name: name, Version: ifVersion + 1, Value: value}
	return ifVersion + 1, nil
}

func (s *testCluster) Watch(ctx context.Context, _ string, _ uint64) (objectstore.Object, error) {
	<-ctx.Done()
	return objectstore.Object{}, ctx.Err()
}

func (s *testCluster) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []objectstore.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			out = append(out, o)
		}
	}
	return out, nil
}

// newTestCluster starts services on loopback addresses and waits until each can admit a request.
func newTestCluster(t *testing.T, policy string, plan configuration.Plan, vms ...string) *testCluster {
	t.Helper()
	s := &testCluster{
		objects:  map[string]objectstore.Object{},
		services: map[string]*limiter.Service{},
		snapshot: &configuration.Snapshot{Version: 1, Document: document(plan, 1, 1, 1)},
	}
	listeners := map[string]net.Listener{}
	for _, name := range vms {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[name] = ln
		dc := name[:1]
		s.members = append(s.members, membership.Member{
			VM:          ident.VM{Name: name, Incarnation: 1},
			DataCentre:  dc,
			Region:      s.snapshot.Document.DataCentres[dc].Region,
			PeerAddress: netip.MustParseAddrPort(ln.Addr().String()),
			State:       membership.Alive,
		})
	}
	for _, m := range s.members {
		s.start(t, policy, m, listeners[m.VM.Name])
	}
	for _, m := range s.members {
		s.awaitShares(t, policy, m)
	}
	return s
}

func (s *testCluster) start(t *testing.T, policy string, m membership.Member, ln net.Listener) {
	tr := peer.New(peer.Options{Self: m.VM})
	svc := limiter.New(limiter.Options{
		Self:          m,
		Directory:     s,
		Store:         s,
		Lister:        s,
		Transport:     tr,
		Clock:         clock.BootTime{},
		Configuration: func() *configuration.Snapshot { return s.snapshot },
		Policy:        policy,
	})
	s.services[m.VM.Name] = svc
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { svc.Run(ctx) })
	wg.Go(func() { _ = tr.Serve(ln) })
	t.Cleanup(func() {
		cancel()
		tr.Close()
		wg.Wait()
	})
}

// awaitShares polls until requests are admitted and the data centre's record exists.
func (s *testCluster) awaitShares(t *testing.T, policy string, m membership.Member) {
	t.Helper()
	for policy == limiter.PolicyPooled {
		r, err := s.services[m.VM.Name].Reserve(t.Context(), "w", 1)
		if err == nil {
			r.Settle(0)
			if _, err := s.Get(t.Context(), limiter.RecordName(m.DataCentre)); err == nil {
				return
			}
		}
		if t.Context().Err() != nil {
			t.Fatal(err)
		}
	}
}

func reserve(t *testing.T, s *testCluster, vm string, tokens int64) (limiter.Reservation, fault.Detail) {
	t.Helper()
	r, err := s.services[vm].Reserve(t.Context(), "w", tokens)
	if err != nil {
		return nil, fault.DetailOf(err)
	}
	return r, fault.Detail{}
}

// reserveEventually retries until the request is admitted, because settlements are sent in
// batches.
func reserveEventually(t *testing.T, s *testCluster, vm string, tokens int64) limiter.Reservation {
	t.Helper()
	for range 10000 {
		if r, _ := reserve(t, s, vm, tokens); r != nil {
			return r
		}
	}
	t.Fatalf("%d tokens did not become available", tokens)
	return nil
}

func TestReserveAcrossShares(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 300_000}
	s := newTestCluster(t, limiter.PolicyPooled, plan, "a1", "a2", "b1", "c1")
	if _, d := reserve(t, s, "a1", 300_001); d.Kind != fault.TooLarge || d.Remedy == "" {
		t.Errorf("request larger than the burst: %+v", d)
	}
	entireBurst := reserveEventually(t, s, "a2", 300_000)
	_, d := reserve(t, s, "c1", 10_000)
	if d.Kind != fault.PlanExceeded || d.RetryAfter < 9000*time.Second || d.RetryAfter > 10_001*time.Second {
		t.Errorf("request beyond the plan: %+v", d)
	}
	entireBurst.Settle(100_000)
	entireBurst.Settle(0)
	reserveEventually(t, s, "b1", 200_000).Settle(200_000)
	if _, d := reserve(t, s, "a1", 1000); d.Kind != fault.PlanExceeded {
		t.Errorf("request after the burst is used up: %+v", d)
	}
	if _, err := s.services["a1"].Reserve(t.Context(), "nobody", 1); !fault.Is(err, fault.Forbidden) {
		t.Errorf("request of a workspace without a plan: %v", err)
	}
}

func TestStopHandsOverShares(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 300_000}
	s := newTestCluster(t, limiter.PolicyPooled, plan, "a1", "a2", "b1", "c1")
	reserveEventually(t, s, "a1", 250_000).Settle(250_000)
	leaving, staying := "a1", "a2"
	if len(s.services["a2"].Status()) > 0 {
		leaving, staying = "a2", "a1"
	}
	s.setState(leaving, membership.Leaving)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s.services[leaving].Stop(ctx)
	if ctx.Err() != nil || len(s.services[leaving].Status()) > 0 {
		t.Fatalf("shares not handed over: %+v", s.services[leaving].Status())
	}
	reserveEventually(t, s, staying, 49_000).Settle(49_000)
	if _, d := reserve(t, s, staying, 5000); d.Kind != fault.PlanExceeded {
		t.Errorf("request beyond the balance after the handover: %+v", d)
	}
}

func TestReserveWithUnreachableHolders(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 300_000}
	s := newTestCluster(t, limiter.PolicyPooled, plan, "a1", "b1", "c1")
	s.setState("a1", membership.Suspect)
	reserveEventually(t, s, "b1", 200_000)
	if _, d := reserve(t, s, "b1", 150_000); d.Kind != fault.PlanExceeded {
		t.Errorf("two of three shares reachable: %+v", d)
	}
	_, d := reserve(t, s, "b1", 250_000)
	if d.Kind != fault.Unavailable || d.Execution != fault.NotExecuted {
		t.Errorf("request larger than the reachable shares: %+v", d)
	}
	s.setState("c1", membership.Suspect)
	s.setState("b1", membership.Suspect)
	if _, d := reserve(t, s, "a1", 250_000); d.Kind != fault.Unavailable {
		t.Errorf("one share reachable: %+v", d)
	}
}

func TestBaselinePolicies(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 30_000}
	for policy, burst := range map[string]int64{limiter.PolicyStatic: 10_000, limiter.PolicyHome: 30_000} {
		s := newTestCluster(t, policy, plan, "a1", "b1", "c1")
		r, d := reserve(t, s, "a1", burst)
		if r == nil {
			t.Fatalf("%s: %+v", policy, d)
		}
		if _, d := reserve(t, s, "a1", 1000); d.Kind != fault.PlanExceeded || d.RetryAfter <= 0 {
			t.Errorf("%s: %+v", policy, d)
		}
		r.Settle(0)
		reserveEventually(t, s, "a1", burst)
	}
}
