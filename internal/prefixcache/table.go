package prefixcache

import (
	"slices"
	"unsafe"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// MaxEngines is the maximum number of engines of which anything is known. With it the table takes 4 MB at most.
const MaxEngines = 240

// Table holds what is known of all engines. It grows with the number of engines of which something was recorded.
type Table struct {
	sets    [sets][]set
	engines map[traffic.EndpointID]*Engine
	// turnover is the number of tokens that each engine has taken, by index.
	turnover []int64
	// free are the indexes of engines that were forgotten.
	free []int

	// found are the entries of the links of sought, by link and index of the engine, up to the depth of the engine.
	sought Chain
	found  [MaxLinks][]Entry
	depth  []uint8
	// holding are the indexes of the engines that hold all links looked up so far.
	holding []int
}

// Find looks up the parts of a prompt in the entries of all engines, for the calls of Depth and Match that follow. The
// Table must not be changed between. Parts are gone after a turnover of capacity, the memory of an engine in tokens. Find
// returns the number of leading parts that some engine may hold.
func (t *Table) Find(c Chain, capacity int64) int {
	t.sought = nil
	engines := len(t.sets[0])
	t.depth = slices.Grow(t.depth[:0], engines)[:engines]
	clear(t.depth)
	t.holding = t.holding[:0]
	for i := range engines {
		t.holding = append(t.holding, i)
	}
	for i, link := range c[:min(len(c), MaxLinks)] {
		t.found[i] = slices.Grow(t.found[i][:0], engines)[:engines]
		if t.findLink(i, link.hash, capacity); len(t.holding) == 0 {
			break
		}
		t.sought = c[:i+1]
	}
	return len(t.sought)
}

// findLink looks up a link in the entries of the engines that hold all links before it.
func (t *Table) findLink(i int, hash uint64, capacity int64) {
	at, tag := place(hash)
	row, found, left := t.sets[at], t.found[i], 0
	for _, index := range t.holding {
		if found[index] = row[index].find(tag); found[index] != 0 && t.since(index, found[index]) < capacity {
			t.depth[index] = uint8(i + 1)
			t.holding[left] = index
			left++
		}
	}
	t.holding = t.holding[:left]
}

// Add returns what is known of an engine, after adding it if need be. If there are too many engines, the one whose last
// record is the oldest is forgotten, and its id returned.
func (t *Table) Add(id traffic.EndpointID) (e *Engine, forgotten traffic.EndpointID) {
	if e := t.engines[id]; e != nil {
		return e, forgotten
	}
	if t.engines == nil {
		t.engines = map[traffic.EndpointID]*Engine{}
	}
	if len(t.engines) >= MaxEngines {
		forgotten = t.oldest()
		t.Forget(forgotten)
	}
	e = &Engine{table: t, index: t.newIndex()}
	t.engines[id] = e
	return e, forgotten
}

func (t *Table) newIndex() int {
	if n := len(t.free); n > 0 {
		index := t.free[n-1]
		t.free = t.free[:n-1]
		t.turnover[index] = 0
		return index
	}
	index := len(t.sets[0])
	if index == cap(t.sets[0]) {
		t.grow(min(MaxEngines, max(minEngines, 2*index)))
	}
	for i := range t.sets {
		t.sets[i] = t.sets[i][:index+1]
	}
	t.turnover = append(t.turnover, 0)
	return index
}

// minEngines is the number of engines for which memory is allocated first.
const minEngines = 16

// grow makes room for a number of engines.
func (t *Table) grow(engines int) {
	all := make([]set, sets*engines)
	for i, old := range t.sets {
		t.sets[i] = all[i*engines : i*engines+len(old) : (i+1)*engines]
		copy(t.sets[i], old)
	}
}

func (t *Table) oldest() traffic.EndpointID {
	var oldest traffic.EndpointID
	at := clock.Instant(1<<63 - 1)
	for id, e := range t.engines {
		if e.usedAt.Before(at) {
			oldest, at = id, e.usedAt
		}
	}
	return oldest
}

// Forget removes what is known of an engine: it is gone, or it has changed its stage. Its Engine must not be used again.
func (t *Table) Forget(id traffic.EndpointID) {
	e := t.engines[id]
	if e == nil {
		return
	}
	delete(t.engines, id)
	for i := range t.sets {
		t.sets[i][e.index] = set{}
	}
	t.free = append(t.free, e.index)
}

// Size returns the number of engines of which anything is known, and the number of bytes that their entries take.
func (t *Table) Size() (engines, bytes int) {
	return len(t.engines), sets * cap(t.sets[0]) * int(unsafe.Sizeof(set{}))
}
