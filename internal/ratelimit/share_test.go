package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const testEndpoint = "x/1"

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7600)
}

// fleetOf returns the fleet as VM self of n knows it, with further VMs that are not up.
func fleetOf(self, n, further int) *Fleet {
	var others []netip.AddrPort
	for i := range n + further {
		if i != self {
			others = append(others, address(i))
		}
	}
	return NewFleet(address(self), others)
}

// mostInWindow returns the largest number of requests in a window, given their times in order.
func mostInWindow(sent []clock.Instant) int {
	most, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowed returns the number of requests that an endpoint bears in a window.
func allowed(rate float64) float64 { return burstFactor*rate*window.Seconds() + burstRequests }

const (
	testEpoch = clock.Instant(-1_700_000_000_000_000_000)
	testStep  = 10 * time.Millisecond
)

// newFleet returns the shares of n VMs whose wall clocks differ by up to clockTolerance.
func newFleet(random *rand.Rand, n int, rate float64, further func() int) []*Share {
	out := make([]*Share, n)
	for i := range out {
		skew := time.Duration(random.Int64N(int64(clockTolerance))) - clockTolerance/2
		out[i] = New(Options{Fleet: fleetOf(i, n, further()), Endpoint: testEndpoint, Rate: rate, Epoch: testEpoch.Add(skew)}, 0)
	}
	return out
}

// pattern says when all VMs send what they may.
type pattern struct {
	name  string
	sends func(at clock.Instant) bool
}

func every(period time.Duration) func(clock.Instant) bool {
	return func(at clock.Instant) bool { return time.Duration(at)%period == 0 }
}

// always sends everything at once; the other patterns save it for moments that all VMs share.
var always = pattern{"always", every(testStep)}

var patterns = []pattern{
	always,
	{"each 1.7 s", every(1700 * time.Millisecond)},
	{"each window", every(window)},
	{"after a pause", func(at clock.Instant) bool { return time.Duration(at)%(4*window) >= 2*window }},
}

func TestFleetStaysWithinRate(t *testing.T) {
	for _, n := range []int{1, 2, 6, 85, 295} {
		for _, rate := range []float64{0, 0.3, 1, 1.3, 7, 40, 250, 5000} {
			for _, pattern := range patterns {
				t.Run(fmt.Sprintf("%d VMs, %v a second, %s", n, rate, pattern.name), func(t *testing.T) {
					const length = 40 * time.Second
					shares := newFleet(rand.New(rand.NewPCG(1, uint64(n))), n, rate, func() int { return 0 })
					var sent []clock.Instant
					for at := clock.Instant(0); at < clock.Instant(length); at = at.Add(testStep) {
						for _, s := range shares {
							for pattern.sends(at) && s.Take(at) {
								sent = append(sent, at)
							}
						}
					}
					if most := mostInWindow(sent); float64(most) > allowed(rate) {
						t.Errorf("%d requests in %v, allowed %.1f", most, window, allowed(rate))
					}
					if mean := float64(len(sent)) / length.Seconds(); pattern.name == always.name && mean < 0.9*rate-0.2 {
						t.Errorf("%.2f requests a second, want nearly %v", mean, rate)
					}
				})
			}
		}
	}
}

// TestFleetStaysWithinRateThroughRestartsAndCuts also has VMs that know of others that are gone, and learn it at
// different times, as VMs on the sides of a partition do.
func TestFleetStaysWithinRateThroughRestartsAndCuts(t *testing.T) {
	for _, tc := range []struct {
		name string
		vms  int
		rate float64
		seed uint64
	}{
		{"three VMs share one request a second", 3, 1, 0},
		{"ten VMs share five requests a second", 10, 5, 7},
	} {
		t.Run(tc.name, func(t *testing.T) { playRestartsAndCuts(t, tc.vms, tc.rate, tc.seed) })
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "VMs")
		rate := rapid.SampledFrom([]float64{0.2, 1, 1.3, 5, 30}).Draw(t, "rate")
		playRestartsAndCuts(t, n, rate, rapid.Uint64().Draw(t, "seed"))
	})
}

func playRestartsAndCuts(t interface{ Fatalf(string, ...any) }, n int, rate float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	shares := newFleet(random, n, rate, func() int { return random.IntN(4) })
	epochs := make([]clock.Instant, n)
	for i, s := range shares {
		epochs[i] = s.epoch
	}
	var sent []clock.Instant
	for at := clock.Instant(0); at < clock.Instant(20*time.Second); at = at.Add(5 * testStep) {
		i := random.IntN(n)
		switch random.IntN(20) {
		case 0: // restarts; the permits of the process that ended stay used
			shares[i] = New(Options{Fleet: fleetOf(i, n, random.IntN(4)), Endpoint: testEndpoint, Rate: rate, Epoch: epochs[i]}, at)
		case 1:
			shares[i].SetFleet(fleetOf(i, n, random.IntN(4)), at)
		}
		for _, s := range shares {
			if time.Duration(at)%(3*window) >= window && random.IntN(3) == 0 && s.Take(at) {
				sent = append(sent, at)
			}
		}
	}
	if most := mostInWindow(sent); float64(most) > allowed(rate) {
		t.Fatalf("%d requests in %v, allowed %.1f", most, window, allowed(rate))
	}
}

func TestNextAtIsWhenARequestIsAvailable(t *testing.T) {
	for _, n := range []int{1, 6, 295} {
		s := New(Options{Fleet: fleetOf(0, n, 0), Endpoint: testEndpoint, Rate: 3, Epoch: testEpoch}, 0)
		for now := clock.Instant(0); s.Take(now); {
		}
		next := s.NextAt(0)
		if s.Available(next-1) > 0 || s.Available(next) == 0 {
			t.Errorf("%d VMs: %d available before and %d at the time %v", n, s.Available(next-1), s.Available(next), time.Duration(next))
		}
	}
}

func TestUnknownFleetHasNoPermits(t *testing.T) {
	s := New(Options{Endpoint: testEndpoint, Rate: 1, Epoch: testEpoch}, 0)
	now := clock.Instant(time.Minute)
	if s.Take(now) || s.NextAt(now) <= now {
		t.Error("a permit although the other VMs are not known")
	}
	s.SetFleet(fleetOf(0, 1, 0), now)
	if !s.Take(now.Add(time.Second)) {
		t.Error("no permit in a fleet of one VM")
	}
}

func TestFleetEqual(t *testing.T) {
	a, b := fleetOf(0, 3, 0), NewFleet(address(0), []netip.AddrPort{address(2), address(1)})
	if !a.Equal(b) || a.Equal(nil) || a.Equal(fleetOf(0, 3, 1)) || a.Equal(fleetOf(1, 3, 0)) {
		t.Error("fleets are compared wrongly")
	}
	if !slices.IsSorted(a.others) {
		t.Error("others are not sorted")
	}
}

func TestRatesThatAreNoneAreBounded(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64, math.SmallestNonzeroFloat64} {
		s := New(Options{Fleet: fleetOf(0, 2, 0), Endpoint: testEndpoint, Rate: rate, Epoch: testEpoch}, 0)
		sent := 0
		for now := clock.Instant(0); now < clock.Instant(10*time.Second); now = now.Add(time.Second) {
			if s.Take(now) {
				sent++
			}
			if s.NextAt(now) < now {
				t.Errorf("rate %v: the next request is in the past", rate)
			}
		}
		if rate > 1 && sent == 0 {
			t.Errorf("rate %v: nothing was sent", rate)
		}
	}
}
