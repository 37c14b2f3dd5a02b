package schedule

import (
	"slices"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Exclusion is why an endpoint of a request's service and stage cannot take the request now.
type Exclusion uint8

// The exclusions. The first one that applies to an endpoint, in this order, is its exclusion.
const (
	// NotExcluded means that the endpoint can take the request.
	NotExcluded Exclusion = iota
	// Tried means that the request excludes the endpoint, because it was tried before.
	Tried
	// Unsent means that this VM got no connection to the endpoint for this call, and no other VM reaches it.
	Unsent
	// OtherVersion means that the request needs another software version.
	OtherVersion
	// OutsideRegions means that the endpoint is in none of the home regions of the request.
	OutsideRegions
	// Evacuated means that the endpoint's data centre is evacuated.
	Evacuated
	// ListedLeaving means that the endpoint table lists the endpoint as leaving.
	ListedLeaving
	// Paused means that the endpoint asked for a pause.
	Paused
	// RateLimited means that the rate limit that the endpoint named leaves this VM nothing now.
	RateLimited
	// ColdWithoutPermit means that the endpoint is cold and this VM has no permit for it now.
	ColdWithoutPermit
	// Probing means that the pause of the endpoint is over and one call finds out whether it takes calls again.
	Probing
	// Full means that the endpoint lacks capacity for the request.
	Full
	// SaysLeaving means that the endpoint said that it leaves. It may be used if there is no other one.
	SaysLeaving
	// Ejected means that the endpoint counts as dead. It may be tried if there is no other one.
	Ejected
	// PathLost means that this VM gets no connection to the endpoint, and no other VM reaches it. It may be tried if there
	// is no other one.
	PathLost
	exclusions
)

// String returns the name shown to operators, empty for NotExcluded.
func (e Exclusion) String() string {
	return [exclusions]string{
		"", "tried before", "not reached before", "other version", "outside the regions", "evacuated", "leaving", "paused", "rate limited",
		"cold without permit", "one call at a time after its pause", "full", "says that it leaves", "ejected", "path lost",
	}[e]
}

// unsuitable returns what excludes an endpoint of the service and stage whatever its state.
func (t *table) unsuitable(s *endpointState, req *Request) Exclusion {
	switch {
	case req.excludes(s.ID):
		return Tried
	case slices.Contains(req.Unsent, s.ID) && !t.forwards(s, req):
		return Unsent
	case !req.accepts(s.SoftwareVersion):
		return OtherVersion
	case !t.inRegions(req.Regions, s.DataCentre):
		return OutsideRegions
	}
	return NotExcluded
}

// excluded returns what excludes an endpoint that is not unsuitable.
func (t *table) excluded(now clock.Instant, s *endpointState, req *Request) Exclusion {
	switch {
	case t.evacuated[s.DataCentre]:
		return Evacuated
	case s.Leaving:
		return ListedLeaving
	case s.notice.paused(now):
		return Paused
	case !s.notice.hasPermit(now):
		return RateLimited
	case !t.hasColdPermit(now, s, req):
		return ColdWithoutPermit
	case s.notice.reopening(now) && s.notice.probing:
		return Probing
	case !t.hasCapacity(now, s, req):
		return Full
	case s.notice.saysLeaving():
		return SaysLeaving
	case s.health.ejected(now):
		return Ejected
	case s.path.lost && !t.forwards(s, req):
		return PathLost
	}
	return NotExcluded
}

// excludedUntil returns until when an exclusion lasts, 0 if that is not known.
func (s *endpointState) excludedUntil(now clock.Instant, e Exclusion) clock.Instant {
	switch e {
	case Paused:
		return s.notice.heldUntil
	case RateLimited:
		return s.notice.share.NextAt(now)
	case ColdWithoutPermit:
		return s.cold.nextPermit(now)
	case Full:
		if now.Before(s.closedUntil) {
			return s.closedUntil
		}
	case Ejected:
		return s.health.ejectedUntil
	}
	return 0
}
