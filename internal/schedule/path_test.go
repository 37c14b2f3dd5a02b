package schedule

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// told records what a scheduler tells other VMs.
type told struct{ dead, lost, regained []string }

func newPathScheduler(list ...traffic.Endpoint) (*Scheduler, *manualClock, *told) {
	c, out := &manualClock{now: 1 << 40}, &told{}
	s := New(Options{
		Clock: c, DataCentre: "a", Seed: 1,
		OnFailure: func(id traffic.EndpointID, _ string, o Outcome) {
			if o == Dead {
				out.dead = append(out.dead, id.Name)
			}
		},
		OnPath: func(c PathChange) {
			if c.Regained {
				out.regained = append(out.regained, c.Endpoint.Name)
			} else {
				out.lost = append(out.lost, c.Endpoint.Name)
			}
		},
	})
	s.UpdateEndpoints(traffic.Endpoints{Version: 1, List: list}, testServices)
	return s, c, out
}

var (
	idE1, idE2        = traffic.EndpointID{Name: "e1"}, traffic.EndpointID{Name: "e2"}
	viaNear, viaNear2 = traffic.Via{VM: "near", DataCentre: "a"}, traffic.Via{VM: "near2", DataCentre: "a"}
	viaFar            = traffic.Via{VM: "far", DataCentre: "b"}
)

func TestPlaceUsesOtherVMsForLostPaths(t *testing.T) {
	for _, tc := range []struct {
		name     string
		events   func(s *Scheduler, c *manualClock)
		request  *Request
		endpoint string // empty if an error is expected
		via      string
		awaits   bool
	}{
		{"an own path is used", func(*Scheduler, *manualClock) {}, plainRequest(), "e1", "", false},
		{"the endpoint with an own path is preferred", func(s *Scheduler, _ *manualClock) {
			s.PathLost(idE1)
			s.SetVia(idE1, []traffic.Via{viaNear})
		}, plainRequest(), "e2", "", false},
		{"a call waits while other VMs are asked", func(s *Scheduler, _ *manualClock) {
			s.PathLost(idE1)
			s.PathLost(idE2)
		}, plainRequest(), "", "", true},
		{"a call does not wait for long", func(s *Scheduler, c *manualClock) {
			s.PathLost(idE1)
			s.PathLost(idE2)
			c.now = c.now.Add(askTime)
		}, plainRequest(), "e1", "", false},
		{"a VM that reaches the endpoint is used", func(s *Scheduler, _ *manualClock) {
			s.PathLost(idE1)
			s.PathLost(idE2)
			s.SetVia(idE1, nil)
			s.SetVia(idE2, []traffic.Via{viaNear, viaFar})
		}, plainRequest(), "e2", "near", false},
		{"a VM of another data centre is used if there is no nearer one", func(s *Scheduler, _ *manualClock) {
			s.PathLost(idE1)
			s.PathLost(idE2)
			s.SetVia(idE1, nil)
			s.SetVia(idE2, []traffic.Via{viaFar})
		}, plainRequest(), "e2", "far", false},
		{"an endpoint that was not reached for the call is used through another VM", func(s *Scheduler, _ *manualClock) {
			s.PathLost(idE1)
			s.PathLost(idE2)
			s.SetVia(idE1, []traffic.Via{viaNear})
			s.SetVia(idE2, nil)
		}, &Request{Service: testPlainService, Unsent: []traffic.EndpointID{idE1, idE2}}, "e1", "near", false},
		{"an endpoint that was tried is not used through another VM", func(s *Scheduler, _ *manualClock) {
			s.PathLost(idE1)
			s.PathLost(idE2)
			s.SetVia(idE1, []traffic.Via{viaNear})
			s.SetVia(idE2, nil)
		}, &Request{Service: testPlainService, Exclude: []traffic.EndpointID{idE1}, Unsent: []traffic.EndpointID{idE2}}, "", "", false},
		{"an endpoint that fails through another VM is ejected", func(s *Scheduler, _ *manualClock) {
			s.PathLost(idE1)
			s.PathLost(idE2)
			s.SetVia(idE1, []traffic.Via{viaNear})
			s.SetVia(idE2, []traffic.Via{viaNear})
			s.RecordPeerOutcome(idE1, Dead)
		}, plainRequest(), "e2", "near", false},
		{"a regained path is used", func(s *Scheduler, _ *manualClock) {
			s.PathLost(idE1)
			s.PathLost(idE2)
			s.SetVia(idE1, []traffic.Via{viaNear})
			s.PathRestored(idE1)
		}, plainRequest(), "e1", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c, _ := newPathScheduler(newPlainEndpoint("e1", "a"), newPlainEndpoint("e2", "b"))
			tc.events(s, c)
			claim, err := s.Place(tc.request, nil)
			if tc.endpoint == "" {
				if !fault.Is(err, fault.Unavailable) || AwaitsVMs(err) != tc.awaits {
					t.Errorf("error %v, awaits other VMs: %v", err, AwaitsVMs(err))
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			via := ""
			if claim.Via != nil {
				via = claim.Via.VM
			}
			if claim.Endpoint.ID.Name != tc.endpoint || via != tc.via {
				t.Errorf("placed at %s through %q", claim.Endpoint.ID.Name, via)
			}
		})
	}
}

func TestVMThatFailsToSendForAnotherIsNotUsedAgain(t *testing.T) {
	s, _, _ := newPathScheduler(newPlainEndpoint("e1", "a"))
	s.PathLost(idE1)
	s.SetVia(idE1, []traffic.Via{viaNear, viaNear2, viaFar})
	used := map[string]bool{}
	for range 3 {
		claim, err := s.Place(plainRequest(), nil)
		if err != nil || claim.Via == nil || used[claim.Via.VM] {
			t.Fatalf("placed through %v after %v, error %v", claim, used, err)
		}
		used[claim.Via.VM] = true
		claim.RecordUnreachable()
		claim.Release()
	}
	if via, _ := s.StartSend(idE1, nil); via != nil {
		t.Errorf("%s is still used", via.VM)
	}
}

// TestCallsGoThroughAnotherVMOnceOneLeaves guards against calls that are refused because each of their attempts goes through
// a VM that has left.
func TestCallsGoThroughAnotherVMOnceOneLeaves(t *testing.T) {
	s, _, _ := newPathScheduler(newPlainEndpoint("e1", "a"), newPlainEndpoint("e2", "a"))
	for _, id := range []traffic.EndpointID{idE1, idE2} {
		s.PathLost(id)
		s.SetVia(id, []traffic.Via{viaNear, viaFar})
	}
	s.ForgetVM(ident.VM{Name: viaNear.VM, Incarnation: 1})
	for _, id := range []traffic.EndpointID{idE1, idE2} {
		if via, _ := s.StartSend(id, nil); via == nil || via.VM != viaFar.VM {
			t.Errorf("calls to %s go through %v", id.Name, via)
		}
	}
}

// TestLostPathsDoNotEjectEndpointsAtOtherVMs plays a VM that loses its paths to all endpoints: only the first one may be
// reported as dead, until other VMs confirm it.
func TestLostPathsDoNotEjectEndpointsAtOtherVMs(t *testing.T) {
	s, c, out := newPathScheduler(newPlainEndpoint("e1", "a"), newPlainEndpoint("e2", "a"), newPlainEndpoint("e3", "a"))
	for _, name := range []string{"e1", "e2", "e3", "e2"} {
		s.PathLost(traffic.EndpointID{Name: name})
		c.now = c.now.Add(time.Millisecond)
	}
	if len(out.dead) != 1 || len(out.lost) != 3 {
		t.Errorf("reported as dead: %v, as lost: %v", out.dead, out.lost)
	}
	s.SetVia(idE2, []traffic.Via{viaNear})
	s.SetVia(traffic.EndpointID{Name: "e3"}, nil)
	s.SetVia(traffic.EndpointID{Name: "e3"}, nil)
	if len(out.dead) != 2 || out.dead[1] != "e3" {
		t.Errorf("reported as dead: %v, want e1, and e3 as no VM reaches it", out.dead)
	}
	if lost := s.LostPaths(); len(lost) != 3 {
		t.Errorf("lost paths %v", lost)
	}
	s.PathRestored(idE2)
	s.PathRestored(idE2)
	if len(out.regained) != 1 || s.PathEvidence(idE2).Lost {
		t.Errorf("regained: %v, evidence %+v", out.regained, s.PathEvidence(idE2))
	}
}

func TestStartForwarded(t *testing.T) {
	leaving := newPlainEndpoint("leaving", "a")
	leaving.Leaving = true
	s, _, _ := newPathScheduler(newPlainEndpoint("e1", "a"), newPlainEndpoint("e2", "a"), leaving)
	s.PathLost(idE2)
	for name, want := range map[string]bool{"e1": true, "e2": false, "leaving": false, "unknown": false} {
		if _, err := s.StartForwarded(traffic.EndpointID{Name: name}, false); (err == nil) != want {
			t.Errorf("a request of another VM to %s: error %v", name, err)
		}
	}
}

// startSend reports whether a request without a claim may be sent.
func startSend(s *Scheduler, endpoint string) bool {
	_, ok := s.StartSend(traffic.EndpointID{Name: endpoint}, nil)
	return ok
}

// TestForwardedRequestUsesOnePermit checks that a request to an endpoint with a rate limit uses a permit of one of the
// two VMs only: of the one that has the call, if it knows the limit.
func TestForwardedRequestUsesOnePermit(t *testing.T) {
	limited := func() *Scheduler {
		s, c, _ := newPathScheduler(newPlainEndpoint("e1", "a"))
		s.SetFleet(netip.MustParseAddrPort("10.0.0.1:1"), nil)
		s.RecordNotice(idE1, backend.Notice{Limited: true, RateLimit: 2})
		c.now = c.now.Add(2 * time.Second)
		return s
	}
	sender, receiver := limited(), limited()
	sender.PathLost(idE1)
	sender.SetVia(idE1, []traffic.Via{viaNear})
	claim, err := sender.Place(plainRequest(), nil)
	if err != nil || !claim.StartSend() || !claim.Via.Permit {
		t.Fatalf("claim %+v, error %v", claim, err)
	}
	before := receiver.table.notices[idE1].share.Available(receiver.opts.Clock.Now())
	if _, err := receiver.StartForwarded(idE1, claim.Via.Permit); err != nil {
		t.Error(err)
	}
	if after := receiver.table.notices[idE1].share.Available(receiver.opts.Clock.Now()); after != before || before == 0 {
		t.Errorf("%d permits before, %d after a request that had one", before, after)
	}
	if _, err := receiver.StartForwarded(idE1, false); err != nil {
		t.Error(err)
	}
	if after := receiver.table.notices[idE1].share.Available(receiver.opts.Clock.Now()); after != before-1 {
		t.Errorf("%d permits before, %d after a request of a VM that does not know the limit", before, after)
	}
}
