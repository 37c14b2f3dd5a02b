package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
)

// replica is what a cell's owner knows of one engine.
type replica struct {
	name  string
	index int
	// dataCentre is the number of the endpoint's data centre.
	dataCentre int
	conf       configuration.Endpoint
	// role is the reported role, or the configured one before a report.
	role    configuration.Role
	leaving bool
	// unlisted is set once the configuration has dropped the endpoint.
	unlisted bool
	health   health

	prefill  prefillQueue
	decode   decodeSlots
	link     timetable
	slowdown float64

	load     endpoint.Load
	reported bool
	recent   recentMax
}

// reportedLeaving is the role that an engine reports once it begins to leave.
const reportedLeaving = "leaving"

func newReplica(name string, e configuration.Endpoint) *replica {
	r := &replica{name: name, slowdown: 1}
	r.decode.batch = maxBatch
	r.configure(e)
	return r
}

func (r *replica) configure(e configuration.Endpoint) {
	r.conf = e
	r.unlisted = false
	if !r.reported {
		r.role = e.Role
	}
	r.leaving = e.Leaving || r.load.Role == reportedLeaving
}

// report takes the engine's own count. Requests beyond the most that this owner had claimed
// lately were placed by somebody else.
func (r *replica) report(now clock.Instant, l endpoint.Load) {
	r.load = l
	r.reported = true
	switch role := configuration.Role(l.Role); role {
	case configuration.RolePrefill, configuration.RoleDecode:
		r.role = role
	}
	r.leaving = r.conf.Leaving || l.Role == reportedLeaving
	r.health.reported(now)
	r.decode.foreign = 0
	if r.role == configuration.RoleDecode {
		r.decode.foreign = max(0, l.Running-r.recent.value(now, len(r.decode.claims)))
	}
}

// capacity is the most requests decoded at once within every gap target involved.
func (r *replica) capacity(batch int) int {
	return min(r.conf.Slots, r.decode.batch, batch)
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
		Queued:   len(r.prefill.work),
		State:    state,
	}
}

// has reports whether name is loaded by the engine's report; an engine that has not reported
// counts as having it.
func (r *replica) has(adapter string) bool {
	return adapter == "" || !r.reported || slices.Contains(r.load.Adapters, adapter)
}

// serves reports whether the engine has the model loaded, as far as it has said.
func (r *replica) serves(model string) bool {
	return len(r.load.Models) == 0 || slices.Contains(r.load.Models, model)
}

// recentMax is the highest value within the last one to two windows.
type recentMax struct {
	began         clock.Instant
	current, last int
}

// recentWindow covers the lag of a load report.
const recentWindow = 1500 * time.Millisecond

func (m *recentMax) note(now clock.Instant, v int) {
	if now.Sub(m.began) >= recentWindow {
		m.last = m.current
		if now.Sub(m.began) >= 2*recentWindow {
			m.last = v
		}
		m.began = now
		m.current = v
	}
	m.current = max(m.current, v)
}

func (m *recentMax) value(now clock.Instant, v int) int {
	m.note(now, v)
	return max(m.current, m.last)
}

// claim is what one placed request holds.
type claim struct {
	request    Request
	assignment Assignment
	prefill    *replica
	decode     *replica
	stage      Stage
	// prefillTokens is the uncached part of the prompt.
	prefillTokens int64
	// batch is the limit that the request's gap target sets.
	batch    int
	assigned clock.Instant
	// startAt is the predicted end of the transfer; 0 where a slot had still to be freed.
	startAt clock.Instant
	// prefillAt and decodeAt are the predicted or actual starts of the two parts.
	prefillAt, decodeAt clock.Instant
	// release is when the decode slot is predicted to be free; longest is the latest.
	release, longest clock.Instant
	// expires is when the claim is dropped although nobody released it.
	expires clock.Instant
}
