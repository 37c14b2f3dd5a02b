package statesync

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

func TestDigestReceiversRotate(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	for n := 2; n <= largeFleet+2; n++ {
		table.applyHeartbeat(start(), &heartbeat{From: member(n, 1, "abc"[n%3:n%3+1])})
	}
	if !table.sendsDigests() {
		t.Error("the VM with the lowest address is not a digest sender")
	}
	seen := map[netip.AddrPort]bool{}
	remote := table.addresses(func(p *peerState) bool { return p.member.DataCentre != "a" })
	for turn := range largeFleet {
		to := table.digestReceivers(turn)
		if len(to) != 2 {
			t.Fatalf("turn %d: %d receivers, want 2, one for each other data centre", turn, len(to))
		}
		for _, addr := range to {
			seen[addr] = true
		}
	}
	if len(seen) != len(remote) {
		t.Errorf("digests went to %d VMs of other data centres, want all %d", len(seen), len(remote))
	}
}

func TestNumberOfDigestSenders(t *testing.T) {
	senders := 0
	for self := 1; self <= largeFleet+2; self++ {
		table := newMemberTable(member(self, 1, "ab"[self%2:self%2+1]))
		for n := 1; n <= largeFleet+2; n++ {
			table.applyHeartbeat(start(), &heartbeat{From: member(n, 1, "ab"[n%2:n%2+1])})
		}
		if table.sendsDigests() {
			senders++
		}
	}
	if senders != 2*digestSenders {
		t.Errorf("%d VMs of two data centres send digests, want %d of each", senders, digestSenders)
	}
}

// TestStandbyOfLargeDataCentreSendsFewerDigests checks that the second sender of a data centre with many
// VMs sends half as many digests as the first, and as many once it is the first.
func TestStandbyOfLargeDataCentreSendsFewerDigests(t *testing.T) {
	n, _ := largeFleetNodeAt(1)
	table := n.members
	if !table.sendsDigests() || table.digestPause() != 2*digestPeriod {
		t.Errorf("the second VM sends digests: %v, every %s", table.sendsDigests(), table.digestPause())
	}
	first := table.peers[fleetAddress(0, 0)]
	first.unresponsive = true
	if table.digestPause() != digestPeriod {
		t.Errorf("without the first VM the second sends digests every %s", table.digestPause())
	}
}

func TestDataCentreWithoutResponsiveVMIsUnreachable(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	table.addListed(start(), []Member{member(2, 1, "b"), member(3, 1, "c")})
	table.applyHeartbeat(start(), &heartbeat{From: member(2, 1, "b")})
	if got := table.unreachableDataCentres(); !slices.Equal(got, []string{"c"}) {
		t.Errorf("unreachable data centres %v, want [c]", got)
	}
}

// node is a Service that is its own fake registry, work, plans and documents. It records the
// contents of the digests it receives.
type node struct {
	*Service
	mu      sync.Mutex
	work    map[string]map[traffic.EndpointID]schedule.Work
	usage   map[string]map[string]int64
	changed chan struct{}
	// limits is what the node tells of limits, toldLimits what it was told, fleet the VMs that share them.
	limits, toldLimits map[traffic.EndpointID]schedule.Limit
	fleet              []netip.AddrPort
}

func (n *node) record(f func()) {
	n.mu.Lock()
	f()
	n.mu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

func (n *node) SetFormerStart(admission.FormerStart)                   {}
func (n *node) StartMatters() bool                                     { return false }
func (n *node) Deregister(context.Context, Member) error               { return nil }
func (n *node) RecordPeerOutcome(traffic.EndpointID, schedule.Outcome) {}
func (n *node) Limits() map[traffic.EndpointID]schedule.Limit          { return n.limits }
func (n *node) ForgetVM(ident.VM)                                      {}
func (n *node) SetPeerOrder([]ident.VM, int, int)                      {}
func (n *node) SetRemoteReportsDelayed(bool)                           {}
func (n *node) AddFromPeer(admission.CounterKey, int64)                {}
func (n *node) KnowsRecords() bool                                     { return false }
func (n *node) NeedsWindow() bool                                      { return false }
func (n *node) WindowState() (admission.WindowState, bool)             { return admission.WindowState{}, false }
func (n *node) AdoptWindow(admission.WindowState)                      {}
func (n *node) OwnTotals() map[admission.CounterKey]int64              { return nil }
func (n *node) SetFleetShares(admission.FleetShares)                   {}
func (n *node) RetriesShort() <-chan struct{}                          { return nil }
func (n *node) TakeRetryNeeds() []admission.RetryNeed                  { return nil }
func (n *node) GrantRetries(string, float64) float64                   { return 0 }
func (n *node) AddRetryGrant(string, float64, clock.Instant)           {}
func (n *node) Register(context.Context, Member) (admission.FormerStart, error) {
	return admission.FormerStart{}, nil
}

func (n *node) Members(context.Context, bool) ([]Member, bool, error) { return nil, false, nil }

func (n *node) Versions() []traffic.DocumentVersion { return []traffic.DocumentVersion{{Number: 1}} }

func (n *node) NeedsVersion(int, traffic.DocumentVersion) bool { return false }

func (n *node) Encode(int) (traffic.DocumentVersion, []byte, error)    { return n.Versions()[0], nil, nil }
func (n *node) Apply(int, uint64, []byte, clock.Instant, string) error { return nil }
func (n *node) Freshness() traffic.Freshness                           { return traffic.Freshness{Versions: n.Versions()} }
func (n *node) Confirm(traffic.Freshness)                              {}

func (n *node) WindowUsage() map[string]int64                                      { return map[string]int64{"w": 70} }
func (n *node) OwnWork() (uint64, map[string]map[traffic.EndpointID]schedule.Work) { return 0, nil }
func (n *node) CombinedWork(others []ident.VM, _ string) map[traffic.EndpointID]schedule.Work {
	return map[traffic.EndpointID]schedule.Work{{Name: "e"}: {Calls: 1 + len(others), Tokens: 100}}
}

func (n *node) Pace(traffic.EndpointID) schedule.Pace                              { return schedule.Pace{} }
func (n *node) UpdatePace(traffic.EndpointID, schedule.Pace)                       {}
func (n *node) UpdateWork(ident.VM, uint64, traffic.EndpointID, schedule.Work)     {}
func (n *node) ReplaceWork(ident.VM, uint64, map[traffic.EndpointID]schedule.Work) {}
func (n *node) ForgetDataCentre(string)                                            {}
func (n *node) ReplaceDataCentreWork(name string, _ uint64, all map[traffic.EndpointID]schedule.Work) {
	n.record(func() { n.work[name] = all })
}

func (n *node) SetDataCentreUsage(dataCentre string, tokens map[string]int64) {
	n.record(func() { n.usage[dataCentre] = tokens })
}

func (n *node) RecordPeerLimit(id traffic.EndpointID, l schedule.Limit) {
	n.record(func() { n.toldLimits[id] = l })
}

func (n *node) SetFleet(_ netip.AddrPort, others []netip.AddrPort) {
	n.record(func() { n.fleet = others })
}

func newNode() *node {
	return &node{
		work: map[string]map[traffic.EndpointID]schedule.Work{}, usage: map[string]map[string]int64{}, changed: make(chan struct{}, 1),
		toldLimits: map[traffic.EndpointID]schedule.Limit{},
	}
}

// startNode runs a Service whose member table contains the listed VMs.
func startNode(t *testing.T, m Member, ln net.Listener, listed []Member) *node {
	return startNodeWith(t, m, ln, listed, newQuarantine())
}

// listenAsTwo returns two VMs of one data centre and the listeners at their addresses.
func listenAsTwo(t *testing.T) (members [2]Member, listeners [2]net.Listener) {
	for i := range members {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		members[i], listeners[i] = member(i+1, 1, "a"), ln
		members[i].Address = ln.Addr().(*net.TCPAddr).AddrPort()
	}
	return members, listeners
}

func startNodeWith(t *testing.T, m Member, ln net.Listener, listed []Member, q Quarantine) *node {
	n := newNode()
	transport := peer.New(peer.Options{Self: m.VM})
	n.Service = New(Options{Self: m, Clock: clock.BootTime{}, Transport: transport, Registry: n, Work: n, Plans: n, Documents: n, Quarantine: q, Origins: newOrigins(), Log: zap.NewNop()})
	n.members.addListed(n.opts.Clock.Now(), listed)
	runNode(t, n, ln)
	return n
}

// runNode runs the Service of a node until the test ends.
func runNode(t *testing.T, n *node, ln net.Listener) {
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.opts.Transport.Serve(ln) })
	wg.Go(func() { n.Run(ctx) })
	t.Cleanup(func() {
		stop()
		n.opts.Transport.Close()
		wg.Wait()
	})
}

// TestDigestReachesAllVMsOfOtherDataCentre runs two VMs in each of two data centres. Unreachable
// VMs of a third one make the fleet large.
func TestDigestReachesAllVMsOfOtherDataCentre(t *testing.T) {
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
			VM: ident.VM{Name: fmt.Sprint("unreachable-", i)}, DataCentre: "c", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
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

// awaitDigest waits until the node has received a digest that covers both VMs of a data centre.
func (n *node) awaitDigest(dataCentre string) {
	for {
		n.mu.Lock()
		calls, used := n.work[dataCentre][traffic.EndpointID{Name: "e"}].Calls, n.usage[dataCentre]["w"]
		n.mu.Unlock()
		if calls == 2 && used == 70 {
			return
		}
		<-n.changed
	}
}
