package reach

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// fakeConnections says whether connections to endpoints succeed.
type fakeConnections struct {
	backend.Client
	mu sync.Mutex
	// failures holds the errors of connections, by endpoint. tried counts attempts.
	failures map[string]error
	tried    map[string]int
}

func (f *fakeConnections) Connect(_ context.Context, e traffic.Endpoint) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tried[e.ID.Name]++
	return f.failures[e.ID.Name]
}

func (f *fakeConnections) set(err error, endpoints ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range endpoints {
		f.failures[name] = err
	}
}

func (f *fakeConnections) attempts(endpoint string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tried[endpoint]
}

// testVM is a VM with paths to endpoints.
type testVM struct {
	*Service
	*fakeConnections
	scheduler *schedule.Scheduler
	via       traffic.Via
	// room is the number of requests that the VM offers to send for others. dead counts the endpoints that it has reported
	// as dead.
	room, dead atomic.Int64
}

// newTestVMs returns VMs in the given data centres that know each other and n endpoints.
func newTestVMs(t *testing.T, n int, dataCentres ...string) []*testVM {
	var vms []*testVM
	for i, dataCentre := range dataCentres {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		vm := &testVM{fakeConnections: &fakeConnections{failures: map[string]error{}, tried: map[string]int{}}}
		vm.room.Store(1)
		vm.via = traffic.Via{VM: fmt.Sprint("vm-", i), Address: ln.Addr().(*net.TCPAddr).AddrPort(), DataCentre: dataCentre}
		transport := peer.New(peer.Options{Self: ident.VM{Name: vm.via.VM, Incarnation: 1}})
		vm.scheduler = schedule.New(schedule.Options{
			Clock: clock.BootTime{}, DataCentre: dataCentre,
			OnPath:    func(c schedule.PathChange) { vm.PathChanged(c) },
			OnFailure: func(traffic.EndpointID, string, schedule.Outcome) { vm.dead.Add(1) },
		})
		vm.Service = NewService(Options{
			Paths: vm.scheduler, Backend: vm.fakeConnections, DataCentre: dataCentre, Transport: transport,
			Others: func(int, int) []traffic.Via { return otherVMs(vms, vm) }, Room: func() int { return int(vm.room.Load()) }, Log: zap.NewNop(),
		})
		vm.scheduler.UpdateEndpoints(testEndpoints(n), map[string]*traffic.Service{"s": {Name: "s"}})
		go func() { _ = transport.Serve(ln) }()
		t.Cleanup(transport.Close)
		vms = append(vms, vm)
	}
	return vms
}

func otherVMs(vms []*testVM, self *testVM) []traffic.Via {
	var out []traffic.Via
	for _, vm := range vms {
		if vm != self {
			out = append(out, vm.via)
		}
	}
	return out
}

func testEndpoints(n int) traffic.Endpoints {
	e := traffic.Endpoints{Version: 1}
	for i := range n {
		e.List = append(e.List, traffic.Endpoint{ID: traffic.EndpointID{Name: fmt.Sprint("e", i)}, Service: "s", Slots: 4})
	}
	return e
}

func (vm *testVM) run(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		vm.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
}

// viaOf returns the VM through which requests to an endpoint are sent.
func (vm *testVM) viaOf(id traffic.EndpointID) *traffic.Via {
	via, _ := vm.scheduler.StartSend(id, nil)
	return via
}

// await waits until a condition holds; the test's own timeout ends it.
func await(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func TestLostPathGoesThroughTheNearestVMThatReachesTheEndpoint(t *testing.T) {
	vms := newTestVMs(t, 2, "a", "b", "a", "b")
	asking, far, lostToo := vms[0], vms[1], vms[2]
	lostToo.set(syscall.ECONNREFUSED, "e0")
	asking.set(syscall.ECONNREFUSED, "e0", "e1")
	asking.run(t)
	e0, e1 := traffic.EndpointID{Name: "e0"}, traffic.EndpointID{Name: "e1"}
	asking.scheduler.PathLost(e0)
	asking.scheduler.PathLost(e1)
	await(func() bool { return asking.viaOf(e0) != nil && asking.viaOf(e1) != nil })
	if via := asking.viaOf(e0); via.DataCentre != "b" {
		t.Errorf("e0 is reached through %s, which has no path", via.VM)
	}
	if via := asking.viaOf(e1); *via != lostToo.via {
		t.Errorf("e1 is reached through %s, want the VM of the same data centre", via.VM)
	}
	if far.attempts("e0") == 0 || !lostToo.scheduler.PathEvidence(e0).Lost {
		t.Error("a VM that was asked did not examine its own path")
	}
	asking.set(nil, "e0", "e1")
	await(func() bool { return !asking.scheduler.PathEvidence(e0).Lost && !asking.scheduler.PathEvidence(e1).Lost })
}

func TestVMsWithoutAPathDoNotSendForOthers(t *testing.T) {
	vms := newTestVMs(t, 1, "a", "a")
	e0 := traffic.EndpointID{Name: "e0"}
	vms[1].scheduler.PathLost(e0)
	vms[1].scheduler.SetVia(e0, []traffic.Via{vms[0].via})
	vms[0].set(syscall.ECONNREFUSED, "e0")
	vms[0].run(t)
	vms[0].scheduler.PathLost(e0)
	await(func() bool {
		_, err := vms[0].scheduler.Place(&schedule.Request{Service: "s", Unsent: []traffic.EndpointID{e0}}, nil)
		return !schedule.AwaitsVMs(err)
	})
	if via := vms[0].viaOf(e0); via != nil {
		t.Errorf("a VM that itself sends through others is used: %s", via.VM)
	}
}

// TestEndpointReachedByVMsWithoutRoomIsNotDead guards against a sound endpoint that no VM uses any more because the VMs that
// one without a path has asked are being stopped, or send too many requests already.
func TestEndpointReachedByVMsWithoutRoomIsNotDead(t *testing.T) {
	vms := newTestVMs(t, 2, "a", "a")
	asking, other := vms[0], vms[1]
	e0 := traffic.EndpointID{Name: "e0"}
	other.room.Store(0)
	asking.scheduler.PathLost(traffic.EndpointID{Name: "e1"}) // one of several lost paths is not reported at once
	asking.scheduler.PathLost(e0)
	reported := asking.dead.Load()
	asking.ask(t.Context(), []schedule.LostPath{{Endpoint: testEndpoints(1).List[0], For: time.Millisecond}})
	if n := asking.dead.Load() - reported; n > 0 {
		t.Error("an endpoint that another VM reaches was reported as dead")
	}
	if via := asking.viaOf(e0); via != nil {
		t.Errorf("calls go through %s, which has no room", via.VM)
	}
	other.room.Store(1)
	asking.ask(t.Context(), []schedule.LostPath{{Endpoint: testEndpoints(1).List[0], For: time.Millisecond}})
	if via := asking.viaOf(e0); via == nil {
		t.Error("calls do not go through the other VM although it has room")
	}
}

func TestEndpointReachedElsewhereHasNotCrashed(t *testing.T) {
	vms := newTestVMs(t, 2, "a", "b")
	vms[1].set(syscall.ECONNREFUSED, "e1")
	for i, want := range []bool{true, false} {
		if got := vms[0].ReachedElsewhere(t.Context(), testEndpoints(2).List[i]); got != want {
			t.Errorf("e%d is reached elsewhere: %v, want %v", i, got, want)
		}
	}
}

// TestQuestionsBecomeRare plays a fleet whose VMs lose many paths for long, and checks how much they ask.
func TestQuestionsBecomeRare(t *testing.T) {
	const n = 100
	vm := newTestVMs(t, n, "a")[0]
	var lost []schedule.LostPath
	for _, e := range testEndpoints(n).List {
		lost = append(lost, schedule.LostPath{Endpoint: e, For: time.Millisecond})
	}
	now, times := time.Now(), map[string]int{}
	for range 30 {
		due := vm.due(now, lost)
		if len(due) > maxAsked {
			t.Fatalf("%d endpoints in one question", len(due))
		}
		for _, l := range due {
			times[l.Endpoint.ID.Name]++
		}
		now = now.Add(minAskPause)
		for i := range lost {
			lost[i].For += minAskPause
		}
	}
	lost[0].For = 0
	if due := vm.due(now, lost[:1]); len(due) != 1 {
		t.Error("a path that was lost again is not asked about at once")
	}
	for name, asked := range times {
		if asked < 3 || asked > 6 {
			t.Errorf("%s was asked for %d times in 30 s", name, asked)
		}
	}
	if len(times) != n {
		t.Errorf("%d of %d endpoints were asked for", len(times), n)
	}
	if due := vm.due(now, nil); len(due) > 0 || len(vm.asked) > 0 {
		t.Errorf("%d endpoints are remembered after their paths were regained", len(vm.asked))
	}
}

// TestPathIsAskedAboutOnceNoVMReachesItAnyMore guards against calls that are refused for seconds after the VM that sent them
// has left: questions about a path that stays lost are rare.
func TestPathIsAskedAboutOnceNoVMReachesItAnyMore(t *testing.T) {
	vm := newTestVMs(t, 1, "a")[0]
	lost := schedule.LostPath{Endpoint: testEndpoints(1).List[0], For: time.Minute, Via: 1}
	now := time.Now()
	for range 5 {
		vm.due(now, []schedule.LostPath{lost})
		now = now.Add(minAskPause)
	}
	lost.Via = 0
	for i, want := range []int{1, 0} {
		if due := vm.due(now, []schedule.LostPath{lost}); len(due) != want {
			t.Errorf("check %d after its VM had left: asked about %d paths, want %d", i+1, len(due), want)
		}
	}
}

func TestTwoRefusedConnectionsTellOfAllLostPaths(t *testing.T) {
	const n = 60
	vm := newTestVMs(t, n, "a")[0]
	for _, e := range testEndpoints(n).List {
		vm.set(syscall.ECONNREFUSED, e.ID.Name)
	}
	vm.run(t)
	vm.scheduler.PathLost(traffic.EndpointID{Name: "e0"})
	vm.scheduler.PathLost(traffic.EndpointID{Name: "e1"})
	await(func() bool { return len(vm.scheduler.LostPaths()) == n })
}

// TestSilentEndpointTellsOfAllLostPaths checks that one silent endpoint makes a VM examine the others, if nothing
// answers the connection, and only itself if one is accepted or refused.
func TestSilentEndpointTellsOfAllLostPaths(t *testing.T) {
	const n = 12
	for _, tc := range []struct {
		name  string
		err   error
		reach string
		lost  int
	}{
		{"all paths are lost", os.ErrDeadlineExceeded, "", n},
		{"the endpoint only is silent", nil, "", 0},
		{"the endpoint has ended", syscall.ECONNREFUSED, "others", 1},
		{"the endpoint is dark", os.ErrDeadlineExceeded, "others", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			vm := newTestVMs(t, n, "a")[0]
			list := testEndpoints(n).List
			for i := range list {
				if tc.reach == "" || i == 0 {
					vm.set(tc.err, list[i].ID.Name)
				}
			}
			if err := vm.connect(t.Context(), list[0]); timedOut(err) {
				vm.examineQuiet(t.Context())
			}
			if got := len(vm.scheduler.LostPaths()); got != tc.lost {
				t.Errorf("%d paths count as lost, want %d", got, tc.lost)
			}
		})
	}
}
