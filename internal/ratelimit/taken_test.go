package ratelimit

import (
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// TestReturnedRequestIsAvailableOnceMore guards against permits that are lost, or gained, with requests that were not sent.
func TestReturnedRequestIsAvailableOnceMore(t *testing.T) {
	for _, rate := range []float64{5, 1000} {
		s := New(Options{Fleet: fleetOf(0, 1, 0), Endpoint: testEndpoint, Rate: rate, Epoch: testEpoch}, 0)
		now := clock.Instant(time.Second)
		before := s.Available(now)
		var taken []Taken
		for {
			one, ok := s.TakeOne(now)
			if !ok {
				break
			}
			taken = append(taken, one)
		}
		if len(taken) != before || before < 2 {
			t.Fatalf("rate %v: %d taken of %d", rate, len(taken), before)
		}
		for i := range taken {
			taken[len(taken)-1-i].Return(now) // out of order
		}
		if after := s.Available(now); after != before {
			t.Errorf("rate %v: %d available before, %d after all were returned", rate, before, after)
		}
		for i := 1; i < len(s.permits); i++ {
			if s.permits[i-1].number >= s.permits[i].number {
				t.Fatalf("rate %v: permits out of order: %v", rate, s.permits)
			}
		}
	}
}

// TestExpiredRequestIsNotReturned guards against requests beyond a rate limit after a pause, by permits from before it.
func TestExpiredRequestIsNotReturned(t *testing.T) {
	s := New(Options{Fleet: fleetOf(0, 1, 0), Endpoint: testEndpoint, Rate: 5, Epoch: testEpoch}, 0)
	now := clock.Instant(time.Second)
	one, ok := s.TakeOne(now)
	if !ok || !one.ValidAt(s, now) {
		t.Fatal("no valid permit")
	}
	now = now.Add(s.issue.validity + time.Second)
	before := s.Available(now)
	one.Return(now)
	if after := s.Available(now); after != before || one.ValidAt(s, now) {
		t.Errorf("%d available before, %d after an expired one was returned, valid %v", before, after, one.ValidAt(s, now))
	}
	if other := New(Options{Rate: 5}, now); one.ValidAt(other, now) || (Taken{}).ValidAt(s, now) {
		t.Error("a permit of another share, or none, is valid")
	}
}
