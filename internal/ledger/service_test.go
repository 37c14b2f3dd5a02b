package ledger_test

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/ledger"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// fakeStore is an object store whose calls may fail before or after taking effect.
type fakeStore struct {
	objectstore.Store

	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string]objectstore.Object
	// failBefore and failAfter are the fractions of calls that fail before and after taking effect.
	failBefore, failAfter float64
	puts                  int
}

func newStore(failBefore, failAfter float64) *fakeStore {
	return &fakeStore{rng: rand.New(rand.NewPCG(3, 4)), objects: map[string]objectstore.Object{}, failBefore: failBefore, failAfter: failAfter}
}

func (s *fakeStore) setFailureRates(failBefore, failAfter float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failBefore, s.failAfter = failBefore, failAfter
}

func (s *fakeStore) Get(_ context.Context, name string) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() < s.failBefore {
		return objectstore.Object{}, fault.New(fault.Unavailable, "none", "store unavailable")
	}
	o, ok := s.objects[name]
	if !ok {
		return o, fault.New(fault.NotFound, "none", "no such object")
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.rng.Float64() < s.failBefore {
		return 0, fault.New(fault.Unavailable, "none", "store unavailable")
	}
	if s.objects[name].Version != ifVersion {
		return 0, fault.New(fault.Conflict, "none", "version mismatch")
	}
	s.objects[name] = objectstore.Object{Name: name, Version: ifVersion + 1, Value: value}
	if s.rng.Float64() < s.failAfter {
		return 0, fault.New(fault.Timeout, "none", "response lost")
	}
	return ifVersion + 1, nil
}

// fastClock runs faster than the process clock, to shorten the waits for rate-limited writes.
type fastClock struct{ clock.Monotonic }

const clockRate = 10

// callTimeout limits one call. The owners' clocks run faster, so their timeouts expire first.
const callTimeout = 3 * time.Second

func (c fastClock) Now() clock.Instant { return c.Monotonic.Now() * clockRate }

// directory is the membership view of one VM, which may differ from the views of other VMs.
type directory struct {
	view atomic.Pointer[membership.View]
}

func (d *directory) View() *membership.View     { return d.view.Load() }
func (d *directory) ReportUnreachable(ident.VM) {}

type vm struct {
	member    membership.Member
	dir       *directory
	transport *peer.Transport
	service   *ledger.Service
	cancel    context.CancelFunc
	done      chan struct{}
}

func (v *vm) kill() {
	v.cancel()
	v.transport.Close()
	<-v.done
}

// shutDown stops the VM gracefully: it records pending outcomes, then stops the service, then
// closes the connections.
func (v *vm) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	v.service.Stop(ctx)
	v.cancel()
	<-v.done
	v.transport.Close()
}

func startFleet(t *testing.T, n int, store objectstore.Store) []*vm {
	t.Helper()
	fleet := make([]*vm, n)
	var members []membership.Member
	for i := range fleet {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v := &vm{dir: &directory{}, done: make(chan struct{})}
		v.member = membership.Member{
			VM:          ident.VM{Name: fmt.Sprint("vm-", i), Incarnation: 1},
			PeerAddress: netip.MustParseAddrPort(ln.Addr().String()),
			State:       membership.Alive,
		}
		v.transport = peer.New(peer.Options{Self: v.member.VM})
		v.service = ledger.New(ledger.Options{
			Self: v.member, Directory: v.dir, Store: store, Transport: v.transport,
			Clock: fastClock{clock.NewMonotonic()}, WallClock: time.Now, Log: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		v.cancel = cancel
		go func() { _ = v.transport.Serve(ln) }()
		go func() { defer close(v.done); v.service.Run(ctx) }()
		t.Cleanup(v.kill)
		fleet[i] = v
		members = append(members, v.member)
	}
	for _, v := range fleet {
		v.dir.view.Store(&membership.View{Self: v.member, Members: members})
	}
	return fleet
}

// hideMember removes a member from the VM's view, so that two VMs see different shard owners.
func (v *vm) hideMember(name string) {
	old := v.dir.View()
	view := &membership.View{Self: old.Self}
	for _, m := range old.Members {
		if m.VM.Name != name {
			view.Members = append(view.Members, m)
		}
	}
	v.dir.view.Store(view)
}

func newKey(n uint64) string {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint64(raw[8:], n)
	raw[6] |= 0x70
	raw[8] = raw[8]&0x3f | 0x80
	h := hex.EncodeToString(raw[:])
	return strings.Join([]string{h[:8], h[8:12], h[12:16], h[16:20], h[20:]}, "-")
}

func TestCommitThroughAnyVM(t *testing.T) {
	fleet := startFleet(t, 3, newStore(0, 0))
	key := newKey(1)
	intent := func(nonce string) ledger.Intent {
		return ledger.Intent{Workspace: "w", Key: key, Fingerprint: 1, Nonce: nonce}
	}
	if out, err := fleet[0].service.Begin(t.Context(), intent("a")); out != nil || err != nil {
		t.Fatal(out, err)
	}
	if _, err := fleet[1].service.Begin(t.Context(), intent("b")); !fault.Is(err, fault.OutcomeUnknown) {
		t.Fatal(err)
	}
	big := make([]byte, ledger.MaxOutcomeBody+1)
	if err := fleet[0].service.FinishAndWait(t.Context(), intent("a"), ledger.Outcome{Status: 201, ContentType: "text/plain", Body: big}); err != nil {
		t.Fatal(err)
	}
	out, err := fleet[2].service.Begin(t.Context(), intent("c"))
	if err != nil || out == nil || out.Status != 201 || !out.Truncated || len(out.Body) != 0 {
		t.Fatal(out, err)
	}
	_, err = fleet[0].service.Begin(t.Context(), ledger.Intent{Workspace: "w", Key: "x", Nonce: "d"})
	if d := fault.DetailOf(err); d.Kind != fault.Malformed || d.Execution != fault.NotExecuted {
		t.Fatal(err)
	}
}

// A repeated call that arrives while the first attempt is running waits for its outcome.
func TestRepeatWaitsForTheOutcome(t *testing.T) {
	fleet := startFleet(t, 2, newStore(0, 0))
	in := ledger.Intent{Workspace: "w", Key: newKey(1), Fingerprint: 1, Nonce: "a"}
	if out, err := fleet[0].service.Begin(t.Context(), in); out != nil || err != nil {
		t.Fatal(out, err)
	}
	type beginResult struct {
		out *ledger.Outcome
		err error
	}
	repeated := make(chan beginResult, 1)
	again := in
	again.Nonce = "b"
	go func() {
		out, err := fleet[1].service.Begin(t.Context(), again)
		repeated <- beginResult{out, err}
	}()
	if err := fleet[0].service.Finish(t.Context(), in, ledger.Outcome{Status: 200}); err != nil {
		t.Fatal(err)
	}
	if e := <-repeated; e.err != nil || e.out == nil || e.out.Status != 200 {
		t.Fatal(e.out, e.err)
	}
}

// A commit rejected because the store was unavailable is abandoned, so that a retry can run it.
func TestRejectedCommitRunsOnRetry(t *testing.T) {
	store := newStore(0, 1)
	fleet := startFleet(t, 2, store)
	in := ledger.Intent{Workspace: "w", Key: newKey(1), Fingerprint: 1, Nonce: "a"}
	store.setFailureRates(1, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := fleet[0].service.Begin(ctx, in)
	if d := fault.DetailOf(err); d.Kind != fault.Unavailable || d.Execution != fault.NotExecuted {
		t.Fatal(err)
	}
	store.setFailureRates(0, 0)
	for n := 0; ; n++ {
		in.Nonce = fmt.Sprint("b", n)
		out, err := fleet[1].service.Begin(t.Context(), in)
		if err == nil && out == nil {
			return
		}
		if !fault.Is(err, fault.OutcomeUnknown) || n > 20 {
			t.Fatal(n, out, err)
		}
	}
}

// A graceful shutdown records all pending outcomes, and outcomes submitted during a store outage are
// recorded once it is over.
func TestOutcomesSurviveShutdownAndOutage(t *testing.T) {
	store := newStore(0, 0)
	fleet := startFleet(t, 2, store)
	stopped := ledger.Intent{Workspace: "w", Key: newKey(1), Fingerprint: 1, Nonce: "a"}
	outage := ledger.Intent{Workspace: "w", Key: newKey(2), Fingerprint: 1, Nonce: "b"}
	for _, in := range []ledger.Intent{stopped, outage} {
		if out, err := fleet[0].service.Begin(t.Context(), in); out != nil || err != nil {
			t.Fatal(out, err)
		}
	}
	if err := fleet[0].service.Finish(t.Context(), stopped, ledger.Outcome{Status: 201}); err != nil {
		t.Fatal(err)
	}
	fleet[0].shutDown()
	fleet[1].hideMember("vm-0")
	store.setFailureRates(1, 0)
	if err := fleet[1].service.Finish(t.Context(), outage, ledger.Outcome{Status: 202}); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Second, func() { store.setFailureRates(0, 0) })
	for status, in := range map[int]ledger.Intent{201: stopped, 202: outage} {
		for n := 0; ; n++ {
			in.Nonce = fmt.Sprint("c", n)
			out, err := fleet[1].service.Begin(t.Context(), in)
			if err == nil && out != nil && out.Status == status {
				break
			}
			if err == nil || n > 100 {
				t.Fatal(n, out, err)
			}
		}
	}
}
