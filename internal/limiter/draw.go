package limiter

import (
	"cmp"
	"slices"
	"time"
)

// distance of a share from the requester's VM.
type distance uint8

const (
	distanceOwn distance = iota
	distanceRegion
	distanceFar
)

// spillDivisor sets when a request is taken from another share although the own one might
// have enough: the own share is below 1/spillDivisor of its burst and the other is full, so
// that what the other accrues would be lost.
const spillDivisor = 2

// maxWholeAsks is how many shares are asked for all tokens before parts are gathered.
const maxWholeAsks = 3

// shareView is what a requester believes of one share.
type shareView struct {
	dataCentre string
	distance   distance
	limit      Limit
	// estimate is the believed balance in tokens.
	estimate int64
}

func (s shareView) full() bool { return s.estimate >= s.limit.Burst }

// ask is one request that a draw makes.
type ask struct {
	dataCentre string
	tokens     int64
	mode       mode
}

// drawnPart is what a draw got from one share. ref is the requester's number of the ask.
type drawnPart struct {
	ask
	granted int64
	ref     int
}

// stage is how far a draw has come.
type stage uint8

const (
	// stageWhole asks single shares for all tokens.
	stageWhole stage = iota
	// stageParts gathers from the nearest shares first.
	stageParts
	// stageOrdered gathers in an order that is the same for all requesters and waits for
	// undecided parts, so that two requests cannot keep each other from being admitted.
	stageOrdered
	stageDone
)

// draw decides which shares one request asks, and for what. It is a pure state machine: next
// gives the ask to make, answer takes its reply, until next reports false.
type draw struct {
	tokens int64
	shares []shareView
	stage  stage
	queue  []ask
	last   ask
	// parts are held; released must be settled with 0 used at once.
	parts     []drawnPart
	released  []drawnPart
	asks      int
	contended bool
	// silent counts the shares that gave no answer, by data centre.
	silent   map[string]bool
	answered map[string]bool
	noPlan   bool
}

func newDraw(tokens int64, shares []shareView) *draw {
	d := &draw{tokens: tokens, shares: shares, silent: map[string]bool{}, answered: map[string]bool{}}
	d.queue = d.wholeAsks()
	return d
}

// wholeAsks orders the shares that may have all tokens: the own one first unless another
// share would overflow, then the nearest, then the fullest.
func (d *draw) wholeAsks() []ask {
	order := slices.Clone(d.shares)
	slices.SortStableFunc(order, func(a, b shareView) int {
		return cmp.Or(
			cmp.Compare(d.rank(a), d.rank(b)),
			cmp.Compare(b.estimate, a.estimate),
		)
	})
	var out []ask
	for _, s := range order {
		if s.limit.Burst < d.tokens || s.estimate < d.tokens {
			continue
		}
		out = append(out, ask{s.dataCentre, d.tokens, modeWhole})
	}
	return out[:min(len(out), maxWholeAsks)]
}

// rank is lower for shares that are to be asked earlier.
func (d *draw) rank(s shareView) int {
	if s.distance != distanceOwn && s.full() && d.ownBelow(s.distance) {
		return -int(distanceFar) - 1 + int(s.distance)
	}
	return int(s.distance)
}

// ownBelow reports whether the own share is low enough to spare it for a full share.
func (d *draw) ownBelow(dist distance) bool {
	for _, s := range d.shares {
		if s.distance == distanceOwn {
			divisor := int64(spillDivisor)
			if dist == distanceFar {
				divisor *= 2
			}
			return s.estimate < s.limit.Burst/divisor
		}
	}
	return true
}

// partAsks orders all shares for a gathering.
func (d *draw) partAsks(m mode) []ask {
	order := slices.Clone(d.shares)
	slices.SortStableFunc(order, func(a, b shareView) int {
		if m == modePartWaiting {
			return cmp.Compare(a.dataCentre, b.dataCentre)
		}
		return cmp.Or(
			cmp.Compare(a.distance, b.distance),
			cmp.Compare(b.estimate, a.estimate),
			cmp.Compare(a.dataCentre, b.dataCentre),
		)
	})
	out := make([]ask, 0, len(order))
	for _, s := range order {
		if s.limit.Burst > 0 && !d.silent[s.dataCentre] {
			out = append(out, ask{dataCentre: s.dataCentre, mode: m})
		}
	}
	return out
}

// missing is the number of tokens not yet held.
func (d *draw) missing() int64 {
	n := d.tokens
	for _, p := range d.parts {
		n -= p.granted
	}
	return n
}

// next gives the next ask, or false when the draw is decided.
func (d *draw) next() (ask, bool) {
	for d.stage != stageDone {
		if d.missing() <= 0 && len(d.parts) > 0 {
			d.stage = stageDone
			break
		}
		if len(d.queue) == 0 {
			d.nextStage()
			continue
		}
		a := d.queue[0]
		d.queue = d.queue[1:]
		if d.silent[a.dataCentre] {
			continue
		}
		a.tokens = d.missing()
		d.last = a
		d.asks++
		return a, true
	}
	return ask{}, false
}

func (d *draw) nextStage() {
	switch {
	case d.stage == stageWhole:
		d.stage = stageParts
		d.queue = d.partAsks(modePart)
	case d.stage == stageParts && d.contended:
		d.release()
		d.stage = stageOrdered
		d.queue = d.partAsks(modePartWaiting)
	default:
		d.release()
		d.stage = stageDone
	}
}

func (d *draw) release() {
	d.released = append(d.released, d.parts...)
	d.parts = nil
}

// answer takes the reply to the last ask; ref is the requester's number of that ask.
func (d *draw) answer(r reserveReply, ref int) {
	dc := d.last.dataCentre
	switch r.Status {
	case statusUnreachable:
		d.silent[dc] = true
		d.released = append(d.released, drawnPart{ask: d.last, ref: ref})
		return
	case statusNotHolder:
		d.silent[dc] = true
		return
	case statusNoPlan:
		d.silent[dc] = true
		d.noPlan = true
		return
	case statusContended:
		d.contended = true
	}
	d.answered[dc] = true
	d.learn(dc, r.Balance)
	if r.Granted > 0 {
		d.parts = append(d.parts, drawnPart{ask: d.last, granted: r.Granted, ref: ref})
	}
}

func (d *draw) learn(dataCentre string, balance int64) {
	for i := range d.shares {
		if d.shares[i].dataCentre == dataCentre {
			d.shares[i].estimate = balance
		}
	}
}

// admitted reports whether a decided draw got all its tokens.
func (d *draw) admitted() bool { return d.stage == stageDone && d.missing() <= 0 }

// waitLimit bounds the time to wait that a refusal states.
const waitLimit = time.Hour

// wait gives the time until the shares that answered will have the tokens, and false when
// they never will. What the draw released counts as there.
func (d *draw) wait() (time.Duration, bool) {
	have := func(t time.Duration) int64 {
		var sum int64
		for _, s := range d.shares {
			if !d.answered[s.dataCentre] {
				continue
			}
			accrued := mulDiv(s.limit.Rate, int64(t/time.Millisecond), int64(time.Second/time.Millisecond))
			sum += min(s.limit.Burst, s.estimate+d.releasedAt(s.dataCentre)+accrued)
		}
		return sum
	}
	if have(waitLimit) < d.tokens {
		return 0, false
	}
	low, high := time.Duration(0), waitLimit
	for high-low > time.Millisecond {
		mid := (low + high) / 2
		if have(mid) >= d.tokens {
			high = mid
		} else {
			low = mid
		}
	}
	return high, true
}

// releasedAt gives the tokens that the last gathering gave back to a share.
func (d *draw) releasedAt(dataCentre string) int64 {
	var last int64
	for _, p := range d.released {
		if p.dataCentre == dataCentre {
			last = p.granted
		}
	}
	return last
}

// spread gives the used tokens of each part, so that what was not used goes back to the
// nearest shares.
func (d *draw) spread(used int64) []int64 {
	out := make([]int64, len(d.parts))
	near := map[string]distance{}
	for _, s := range d.shares {
		near[s.dataCentre] = s.distance
	}
	order := make([]int, len(d.parts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(near[d.parts[b].dataCentre], near[d.parts[a].dataCentre])
	})
	left := min(max(used, 0), d.tokens)
	for _, i := range order {
		out[i] = min(left, d.parts[i].granted)
		left -= out[i]
	}
	return out
}
