package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
)

// replica is the state of one endpoint as its cell's owner sees it.
type replica struct {
	name  string
	index int
	// dataCentre is the number of the endpoint's data centre.
	dataCentre int
	config     configuration.Endpoint
	// role is the reported role, or the configured one before the first report.
	role    configuration.Role
	leaving bool
	// changingRole is set while the endpoint receives no assignments before a role change;
	// roleOrdered is set once the change was ordered.
	changingRole, roleOrdered bool
	// unlisted is set once the endpoint is no longer in the configuration.
	unlisted bool
	health   health

	prefill  prefillQueue
	decode   decodeSlots
	link     linkSchedule
	slowdown float64

	load         endpoint.Load
	hasReported  bool
	recentClaims recentMax
}

// roleLeaving is the role that an engine reports once it starts to drain.
const roleLeaving = "leaving"

func newReplica(name string, e configuration.Endpoint) *replica {
	r := &replica{name: name, slowdown: 1}
	r.decode.batchLimit = maxBatch
	r.configure(e)
	return r
}

func (r *replica) configure(e configuration.Endpoint) {
	r.config = e
	r.unlisted = false
	if !r.hasReported {
		r.role = e.Role
	}
	r.leaving = e.Leaving || r.load.Role == roleLeaving
}

// applyLoad records a load report. Running requests in excess of the recent maximum of this
// owner's claims count as external.
func (r *replica) applyLoad(now clock.Instant, l endpoint.Load) {
	r.load = l
	r.hasReported = true
	switch role := configuration.Role(l.Role); role {
	case configuration.RolePrefill, configuration.RoleDecode:
		r.role = role
	}
	r.leaving = r.config.Leaving || l.Role == roleLeaving
	r.health.loadReported(now)
	r.decode.external = 0
	if r.role == configuration.RoleDecode {
		r.decode.external = max(0, l.Running-r.recentClaims.value(now, len(r.decode.claims)))
	}
}

// capacity returns the maximum batch size that the slots and every gap target involved allow.
func (r *replica) capacity(batchLimit int) int {
	return min(r.config.Slots, r.decode.batchLimit, batchLimit)
}

func (r *replica) status() EndpointStatus {
	state := "known"
	if r.leaving {
		state = "leaving"
	}
	if r.health.ejected {
		state = "ejected"
	}
	return EndpointStatus{
		Endpoint: r.name,
		Role:     string(r.role),
		Running:  len(r.decode.claims),
		Queued:   len(r.prefill.claims),
		State:    state,
	}
}

// hasAdapter reports whether the engine has the adapter loaded. This is assumed until the
// engine has reported.
func (r *replica) hasAdapter(adapter string) bool {
	return adapter == "" || !r.hasReported || slices.Contains(r.load.Adapters, adapter)
}

// hasModel reports whether the engine has the model loaded. This is assumed if the engine
// reports no models.
func (r *replica) hasModel(model string) bool {
	return len(r.load.Models) == 0 || slices.Contains(r.load.Models, model)
}

// recentMax is the maximum value over the last one to two windows.
type recentMax struct {
	windowStart             clock.Instant
	currentMax, previousMax int
}

// recentWindow covers the delay of a load report.
const recentWindow = 1500 * time.Millisecond

func (m *recentMax) record(now clock.Instant, v int) {
	if now.Sub(m.windowStart) >= recentWindow {
		m.previousMax = m.currentMax
		if now.Sub(m.windowStart) >= 2*recentWindow {
			m.previousMax = v
		}
		m.windowStart = now
		m.currentMax = v
	}
	m.currentMax = max(m.currentMax, v)
}

func (m *recentMax) value(now clock.Instant, v int) int {
	m.record(now, v)
	return max(m.currentMax, m.previousMax)
}

// claim holds the resources of one placed request.
type claim struct {
	request    Request
	assignment Assignment
	prefill    *replica
	decode     *replica
	stage      Stage
	// prefillTokens is the uncached part of the prompt.
	prefillTokens int64
	// batchLimit is the maximum batch size that meets the request's gap target.
	batchLimit int
	assignedAt clock.Instant
	// transferEndAt is the predicted end of the transfer, 0 if no decode slot was free at
	// assignment.
	transferEndAt clock.Instant
	// prefillAt and decodeAt are the predicted or actual start times of the prefill and the
	// decode.
	prefillAt, decodeAt clock.Instant
	// releaseAt is the predicted release of the decode slot, maxReleaseAt the latest possible
	// one.
	releaseAt, maxReleaseAt clock.Instant
	// expiresAt is when the claim is freed even if it was not released.
	expiresAt clock.Instant
}
