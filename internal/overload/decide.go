package overload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Call is a call that is to be placed.
type Call struct {
	Class
	// TimeLeft is the time that the caller still waits.
	TimeLeft time.Duration
}

// Decision is whether a call is placed, with the values that led to it.
type Decision struct {
	Place bool
	// RetryAfter is when a refused caller is to come back.
	RetryAfter time.Duration
	// Share is the share of the class's calls that is placed, RankShare that of its rank.
	Share, RankShare float64
	// Reserve is the number of calls that are kept free for more urgent ranks.
	Reserve float64
	// Reason says what reduces the share, empty if nothing does.
	Reason string
}

// Reasons for a share below 1.
const (
	ReasonRank      = "rank"
	ReasonWorkspace = "workspace"
	ReasonReturned  = "returned"
	// ReasonWait is the reason for a refusal of a call that may not wait any longer for capacity.
	ReasonWait = "wait"
)

// Shedder decides for the calls of one VM which of them are placed. It is not safe for concurrent use.
type Shedder struct {
	random *rand.Rand
	// credits holds, for each class, what its calls have been granted beyond the calls that were placed.
	credits map[Class]float64
	// running holds, for each service, the smoothed number of running calls.
	running map[string]*smoothed
}

// smoothed is a moving average.
type smoothed struct {
	value float64
	at    clock.Instant
}

// add adds a value that is valid now, and returns the average over about a time.
func (s *smoothed) add(now clock.Instant, value float64, over time.Duration) float64 {
	weight := 1 - math.Exp(-float64(now.Sub(s.at))/float64(max(over, time.Millisecond)))
	s.value += weight * (value - s.value)
	s.at = now
	return s.value
}

// releaseRate returns how many calls end in a second, if each takes its engine for c.Hold. Calls that have only begun do
// not end yet, so this follows the number of running calls with a delay.
func (s *Shedder) releaseRate(now clock.Instant, service string, c Capacity) float64 {
	r := s.running[service]
	if r == nil {
		r = &smoothed{value: c.Running, at: now}
		s.running[service] = r
	}
	return r.add(now, c.Running, c.Hold/2) / max(c.Hold, time.Millisecond).Seconds()
}

// NewShedder returns a Shedder that draws from random.
func NewShedder(random *rand.Rand) *Shedder {
	return &Shedder{random: random, credits: map[Class]float64{}, running: map[string]*smoothed{}}
}

// Decide decides whether a call is placed, given the load of its service and the capacity of its engines.
func (s *Shedder) Decide(now clock.Instant, call Call, load Load, c Capacity) Decision {
	call.Rank = clampRank(call.Rank)
	d := Decision{Place: true, Share: 1, RankShare: 1}
	for _, r := range rankShares(load, c.Free*usableFraction(load.Rejected), s.releaseRate(now, call.Service, c)) {
		if r.rank == call.Rank {
			d.Reserve, d.RankShare = r.reserve, r.share
		}
	}
	if d.RankShare >= 1 {
		return d
	}
	d.Share, d.Reason = classShare(call.Class, load.Demands, d.RankShare)
	if d.Share >= 1 {
		return d
	}
	if d.Place = s.draw(call, d.Share); !d.Place {
		d.RetryAfter = s.retryAfter(d.Share, call.TimeLeft)
	}
	return d
}

// rejectionWeight is how strongly rejections by engines reduce the free capacity that counts: none of it counts once a
// quarter of the sends is rejected.
const rejectionWeight = 4

// usableFraction returns the part of the free capacity that counts, given the share of sends that engines reject. They reject
// calls if others, of which this VM does not hear, use the capacity that it takes to be free.
func usableFraction(rejected float64) float64 { return max(0, 1-rejectionWeight*rejected) }

// classShare returns the share of a class's calls that is placed if its rank gets rankShare of its demand, and why.
func classShare(class Class, demands []Demand, rankShare float64) (share float64, reason string) {
	var totals, weights, floors []float64
	own, index, sum, most := Demand{}, -1, 0.0, 1e-9
	for _, d := range demands {
		if d.Rank != class.Rank {
			continue
		}
		if d.Workspace == class.Workspace {
			own, index = d, len(totals)
		}
		totals, weights, floors = append(totals, d.total()), append(weights, d.Weight), append(floors, d.Served)
		sum, most = sum+d.total(), max(most, d.Served)
	}
	if index < 0 {
		return rankShare, ReasonRank
	}
	for i, served := range floors {
		floors[i] = min(1, max(0, floorShare+floorGain*(floorShare-served/most)))
	}
	share = fill(rankShare*sum, totals, knownWeights(weights), floors)[index]
	reason = ReasonRank
	if share < rankShare {
		reason = ReasonWorkspace
	}
	// Within a workspace, callers that have come back are served first.
	granted := share * own.total()
	if class.Returned {
		return min(1, granted/max(own.Returned, 1e-9)), reason
	}
	if own.Fresh <= 0 {
		return share, reason
	}
	fresh := max(0, granted-own.Returned) / own.Fresh
	if fresh < share {
		reason = ReasonReturned
	}
	return min(1, fresh), reason
}

// knownWeights returns the weights, with their mean in place of those that are not known.
func knownWeights(weights []float64) []float64 {
	sum, known := 0.0, 0.0
	for _, w := range weights {
		if w > 0 {
			sum, known = sum+w, known+1
		}
	}
	mean := 1.0
	if known > 0 {
		mean = sum / known
	}
	out := make([]float64, len(weights))
	for i, w := range weights {
		if out[i] = w; w <= 0 {
			out[i] = mean
		}
	}
	return out
}

// draw reports whether a call of a class is among the given share. The calls of a class at this VM are placed at even
// distances, beginning at random, so that chance adds little to the differences between ranks.
func (s *Shedder) draw(call Call, share float64) bool {
	credit, ok := s.credits[call.Class]
	if !ok {
		if len(s.credits) >= maxClasses {
			clear(s.credits)
		}
		credit = s.random.Float64()
	}
	credit += share
	placed := credit >= 1
	if placed {
		credit--
	}
	s.credits[call.Class] = credit
	return placed
}

const (
	// backlogTime is the retry time while as many calls are refused as are placed.
	backlogTime = 3 * time.Second
	// minRetry is the least retry time.
	minRetry = 300 * time.Millisecond
	// retrySpread is the part of a retry time that is drawn at random, so that callers do not come back together.
	retrySpread = 0.4
	// retryFraction is the part of the time that callers have left up to which they honour a retry time.
	retryFraction = 3
)

// retryAfter returns when a refused caller is to come back: the later the more calls are refused for each placed one.
func (s *Shedder) retryAfter(share float64, timeLeft time.Duration) time.Duration {
	most := max(0, timeLeft) / retryFraction
	wait := most
	if share > 0 {
		wait = min(most, time.Duration((1-share)/share*float64(backlogTime)))
	}
	wait = min(most, max(wait, minRetry))
	return wait - time.Duration(s.random.Float64()*retrySpread*float64(wait))
}

// RetryAfter returns the retry time of a call that found no capacity by waiting.
func (s *Shedder) RetryAfter(d Decision, timeLeft time.Duration) time.Duration {
	return s.retryAfter(min(d.Share, 0.5), timeLeft)
}
