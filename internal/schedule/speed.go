package schedule

import (
	"math"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// paceFadeTime is the time constant with which the weight of a figure falls with its age. Engines are slow for about
	// 600 ms at a time, so that a figure says little about the time after that.
	paceFadeTime = 300 * time.Millisecond
	// paceTTL is the age from which on a figure is neither used nor told. Its weight is under 1% then.
	paceTTL = 5 * paceFadeTime
	// minSlowness is the slowness from which on an endpoint counts as slow. Smaller differences, and endpoints that are
	// faster than usual, change nothing: if they did, all VMs would send their calls to the one with the lowest figure.
	minSlowness = 1.25
	// maxSlowness bounds figures of other VMs as those of endpoints are bounded.
	maxSlowness = 100
	// paceJitter is the largest part by which the time that slow endpoints cost is changed at random, so that VMs with
	// the same figures do not all choose the same one.
	paceJitter = 0.25
	// staleFactor is how strongly old figures keep VMs from leaving all slow endpoints at once.
	staleFactor = 16
)

// pace is how long work took at an endpoint at a time, as a multiple of the usual time; 0 if it is not known.
type pace struct {
	slowness float64
	since    clock.Instant
}

// excess returns by how much longer work takes now than usual, as a multiple of the usual time. It falls with the age
// of the figure.
func (p pace) excess(now clock.Instant) float64 {
	if p.slowness < minSlowness || now.Sub(p.since) >= paceTTL {
		return 0
	}
	return (p.slowness - 1) * p.weight(now)
}

// weight returns how much of the figure still counts.
func (p pace) weight(now clock.Instant) float64 {
	return math.Exp(-float64(now.Sub(p.since)) / float64(paceFadeTime))
}

// delay predicts how much longer than usual work takes that begins now and usually takes the given time. Work slows
// down by the excess, which goes on falling while the work is done: the delay is the solution of
// integral over [0, usual+delay] of dt/(1+excess*exp(-t/fade)) = usual. So it is usual*excess for short work, and at
// most fade*log(1+excess).
func (p pace) delay(now clock.Instant, usual time.Duration) time.Duration {
	excess := p.excess(now)
	if excess == 0 || usual <= 0 {
		return 0
	}
	faded := -math.Expm1(-float64(usual) / float64(paceFadeTime))
	return time.Duration(float64(paceFadeTime) * math.Log1p(excess*faded))
}

// validPace returns a figure that was told with its age, the zero pace if it is not valid or too old.
func validPace(now clock.Instant, slowness float64, age time.Duration) pace {
	if !(slowness > 0) || slowness > maxSlowness || age >= paceTTL {
		return pace{}
	}
	return pace{slowness: slowness, since: now.Add(-max(0, age))}
}

// speed is what this VM knows of the pace of an endpoint.
type speed struct {
	// own is what the endpoint last said to this VM, latest what it last said to any VM.
	own, latest pace
	// shared is what was last told to all VMs, by this one or by another one.
	shared pace
	// sharedAt is when this VM last told it in a message of its own.
	sharedAt clock.Instant
}

// record records what the endpoint said to this VM.
func (s *speed) record(p pace) {
	s.own = p
	s.merge(p)
}

// merge records what the endpoint said to any VM, unless it is older than what is known.
func (s *speed) merge(p pace) {
	if p.slowness > 0 && (s.latest.slowness == 0 || p.since >= s.latest.since) {
		s.latest = p
	}
}

// recordShared records what another VM told.
func (s *speed) recordShared(p pace) {
	s.merge(p)
	if p.slowness > 0 && (s.shared.slowness == 0 || p.since >= s.shared.since) {
		s.shared = p
	}
}

// shareOwn records that all VMs are told what the endpoint last said to this one.
func (s *speed) shareOwn() {
	if s.own.slowness > 0 && s.own.since >= s.shared.since {
		s.shared = s.own
	}
}

// changedFraction is the part of the figure that was last told by which another one differs to be told at once.
const changedFraction = 0.5

// changed reports whether what the endpoint said to this VM differs much from what the VMs were told. A figure that
// has lost its weight stands for the usual pace.
func (s *speed) changed(now clock.Instant) bool {
	told := 1.0
	if s.shared.slowness > 0 && now.Sub(s.shared.since) < paceTTL {
		told = s.shared.slowness
	}
	return s.own.slowness > 0 && math.Abs(s.own.slowness-told) > changedFraction*told
}

// slowShares returns the part of the endpoints that were slow, and the same with each one as far as its figure has faded.
func slowShares(now clock.Instant, from []*endpointState) (slow, stale float64) {
	for _, s := range from {
		if p := s.speed.latest; p.excess(now) > 0 {
			slow++
			stale += 1 - p.weight(now)
		}
	}
	n := float64(max(1, len(from)))
	return slow / n, stale / n
}

// paceSpread changes the delay that a slow endpoint is predicted to cause at random, and at times leaves it out: the
// more endpoints are slow, the fewer would share the calls of all VMs, whose news of each other is late, and the older
// the figures are, the more of them are wrong by now.
func (t *table) paceSpread(delay time.Duration) time.Duration {
	if delay == 0 || t.random.Float64() < t.leftOut {
		return 0
	}
	return time.Duration(float64(delay) * (1 - paceJitter + 2*paceJitter*t.random.Float64()))
}

// decodeTimes are the measured times of a service's decode engines at their usual pace, 0 if not known. They are kept
// by service, as one VM sends an engine few calls.
type decodeTimes struct {
	// start is the time from sending a call to its first event, step the time between two events.
	start, step time.Duration
}

const (
	// decodeTimeWeight is the weight of a new measurement in the moving average.
	decodeTimeWeight = 0.1
	// minSteps is the number of steps from which on the mean time between events of a call is used.
	minSteps = 8
	// maxDecodeTimes is the maximum number of services whose times are kept.
	maxDecodeTimes = 256
)

func average(previous, measured time.Duration) time.Duration {
	if previous == 0 {
		return measured
	}
	return previous + time.Duration(decodeTimeWeight*float64(measured-previous))
}

func (d *decodeTimes) record(start, span time.Duration, steps int) {
	if start > 0 {
		d.start = average(d.start, start)
	}
	if steps >= minSteps && span > 0 {
		d.step = average(d.step, span/time.Duration(steps))
	}
}

const (
	// gapCost is the cost of a decode engine that is predicted to exceed the maximum event gap of the call's route.
	gapCost = 300 * time.Millisecond
	// gapMargin is the part of the maximum event gap from which on the predicted time between events costs something,
	// as single gaps are longer than the mean.
	gapMargin = 0.5
)

// eventGapCost returns the cost of a predicted time between events.
func eventGapCost(step, maxGap time.Duration) time.Duration {
	if maxGap <= 0 || step <= 0 {
		return 0
	}
	part := (float64(step)/float64(maxGap) - gapMargin) / (1 - gapMargin)
	return time.Duration(min(1, max(0, part)) * float64(gapCost))
}

// decodeDelay predicts by how much later than usual a slow engine sends the first event of a call, and what its slower
// events cost.
func (t *table) decodeDelay(now clock.Instant, s *endpointState, req *Request) time.Duration {
	excess := s.speed.latest.excess(now)
	usual := t.decodeTimes[s.Service]
	if excess == 0 || usual == nil {
		return 0
	}
	slowStep := time.Duration((1 + excess) * float64(usual.step))
	return s.speed.latest.delay(now, usual.start) + eventGapCost(slowStep, req.MaxEventGap) - eventGapCost(usual.step, req.MaxEventGap)
}
