// Package prefixcache estimates which parts of prompts engines hold in their prefix caches. What it says is a hint: an
// engine tells nobody what it evicts. The package does no I/O.
package prefixcache

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// An engine has at most sets x ways = 2,000 entries of 8 bytes. A link is kept in one set, in which the least recently
	// used entry is replaced. The sets of all engines for a link are adjacent, because a choice looks up the same link for
	// each engine.
	sets = 500
	ways = 4
	// MaxEntries is the maximum number of entries of an engine.
	MaxEntries = sets * ways

	// An entry is the tag of its link, the turnover of the engine at its last use, and the time of that use.
	tagBits, turnoverBits, timeBits = 24, 24, 16
	turnoverMask                    = 1<<turnoverBits - 1
	timeMask                        = 1<<timeBits - 1
	// turnoverUnit is the resolution of the turnover, in tokens. A turnover of 4.3 G tokens cannot be told from none; at
	// 50,000 tokens a second that takes a day.
	turnoverUnit = 256
	// timeUnit is the resolution of times, which repeat after 18 hours.
	timeUnit = time.Second

	// MaxAge is how long a part that was not used is assumed to be held. The turnover is known from reports of other VMs,
	// which miss work that begins and ends between two of them.
	MaxAge = 10 * time.Minute
)

// Entry is a link that an engine may hold; 0 is none.
type Entry uint64

// set holds the entries of one engine for the links that have the same place, the most recently used one first.
type set [ways]Entry

// Engine is what is known of one engine's cache.
type Engine struct {
	table *Table
	// index is the place of the engine's entries in each of the table's sets.
	index  int
	usedAt clock.Instant
}

// Held is what an engine is expected to hold of a prompt.
type Held struct {
	// Parts is the number of leading parts that are more likely held than not.
	Parts int
	// Tokens is the expected number of tokens that need not be prefilled.
	Tokens int64
}

// Take records that the engine took tokens into its memory. A nil Engine ignores it.
func (e *Engine) Take(tokens int64) {
	if e != nil && tokens > 0 {
		e.table.turnover[e.index] += tokens
	}
}

// Record records that the engine holds all parts of a prompt.
func (e *Engine) Record(now clock.Instant, c Chain) {
	e.usedAt = now
	for _, l := range c {
		e.put(now, l.hash)
	}
}

// Match returns what the engine is expected to hold of the prompt for which the table's Find was called last. free is the
// memory of the engine that is not in use, in tokens. A part counts only if all parts before it are held.
func (e *Engine) Match(now clock.Instant, free int64) Held {
	var h Held
	oldest, tokens := int64(0), 0.0
	for i, link := range e.table.sought[:e.Depth()] {
		entry := e.table.found[i][e.index]
		if e.age(now, entry) > MaxAge {
			break
		}
		// The least recently used parts are evicted first: a part is gone for sure when the engine has taken as many
		// tokens as it has free memory. It may be gone before, as memory in use changes meanwhile.
		if oldest = max(oldest, e.table.since(e.index, entry)); oldest >= free {
			break
		}
		tokens += float64(free-oldest) * float64(link.tokens)
		if 2*oldest < free {
			h.Parts++
		}
	}
	if tokens > 0 {
		h.Tokens = int64(tokens / float64(free))
	}
	return h
}

// Depth returns how many of the leading parts of the prompt for which the table's Find was called last the engine may
// hold. A nil Engine holds nothing.
func (e *Engine) Depth() int {
	if e == nil || len(e.table.sought) == 0 {
		return 0
	}
	return int(e.table.depth[e.index])
}

// since returns the number of tokens that an engine has taken since the last use of an entry.
func (t *Table) since(index int, entry Entry) int64 {
	return int64((Entry(t.turnover[index]/turnoverUnit)-entry>>timeBits)&turnoverMask) * turnoverUnit
}

func (e *Engine) age(now clock.Instant, entry Entry) time.Duration {
	return time.Duration((timestamp(now)-entry)&timeMask) * timeUnit
}

func timestamp(now clock.Instant) Entry { return Entry(int64(now) / int64(timeUnit)) }

// place returns the set and the tag of a link. No tag is 0, which marks an empty entry.
func place(hash uint64) (at int, tag Entry) {
	return int(hash >> 32 % sets), max(1, Entry(hash&(1<<tagBits-1)))
}

// find returns the entry with a tag, 0 if there is none. It looks at all entries without a loop, which compiles to
// conditional moves: where a search ends cannot be predicted.
func (s *set) find(tag Entry) (found Entry) {
	a, b, c, d := s[0], s[1], s[2], s[3]
	if a>>(turnoverBits+timeBits) == tag {
		found = a
	}
	if b>>(turnoverBits+timeBits) == tag {
		found = b
	}
	if c>>(turnoverBits+timeBits) == tag {
		found = c
	}
	if d>>(turnoverBits+timeBits) == tag {
		found = d
	}
	return found
}

// put adds a link as the most recently used one of its set, whose first entry that is.
func (e *Engine) put(now clock.Instant, hash uint64) {
	at, tag := place(hash)
	set := &e.table.sets[at][e.index]
	i := 0
	for i < ways-1 && set[i] != 0 && set[i]>>(turnoverBits+timeBits) != tag {
		i++
	}
	copy(set[1:i+1], set[:i])
	set[0] = tag<<(turnoverBits+timeBits) | Entry(e.table.turnover[e.index]/turnoverUnit)&turnoverMask<<timeBits | timestamp(now)&timeMask
}
