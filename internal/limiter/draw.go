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

// ShareView is what a requester believes of one share.
type ShareView struct {
	dataCentre string
	distance   distance
	limit      Limit
	// estimate is the believed balance in tokens.
	estimate int64
}

func (s ShareView) full() bool { return s.estimate >= s.limit.Burst }

// Ask is one request that a draw makes.
type Ask struct {
	DataCentre string
	Tokens     int64
	Mode       mode
}

// DrawnPart is what a draw got from one share. Ref is the requester's number of the ask.
type DrawnPart struct {
	Ask
	Granted int64
	Ref     int
}

// Tentative reports whether the share must be told that the draw was admitted.
func (p DrawnPart) Tentative() bool { return p.Mode != modeWhole }

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

// Draw decides which shares one request asks, and for what. It is a pure state machine: Next
// gives the ask to make, Answer takes its reply, until Next reports false.
type Draw struct {
	tokens int64
	shares []ShareView
	stage  stage
	queue  []Ask
	last   Ask
	// Parts are held; Released must be settled with 0 used at once.
	Parts     []DrawnPart
	Released  []DrawnPart
	asks      int
	contended bool
	// silent holds the data centres whose shares gave no answer.
	silent   map[string]bool
	answered map[string]bool
	noPlan   bool
}

// NewDraw makes the draw of tokens over shares.
func NewDraw(tokens int64, shares []ShareView) *Draw {
	d := &Draw{tokens: tokens, shares: shares, silent: map[string]bool{}, answered: map[string]bool{}}
	d.queue = d.wholeAsks()
	return d
}

// wholeAsks orders the shares that may have all tokens: the own one first unless another
// share would overflow, then the nearest, then the fullest.
func (d *Draw) wholeAsks() []Ask {
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
		out = append(out, Ask{s.dataCentre, d.tokens, modeWhole})
	}
	return out[:min(len(out), maxWholeAsks)]
}

// rank is lower for shares that are to be asked earlier.
func (d *Draw) rank(s ShareView) int {
	if s.distance != distanceOwn && s.full() && d.ownBelow(s.distance) {
		return -int(distanceFar) - 1 + int(s.distance)
	}
	return int(s.distance)
}

// ownBelow reports whether the own share is low enough to spare it for a full share.
func (d *Draw) ownBelow(dist distance) bool {
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
func (d *Draw) partAsks(m mode) []Ask {
	order := slices.Clone(d.shares)
	slices.SortStableFunc(order, func(a, b ShareView) int {
		if m == modePartWaiting {
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
		if s.limit.Burst > 0 && !d.silent[s.dataCentre] {
			out = append(out, Ask{DataCentre: s.dataCentre, Mode: m})
		}
	}
	return out
}

// missing is the number of tokens not yet held.
func (d *Draw) missing() int64 {
	n := d.tokens
	for _, p := range d.Parts {
		n -= p.Granted
	}
	return n
}

// Next gives the next ask, or false when the draw is decided.
func (d *Draw) Next() (Ask, bool) {
	for d.stage != stageDone {
		if d.missing() <= 0 && len(d.Parts) > 0 {
			d.stage = stageDone
			break
		}
		if len(d.queue) == 0 {
			d.nextStage()
			continue
		}
		a := d.queue[0]
		d.queue = d.queue[1:]
		if d.silent[a.DataCentre] {
			continue
		}
		a.Tokens = d.missing()
		d.last = a
		d.asks++
		return a, true
	}
	return Ask{}, false
}

func (d *Draw) nextStage() {
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

func (d *Draw) release() {
	d.Released = append(d.Released, d.Parts...)
	d.Parts = nil
}

// Answer takes the reply to the last ask; ref is the requester's number of that ask.
func (d *Draw) Answer(r ReserveReply, ref int) {
	dc := d.last.DataCentre
	switch r.Status {
	case StatusUnreachable:
		d.silent[dc] = true
		d.Released = append(d.Released, DrawnPart{Ask: d.last, Ref: ref})
		return
	case StatusNotHolder:
		d.silent[dc] = true
		return
	case StatusNoPlan:
		d.silent[dc] = true
		d.noPlan = true
		return
	case statusContended:
		d.contended = true
	}
	d.answered[dc] = true
	d.learn(dc, r.Balance)
	if r.Granted > 0 {
		d.Parts = append(d.Parts, DrawnPart{Ask: d.last, Granted: r.Granted, Ref: ref})
	}
}

func (d *Draw) learn(dataCentre string, balance int64) {
	for i := range d.shares {
		if d.shares[i].dataCentre == dataCentre {
			d.shares[i].estimate = balance
		}
	}
}

// Admitted reports whether a decided draw got all its tokens.
func (d *Draw) Admitted() bool { return d.stage == stageDone && d.missing() <= 0 }

// waitLimit bounds the time to wait that a refusal states.
const waitLimit = 24 * time.Hour

// Wait gives the time, up to waitLimit, until the shares that answered will have the tokens,
// and false when their bursts are too small. What the draw released counts as there.
func (d *Draw) Wait() (time.Duration, bool) {
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
	var most int64
	for _, s := range d.shares {
		if d.answered[s.dataCentre] {
			most += s.limit.Burst
		}
	}
	if most < d.tokens {
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
func (d *Draw) releasedAt(dataCentre string) int64 {
	var last int64
	for _, p := range d.Released {
		if p.DataCentre == dataCentre {
			last = p.Granted
		}
	}
	return last
}

// Spread gives the used tokens of each part, so that what was not used goes back to the
// nearest shares.
func (d *Draw) Spread(used int64) []int64 {
	out := make([]int64, len(d.Parts))
	near := map[string]distance{}
	for _, s := range d.shares {
		near[s.dataCentre] = s.distance
	}
	order := make([]int, len(d.Parts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(near[d.Parts[b].DataCentre], near[d.Parts[a].DataCentre])
	})
	left := min(max(used, 0), d.tokens)
	for _, i := range order {
		out[i] = min(left, d.Parts[i].Granted)
		left -= out[i]
	}
	return out
}
