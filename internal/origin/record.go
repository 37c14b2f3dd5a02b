// Package origin remembers which service and software version began each stream, so that a stream continues only there,
// at whichever VM its caller resumes it.
//
// While a service has, or had lately, endpoints of several versions, VMs tell each other where streams began. A stream
// without a record began at the only version of its service, if there is only one. Otherwise its origin is unknown, and
// it must not continue.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Key identifies a stream on all VMs. It is 0 for a stream that is not named.
type Key uint64

// NewKey returns the key of a stream by its workspace and the ID of the call that brought its first event.
func NewKey(workspace, call string) Key {
	if call == "" {
		return 0
	}
	h := sha256.Sum256([]byte(strconv.Itoa(len(workspace)) + ":" + workspace + call))
	return Key(binary.BigEndian.Uint64(h[:]))
}

// Record says where a stream began.
type Record struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Key    Key
	Origin traffic.StreamOrigin
	// Left is the time for which the record is needed.
	Left time.Duration
}

const (
	// resumeWindow is the maximum time between the end of a connection to a caller and the request that resumes its
	// stream. Endpoints that are no longer listed end their streams within it as well.
	resumeWindow = time.Minute
	// maxLeft bounds the time for which a record is kept.
	maxLeft = 15 * time.Minute
	// maxRecords is the maximum number of records on a VM. Further ones are dropped, so that their streams do not continue
	// while a service has several versions, or if one of them was unsettled.
	maxRecords = 1 << 16
	// sweepPeriod is the time between removals of the records that are not needed any more.
	sweepPeriod = 15 * time.Second
)

// entry is a record on this VM.
type entry struct {
	origin traffic.StreamOrigin
	until  clock.Instant
	// own is set if this VM delivers the stream, or delivered it until the caller was cut off.
	own bool
	// stored is set if this VM has the record from the store.
	stored bool
	// unsettled is set while it is not known whether the stream began at origin, or if that cannot be known any more. Then it does
	// not continue. open is the evidence that this VM awaits, nil if it awaits none. endpoint is the entry that origin is of, empty
	// if this VM was not told it.
	unsettled bool
	open      *openOrigin
	endpoint  traffic.EndpointID
	// unknowable is set if the origin cannot be known any more, as the VM where the stream began has found.
	unknowable bool
	// toldAt is when this VM was told of an unsettled record.
	toldAt time.Time
}

// told returns the origin as it is told to the recorder.
func (e *entry) told() traffic.StreamOrigin {
	switch {
	case !e.unsettled:
		return e.origin
	case e.unknowable:
		return unknowableOriginOf(e.origin)
	}
	return openOriginOf(e.origin, e.endpoint)
}

// records holds the records that this VM knows. It does no I/O.
type records struct {
	entries map[Key]entry
	// reported holds the keys of entries that are told to the recorder, which are few among those that other VMs told: own ones, and those whose
	// origin cannot be known, as the VM that told them may be lost before the recorder has them.
	reported map[Key]struct{}
	sweepAt  clock.Instant
	// lackingUntil is when the last unsettled record is not needed any more for which there was no room.
	lackingUntil clock.Instant
}

// add stores a record and reports whether there was room for it. A stream has one origin, so a record of it is not
// replaced unless it is unsettled; it only may be needed longer.
func (r *records) add(now clock.Instant, rec Record, own bool) bool {
	r.sweep(now)
	e, known := r.entries[rec.Key]
	if !known && len(r.entries) >= maxRecords {
		return false
	}
	if o, id, open := parseOrigin(rec.Origin); !known || e.mayReplace(rec.Origin) {
		e.origin, e.endpoint, e.unsettled, e.open, e.unknowable = o, id, open, nil, isUnknowable(rec.Origin)
		if open {
			e.toldAt = time.Now()
		}
	}
	e.own = e.own || own
	if e.own || e.unknowable {
		if r.reported == nil {
			r.reported = map[Key]struct{}{}
		}
		r.reported[rec.Key] = struct{}{}
	}
	e.until = max(e.until, now.Add(min(rec.Left, maxLeft)))
	r.entries[rec.Key] = e
	return true
}

// mayReplace reports whether a record that another VM told, or the store had, says more than this one.
func (e *entry) mayReplace(told traffic.StreamOrigin) bool {
	return e.unsettled && (!IsUnsettled(told) || isUnknowable(told) || e.endpoint.Name == "" && !e.unknowable)
}

// addStored stores a record from the store and reports whether there was room for it.
func (r *records) addStored(now clock.Instant, rec Record) bool {
	_, known := r.entries[rec.Key]
	ok := r.add(now, rec, false)
	if e, added := r.entries[rec.Key]; added && !known {
		e.stored = true
		r.entries[rec.Key] = e
	}
	return ok
}

// addUnsettled stores that the origin of a stream is not settled, unless it is known, and reports whether it is stored.
func (r *records) addUnsettled(now clock.Instant, rec Record, id traffic.EndpointID, open *openOrigin) bool {
	if _, known := r.entries[rec.Key]; known {
		return false
	}
	if !r.add(now, rec, open != nil) {
		r.lackingUntil = max(r.lackingUntil, now.Add(min(rec.Left, maxLeft)))
		return false
	}
	e := r.entries[rec.Key]
	e.unsettled, e.open, e.endpoint = true, open, id
	r.entries[rec.Key] = e
	return true
}

func (r *records) find(now clock.Instant, k Key) (e entry, ok bool) {
	e, ok = r.entries[k]
	return e, ok && now.Before(e.until)
}

func (r *records) remove(k Key) {
	delete(r.entries, k)
	delete(r.reported, k)
}

// listReported returns the records whose origin matches as they are told to the recorder.
func (r *records) listReported(now clock.Instant, match func(traffic.StreamOrigin) bool) []Record {
	var out []Record
	for k := range r.reported {
		e, ok := r.find(now, k)
		if o := e.told(); ok && match(o) {
			out = append(out, Record{Key: k, Origin: o, Left: e.until.Sub(now)})
		}
	}
	return out
}

// list returns the records that match, without those that may be settled later.
func (r *records) list(now clock.Instant, match func(entry) bool) []Record {
	var out []Record
	for k, e := range r.entries {
		if now.Before(e.until) && (!e.unsettled || e.unknowable) && match(e) {
			out = append(out, Record{Key: k, Origin: e.told(), Left: e.until.Sub(now)})
		}
	}
	return out
}

func (r *records) sweep(now clock.Instant) {
	if now.Before(r.sweepAt) {
		return
	}
	r.sweepAt = now.Add(sweepPeriod)
	for k, e := range r.entries {
		if !now.Before(e.until) {
			r.remove(k)
		}
	}
}
