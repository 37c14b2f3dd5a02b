package ratelimit

import (
	"math"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Bounds say what an endpoint bears, and what keeps VMs from using all of it at once.
type Bounds struct {
	// Window is the time over which the endpoint counts requests. It bears Factor times its rate in any window, and
	// Requests more.
	Window           time.Duration
	Factor, Requests float64
	// Reserve is the part of Requests that is never used.
	Reserve float64
	// Tolerance covers the difference between the wall clocks of VMs, and the time of requests on their way.
	Tolerance time.Duration
	// MinRate replaces lower rates, in requests a second.
	MinRate float64
	// Validity is how long a permit must be usable at least. The rate is lowered until the bound holds with it. If it
	// is 0, the rate is kept, and the validity of permits follows from it.
	Validity time.Duration
}

// named are the bounds of endpoints that name a rate limit. Without any request nobody would learn that an endpoint names
// no limit any more.
var named = Bounds{
	Window: window, Factor: burstFactor, Requests: burstRequests, Reserve: reservedRequests, Tolerance: clockTolerance, MinRate: minRate,
}

const (
	// coldWindow is the time over which cold endpoints count requests.
	coldWindow = time.Second
	// ColdTransit is the time that a request may take from the use of its permit to its arrival. It covers one connection
	// attempt (300 ms at most) and the transfer of the request.
	ColdTransit = 500 * time.Millisecond
	// ColdValidity is how long a permit for a cold endpoint is valid. A decode is sent after its prompt has been
	// prefilled elsewhere, by the permit that was set aside before. A longer validity lowers the rate that can be used.
	ColdValidity = 750 * time.Millisecond
	// StartDelay is how long after its start a VM uses no permits of cold endpoints. Before a restart it may have used
	// permits by a clock that was ahead by as much, and VMs that start at once have to learn of each other.
	StartDelay = clock.Tolerance
)

// ColdBounds returns the bounds of cold endpoints, which bear factor times their rate in any second, and slack requests
// more.
func ColdBounds(factor, slack float64) *Bounds {
	return &Bounds{
		Window: coldWindow, Factor: factor, Requests: slack, Tolerance: clock.Tolerance + ColdTransit, MinRate: minColdRate, Validity: ColdValidity,
	}
}

// minColdRate keeps the time between permits finite.
const minColdRate = 0.001

// permits describes the permits of a rate.
type permits struct {
	// interval is the time between two permits, in nanoseconds.
	interval float64
	// requests is the number of requests that a permit allows.
	requests int
	validity time.Duration
	// none is set if the endpoint bears no request.
	none bool
}

// strictness keeps the permits that fall into a window strictly below the number that would reach the bound, whatever
// is rounded.
const strictness = 0.999

// permitsOf returns the permits of a rate. All that are valid within a window, used at once, stay within the bounds.
func (b Bounds) permitsOf(rate float64) permits {
	usable := b.MinRate
	if rate > usable { // not if it is no number
		usable = min(rate, MaxRate)
	}
	p := permits{requests: int(math.Ceil(usable / maxPermits))}
	if b.Validity <= 0 {
		p.validity = min(b.Window, seconds((b.Factor-1)*b.Window.Seconds()+(b.Requests-b.Reserve-float64(p.requests))/usable)-b.Tolerance)
	} else {
		// Of permits at even intervals fewer than count+1 are issued in a span that is shorter than count intervals. The
		// requests of a window come from permits that were issued within the span of window, validity and tolerance.
		count := math.Floor((b.Factor*usable*b.Window.Seconds() + b.Requests - b.Reserve) / float64(p.requests))
		if !(count >= 1) {
			return permits{interval: float64(never), requests: 1, none: true}
		}
		budget := strictness * count * float64(p.requests)
		usable = min(usable, budget/(b.Window+b.Validity+b.Tolerance).Seconds())
		p.validity = min(b.Window, seconds(budget/usable)-b.Window-b.Tolerance)
	}
	p.interval = float64(p.requests) / usable * float64(time.Second)
	return p
}

// never is the time between permits of an endpoint that bears no request.
const never = 100 * 365 * 24 * time.Hour

// seconds converts a number of seconds, which may be larger than any Duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt64/4/float64(time.Second)) * float64(time.Second))
}
