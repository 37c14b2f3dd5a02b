package limiter

import (
	"cmp"
	"slices"
	"time"
)

// distance between a share's data centre and the requester.
type distance uint8

const (
	distanceLocal distance = iota
	distanceSameRegion
	distanceRemote
)

// spillDivisor determines when another share is used although the local share may have enough
// tokens. This is the case if the local share is below 1/spillDivisor of its burst while the
// other share is full and would lose what it accrues. For a remote region the divisor is doubled.
const spillDivisor = 2

// maxSingleRequests is the maximum number of shares that are asked for all tokens before partial
// grants are collected.
const maxSingleRequests = 3

// ShareView is the requester's view of one share.
type ShareView struct {
	dataCentre string
	distance   distance
	limit      Limit
	// estimate is the estimated balance in tokens.
	estimate int64
}

func (s ShareView) isFull() bool { return s.estimate >= s.limit.Burst }

// Ask is a request to one share.
type Ask struct {
	DataCentre string
	Tokens     int64
	Mode       reserveMode
}

// DrawnPart is a grant from one share. Ref is the reference that the requester passed to Answer.
type DrawnPart struct {
	Ask
	Granted int64
	Ref     int
}

// Tentative reports whether the share has to be notified when the request is admitted.
func (p DrawnPart) Tentative() bool { return p.Mode != modeAllOrNothing }

// stage is the stage of a draw.
type stage uint8

const (
	// stageSingle requests all tokens from a single share.
	stageSingle stage = iota
	// stagePartial collects partial grants, nearest shares first.
	stagePartial
	// stageOrdered collects partial grants in the same order for all requesters and waits for
	// undecided grants, so that concurrent requests cannot cause each other to be rejected.
	stageOrdered
	stageDone
)

// Draw determines which shares a request takes its tokens from. It is a pure state machine: the
// caller sends each Ask returned by Next and passes the reply to Answer, until Next returns
// false.
type Draw struct {
	tokens      int64
	shares      []ShareView
	stage       stage
	queue       []Ask
	lastRequest Ask
	// Parts are the current grants. Released grants must immediately be settled with 0 used.
	Parts     []DrawnPart
	Released  []DrawnPart
	requests  int
	contended bool
	// unreachable contains the data centres whose shares did not reply or cannot grant.
	unreachable map[string]bool
	replied     map[string]bool
	noPlan      bool
}

// NewDraw returns a Draw of tokens from shares.
func NewDraw(tokens int64, shares []ShareView) *Draw {
	d := &Draw{tokens: tokens, shares: shares, unreachable: map[string]bool{}, replied: map[string]bool{}}
	d.queue = d.singleRequests()
	return d
}

// singleRequests returns requests to the shares that may be able to grant all tokens. The local
// share comes first unless another share would overflow, then the nearest, then the one with the
// highest balance.
func (d *Draw) singleRequests() []Ask {
	order := slices.Clone(d.shares)
	slices.SortStableFunc(order, func(a, b ShareView) int {
		return cmp.Or(
			cmp.Compare(d.rank(a), d.rank(b)),
			cmp.Compare(b.estimate, a.estimate),
		)
	})
	var out []Ask
	for _, s := range order {
		if s.limit.Burst < d.tokens || s.estimate < d.tokens {
			continue
		}
		out = append(out, Ask{s.dataCentre, d.tokens, modeAllOrNothing})
	}
	return out[:min(len(out), maxSingleRequests)]
}

// rank returns the position of a share in the order; lower ranks are tried first.
func (d *Draw) rank(s ShareView) int {
	if s.distance != distanceLocal && s.isFull() && d.localShareBelow(s.distance) {
		return -int(distanceRemote) - 1 + int(s.distance)
	}
	return int(s.distance)
}

// localShareBelow reports whether the local share is low enough to use a full share at the given
// distance instead.
func (d *Draw) localShareBelow(dist distance) bool {
	for _, s := range d.shares {
		if s.distance == distanceLocal {
			divisor := int64(spillDivisor)
			if dist == distanceRemote {
				divisor *= 2
			}
			return s.estimate < s.limit.Burst/divisor
		}
	}
	return true
}

// partialRequests returns requests to all shares that may have tokens, in the order for mode m.
func (d *Draw) partialRequests(m reserveMode) []Ask {
	order := slices.Clone(d.shares)
	slices.SortStableFunc(order, func(a, b ShareView) int {
		if m == modePartialWait {
			return cmp.Compare(a.dataCentre, b.dataCentre)
		}
		return cmp.Or(
			cmp.Compare(a.distance, b.distance),
			cmp.Compare(b.estimate, a.estimate),
			cmp.Compare(a.dataCentre, b.dataCentre),
		)
	})
	out := make([]Ask, 0, len(order))
	for _, s := range order {
		if s.limit.Burst > 0 && !d.unreachable[s.dataCentre] {
			out = append(out, Ask{DataCentre: s.dataCentre, Mode: m})
		}
	}
	return out
}

// remaining returns the number of tokens still to be granted.
func (d *Draw) remaining() int64 {
	n := d.tokens
	for _, p := range d.Parts {
		n -= p.Granted
	}
	return n
}

// Next returns the next request, or false once the draw is decided.
func (d *Draw) Next() (Ask, bool) {
	for d.stage != stageDone {
		if d.remaining() <= 0 && len(d.Parts) > 0 {
			d.stage = stageDone
			break
		}
		if len(d.queue) == 0 {
			d.nextStage()
			continue
		}
		a := d.queue[0]
		d.queue = d.queue[1:]
		if d.unreachable[a.DataCentre] {
			continue
		}
		a.Tokens = d.remaining()
		d.lastRequest = a
		d.requests++
		return a, true
	}
	return Ask{}, false
}

func (d *Draw) nextStage() {
	switch {
	case d.stage == stageSingle:
		d.stage = stagePartial
		d.queue = d.partialRequests(modePartial)
	case d.stage == stagePartial && d.contended:
		d.release()
		d.stage = stageOrdered
		d.queue = d.partialRequests(modePartialWait)
	default:
		d.release()
		d.stage = stageDone
	}
}

func (d *Draw) release() {
	d.Released = append(d.Released, d.Parts...)
	d.Parts = nil
}

// Answer processes the reply to the last request. ref is the caller's reference to that request.
func (d *Draw) Answer(r ReserveReply, ref int) {
	dc := d.lastRequest.DataCentre
	switch r.Status {
	case StatusUnreachable:
		d.unreachable[dc] = true
		d.Released = append(d.Released, DrawnPart{Ask: d.lastRequest, Ref: ref})
		return
	case StatusNotHolder:
		d.unreachable[dc] = true
		return
	case StatusNoPlan:
		d.unreachable[dc] = true
		d.noPlan = true
		return
	case statusContended:
		d.contended = true
	}
	d.replied[dc] = true
	d.setEstimate(dc, r.Balance)
	if r.Granted > 0 {
		d.Parts = append(d.Parts, DrawnPart{Ask: d.lastRequest, Granted: r.Granted, Ref: ref})
	}
}

func (d *Draw) setEstimate(dataCentre string, balance int64) {
	for i := range d.shares {
		if d.shares[i].dataCentre == dataCentre {
			d.shares[i].estimate = balance
		}
	}
}

// Admitted reports whether a decided draw was granted all its tokens.
func (d *Draw) Admitted() bool { return d.stage == stageDone && d.remaining() <= 0 }

// maxRetryAfter bounds the retry time returned with a rejection.
const maxRetryAfter = 24 * time.Hour

// Wait returns the time, up to maxRetryAfter, until the shares that replied will have enough
// tokens. It returns false if their combined burst is too small. Released grants count as
// available.
func (d *Draw) Wait() (time.Duration, bool) {
	balanceAfter := func(t time.Duration) int64 {
		var sum int64
		for _, s := range d.shares {
			if !d.replied[s.dataCentre] {
				continue
			}
			accrued := mulDiv(s.limit.Rate, int64(t/time.Millisecond), int64(time.Second/time.Millisecond))
			sum += min(s.limit.Burst, s.estimate+d.releasedTokens(s.dataCentre)+accrued)
		}
		return sum
	}
	var totalBurst int64
	for _, s := range d.shares {
		if d.replied[s.dataCentre] {
			totalBurst += s.limit.Burst
		}
	}
	if totalBurst < d.tokens {
		return 0, false
	}
	low, high := time.Duration(0), maxRetryAfter
	for high-low > time.Millisecond {
		mid := (low + high) / 2
		if balanceAfter(mid) >= d.tokens {
			high = mid
		} else {
			low = mid
		}
	}
	return high, true
}

// releasedTokens returns the tokens last released to a share.
func (d *Draw) releasedTokens(dataCentre string) int64 {
	var last int64
	for _, p := range d.Released {
		if p.DataCentre == dataCentre {
			last = p.Granted
		}
	}
	return last
}

// Spread divides the used tokens among the grants such that unused tokens are refunded to the
// nearest shares.
func (d *Draw) Spread(used int64) []int64 {
	out := make([]int64, len(d.Parts))
	distances := map[string]distance{}
	for _, s := range d.shares {
		distances[s.dataCentre] = s.distance
	}
	order := make([]int, len(d.Parts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(distances[d.Parts[b].DataCentre], distances[d.Parts[a].DataCentre])
	})
	remaining := min(max(used, 0), d.tokens)
	for _, i := range order {
		out[i] = min(remaining, d.Parts[i].Granted)
		remaining -= out[i]
	}
	return out
}
