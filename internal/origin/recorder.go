package origin

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	// The size of what is stored, which StreamStore implementations must not exceed: bytes of one record, and of one
	// origin besides its names, whose characters may take originCharBytes each when they are escaped.
	storedRecordBytes = 16
	storedOriginBytes = 64
	originCharBytes   = 6
	// maxStoredBytes bounds what is stored of one VM. An object in the store holds 1,048,576 bytes with its metadata.
	maxStoredBytes = 1_000_000
	// maxSenders is the maximum number of incarnations of VMs whose snapshots are held. Those of further ones are ignored.
	maxSenders = 4096
	// rewriteMargin is how much longer a record must be needed than its stored copy says before it is stored again.
	rewriteMargin = 2 * time.Second
)

// recorder holds the last snapshot of each incarnation of a VM until its records have expired, also of those that ended.
// It does no I/O.
type recorder struct {
	latest map[ident.VM]*heldSnapshot
	// written is what the object of this VM holds, by key: until when each record is needed. exists is set if there may
	// be an object.
	written map[Key]clock.Instant
	exists  bool
	// writtenOpen are the keys of the unsettled records among these.
	writtenOpen map[Key]bool
}

// heldSnapshot is the last snapshot of a VM.
type heldSnapshot struct {
	seq     uint64
	records map[Key]heldRecord
	// until is when the last record expires.
	until clock.Instant
}

type heldRecord struct {
	origin traffic.StreamOrigin
	until  clock.Instant
}

// replace receives a snapshot of a VM.
func (r *recorder) replace(now clock.Instant, vm ident.VM, s Snapshot) {
	held := r.latest[vm]
	switch {
	case held != nil && s.Seq <= held.seq:
		return
	case held == nil && len(r.latest) >= maxSenders:
		return
	}
	next := &heldSnapshot{seq: s.Seq, records: map[Key]heldRecord{}, until: now.Add(resumeWindow)}
	for _, rec := range s.records() {
		next.add(now, rec)
	}
	r.hold(vm, next)
}

func (r *recorder) hold(vm ident.VM, s *heldSnapshot) {
	if r.latest == nil {
		r.latest = map[ident.VM]*heldSnapshot{}
	}
	r.latest[vm] = s
}

func (s *heldSnapshot) add(now clock.Instant, rec Record) {
	until := now.Add(min(rec.Left, maxLeft))
	s.records[rec.Key] = heldRecord{origin: rec.Origin, until: until}
	s.until = max(s.until, until)
}

// carry receives what the object of this VM holds. These records, of an earlier incarnation, are stored again with each
// write, as a write replaces the object.
func (r *recorder) carry(now clock.Instant, list []Record) {
	former := r.latest[ident.VM{}]
	if former == nil {
		former = &heldSnapshot{records: map[Key]heldRecord{}}
		r.hold(ident.VM{}, former)
	}
	r.written, r.exists = map[Key]clock.Instant{}, true
	for _, rec := range list {
		if rec.Left > 0 {
			former.add(now, rec)
			r.written[rec.Key] = now.Add(rec.Left)
		}
	}
	r.writtenOpen = openKeys(list)
}

// union returns the records of all snapshots whose origin is needed, with the longest needed first. Those beyond the
// bound on the size are dropped.
func (r *recorder) union(now clock.Instant, needed func(traffic.StreamOrigin) bool) (list []Record, dropped int) {
	all := map[Key]Record{}
	for vm, s := range r.latest {
		if !now.Before(s.until) {
			delete(r.latest, vm)
			continue
		}
		for k, held := range s.records {
			if left := held.until.Sub(now); left > 0 && needed(held.origin) {
				all[k] = preferred(all[k], Record{Key: k, Origin: held.origin, Left: left})
			}
		}
	}
	for _, rec := range all {
		list = append(list, rec)
	}
	longestFirst(list)
	n := MaxStored(list)
	return list[:n], len(list) - n
}

// preferred returns which of two records of a stream is stored: a settled one, or else the one that is needed longer.
func preferred(a, b Record) Record {
	aOpen, bOpen := isOpen(a), isOpen(b)
	if a.Left > 0 && (bOpen && !aOpen || aOpen == bOpen && a.Left >= b.Left) {
		return a
	}
	return b
}

// MaxStored returns how many of the first records can be stored.
func MaxStored(list []Record) int {
	origins, size := map[traffic.StreamOrigin]bool{}, 0
	for i, rec := range list {
		if !origins[rec.Origin] {
			origins[rec.Origin] = true
			size += storedOriginBytes + originCharBytes*(len(rec.Origin.Service)+len(rec.Origin.Version))
		}
		if size += storedRecordBytes; size > maxStoredBytes {
			return i
		}
	}
	return len(list)
}

// storeAction is what is to be done to the object of this VM.
type storeAction int

const (
	storeNothing storeAction = iota
	storeWrite
	storeRemove
)

// action decides what to do about the union. A record that is not needed any more is harmless, so it alone causes no
// write.
func (r *recorder) action(now clock.Instant, union []Record) storeAction {
	if len(union) == 0 {
		if r.exists {
			return storeRemove
		}
		return storeNothing
	}
	for _, rec := range union {
		until, ok := r.written[rec.Key]
		if !ok || now.Add(rec.Left).Sub(until) > rewriteMargin || r.writtenOpen[rec.Key] && !isOpen(rec) {
			return storeWrite
		}
	}
	return storeNothing
}

// attempted is called before a write or a removal: its outcome may never be known.
func (r *recorder) attempted() { r.written, r.exists = nil, true }

// wrote is called after a write at the time now.
func (r *recorder) wrote(now clock.Instant, list []Record) {
	r.written, r.exists = make(map[Key]clock.Instant, len(list)), true
	for _, rec := range list {
		r.written[rec.Key] = now.Add(rec.Left)
	}
	r.writtenOpen = openKeys(list)
}

// removed is called after the object was removed.
func (r *recorder) removed() { r.written, r.exists = nil, false }
