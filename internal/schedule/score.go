package schedule

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// remoteMemoryMargin is the fraction of the memory of an engine in another data centre that is
// reserved for calls which VMs there have placed but not reported yet.
const remoteMemoryMargin = 0.2

// maxInFlightBytes bounds the requests that an endpoint holds for this VM, unless it holds a single one: an endpoint
// crashes if the requests of all VMs exceed its memory.
const maxInFlightBytes = 8 << 20

// hasCapacity reports whether an endpoint has capacity for a request.
func (t *table) hasCapacity(now clock.Instant, s *endpointState, req *Request) bool {
	if now.Before(s.closedUntil) {
		return false
	}
	if req.BodyBytes > 0 && s.inFlight > 0 && s.inFlight+int64(req.BodyBytes) > maxInFlightBytes {
		return false
	}
	if s.Slots > 0 && s.load(now).Calls >= s.Slots+maxQueued(s) {
		return false
	}
	if req.Tokens == nil {
		return true
	}
	if req.Stage != traffic.Decode {
		// An idle engine is accepted for any prompt. Otherwise a prompt whose prefill takes longer
		// than MaxPrefillTime even on an idle engine could never be placed.
		return req.MaxPrefillTime <= 0 || s.totalWork().Calls == 0 || t.usualPrefill(now, s, req.Tokens.Prompt) <= req.MaxPrefillTime
	}
	free := s.freeMemory(now)
	if t.reportsDelayed(s) {
		free -= int64(remoteMemoryMargin * float64(s.engine.KVCapacity))
	}
	return decodeMemory(*req.Tokens) <= free
}

// remotePrefillFactor multiplies the predicted prefill time in another data centre, because VMs of
// several data centres choose the same engine without informing each other immediately.
const remotePrefillFactor = 2.5

// usualPrefill returns the prefillTime of a prompt at the engine's usual pace, multiplied by remotePrefillFactor for an
// engine whose reports are delayed. Whether an engine has capacity is decided by it, as waiting for another engine may
// take longer than a slow one does.
func (t *table) usualPrefill(now clock.Instant, s *endpointState, prompt int64) time.Duration {
	d := s.prefillTime(now, prompt)
	if s.cold.active(now) {
		d *= coldSlowness
	}
	if t.reportsDelayed(s) {
		return time.Duration(remotePrefillFactor * float64(d))
	}
	return d
}

// expectedPrefill returns usualPrefill and the delay by the engine's present pace.
func (t *table) expectedPrefill(now clock.Instant, s *endpointState, prompt int64) time.Duration {
	usual := t.usualPrefill(now, s, prompt)
	return usual + s.speed.latest.delay(now, usual)
}

// maxQueued returns the number of calls that an endpoint may be sent in addition to its slots.
// Calls to plain services are short and may queue there; calls to engines must not.
func maxQueued(s *endpointState) int {
	if s.engine != nil {
		return 0
	}
	return s.Slots
}

const (
	// remoteCost is the cost of another data centre for a call that one endpoint runs from start to
	// end, without separate prefill and decode stages.
	remoteCost = 4 * time.Millisecond
	// remotePrefillCost and remoteDecodeCost account for the prompts, answers and KV caches that
	// are transferred between data centres.
	remotePrefillCost = 120 * time.Millisecond
	remoteDecodeCost  = 90 * time.Millisecond
	// callCost is the cost of an endpoint that has as many calls in progress as slots. The cost grows
	// linearly with the calls. It applies to calls without separate prefill and decode stages.
	callCost = 60 * time.Millisecond
	// plainTime is the assumed time of a call without separate stages, which slow endpoints prolong.
	plainTime = 30 * time.Millisecond
	// memoryCost is the cost of a full memory. The cost grows with the square of the fraction in
	// use.
	memoryCost = 240 * time.Millisecond
	// failureCost is the cost of an endpoint that fails all calls.
	failureCost = 600 * time.Millisecond
	// notRetryableFactor multiplies failureCost for calls that cannot be retried.
	notRetryableFactor = 3
	// loadReportTTL is how long a load reported by an endpoint is used.
	loadReportTTL = 300 * time.Millisecond
)

// Cost is the predicted cost of an endpoint for a request by its terms, expressed as time.
type Cost struct {
	// Failure is the cost of the endpoint's recent failures, Path that of the way through another VM, Cold that of a cold
	// endpoint.
	Failure, Path, Cold time.Duration
	// Prefill is the predicted prefill time at the usual pace, Memory the cost of the memory in use at a decode engine,
	// Load that of the calls in progress at other endpoints. Only one of them applies to a stage.
	Prefill, Memory, Load time.Duration
	// Pace is the cost of an endpoint that is slow at present, with its random part. Distance is that of another data
	// centre.
	Pace, Distance time.Duration
	// Saved is the prefill time that is expected to be saved by what the engine holds of the prompt.
	Saved time.Duration
}

// Total returns the sum of the terms, which is the score of the endpoint.
func (c *Cost) Total() time.Duration {
	return c.Failure + c.Path + c.Cold + c.Prefill + c.Memory + c.Load + c.Pace + c.Distance - c.Saved
}

// score predicts the cost of an endpoint for a request.
func (t *table) score(now clock.Instant, s *endpointState, req *Request) Cost {
	cost := Cost{Failure: failureScore(now, s, req), Path: s.path.cost(t.dataCentre)}
	if s.cold.active(now) {
		cost.Cold = coldCost
	}
	switch req.Stage {
	case traffic.Prefill:
		cost.Prefill = t.usualUncached(now, s, req)
		cost.Pace = t.paceSpread(s.speed.latest.delay(now, cost.Prefill))
		cost.Distance = t.distanceScore(s, req, remotePrefillCost)
	case traffic.Decode:
		cost.Memory = memoryScore(now, s, req)
		cost.Pace = t.paceSpread(t.decodeDelay(now, s, req))
		cost.Distance = t.distanceScore(s, req, remoteDecodeCost)
	default:
		cost.Load = loadScore(now, s)
		cost.Pace = t.paceSpread(s.speed.latest.delay(now, plainTime))
		cost.Distance = t.distanceScore(s, req, remoteCost)
	}
	return cost
}

func (t *table) distanceScore(s *endpointState, req *Request, cost time.Duration) time.Duration {
	preferred := req.PreferredDataCentre
	if preferred == "" {
		preferred = t.dataCentre
	}
	if s.DataCentre == preferred {
		return 0
	}
	return cost
}

func failureScore(now clock.Instant, s *endpointState, req *Request) time.Duration {
	cost := time.Duration(s.health.rate(now) * float64(failureCost))
	if req.NotRetryable {
		cost *= notRetryableFactor
	}
	return cost
}

func memoryScore(now clock.Instant, s *endpointState, req *Request) time.Duration {
	if s.engine == nil || s.engine.KVCapacity <= 0 {
		return time.Duration(s.totalWork().Calls) * time.Millisecond
	}
	fraction := float64(s.load(now).Tokens+req.work().Tokens) / float64(s.engine.KVCapacity)
	return time.Duration(fraction * fraction * float64(memoryCost))
}

func loadScore(now clock.Instant, s *endpointState) time.Duration {
	calls := s.totalWork().Calls
	if now.Sub(s.reportedAt) < loadReportTTL {
		calls = max(calls, s.reportedCalls)
	}
	return callCost * time.Duration(calls) / time.Duration(max(1, s.Slots))
}
