package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/rendezvous"
)

const (
	// window is the time over which endpoints count requests. They bear burstFactor times their rate in it, and
	// burstRequests more.
	window        = 4 * time.Second
	burstFactor   = 1.5
	burstRequests = 5
	// reservedRequests is the part of burstRequests that is never used.
	reservedRequests = 1
	// clockTolerance covers the difference between the wall clocks of VMs and the time of requests on their way.
	clockTolerance = time.Second
	// maxPermits is the number of permits a second above which one permit stands for several requests.
	maxPermits = 100
	// minRate replaces lower rates, in requests a second.
	minRate = 0.1
	// MaxRate is the highest rate that is divided, in requests a second. Higher ones limit nothing.
	MaxRate = 1e6
	// lookahead is how many permits are examined at most to find the next one of this VM, for each VM of the fleet.
	lookahead = 8
)

// permit allows requests for a time from issuedAt on.
type permit struct {
	number   int64
	issuedAt clock.Instant
	requests int
}

// Share is this VM's part of the rate of one endpoint. It does no I/O and is not safe for concurrent use.
type Share struct {
	fleet    *Fleet
	endpoint uint64
	// epoch is the reading of the clock at the Unix epoch.
	epoch clock.Instant
	issue permits
	// permits are the unused ones of this VM, in order, the last of which may be issued in the future.
	permits []permit
	// from is the time from which on permits are used.
	from clock.Instant
	// next is the number of the first permit that has not been examined.
	next int64
}

// Options describe a Share.
type Options struct {
	// Fleet is nil as long as this VM does not know the others. It has no permits then.
	Fleet *Fleet
	// Endpoint identifies the endpoint on all VMs.
	Endpoint string
	// Rate is the number of requests a second for all VMs together. One that is no number counts as 0, one above MaxRate
	// as MaxRate.
	Rate float64
	// Epoch is the reading of the clock at the Unix epoch.
	Epoch clock.Instant
	// Bounds are what the endpoint bears; nil for one that names a rate limit.
	Bounds *Bounds
	// From is a time before which no permit that is used may be issued, besides the time of New.
	From clock.Instant
}

// New returns the share of a VM that learns of the rate now. Permits issued before are not used, as this VM may have
// used them under another rate or before a restart.
func New(o Options, now clock.Instant) *Share {
	bounds := named
	if o.Bounds != nil {
		bounds = *o.Bounds
	}
	s := &Share{
		fleet: o.Fleet, endpoint: rendezvous.Hash(o.Endpoint), epoch: o.Epoch, issue: bounds.permitsOf(o.Rate), from: max(now, o.From),
	}
	s.next = s.firstAfter(s.from)
	return s
}

// SetFleet changes the fleet. Permits in hand that belong to another VM now are given up.
func (s *Share) SetFleet(f *Fleet, now clock.Instant) {
	s.advance(now)
	s.fleet = f
	s.permits = slices.DeleteFunc(s.permits, func(p permit) bool { return now.Before(p.issuedAt) || !s.owns(p.number) })
	s.next = s.firstAfter(max(now, s.from))
}

// Available returns the number of requests that this VM may send now.
func (s *Share) Available(now clock.Instant) int { return s.AvailableFor(now, 0) }

// AvailableFor returns the number of requests that this VM may send until a time after now, by the permits that it has
// now.
func (s *Share) AvailableFor(now clock.Instant, until time.Duration) int {
	s.advance(now)
	expired := now.Add(until - s.issue.validity)
	n := 0
	for _, p := range s.permits {
		if !now.Before(p.issuedAt) && !p.issuedAt.Before(expired) {
			n += p.requests
		}
	}
	return n
}

// Take uses up one request. It returns false if none is available.
func (s *Share) Take(now clock.Instant) bool {
	_, ok := s.TakeOne(now)
	return ok
}

// NextAt returns when more requests than now are available to this VM. If that is far away, it returns an earlier
// time.
func (s *Share) NextAt(now clock.Instant) clock.Instant {
	s.advance(now)
	if n := len(s.permits); n > 0 && now.Before(s.permits[n-1].issuedAt) {
		return s.permits[n-1].issuedAt
	}
	if s.fleet == nil || s.issue.none {
		return s.issuedAt(s.next)
	}
	for range lookahead * s.fleet.size() {
		if p := s.examine(); p != nil {
			return p.issuedAt
		}
	}
	return s.issuedAt(s.next)
}

// advance examines the permits up to now and drops the expired ones.
func (s *Share) advance(now clock.Instant) {
	expired := now.Add(-s.issue.validity)
	s.permits = slices.DeleteFunc(s.permits, func(p permit) bool { return p.issuedAt < expired })
	s.next = max(s.next, s.firstAfter(expired))
	for !now.Before(s.issuedAt(s.next)) {
		s.examine()
	}
}

// examine adds the next permit if it belongs to this VM, and returns it, else nil.
func (s *Share) examine() *permit {
	number := s.next
	s.next++
	if !s.owns(number) {
		return nil
	}
	s.permits = append(s.permits, permit{number: number, issuedAt: s.issuedAt(number), requests: s.issue.requests})
	return &s.permits[len(s.permits)-1]
}

func (s *Share) owns(number int64) bool {
	return s.fleet != nil && s.fleet.owns(s.endpoint, uint64(number))
}

func (s *Share) issuedAt(number int64) clock.Instant {
	return s.epoch.Add(time.Duration(float64(number) * s.issue.interval))
}

// firstAfter returns the number of the first permit that is issued after an instant.
func (s *Share) firstAfter(at clock.Instant) int64 {
	return int64(math.Floor(float64(at.Sub(s.epoch))/s.issue.interval)) + 1
}
