package membership

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// Flags are what is said of one life of a VM.
type Flags uint8

// The flags of a record.
const (
	// FlagSuspect: VMs of its data centre do not hear it. A later Seq of the VM itself clears it.
	FlagSuspect Flags = 1 << iota
	// FlagLeaving: the VM has begun a planned stop.
	FlagLeaving
	// FlagGone: this life will never act again. Nothing clears it.
	FlagGone
	// FlagListed: the platform's list has named the VM during this life.
	FlagListed
)

// Record is what VMs tell each other of one life of a VM. Records of one name are totally
// ordered, and each VM keeps the highest one it has heard of, so the order of arrival, loss
// and repetition do not matter.
type Record struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	VM         ident.VM
	DataCentre string
	Region     string
	Peer       netip.AddrPort
	// Seq counts what the VM says of itself. Only the VM raises it.
	Seq   uint32
	Flags Flags
	// Cut names the data centres that this VM, as a bridge, does not hear.
	Cut []string
}

func (r *Record) has(f Flags) bool { return r.Flags&f != 0 }

// newer reports whether r replaces old: a later life first, then Gone, then what the VM said
// last, then suspicion.
func (r *Record) newer(old *Record) bool {
	if r.VM.Incarnation != old.VM.Incarnation {
		return r.VM.Incarnation > old.VM.Incarnation
	}
	if r.has(FlagGone) != old.has(FlagGone) {
		return r.has(FlagGone)
	}
	if r.Seq != old.Seq {
		return r.Seq > old.Seq
	}
	return r.has(FlagSuspect) && !old.has(FlagSuspect)
}

func (r *Record) hash() uint64 {
	var tail [13]byte
	binary.LittleEndian.PutUint64(tail[:], uint64(r.VM.Incarnation))
	binary.LittleEndian.PutUint32(tail[8:], r.Seq)
	tail[12] = byte(r.Flags &^ FlagListed)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.VM.Name)
	_, _ = d.Write(tail[:])
	return d.Sum64()
}

// bucketCount is the number of parts in which two VMs compare what they know.
const bucketCount = 16

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// entry is a record and what this VM alone knows about it.
type entry struct {
	Record
	// unheard is set while this VM's own calls to it fail.
	unheard bool
	// probing is set while a probe of it is under way.
	probing bool
	// missing counts successive reads of the platform's list without it.
	missing int
	// goneTicks counts the ticks since it was Gone.
	goneTicks int
}

// table holds the entries by name.
type table map[string]*entry

// buckets gives a hash of the records of each bucket. Gone records do not count, as VMs
// forget them at different times.
func (t table) buckets() []uint32 {
	out := make([]uint32, bucketCount)
	for name, e := range t {
		if !e.has(FlagGone) {
			out[bucketOf(name)] ^= uint32(e.hash())
		}
	}
	return out
}

// sum is a hash of all buckets.
func (t table) sum() uint32 {
	var sum uint32
	for _, b := range t.buckets() {
		sum ^= b
	}
	return sum
}

// differing gives the records in the buckets that differ from others; all when others is empty.
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
