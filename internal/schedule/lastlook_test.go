package schedule

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestLastLook guards against requests that reach an endpoint because they were decided on before a pause of the VM in which the endpoint
// began to leave, ended, asked for a pause, or its data centre was evacuated.
func TestLastLook(t *testing.T) {
	x, y := newEngine("x", "a", traffic.Decode), newEngine("y", "b", traffic.Decode)
	leaving := x
	leaving.Leaving = true
	for _, tc := range []struct {
		name   string
		change func(s *Scheduler, c *manualClock)
		want   error
	}{
		{"nothing", func(*Scheduler, *manualClock) {}, nil},
		{"listed as leaving", func(s *Scheduler, _ *manualClock) {
			s.UpdateEndpoints(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{leaving, y}}, nil)
		}, errLeavesNow},
		{"gone", func(s *Scheduler, _ *manualClock) {
			s.UpdateEndpoints(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{y}}, nil)
		}, errNotListed},
		{"evacuated", func(s *Scheduler, _ *manualClock) {
			s.UpdateEndpoints(traffic.Endpoints{Version: 2, List: []traffic.Endpoint{x, y}, Evacuated: []string{"a"}}, nil)
		}, errEvacuated},
		{"has just said that it leaves", func(s *Scheduler, _ *manualClock) {
			s.RecordNotice(x.ID, backend.Notice{Leaving: true})
		}, nil},
		{"said that it leaves, then a pause of this VM", func(s *Scheduler, c *manualClock) {
			s.RecordNotice(x.ID, backend.Notice{Leaving: true})
			c.now = c.now.Add(testDrainTime / 2)
		}, errLeavesNow},
		{"asked for a pause", func(s *Scheduler, _ *manualClock) {
			s.RecordNotice(x.ID, backend.Notice{Pause: time.Second})
		}, errPausedNow},
		{"asked for a pause that is over", func(s *Scheduler, c *manualClock) {
			s.RecordNotice(x.ID, backend.Notice{Pause: time.Second})
			c.now = c.now.Add(time.Second)
		}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := newNoticeScheduler(x, y)
			request := decodeRequest()
			request.Exclude = []traffic.EndpointID{y.ID}
			claim, err := s.Place(request, nil)
			if err != nil || !claim.StartSend() {
				t.Fatalf("not started: %v", err)
			}
			tc.change(s, c)
			if err := claim.LastLook(); fmt.Sprint(err) != fmt.Sprint(tc.want) {
				t.Errorf("the call of a claim: %v, want %v", err, tc.want)
			}
			if err := s.LastLook(x.ID); fmt.Sprint(err) != fmt.Sprint(tc.want) {
				t.Errorf("a request without a claim: %v, want %v", err, tc.want)
			}
		})
	}
}

// TestPermitsOfRequestsThatAreSentLate guards against more requests than an endpoint's rate limit allows, by permits that were used up
// before a pause of the VM, and against permits that are lost with requests that were not sent or given back twice.
func TestPermitsOfRequestsThatAreSentLate(t *testing.T) {
	s, c := newNoticeScheduler(newPlainEndpoint("e1", "a"))
	s.SetFleet(netip.MustParseAddrPort("10.0.0.1:1"), nil)
	s.RecordNotice(idE1, backend.Notice{Limited: true, RateLimit: 2})
	c.now = c.now.Add(2 * time.Second)
	available := func() int { return s.table.notices[idE1].share.Available(c.now) }
	before := available()
	claim, err := s.Place(plainRequest(), nil)
	if err != nil || !claim.StartSend() {
		t.Fatalf("not started: %v", err)
	}
	if err := claim.LastLook(); err != nil || available() != before-1 {
		t.Errorf("sent at once: %v, %d permits of %d left", err, available(), before)
	}
	claim.NotSent()
	claim.NotSent()
	if available() != before {
		t.Errorf("%d permits before, %d after one was given back twice", before, available())
	}
	if !claim.StartSend() {
		t.Fatal("not started again")
	}
	c.now = c.now.Add(time.Minute)
	before = available()
	if err := claim.LastLook(); err != nil || available() != before-1 {
		t.Errorf("sent late: %v, %d permits before and %d after", err, before, available())
	}
	for available() > 0 {
		if !startSend(s, "e1") {
			t.Fatal("not sent")
		}
	}
	s.table.notices[idE1].share.SetFleet(nil, c.now) // no further permits
	c.now = c.now.Add(time.Minute)
	if err := claim.LastLook(); fmt.Sprint(err) != fmt.Sprint(errNoPermit) {
		t.Errorf("sent late without a permit: %v", err)
	}
}
