package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/endpoint"
)

const (
	// maxPiecesPerEndpoint bounds the pieces remembered of one endpoint.
	maxPiecesPerEndpoint = 512
	// pieceDecay is how long a piece counts that no event has confirmed.
	pieceDecay = 30 * time.Second
	// forever marks a piece that an event has confirmed.
	forever = clock.Instant(1<<63 - 1)
)

// holder is an endpoint that is thought to have a piece in its cache.
type holder struct {
	replica int
	until   clock.Instant
}

// prefixIndex guesses which endpoints have which prefix pieces cached. Assignments add
// pieces at once, cache events correct them, and a guess that stays unconfirmed decays.
type prefixIndex struct {
	holders map[uint64][]holder
	// order holds each endpoint's pieces, oldest first.
	order [][]uint64
	// seq is the last event seen of each endpoint.
	seq     []uint64
	matched []int
	unused  []int
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: map[uint64][]holder{}}
}

// register gives the number of a new endpoint.
func (x *prefixIndex) register() int {
	if n := len(x.unused); n > 0 {
		replica := x.unused[n-1]
		x.unused = x.unused[:n-1]
		return replica
	}
	x.order = append(x.order, nil)
	x.seq = append(x.seq, 0)
	x.matched = append(x.matched, 0)
	return len(x.order) - 1
}

// forget drops all that is known of an endpoint and frees its number.
func (x *prefixIndex) forget(replica int) {
	for len(x.order[replica]) > 0 {
		x.drop(replica, x.order[replica][0])
	}
	x.seq[replica] = 0
	x.unused = append(x.unused, replica)
}

// match counts for each endpoint the leading pieces in its cache. The result is valid until
// the next call.
func (x *prefixIndex) match(now clock.Instant, pieces []uint64) []int {
	clear(x.matched)
	for i, piece := range pieces {
		found := false
		for _, h := range x.holders[piece] {
			if h.until >= now && x.matched[h.replica] == i {
				x.matched[h.replica] = i + 1
				found = true
			}
		}
		if !found {
			break
		}
	}
	return x.matched
}

// expect notes that an assignment brings pieces into an endpoint's cache.
func (x *prefixIndex) expect(now clock.Instant, replica int, pieces []uint64) {
	for _, piece := range pieces {
		x.set(replica, piece, now.Add(pieceDecay))
	}
}

// apply takes an endpoint's cache events. After a jump in their numbers, what was confirmed
// before is a guess again.
func (x *prefixIndex) apply(now clock.Instant, replica int, events []endpoint.CacheEvent) {
	for _, e := range events {
		if e.Seq <= x.seq[replica] {
			continue
		}
		if x.seq[replica] != 0 && e.Seq != x.seq[replica]+1 {
			x.doubt(now, replica)
		}
		x.seq[replica] = e.Seq
		if e.Present {
			x.set(replica, e.Piece, forever)
		} else {
			x.drop(replica, e.Piece)
		}
	}
}

func (x *prefixIndex) set(replica int, piece uint64, until clock.Instant) {
	hs := x.holders[piece]
	for i := range hs {
		if hs[i].replica == replica {
			hs[i].until = max(hs[i].until, until)
			return
		}
	}
	x.holders[piece] = append(hs, holder{replica: replica, until: until})
	x.order[replica] = append(x.order[replica], piece)
	if len(x.order[replica]) > maxPiecesPerEndpoint {
		x.drop(replica, x.order[replica][0])
	}
}

func (x *prefixIndex) drop(replica int, piece uint64) {
	hs := slices.DeleteFunc(x.holders[piece], func(h holder) bool { return h.replica == replica })
	if len(hs) == 0 {
		delete(x.holders, piece)
	} else {
		x.holders[piece] = hs
	}
	if i := slices.Index(x.order[replica], piece); i >= 0 {
		x.order[replica] = slices.Delete(x.order[replica], i, i+1)
	}
}

func (x *prefixIndex) doubt(now clock.Instant, replica int) {
	for _, piece := range x.order[replica] {
		hs := x.holders[piece]
		for i := range hs {
			if hs[i].replica == replica {
				hs[i].until = min(hs[i].until, now.Add(pieceDecay))
			}
		}
	}
}
