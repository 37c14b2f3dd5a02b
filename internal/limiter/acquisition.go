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
// other share is full and would lose what it accrues. For a share in another region
// the divisor is doubled.
const spillDivisor = 2

// maxSingleRequests is the maximum number of shares that are requested to grant all tokens before
// partial grants are collected.
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

// ShareRequest is a request to one share.
type ShareRequest struct {
	DataCentre string
	Tokens     int64
	Mode       reserveMode
}

// ShareGrant is a grant from one share. Ref is the reference that the requester passed to
// HandleReply.
type ShareGrant struct {
	ShareRequest
	Granted int64
	Ref     int
}

// Tentative reports whether the share has to be notified when the request is admitted.
func (p ShareGrant) Tentative() bool { return p.Mode != modeAllOrNothing }

// stage is the stage of an acquisition.
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

// Acquisition determines which shares a request takes its tokens from. It is a pure state
// machine: the caller sends each ShareRequest returned by Next and passes the reply to HandleReply,
// until Next returns false.
type Acquisition struct {
	tokens      int64
	shares      []ShareView
	stage       stage
	queue       []ShareRequest
	lastRequest ShareRequest
	// Grants are the current grants. Released grants must immediately be settled with 0 used.
	Grants    []ShareGrant
	Released  []ShareGrant
	requests  int
	contended bool
	// unreachable contains the data centres whose shares did not reply or cannot grant.
	unreachable map[string]bool
	replied     map[string]bool
	noPlan      bool
}

// NewAcquisition returns an Acquisition of tokens from shares.
func NewAcquisition(tokens int64, shares []ShareView) *Acquisition {
	acq := &Acquisition{tokens: tokens, shares: shares, unreachable: map[string]bool{}, replied: map[string]bool{}}
	acq.queue = acq.singleRequests()
	return acq
}

// singleRequests returns requests to the shares that may be able to grant all tokens. The local
// share comes first unless another share would overflow, then the nearest, then the one with the
// highest balance.
func (acq *Acquisition) singleRequests() []ShareRequest {
	order := slices.Clone(acq.shares)
	slices.SortStableFunc(order, func(a, b ShareView) int {
		return cmp.Or(
			cmp.Compare(acq.rank(a), acq.rank(b)),
			cmp.Compare(b.estimate, a.estimate),
		)
	})
	var out []ShareRequest
	for _, s := range order {
		if s.limit.Burst < acq.tokens || s.estimate < acq.tokens {
			continue
		}
		out = append(out, ShareRequest{s.dataCentre, acq.tokens, modeAllOrNothing})
	}
	return out[:min(len(out), maxSingleRequests)]
}

// rank returns the position of a share in the order; lower ranks are tried first.
func (acq *Acquisition) rank(s ShareView) int {
	if s.distance != distanceLocal && s.isFull() && acq.localShareBelow(s.distance) {
		return -int(distanceRemote) - 1 + int(s.distance)
	}
	return int(s.distance)
}

// localShareBelow reports whether the local share is low enough to use a full share at the given
// distance instead.
func (acq *Acquisition) localShareBelow(dist distance) bool {
	for _, s := range acq.shares {
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
func (acq *Acquisition) partialRequests(m reserveMode) []ShareRequest {
	order := slices.Clone(acq.shares)
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
	out := make([]ShareRequest, 0, len(order))
	for _, s := range order {
		if s.limit.Burst > 0 && !acq.unreachable[s.dataCentre] {
			out = append(out, ShareRequest{DataCentre: s.dataCentre, Mode: m})
		}
	}
	return out
}

// remaining returns the number of tokens still to be granted.
func (acq *Acquisition) remaining() int64 {
	n := acq.tokens
	for _, p := range acq.Grants {
		n -= p.Granted
	}
	return n
}

// Next returns the next request, or false once the acquisition is decided.
func (acq *Acquisition) Next() (ShareRequest, bool) {
	for acq.stage != stageDone {
		if acq.remaining() <= 0 && len(acq.Grants) > 0 {
			acq.stage = stageDone
			break
		}
		if len(acq.queue) == 0 {
			acq.nextStage()
			continue
		}
		a := acq.queue[0]
		acq.queue = acq.queue[1:]
		if acq.unreachable[a.DataCentre] {
			continue
		}
		a.Tokens = acq.remaining()
		acq.lastRequest = a
		acq.requests++
		return a, true
	}
	return ShareRequest{}, false
}

func (acq *Acquisition) nextStage() {
	switch {
	case acq.stage == stageSingle:
		acq.stage = stagePartial
		acq.queue = acq.partialRequests(modePartial)
	case acq.stage == stagePartial && acq.contended:
		acq.release()
		acq.stage = stageOrdered
		acq.queue = acq.partialRequests(modePartialWait)
	default:
		acq.release()
		acq.stage = stageDone
	}
}

func (acq *Acquisition) release() {
	acq.Released = append(acq.Released, acq.Grants...)
	acq.Grants = nil
}

// HandleReply processes the reply to the last request. ref is the caller's reference to that request.
func (acq *Acquisition) HandleReply(r ReserveReply, ref int) {
	dc := acq.lastRequest.DataCentre
	switch r.Status {
	case StatusUnreachable:
		acq.unreachable[dc] = true
		acq.Released = append(acq.Released, ShareGrant{ShareRequest: acq.lastRequest, Ref: ref})
		return
	case StatusNotHolder:
		acq.unreachable[dc] = true
		return
	case StatusNoPlan:
		acq.unreachable[dc] = true
		acq.noPlan = true
		return
	case statusContended:
		acq.contended = true
	}
	acq.replied[dc] = true
	acq.setEstimate(dc, r.Balance)
	if r.Granted > 0 {
		acq.Grants = append(acq.Grants, ShareGrant{ShareRequest: acq.lastRequest, Granted: r.Granted, Ref: ref})
	}
}

func (acq *Acquisition) setEstimate(dataCentre string, balance int64) {
	for i := range acq.shares {
		if acq.shares[i].dataCentre == dataCentre {
			acq.shares[i].estimate = balance
		}
	}
}

// Admitted reports whether a decided acquisition was granted all its tokens.
func (acq *Acquisition) Admitted() bool { return acq.stage == stageDone && acq.remaining() <= 0 }

// maxRetryAfter bounds the retry time returned with a rejection.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns the time, up to maxRetryAfter, until the shares that replied will have enough
// tokens. It returns false if their combined burst is too small. Released grants count as
// available.
func (acq *Acquisition) RetryAfter() (time.Duration, bool) {
	balanceAfter := func(t time.Duration) int64 {
		var sum int64
		for _, s := range acq.shares {
			if !acq.replied[s.dataCentre] {
				continue
			}
			accrued := mulDiv(s.limit.Rate, int64(t/time.Millisecond), int64(time.Second/time.Millisecond))
			sum += min(s.limit.Burst, s.estimate+acq.releasedTokens(s.dataCentre)+accrued)
		}
		return sum
	}
	var totalBurst int64
	for _, s := range acq.shares {
		if acq.replied[s.dataCentre] {
			totalBurst += s.limit.Burst
		}
	}
	if totalBurst < acq.tokens {
		return 0, false
	}
	low, high := time.Duration(0), maxRetryAfter
	for high-low > time.Millisecond {
		mid := (low + high) / 2
		if balanceAfter(mid) >= acq.tokens {
			high = mid
		} else {
			low = mid
		}
	}
	return high, true
}

// releasedTokens returns the tokens last released to a share.
func (acq *Acquisition) releasedTokens(dataCentre string) int64 {
	var last int64
	for _, p := range acq.Released {
		if p.DataCentre == dataCentre {
			last = p.Granted
		}
	}
	return last
}

// SplitUsage divides the used tokens among the grants so that unused tokens are refunded to the
// nearest shares.
func (acq *Acquisition) SplitUsage(used int64) []int64 {
	out := make([]int64, len(acq.Grants))
	distances := map[string]distance{}
	for _, s := range acq.shares {
		distances[s.dataCentre] = s.distance
	}
	order := make([]int, len(acq.Grants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(distances[acq.Grants[b].DataCentre], distances[acq.Grants[a].DataCentre])
	})
	remaining := min(max(used, 0), acq.tokens)
	for _, i := range order {
		out[i] = min(remaining, acq.Grants[i].Granted)
		remaining -= out[i]
	}
	return out
}
