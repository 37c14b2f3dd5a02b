package schedule

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

var testVM = netip.MustParseAddrPort("10.0.0.1:7600")

// newLimitedScheduler returns the scheduler of the only VM of a fleet, and the endpoint x, which names a limit.
func newLimitedScheduler(rate float64, endpoints ...traffic.Endpoint) (*Scheduler, *manualClock) {
	s, c := newTestScheduler(endpoints...)
	s.SetFleet(testVM, nil)
	s.RecordNotice(id("x"), backend.Notice{Limited: true, RateLimit: rate})
	return s, c
}

// TestEverySendCountsAgainstTheRateLimit has calls, trials of an ejected endpoint, calls that are given up before
// they are sent, and requests without a call.
func TestEverySendCountsAgainstTheRateLimit(t *testing.T) {
	const rate, length, step, window = 2.0, 60 * time.Second, 20 * time.Millisecond, 4 * time.Second
	s, c := newLimitedScheduler(rate, newPlainEndpoint("x", "a"))
	var sent []clock.Instant
	for i := 0; c.now < clock.Instant(time.Hour+length); i++ {
		c.now = c.now.Add(step)
		if i%7 == 0 && startSend(s, "x") {
			sent = append(sent, c.now)
			continue
		}
		claim, err := s.Place(plainRequest(), nil)
		if err != nil {
			continue
		}
		if i%3 > 0 && claim.StartSend() {
			sent = append(sent, c.now)
			claim.RecordOutcome(Dead)
		}
		claim.Release()
	}
	for i := range sent {
		n := 0
		for n < i && sent[i].Sub(sent[i-n]) < window {
			n++
		}
		if float64(n) > 1.5*rate*window.Seconds()+5 {
			t.Fatalf("%d requests in %v before %v", n, window, time.Duration(sent[i]))
		}
	}
	if mean := float64(len(sent)) / length.Seconds(); mean > rate+0.1 || mean < 0.5*rate {
		t.Errorf("%.2f requests a second, want about %v", mean, rate)
	}
	if s.table.notices[id("x")].placed != 0 {
		t.Errorf("%d permits are still set aside", s.table.notices[id("x")].placed)
	}
}

func TestCallBeyondTheRateLimitIsRefusedAtOnce(t *testing.T) {
	s, c := newLimitedScheduler(1, newPlainEndpoint("x", "a"))
	_, err := s.Place(plainRequest(), nil)
	wait := fault.DetailOf(err).RetryAfter
	if !fault.Is(err, fault.Overloaded) || MayWait(err, time.Hour) || wait <= 0 || wait > time.Second {
		t.Fatalf("error %v, retry after %v", err, wait)
	}
	c.now = c.now.Add(wait)
	claim, err := s.Place(plainRequest(), nil)
	if err != nil {
		t.Fatalf("at the stated time: %v", err)
	}
	if _, err := s.Place(plainRequest(), nil); err == nil {
		t.Error("the permit of a placed call was used a second time")
	}
	claim.Release()
	if _, err := s.Place(plainRequest(), nil); err != nil {
		t.Errorf("a call that was not sent used up the permit: %v", err)
	}
}

func TestOtherEndpointsServeWhatARateLimitLeaves(t *testing.T) {
	s, _ := newLimitedScheduler(1, newPlainEndpoint("x", "a"), newPlainEndpoint("y", "b"))
	claim, err := s.Place(plainRequest(), nil)
	if err != nil || claim.Endpoint.ID.Name != "y" {
		t.Errorf("placed at %+v, error %v", claim, err)
	}
}

func TestRateLimitEndsWithALaterResponse(t *testing.T) {
	s, c := newLimitedScheduler(1, newPlainEndpoint("x", "a"))
	var told []Limit
	s.opts.OnLimit = func(_ traffic.EndpointID, _ string, l Limit) { told = append(told, l) }
	c.now = c.now.Add(time.Second)
	s.RecordNotice(id("x"), backend.Notice{Took: 2 * time.Second})
	if len(s.Limits()) != 1 {
		t.Error("a response to a request from before the limit ended it")
	}
	s.RecordNotice(id("x"), backend.Notice{Took: time.Millisecond})
	if len(s.Limits()) != 0 || len(told) != 1 || told[0].Limited {
		t.Fatalf("limits %v, told %v", s.Limits(), told)
	}
	s.RecordPeerLimit(id("x"), Limit{Limited: true, Rate: 1, Age: 500 * time.Millisecond})
	if len(s.Limits()) != 0 {
		t.Error("an older statement of another vm replaced a later one")
	}
	s.RecordPeerLimit(id("x"), Limit{Limited: true, Rate: 3})
	if l := s.Limits()[id("x")]; l.Rate != 3 || len(told) != 1 {
		t.Errorf("limit %+v, told %v", l, told)
	}
}

func TestRateLimitedEnginesKeepTheirStage(t *testing.T) {
	s, _ := newLimitedScheduler(1, newEngine("x", "a", traffic.Decode), newEngine("y", "b", traffic.Decode))
	if e, ok := s.LeastLoaded(testService, traffic.Decode, nil); !ok || e.ID.Name != "y" {
		t.Errorf("chose %v", e.ID)
	}
}
