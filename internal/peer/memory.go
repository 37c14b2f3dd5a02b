package peer

import (
	"slices"
	"sync"
)

// memory bounds what the frames of other VMs take while they are read, handled or answered. A frame takes from it as its bytes
// arrive, not for what its length announces.
type memory struct {
	limit int

	mu   sync.Mutex
	used int
	// returned is signalled when memory was returned or a reading was given up.
	returned sync.Cond
	// readings are the frames that have arrived in part, the one that began first at the front.
	readings []*reading
}

// reading is a frame that has arrived in part.
type reading struct {
	memory *memory
	// abandon closes the connection. It is called without locks.
	abandon func()
	// buffer holds what has arrived, if it takes from the memory.
	buffer []byte
	// whole is set once the frame has arrived whole, so that it is not given up any more.
	whole bool
	// abandoned is set once the frame has been given up in favour of others.
	abandoned bool
}

func newMemory(limit int) *memory {
	m := &memory{limit: limit}
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
	if m.used+n > m.limit {
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

// grow returns a buffer of n bytes that begins with what has arrived. If there is no memory, the frames that began first
// are given up, as a VM of the fleet sends its frames at once and a stranger may not end one. It returns nil if r is the one to give up.
func (r *reading) grow(arrived []byte, n int) []byte {
	if !r.take(n) {
		return nil
	}
	larger := make([]byte, n)
	copy(larger, arrived)
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.giveBack()
	r.buffer = larger
	return larger
}

// take takes n bytes, which are to be given back.
func (r *reading) take(n int) bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.reserve(n)
}

// takeForBody takes n bytes for what is decoded from the frame, which has arrived whole and is not given up any more.
func (r *reading) takeForBody(n int) bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.whole = true
	return r.reserve(n)
}

// reserve takes n bytes, for which other readings may be given up. The memory's mutex must be held.
func (r *reading) reserve(n int) bool {
	m := r.memory
	for !r.abandoned {
		if m.takeLocked(n) {
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

// giveBack returns the buffer and its memory. The memory's mutex must be held.
func (r *reading) giveBack() {
	if r.buffer == nil {
		return
	}
	r.memory.giveLocked(len(r.buffer))
	r.buffer = nil
}

// oldest returns the reading that began first and holds memory, nil if there is none. givenUp is set if one that was given up has
// not returned its memory yet.
func (m *memory) oldest() (oldest *reading, givenUp bool) {
	for _, r := range m.readings {
		switch {
		case r.buffer == nil || r.whole && !r.abandoned:
		case r.abandoned:
			return oldest, true
		case oldest == nil:
			oldest = r
		}
	}
	return oldest, false
}

// end ends the reading. Nothing may refer to its buffer any more.
func (r *reading) end() {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readings = slices.DeleteFunc(m.readings, func(other *reading) bool { return other == r })
	r.giveBack()
	m.returned.Broadcast() // one that waited for r looks again
}
