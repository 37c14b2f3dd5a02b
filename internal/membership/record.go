package membership

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// Flags is a set of flags of one incarnation of a VM.
type Flags uint8

// The flags of a record.
const (
	// FlagSuspect is set if VMs of its data centre cannot reach it. A record of the VM itself with
	// a higher Seq clears it.
	FlagSuspect Flags = 1 << iota
	// FlagLeaving is set once the VM has started a graceful shutdown.
	FlagLeaving
	// FlagGone is set once this incarnation has ended for good. It is never cleared.
	FlagGone
	// FlagListed is set if the platform's list has contained the VM during this incarnation.
	FlagListed
)

// Record is the replicated state of one incarnation of a VM. The records of a name are totally
// ordered and each VM keeps the highest one received, so reordered, lost and duplicate messages
// do no harm.
type Record struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM          ident.VM
	DataCentre  string
	Region      string
	PeerAddress netip.AddrPort
	// Seq is the version of the record. The VM increments it whenever it announces a change of its
	// own record; no other VM does.
	Seq   uint32
	Flags Flags
	// UnreachableDataCentres names the data centres that this VM, as a bridge, cannot reach.
	UnreachableDataCentres []string
}

// hasAny reports whether r has at least one of the flags f.
func (r *Record) hasAny(f Flags) bool { return r.Flags&f != 0 }

// supersedes reports whether r replaces old. A later incarnation takes precedence, then Gone,
// then a higher Seq, then suspicion.
func (r *Record) supersedes(old *Record) bool {
	if r.VM.Incarnation != old.VM.Incarnation {
		return r.VM.Incarnation > old.VM.Incarnation
	}
	if r.hasAny(FlagGone) != old.hasAny(FlagGone) {
		return r.hasAny(FlagGone)
	}
	if r.Seq != old.Seq {
		return r.Seq > old.Seq
	}
	return r.hasAny(FlagSuspect) && !old.hasAny(FlagSuspect)
}

// hash returns a hash of the VM, Seq and Flags. FlagListed is excluded, because each VM sets it when
// it reads the platform's list, so that it may differ between VMs whose records are otherwise equal.
func (r *Record) hash() uint64 {
	var suffix [13]byte
	binary.LittleEndian.PutUint64(suffix[:], uint64(r.VM.Incarnation))
	binary.LittleEndian.PutUint32(suffix[8:], r.Seq)
	suffix[12] = byte(r.Flags &^ FlagListed)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.VM.Name)
	_, _ = d.Write(suffix[:])
	return d.Sum64()
}

// bucketCount is the number of buckets by which two VMs compare their records.
const bucketCount = 16

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// entry is a record with state that is local to this VM.
type entry struct {
	Record
	// unreachable is set while this VM's own calls to it fail.
	unreachable bool
	// probing is set while a probe is in flight.
	probing bool
	// listMisses is the number of consecutive reads of the platform's list without the VM.
	listMisses int
	// goneTicks is the number of ticks since the VM was declared Gone.
	goneTicks int
}

// table holds the entries by VM name.
type table map[string]*entry

// buckets returns a checksum per bucket. Gone records are excluded, because VMs forget them at
// different times.
func (t table) buckets() []uint32 {
	out := make([]uint32, bucketCount)
	for name, e := range t {
		if !e.hasAny(FlagGone) {
			out[bucketOf(name)] ^= uint32(e.hash())
		}
	}
	return out
}

// sum returns a checksum of all buckets.
func (t table) sum() uint32 {
	var sum uint32
	for _, b := range t.buckets() {
		sum ^= b
	}
	return sum
}

// differing returns the records in buckets whose checksum is not the one in others, or all
// records if others is empty.
func (t table) differing(others []uint32) []Record {
	own := t.buckets()
	var out []Record
	for name, e := range t {
		b := bucketOf(name)
		if len(others) != bucketCount || own[b] != others[b] {
			out = append(out, e.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return compareNames(a.VM, b.VM) })
	return out
}
