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

// site is a directory, an object API and a list of VMs in memory, with real services.
type site struct {
	mu       sync.Mutex
	objects  map[string]objectstore.Object
	members  []membership.Member
	services map[string]*limiter.Service
	snapshot *configuration.Snapshot
}

func (s *site) View() *membership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &membership.View{Members: append([]membership.Member(nil), s.members...)}
}

func (s *site) ReportUnreachable(vm ident.VM) { s.mark(vm.Name, membership.Suspect) }

func (s *site) mark(name string, state membership.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.members {
		if s.members[i].VM.Name == name {
			s.members[i].State = state
		}
	}
}

func (s *site) VMs(context.Context) ([]objectstore.VM, error) { return nil, nil }

func (s *site) Get(_ context.Context, name string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, fault.New(fault.NotFound, "", "no object")
	}
	return o, nil
}

func (s *site) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != ifVersion {
		return 0, fault.New(fault.Conflict, "", "version differs")
	}
	s.objects[name] = objectstore.Object{Name: name, Version: ifVersion + 1, Value: value}
	return ifVersion + 1, nil
}

func (s *site) Watch(ctx context.Context, _ string, _ uint64) (objectstore.Object, error) {
	<-ctx.Done()
	return objectstore.Object{}, ctx.Err()
}

func (s *site) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
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

// newSite starts services over loopback and waits until each can admit a request.
func newSite(t *testing.T, policy string, plan configuration.Plan, vms ...string) *site {
	t.Helper()
	s := &site{
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

func (s *site) start(t *testing.T, policy string, m membership.Member, ln net.Listener) {
	tr := peer.New(peer.Options{Self: m.VM})
	svc := limiter.New(limiter.Options{
		Self:          m,
		Directory:     s,
		Store:         s,
		Lister:        s,
		Transport:     tr,
		Clock:         clock.Boot{},
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

// awaitShares polls until a VM's data centre answers for the workspace.
func (s *site) awaitShares(t *testing.T, policy string, m membership.Member) {
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

func reserve(t *testing.T, s *site, vm string, tokens int64) (limiter.Reservation, fault.Detail) {
	t.Helper()
	r, err := s.services[vm].Reserve(t.Context(), "w", tokens)
	if err != nil {
		return nil, fault.Describe(err)
	}
	return r, fault.Detail{}
}

// eventually reserves until it is admitted: settlements travel in batches.
func eventually(t *testing.T, s *site, vm string, tokens int64) limiter.Reservation {
	t.Helper()
	for range 10000 {
		if r, _ := reserve(t, s, vm, tokens); r != nil {
			return r
		}
	}
	t.Fatalf("%d tokens never came back", tokens)
	return nil
}

func TestServiceGathersRefusesAndRefunds(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 300_000}
	s := newSite(t, limiter.PolicyPooled, plan, "a1", "a2", "b1", "c1")
	if _, d := reserve(t, s, "a1", 300_001); d.Kind != fault.TooLarge || d.Remedy == "" {
		t.Errorf("larger than the burst: %+v", d)
	}
	whole := eventually(t, s, "a2", 300_000)
	_, d := reserve(t, s, "c1", 10_000)
	if d.Kind != fault.OverPlan || d.RetryAfter < 9000*time.Second || d.RetryAfter > 10_001*time.Second {
		t.Errorf("over the plan: %+v", d)
	}
	whole.Settle(100_000)
	whole.Settle(0)
	eventually(t, s, "b1", 200_000).Settle(200_000)
	if _, d := reserve(t, s, "a1", 1000); d.Kind != fault.OverPlan {
		t.Errorf("after the burst is used: %+v", d)
	}
	if _, err := s.services["a1"].Reserve(t.Context(), "nobody", 1); !fault.Is(err, fault.Forbidden) {
		t.Errorf("workspace without a plan: %v", err)
	}
}

func TestServiceHandsSharesOver(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 300_000}
	s := newSite(t, limiter.PolicyPooled, plan, "a1", "a2", "b1", "c1")
	eventually(t, s, "a1", 250_000).Settle(250_000)
	leaving, staying := "a1", "a2"
	if len(s.services["a2"].Status()) > 0 {
		leaving, staying = "a2", "a1"
	}
	s.mark(leaving, membership.Leaving)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s.services[leaving].Stop(ctx)
	if ctx.Err() != nil || len(s.services[leaving].Status()) > 0 {
		t.Fatalf("shares left: %+v", s.services[leaving].Status())
	}
	eventually(t, s, staying, 49_000).Settle(49_000)
	if _, d := reserve(t, s, staying, 5000); d.Kind != fault.OverPlan {
		t.Errorf("after the handover: %+v", d)
	}
}

func TestServiceGoesOnWithoutAHolder(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 300_000}
	s := newSite(t, limiter.PolicyPooled, plan, "a1", "b1", "c1")
	s.mark("a1", membership.Suspect)
	eventually(t, s, "b1", 200_000)
	if _, d := reserve(t, s, "b1", 150_000); d.Kind != fault.OverPlan {
		t.Errorf("two of three shares answer: %+v", d)
	}
	_, d := reserve(t, s, "b1", 250_000)
	if d.Kind != fault.Unavailable || d.Run != fault.NotRun {
		t.Errorf("more than the shares that answer can hold: %+v", d)
	}
	s.mark("c1", membership.Suspect)
	s.mark("b1", membership.Suspect)
	if _, d := reserve(t, s, "a1", 250_000); d.Kind != fault.Unavailable {
		t.Errorf("one share answers: %+v", d)
	}
}

func TestBaselines(t *testing.T) {
	plan := configuration.Plan{TokensPerSecond: 1, BurstTokens: 30_000}
	for policy, each := range map[string]int64{limiter.PolicyStatic: 10_000, limiter.PolicyHome: 30_000} {
		s := newSite(t, policy, plan, "a1", "b1", "c1")
		r, d := reserve(t, s, "a1", each)
		if r == nil {
			t.Fatalf("%s: %+v", policy, d)
		}
		if _, d := reserve(t, s, "a1", 1000); d.Kind != fault.OverPlan || d.RetryAfter <= 0 {
			t.Errorf("%s: %+v", policy, d)
		}
		r.Settle(0)
		eventually(t, s, "a1", each)
	}
}
