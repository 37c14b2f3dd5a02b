package origin

import (
	"strconv"
	"strings"

	"github.com/fulmartide/fulmartide/internal/traffic"
)

// openMark begins the version of an unsettled record in snapshots and in the store, and separates its parts. The build before takes it for
// a version that no endpoint has, and refuses the stream.
const openMark = "\x01"

// openOriginOf returns the origin of an unsettled record as it is told and stored: its version names the endpoint whose lifetime is
// not known as well.
func openOriginOf(o traffic.StreamOrigin, id traffic.EndpointID) traffic.StreamOrigin {
	o.Version = openMark + strconv.FormatInt(id.StartedAt, 10) + openMark + id.Name + openMark + o.Version
	return o
}

// unknowableOriginOf returns the origin of an unsettled record as it is told and stored once it cannot be settled any more: no endpoint has
// an empty name, so that no evidence is found.
func unknowableOriginOf(o traffic.StreamOrigin) traffic.StreamOrigin {
	return openOriginOf(o, traffic.EndpointID{})
}

// isUnknowable reports whether an origin that a VM told or stored is that of a record that cannot be settled any more.
func isUnknowable(told traffic.StreamOrigin) bool {
	_, id, open := parseOrigin(told)
	return open && id.Name == ""
}

// parseOrigin returns the origin of a record that was told or stored. open is set if it is unsettled, id is the endpoint then.
func parseOrigin(told traffic.StreamOrigin) (o traffic.StreamOrigin, id traffic.EndpointID, open bool) {
	raw, marked := strings.CutPrefix(told.Version, openMark)
	parts := strings.SplitN(raw, openMark, 3)
	if !marked || len(parts) < 3 {
		return told, id, false
	}
	born, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return told, id, false
	}
	told.Version = parts[2]
	return told, traffic.EndpointID{Name: parts[1], StartedAt: born}, true
}

func isOpen(rec Record) bool { return IsUnsettled(rec.Origin) }

// IsUnsettled reports whether an origin that a VM told is that of an unsettled record. A VM of the build before passes it on as it was stored.
func IsUnsettled(told traffic.StreamOrigin) bool {
	_, _, open := parseOrigin(told)
	return open
}

// openKeys returns the keys of the unsettled records.
func openKeys(list []Record) map[Key]bool {
	out := map[Key]bool{}
	for _, rec := range list {
		if isOpen(rec) {
			out[rec.Key] = true
		}
	}
	return out
}
