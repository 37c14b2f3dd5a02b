package placement

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/endpoint"
)

const (
	// maxPiecesPerEndpoint is the maximum number of pieces recorded for one endpoint.
	maxPiecesPerEndpoint = 512
	// unconfirmedTTL is how long a piece is assumed to be cached unless an event confirms it.
	unconfirmedTTL = 30 * time.Second
	// noExpiry marks a piece that an event has confirmed.
	noExpiry = clock.Instant(1<<63 - 1)
)

// holder is an endpoint that probably has a piece in its cache.
type holder struct {
	replica   int
	expiresAt clock.Instant
}

// prefixIndex estimates which endpoints have which pieces cached. A piece is a block of the prefix
// cache. Assignments add pieces immediately, cache events confirm or remove them, and unconfirmed
// entries expire.
type prefixIndex struct {
	holders map[uint64][]holder
	// pieces holds the pieces of each endpoint, oldest first.
	pieces [][]uint64
	// lastSeq is the sequence number of the last event of each endpoint.
	lastSeq     []uint64
	matched     []int
	freeNumbers []int
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{holders: map[uint64][]holder{}}
}

// register allocates the number of a new endpoint.
func (x *prefixIndex) register() int {
	if n := len(x.freeNumbers); n > 0 {
		replica := x.freeNumbers[n-1]
		x.freeNumbers = x.freeNumbers[:n-1]
		return replica
	}
	x.pieces = append(x.pieces, nil)
	x.lastSeq = append(x.lastSeq, 0)
	x.matched = append(x.matched, 0)
	return len(x.pieces) - 1
}

// unregister removes all entries of an endpoint and frees its number.
func (x *prefixIndex) unregister(replica int) {
	for len(x.pieces[replica]) > 0 {
		x.remove(replica, x.pieces[replica][0])
	}
	x.lastSeq[replica] = 0
	x.freeNumbers = append(x.freeNumbers, replica)
}

// match returns, for each endpoint, the number of leading pieces in its cache. The result is
// valid until the next call.
func (x *prefixIndex) match(now clock.Instant, pieces []uint64) []int {
	clear(x.matched)
	for i, piece := range pieces {
		found := false
		for _, h := range x.holders[piece] {
			if h.expiresAt >= now && x.matched[h.replica] == i {
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

// addExpected records that an assignment will bring pieces into an endpoint's cache.
func (x *prefixIndex) addExpected(now clock.Instant, replica int, pieces []uint64) {
	for _, piece := range pieces {
		x.set(replica, piece, now.Add(unconfirmedTTL))
	}
}

// apply processes an endpoint's cache events. After a gap in the sequence numbers, confirmed
// entries count as unconfirmed again.
func (x *prefixIndex) apply(now clock.Instant, replica int, events []endpoint.CacheEvent) {
	for _, e := range events {
		if e.Seq <= x.lastSeq[replica] {
			continue
		}
		if x.lastSeq[replica] != 0 && e.Seq != x.lastSeq[replica]+1 {
			x.unconfirm(now, replica)
		}
		x.lastSeq[replica] = e.Seq
		if e.Present {
			x.set(replica, e.Piece, noExpiry)
		} else {
			x.remove(replica, e.Piece)
		}
	}
}

func (x *prefixIndex) set(replica int, piece uint64, expiresAt clock.Instant) {
	hs := x.holders[piece]
	for i := range hs {
		if hs[i].replica == replica {
			hs[i].expiresAt = max(hs[i].expiresAt, expiresAt)
			return
		}
	}
	x.holders[piece] = append(hs, holder{replica: replica, expiresAt: expiresAt})
	x.pieces[replica] = append(x.pieces[replica], piece)
	if len(x.pieces[replica]) > maxPiecesPerEndpoint {
		x.remove(replica, x.pieces[replica][0])
	}
}

func (x *prefixIndex) remove(replica int, piece uint64) {
	hs := slices.DeleteFunc(x.holders[piece], func(h holder) bool { return h.replica == replica })
	if len(hs) == 0 {
		delete(x.holders, piece)
	} else {
		x.holders[piece] = hs
	}
	if i := slices.Index(x.pieces[replica], piece); i >= 0 {
		x.pieces[replica] = slices.Delete(x.pieces[replica], i, i+1)
	}
}

func (x *prefixIndex) unconfirm(now clock.Instant, replica int) {
	for _, piece := range x.pieces[replica] {
		hs := x.holders[piece]
		for i := range hs {
			if hs[i].replica == replica {
				hs[i].expiresAt = min(hs[i].expiresAt, now.Add(unconfirmedTTL))
			}
		}
	}
}
