package origin

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Snapshot is the set of open streams of a VM: those that began, or continued, at it and whose callers have not received
// the end. It replaces the VM's earlier snapshots.
type Snapshot struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Seq numbers the snapshots of one incarnation of a VM.
	Seq    uint64
	Groups []SnapshotGroup
}

// SnapshotGroup holds the open streams of one origin. The codec writes a Record in over 30 bytes, a stream of a group in
// 12.
type SnapshotGroup struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Origin traffic.StreamOrigin
	Keys   []Key
	// Left is the time for which the record of each stream is needed, in seconds.
	Left []uint16
}

const (
	// reportRepeatPeriod is the time after which an unchanged set that is not empty is sent again, in case a message was
	// lost.
	reportRepeatPeriod = time.Second
	// maxOpenStreams is the maximum number of streams in a snapshot. Those with the least time left are omitted.
	maxOpenStreams = 8192
)

// newSnapshot returns a snapshot of records.
func newSnapshot(seq uint64, list []Record) Snapshot {
	s := Snapshot{Seq: seq}
	groups := map[traffic.StreamOrigin]int{}
	for _, rec := range list {
		i, ok := groups[rec.Origin]
		if !ok {
			i = len(s.Groups)
			groups[rec.Origin] = i
			s.Groups = append(s.Groups, SnapshotGroup{Origin: rec.Origin})
		}
		s.Groups[i].Keys = append(s.Groups[i].Keys, rec.Key)
		s.Groups[i].Left = append(s.Groups[i].Left, uint16(min(math.Ceil(rec.Left.Seconds()), math.MaxUint16)))
	}
	return s
}

// records returns the records in a snapshot of another VM.
func (s *Snapshot) records() []Record {
	var out []Record
	for _, g := range s.Groups {
		for i := range g.Keys[:min(len(g.Keys), len(g.Left), maxOpenStreams-min(len(out), maxOpenStreams))] {
			out = append(out, Record{Key: g.Keys[i], Origin: g.Origin, Left: time.Duration(g.Left[i]) * time.Second})
		}
	}
	return out
}

// longestFirst sorts records by the time for which they are needed, and by key.
func longestFirst(list []Record) {
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Key, b.Key))
	})
}

// reporter decides when this VM sends its open streams to the recorder. It does no I/O.
type reporter struct {
	seq uint64
	// keys and to are the streams and the receiver of the last snapshot, sentAt is its time.
	keys []Key
	// open is the number of unsettled records among the streams.
	open   int
	to     netip.AddrPort
	sentAt clock.Instant
}

// next returns the snapshot to send to the recorder now. ok is false if none is due.
func (r *reporter) next(now clock.Instant, open []Record, to netip.AddrPort) (s Snapshot, ok bool) {
	longestFirst(open)
	open = open[:min(len(open), maxOpenStreams)]
	keys := make([]Key, 0, len(open))
	for _, rec := range open {
		keys = append(keys, rec.Key)
	}
	slices.Sort(keys)
	unsettled := len(openKeys(open))
	changed := !slices.Equal(keys, r.keys) || unsettled != r.open || len(keys) > 0 && to != r.to
	if !changed && (len(keys) == 0 || now.Sub(r.sentAt) < reportRepeatPeriod) {
		return Snapshot{}, false
	}
	r.seq++
	r.keys, r.open, r.to, r.sentAt = keys, unsettled, to, now
	return newSnapshot(r.seq, open), true
}
