package peer

import (
	"slices"
	"sync"
)

// memory bounds what the frames of other VMs take while they are read, handled or answered. A frame takes from it as its bytes
// arrive, not for what its length announces.
type memory struct {
	limit int
	whole Budget

	mu   sync.Mutex
	used int
	// returned is signalled when memory was returned or a reading was given up.
	returned sync.Cond
	// readings are the frames that have arrived in part, the one that began first at the front.
	readings []*reading
}

// Budget is a bound on the memory of the whole process, of which frames of other VMs take a part. It is safe for concurrent use.
type Budget interface {
	// Reserve takes n bytes and reports whether there is room for them.
	Reserve(n int64) bool
	// Release returns n bytes.
	Release(n int64)
}

// reading is a frame that has arrived in part.
type reading struct {
	memory *memory
	// abandon closes the connection. It is called without locks.
	abandon func()
	held    int
	// abandoned is set once the frame has been given up in favour of others.
	abandoned bool
}

func newMemory(limit int, whole Budget) *memory {
	m := &memory{limit: limit, whole: whole}
	m.returned.L = &m.mu
	return m
}

// take takes n bytes and reports whether there is room for them.
func (m *memory) take(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.takeLocked(n)
}

func (m *memory) takeLocked(n int) bool {
	if m.used+n > m.limit || m.whole != nil && !m.whole.Reserve(int64(n)) {
		return false
	}
	m.used += n
	return true
}

// give returns n bytes.
func (m *memory) give(n int) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.giveLocked(n)
}

func (m *memory) giveLocked(n int) {
	m.used -= n
	if m.whole != nil {
		m.whole.Release(int64(n))
	}
	m.returned.Broadcast()
}

func (m *memory) inUse() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// begin notes that a frame has arrived in part.
func (m *memory) begin(abandon func()) *reading {
	r := &reading{memory: m, abandon: abandon}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readings = append(m.readings, r)
	return r
}

// grow takes n bytes for more of the frame. If there is no room, the frames that began first are given up, as a VM of the fleet sends
// its frames at once and a stranger may not end one. It reports whether the frame may go on.
func (r *reading) grow(n int) bool {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for !r.abandoned {
		if m.takeLocked(n) {
			r.held += n
			return true
		}
		oldest, givenUp := m.oldest()
		switch {
		case givenUp:
			m.returned.Wait()
		case oldest == nil || oldest == r:
			return false
		default:
			oldest.abandoned = true
			go oldest.abandon()
			m.returned.Broadcast()
		}
	}
	return false
}

// oldest returns the reading that began first and holds memory, nil if there is none. givenUp is set if one that was given up has
// not returned its memory yet.
func (m *memory) oldest() (oldest *reading, givenUp bool) {
	for _, r := range m.readings {
		switch {
		case r.held == 0:
		case r.abandoned:
			return oldest, true
		case oldest == nil:
			oldest = r
		}
	}
	return oldest, false
}

// shrink returns n bytes.
func (r *reading) shrink(n int) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.held -= n
	r.memory.giveLocked(n)
}

// complete ends the reading of a frame that has arrived whole. What it holds, which is returned, is to be given back later.
func (r *reading) complete() (held int) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.remove()
	return r.held
}

// fail ends the reading of a frame that does not arrive whole.
func (r *reading) fail() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.remove()
	r.memory.giveLocked(r.held)
}

// remove removes r from the readings. The memory's mutex must be held.
func (r *reading) remove() {
	m := r.memory
	m.readings = slices.DeleteFunc(m.readings, func(other *reading) bool { return other == r })
	m.returned.Broadcast() // one that waited for r looks again
}
