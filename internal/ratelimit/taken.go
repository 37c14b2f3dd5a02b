package ratelimit

import (
	"cmp"
	"slices"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Taken is one request that was taken from a Share. The zero value is none.
type Taken struct {
	share    *Share
	number   int64
	issuedAt clock.Instant
}

// TakeOne uses up one request, which may be given back. ok is false if none is available.
func (s *Share) TakeOne(now clock.Instant) (taken Taken, ok bool) {
	if s.Available(now) == 0 {
		return Taken{}, false
	}
	taken = Taken{share: s, number: s.permits[0].number, issuedAt: s.permits[0].issuedAt}
	if s.permits[0].requests--; s.permits[0].requests == 0 {
		s.permits = slices.Delete(s.permits, 0, 1)
	}
	return taken, true
}

// IsZero reports whether nothing was taken.
func (t Taken) IsZero() bool { return t.share == nil }

// ValidAt reports whether the request was taken from s and may still be sent.
func (t Taken) ValidAt(s *Share, now clock.Instant) bool {
	return t.share != nil && t.share == s && !t.expired(now)
}

func (t Taken) expired(now clock.Instant) bool {
	return t.issuedAt.Before(now.Add(-t.share.issue.validity))
}

// Return makes a request that was not sent available again, unless its permit has expired or belongs to another VM now. It
// must be called once at most.
func (t Taken) Return(now clock.Instant) {
	if t.share == nil || t.expired(now) || !t.share.owns(t.number) {
		return
	}
	s := t.share
	i, found := slices.BinarySearchFunc(s.permits, t.number, func(p permit, number int64) int { return cmp.Compare(p.number, number) })
	if found {
		s.permits[i].requests++
		return
	}
	s.permits = slices.Insert(s.permits, i, permit{number: t.number, issuedAt: t.issuedAt, requests: 1})
}
