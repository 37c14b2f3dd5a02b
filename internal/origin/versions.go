package origin

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Sighting says when endpoints of a version were listed last.
type Sighting struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Origin traffic.StreamOrigin
	// Listed is set if endpoints of the version are listed. Otherwise Age is the time since the last one was.
	Listed bool
	Age    time.Duration
}

// versions tracks which software versions the endpoints of services have, and had lately. It does no I/O.
type versions struct {
	listed map[traffic.StreamOrigin]bool
	// lastListed is when endpoints of a version that is not listed any more were listed last.
	lastListed map[traffic.StreamOrigin]clock.Instant
	// since is when this VM received its first table of endpoints, 0 before. complete is set if it knows what was
	// listed before.
	since    clock.Instant
	complete bool
}

// observe receives the endpoints that are listed now, and returns the versions that are listed since, and those that
// are listed no more.
func (v *versions) observe(now clock.Instant, endpoints []traffic.Endpoint) (added, removed []traffic.StreamOrigin) {
	if v.since == 0 {
		v.since = now
	}
	listed := map[traffic.StreamOrigin]bool{}
	for i := range endpoints {
		o := endpoints[i].Origin()
		if !v.listed[o] && !listed[o] {
			added = append(added, o)
			delete(v.lastListed, o)
		}
		listed[o] = true
	}
	for o := range v.listed {
		if !listed[o] {
			removed = append(removed, o)
			v.lastListed[o] = now
		}
	}
	v.listed = listed
	for o, at := range v.lastListed {
		if now.Sub(at) > resumeWindow {
			delete(v.lastListed, o)
		}
	}
	return added, removed
}

// maxVersions is the maximum number of versions that are tracked besides those that are listed.
const maxVersions = 1024

// merge receives what another VM, or the store, knows. It completes what this VM knows if complete is set.
func (v *versions) merge(now clock.Instant, sightings []Sighting, complete bool) {
	for _, s := range sightings {
		age := max(0, s.Age)
		if s.Listed {
			age = 0
		}
		if v.listed[s.Origin] || age > resumeWindow || len(v.lastListed) >= maxVersions {
			continue
		}
		v.lastListed[s.Origin] = max(v.lastListed[s.Origin], now.Add(-age))
	}
	v.complete = v.complete || complete
}

// sightings returns what this VM knows.
func (v *versions) sightings(now clock.Instant) []Sighting {
	var out []Sighting
	for o := range v.listed {
		out = append(out, Sighting{Origin: o, Listed: true})
	}
	for o, at := range v.lastListed {
		if age := now.Sub(at); age <= resumeWindow {
			out = append(out, Sighting{Origin: o, Age: age})
		}
	}
	return out
}

// knowsAll reports whether this VM knows all versions that streams which may be resumed now can have begun at.
func (v *versions) knowsAll(now clock.Instant) bool {
	return v.complete || v.since != 0 && now.Sub(v.since) > resumeWindow
}

// sole returns the only version of a service at which streams can have begun. ok is false if there are several, or if
// there may be.
func (v *versions) sole(now clock.Instant, service string) (o traffic.StreamOrigin, ok bool) {
	if !v.knowsAll(now) {
		return o, false
	}
	n := 0
	for known := range v.listed {
		if known.Service == service {
			o = known
			n++
		}
	}
	for known, at := range v.lastListed {
		if known.Service == service && now.Sub(at) <= resumeWindow {
			o = known
			n++
		}
	}
	return o, n == 1
}

// hasOther reports whether a service has, or lately had, other versions than the one of an origin, as far as this VM
// knows. Then the origin of a stream does not follow from the versions of its service.
func (v *versions) hasOther(now clock.Instant, o traffic.StreamOrigin) bool {
	for known := range v.listed {
		if known.Service == o.Service && known != o {
			return true
		}
	}
	for known, at := range v.lastListed {
		if known.Service == o.Service && known != o && now.Sub(at) <= resumeWindow {
			return true
		}
	}
	return false
}
