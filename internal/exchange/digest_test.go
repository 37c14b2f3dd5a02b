package exchange

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

func TestDigestsRotateOverTheVMsOfOtherDataCentres(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	for n := 2; n <= largeFleet+2; n++ {
		r.hear(start(), &beat{From: member(n, 1, "abc"[n%3:n%3+1])})
	}
	if !r.sendsDigests() {
		t.Error("the VM with the lowest address sends no digests")
	}
	seen := map[netip.AddrPort]bool{}
	far := r.addresses(func(p *peerState) bool { return p.member.DataCentre != "a" })
	for turn := range largeFleet {
		to := r.receivers(turn)
		if len(to) != 2 {
			t.Fatalf("turn %d: %d receivers, want one for each other data centre", turn, len(to))
		}
		for _, addr := range to {
			seen[addr] = true
		}
	}
	if len(seen) != len(far) {
		t.Errorf("%d VMs of other data centres got a digest, want all %d", len(seen), len(far))
	}
}

func TestOnlyAFewVMsOfADataCentreSendDigests(t *testing.T) {
	sending := 0
	for self := 1; self <= largeFleet+2; self++ {
		r := newRoster(member(self, 1, "ab"[self%2:self%2+1]))
		for n := 1; n <= largeFleet+2; n++ {
			r.hear(start(), &beat{From: member(n, 1, "ab"[n%2:n%2+1])})
		}
		if r.sendsDigests() {
			sending++
		}
	}
	if sending != 2*digestSenders {
		t.Errorf("%d VMs of two data centres send digests, want %d of each", sending, digestSenders)
	}
}

func TestADataCentreOfWhichNoVMIsHeardIsUnheard(t *testing.T) {
	r := newRoster(member(1, 1, "a"))
	r.listed(start(), []Member{member(2, 1, "b"), member(3, 1, "c")})
	r.hear(start(), &beat{From: member(2, 1, "b")})
	if got := r.unheard(); !slices.Equal(got, []string{"c"}) {
		t.Errorf("unheard %v, want c", got)
	}
}

// node is a Service with a stand-in for each of its ports.
type node struct {
	*Service
	mu   sync.Mutex
	held map[string]map[traffic.EndpointID]schedule.Work
	far  map[string]map[string]int64
	news chan struct{}
}

func (n *node) told(f func()) {
	n.mu.Lock()
	f()
	n.mu.Unlock()
	select {
	case n.news <- struct{}{}:
	default:
	}
}

func (n *node) Register(context.Context, Member) error                             { return nil }
func (n *node) Withdraw(context.Context, Member) error                             { return nil }
func (n *node) Members(context.Context, bool) ([]Member, error)                    { return nil, nil }
func (n *node) RecordPeerOutcome(traffic.EndpointID, schedule.Outcome)             {}
func (n *node) ForgetVM(ident.VM)                                                  {}
func (n *node) SetPeerOrder([]ident.VM, int)                                       {}
func (n *node) SetRemoteReportsDelayed(bool)                                       {}
func (n *node) AddFromPeer(admission.CounterKey, int64)                            {}
func (n *node) SeedWindow(map[string]int64)                                        {}
func (n *node) OwnTotals() map[admission.CounterKey]int64                          { return nil }
func (n *node) SetFleetShares(admission.FleetShares)                               {}
func (n *node) Versions() []uint64                                                 { return []uint64{1} }
func (n *node) Wants(int, uint64) bool                                             { return false }
func (n *node) Body(int) (uint64, []byte, error)                                   { return 1, nil, nil }
func (n *node) Offer(int, []byte, time.Duration, string) error                     { return nil }
func (n *node) Age() time.Duration                                                 { return 0 }
func (n *node) Confirm(uint64, time.Duration)                                      {}
func (n *node) WindowUsage() (map[string]int64, bool)                              { return map[string]int64{"w": 70}, true }
func (n *node) OwnWork() (uint64, map[string]map[traffic.EndpointID]schedule.Work) { return 0, nil }
func (n *node) CombinedWork(others []ident.VM, _ string) map[traffic.EndpointID]schedule.Work {
	return map[traffic.EndpointID]schedule.Work{{Name: "e"}: {Calls: 1 + len(others), Tokens: 100}}
}

func (n *node) UpdateWork(ident.VM, uint64, traffic.EndpointID, schedule.Work)     {}
func (n *node) ReplaceWork(ident.VM, uint64, map[traffic.EndpointID]schedule.Work) {}
func (n *node) ForgetDataCentre(string)                                            {}
func (n *node) ReplaceDataCentreWork(name string, _ uint64, all map[traffic.EndpointID]schedule.Work) {
	n.told(func() { n.held[name] = all })
}

func (n *node) SetDataCentreUsage(dataCentre string, tokens map[string]int64) {
	n.told(func() { n.far[dataCentre] = tokens })
}

// startNode runs a Service that knows the VMs listed.
func startNode(t *testing.T, m Member, ln net.Listener, listed []Member) *node {
	n := &node{held: map[string]map[traffic.EndpointID]schedule.Work{}, far: map[string]map[string]int64{}, news: make(chan struct{}, 1)}
	transport := peer.New(peer.Options{Self: m.VM})
	n.Service = New(Options{Self: m, Clock: clock.Boot{}, Transport: transport, Registry: n, Work: n, Plans: n, Documents: n, Log: zap.NewNop()})
	n.roster.listed(n.opts.Clock.Now(), listed)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = transport.Serve(ln) })
	wg.Go(func() { n.Run(ctx) })
	t.Cleanup(func() {
		stop()
		transport.Close()
		wg.Wait()
	})
	return n
}

// TestADigestReachesAllVMsOfAnotherDataCentre runs two VMs in each of two data centres of a
// fleet that is large by VMs which cannot be reached.
func TestADigestReachesAllVMsOfAnotherDataCentre(t *testing.T) {
	var members []Member
	var listeners []net.Listener
	for i := range 4 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := member(i+1, 1, "ab"[i/2:i/2+1])
		m.Address = ln.Addr().(*net.TCPAddr).AddrPort()
		members, listeners = append(members, m), append(listeners, ln)
	}
	listed := slices.Clone(members)
	for i := range largeFleet {
		listed = append(listed, Member{
			VM: ident.VM{Name: fmt.Sprint("gone-", i)}, DataCentre: "c", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
		})
	}
	var nodes []*node
	for i, m := range members {
		nodes = append(nodes, startNode(t, m, listeners[i], listed))
	}
	for i, n := range nodes {
		n.awaitDigest("ab"[1-i/2 : 2-i/2])
	}
}

// awaitDigest waits until both VMs of a data centre are counted in what is known of it.
func (n *node) awaitDigest(dataCentre string) {
	for {
		n.mu.Lock()
		calls, used := n.held[dataCentre][traffic.EndpointID{Name: "e"}].Calls, n.far[dataCentre]["w"]
		n.mu.Unlock()
		if calls == 2 && used == 70 {
			return
		}
		<-n.news
	}
}
